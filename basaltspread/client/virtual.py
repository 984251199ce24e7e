"""Clients' cores in virtual time: for tests and measurements at sizes that sockets do not reach.

It owns an event queue and nothing else. It must never do I/O; what gateways do with a try is told by the
caller, so that one seed gives one run.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from basaltspread.client import core
from basaltspread.client.core import How

# How a gateway ends a try that comes at this time (None: it serves it), after how long, and its Retry-After.
Answer = Callable[[str, int], tuple[How | None, int, str]]


class World:
    """Any number of clients round gateways that `answer` plays. `sends` holds (time, gateway, effect), `ends`
    how each request ended, by its client's number and its own."""

    def __init__(self, answer: Answer, keeps: bool = False) -> None:
        self.now, self._answer, self._keeps = core.SECOND, answer, keeps
        self._todo: list[tuple[int, int, core.State, core.Input]] = []
        self._count = 0
        self._clients: dict[int, int] = {}
        self.sends: list[tuple[int, str, core.Send]] = []
        self.ends: dict[tuple[int, int], core.Finish | core.Done] = {}
        self.ended_at: dict[tuple[int, int], int] = {}

    def feed(self, state: core.State, event: core.Input) -> None:
        """An input now, and all that follows from it at once."""
        client = self._clients.setdefault(id(state), len(self._clients))
        for effect in core.reduce(state, self.now, event):
            if isinstance(effect, core.Send):
                self._send(state, effect)
            elif isinstance(effect, core.WakeAt):
                self.later(state, max(0, effect.at - self.now), core.Woken(effect.token))
            elif isinstance(effect, (core.Finish, core.Done)):
                self.ends[client, effect.request] = effect
                self.ended_at[client, effect.request] = self.now

    def _send(self, state: core.State, effect: core.Send) -> None:
        request, number = effect.request, effect.number
        self.sends.append((self.now, effect.gateway, effect))
        self.later(state, 0, core.Written(request, number))
        how, after, told = self._answer(effect.gateway, self.now)
        if how is None:
            self.later(state, after, core.FirstEvent(request, number))
            self.later(state, after + core.MS, core.Ended(request, number))
        else:
            self.later(state, after, core.Broke(request, number, how, 503 if how is How.REFUSED else 0, told))
        if self._keeps and how in (None, How.REFUSED):
            self.later(state, after + core.MS, core.Kept(effect.gateway))

    def later(self, state: core.State, after: int, event: core.Input) -> None:
        self._count += 1
        heapq.heappush(self._todo, (self.now + after, self._count, state, event))

    def run(self, until: int) -> None:
        """Lets time pass."""
        while self._todo and self._todo[0][0] <= until:
            self.now, _, state, event = heapq.heappop(self._todo)
            self.feed(state, event)
        self.now = until
