"""Accounts for events of engines' answers that are kept until their end has come.

An event is passed on whole, so its first part waits here. Where memory is short, one answer at a time reads
on, and the others leave what their engines send with the system, so that each event comes to its end.
"""

from __future__ import annotations

import time

from basaltspread.control.memory import MemoryClass
from basaltspread.net.clients import Client
from basaltspread.net.memory_guard import MemoryGuard

ROOM_STEP = 0.25  # s between two looks for someone who makes room


class PartialEvents:
    """Which answer reads on while memory is short."""

    def __init__(self, memory: MemoryGuard) -> None:
        self._memory = memory
        self._reading_on: PartialEvent | None = None

    def of(self, client: Client) -> PartialEvent:
        """For one answer to a client, which holds nothing yet."""
        return PartialEvent(self, client)

    async def wait_for_room(self, event: PartialEvent) -> None:
        """Until more of this event may be read."""
        while not self._memory.has_room_for_event():
            if self._reading_on is None:
                self._reading_on = event
            if self._reading_on is event:
                return
            if not self._memory.relieves(event.client):
                await self._memory.freed(MemoryClass.EVENT, ROOM_STEP)

    def released(self, event: PartialEvent) -> None:
        """This event holds nothing any more."""
        if self._reading_on is event:
            self._reading_on = None
            self._memory.wake(MemoryClass.EVENT, 1)

    def keep(self, event: PartialEvent, more: int) -> None:
        """This event holds so many bytes more, or fewer."""
        self._memory.adjust(event.client, MemoryClass.EVENT, more, time.monotonic())


class PartialEvent:
    """The part of an answer's event that has come."""

    __slots__ = ("_all", "_size", "client")

    def __init__(self, partial_events: PartialEvents, client: Client) -> None:
        self._all, self.client, self._size = partial_events, client, 0

    async def hold(self, size: int) -> None:
        """So many bytes are kept from now on, in place of those before; waits for room to read on."""
        if size == 0:
            self.release()
            return
        self._all.keep(self, size - self._size)
        self._size = size
        await self._all.wait_for_room(self)

    def release(self) -> None:
        """The event has been passed on, or its answer is over."""
        if self._size:
            self._all.keep(self, -self._size)
            self._size = 0
        self._all.released(self)
