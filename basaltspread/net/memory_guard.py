"""Charges the ledger of memory for clients, and makes room where it is full.

First go requests that have stalled half-way, then idle connections, then answers that their clients don't
read, then arriving requests far larger than the one that asks. Nothing that has been taken and moves is cut.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, cast

from basaltspread.control.memory import CONNECTION_COST, SHARES, Account, MemoryClass
from basaltspread.net.client_table import FIRST_BYTES_UNDER_WAY, ClientTable, CloseReason
from basaltspread.net.log_limit import LineLimit
from basaltspread.net.readers import UNREAD_LIMIT
from basaltspread.net.runtime import Runtime

if TYPE_CHECKING:
    from basaltspread.net.clients import Client

log = logging.getLogger("basaltspread")
STUCK_AFTER = 1.0  # s in which a client takes nothing of its answer, after which it makes room


class OutOfMemory(Exception):
    """A request that is arriving can't be held; its client is told so in words."""


class MemoryGuard:
    """The one place that asks the ledger on behalf of clients."""

    def __init__(self, runtime: Runtime, table: ClientTable) -> None:
        self._runtime, self._table, self._ledger = runtime, table, runtime.memory
        self._lines = LineLimit()
        # Who waits for room to read on, by what is read; the longest first.
        self._waiters: dict[MemoryClass, dict[asyncio.Future[None], None]] = {
            MemoryClass.BODY: {},
            MemoryClass.EVENT: {},
        }

    def open(self, client: Client) -> Account:
        return self._ledger.open(client)

    def close(self, client: Client) -> None:
        self._ledger.close(client.account)
        self._wake()

    def admits(self, client: Client) -> bool:
        """Whether there is room for one more connection."""
        if self._hold(client, MemoryClass.CONNECTION, CONNECTION_COST):
            return True
        self._ledger.force(client.account, MemoryClass.CONNECTION, CONNECTION_COST, time.monotonic())
        return False

    def frees_descriptor(self, asking: Client) -> bool:
        """One connection makes room for a new one: an idle one, or one whose request has stalled half-way;
        one that was just opened goes last, as its first bytes may be under way."""
        now = time.monotonic()
        if self._close_idle(asking, now):
            return True
        stalled = self._ledger.stalled(asking.account, now)
        if stalled is not None:
            client = cast("Client", stalled.owner)
            self._give_up(stalled, "it has stalled")
            client.abort(CloseReason.MADE_ROOM)
            return True
        fresh = self._table.idlest(now)
        if fresh is None:
            return False
        self._runtime.count("clients_made_room")
        self._table.make_room(fresh)
        return True

    def close_idle_client(self) -> bool:
        """One client that has been idle for a while makes room; whether there was one."""
        return self._close_idle(None, time.monotonic())

    def arrives(self, client: Client, arriving: bool) -> None:
        self._ledger.arriving(client.account, arriving)

    def keep(self, client: Client, cls: MemoryClass, size: int) -> None:
        """So many bytes of a class from now on; they are there already."""
        self._ledger.keep(client.account, cls, size, time.monotonic())

    def came(self, client: Client, size: int) -> None:
        """So many bytes have been taken from the system."""
        self._ledger.force(client.account, MemoryClass.UNREAD, size, time.monotonic())

    async def room_to_read(self, client: Client, by: float) -> None:
        """Until more of an arriving request may be read; raises OutOfMemory if there is no room by then. Who
        holds more than its part waits, and the system's window holds its sender back; others make room for
        who holds less."""
        while not self._ledger.fits(MemoryClass.BODY, self._ledger.piece()):
            now = time.monotonic()
            if self._ledger.may_displace(client.account) and self._relieve_arrival(client, now):
                continue
            if now >= by or client.leaving() or self._ledger.never_fits(client.account):
                self._say(client, f"no room to read on beside {client.account.total} bytes")
                raise OutOfMemory
            self._runtime.count("reads_held_back")
            await self.freed(MemoryClass.BODY, by - now)

    async def freed(self, cls: MemoryClass, most: float) -> None:
        """Until bytes have been credited so that there is room for this class, or for so many s."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[cls][waiter] = None
        try:
            await asyncio.wait({waiter}, timeout=most)
        finally:
            self._waiters[cls].pop(waiter, None)

    def _wake(self) -> None:
        """Bytes have been credited: as many as can read on are woken."""
        for cls in self._waiters:
            room = int(self._ledger.capacity * SHARES[cls]) - self._ledger.used
            self.wake(cls, room // self._ledger.piece())

    def wake(self, cls: MemoryClass, count: int) -> None:
        """So many of those who wait for room for this class look again, the longest waiting first."""
        waiters = self._waiters[cls]
        for _ in range(min(len(waiters), count)):
            waiter = next(iter(waiters))
            del waiters[waiter]
            waiter.set_result(None)

    def has_room_for_event(self) -> bool:
        """Whether one more piece of an engine's event may be kept until the event's end."""
        return self._ledger.fits(MemoryClass.EVENT, self._ledger.piece())

    def relieves(self, asking: Client) -> bool:
        """One peer makes room for this one; whether there was one."""
        return self._relieve(asking, time.monotonic())

    def adjust(self, client: Client, cls: MemoryClass, more: int, now: float) -> None:
        """So many more bytes of a class are held already, or so many fewer."""
        if more > 0:
            self._ledger.force(client.account, cls, more, now)
        elif more < 0:
            self.credit(client, cls, -more)

    def takes(self, client: Client, cost: int) -> bool:
        """Whether one more request may be taken."""
        return self._hold(client, MemoryClass.REQUEST, cost)

    def keeps_ahead(self, client: Client, size: int) -> bool:
        """Whether so many more bytes may be kept for its next request; nobody makes room for them."""
        return self._ledger.charge(client.account, MemoryClass.READ_AHEAD, size, time.monotonic())

    def relays(self, client: Client, size: int) -> None:
        """So many bytes wait for a client that reads slowly, and as many as its engine's connection may hold;
        others make room, and nothing is denied."""
        now, account = time.monotonic(), client.account
        size += self._ledger.piece() + 2 * UNREAD_LIMIT
        self._ledger.keep(account, MemoryClass.RELAY, size, now)
        while self._ledger.used > self._ledger.capacity and self._relieve(client, now):
            pass

    def credit(self, client: Client, cls: MemoryClass, size: int | None = None) -> None:
        """These bytes are gone; with no size, all of the class."""
        self._ledger.credit(client.account, cls, size)
        self._wake()

    def _hold(self, client: Client, cls: MemoryClass, size: int) -> bool:
        now = time.monotonic()
        while not self._ledger.hold(client.account, cls, size, now):
            if not self._relieve(client, now):
                return False
        return True

    def _relieve(self, asking: Client, now: float) -> bool:
        """One peer makes room; whether there was one."""
        return (
            self._give_up(self._ledger.stalled(asking.account, now), "it has stalled")
            or self._close_idle(asking, now)
            or self._cut_stuck(asking, now)
            or self._give_up_larger(asking)
        )

    def _relieve_arrival(self, asking: Client, now: float) -> bool:
        """The same for bytes of a request, of which an idle connection holds hardly any."""
        return (
            self._give_up(self._ledger.stalled(asking.account, now), "it has stalled")
            or self._cut_stuck(asking, now)
            or self._give_up_larger(asking)
            or self._close_idle(asking, now)
        )

    def _give_up_larger(self, asking: Client) -> bool:
        return self._give_up(self._ledger.larger(asking.account), "it is far larger than another")

    def _close_idle(self, asking: Client | None, now: float) -> bool:
        idle = self._table.idle_for(FIRST_BYTES_UNDER_WAY, now)
        if idle is None or idle is asking:
            return False
        self._runtime.count("clients_made_room")
        self._table.make_room(idle)
        return True

    def _cut_stuck(self, asking: Client, now: float) -> bool:
        stuck = self._table.stuck_longest(now - STUCK_AFTER)
        if stuck is None or stuck is asking:
            return False
        self._runtime.count("clients_stuck_made_room")
        self._say(stuck, "its client takes nothing of its answer and makes room")
        stuck.cut_answer()
        return True

    def _give_up(self, account: Account | None, why: str) -> bool:
        if account is None:
            return False
        client = cast("Client", account.owner)
        self._runtime.count("arrivals_made_room")
        self._say(client, f"{why} and makes room, with {account.total} bytes")
        client.give_up_arrival()
        return True

    def _say(self, client: Client, what: str) -> None:
        if self._lines.due():
            log.info("request %s: memory is short: %s", client.request_id() or "not known yet", what)
