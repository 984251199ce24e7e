"""Many gateways, each the real reducer with the real module, among engines that die, drain, start cold and
fall silent; in virtual time, deterministic from a seed.

It owns the world and states the five rules from the engines' and clients' side (`breaches`). It must never
look into a gateway to judge it: only what reached an engine or a client counts.
"""

from __future__ import annotations

import heapq
from typing import Any

from basaltspread import core
from basaltspread.lab.client_side import ClientSide
from basaltspread.lab.entities import Engine
from basaltspread.lab.fleet_state import SLACK
from basaltspread.lab.overload import EngineArrival, Window, windows, worst_breach
from basaltspread.lab.settings import MS, SECOND

HELD_SLACK = 300 * MS  # and on what is held


class World(ClientSide):
    """One day."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        """As FleetState; all gateways start with the list of all engines."""
        super().__init__(*arguments, **named)
        for g in self.gateways:
            g.known = {n: core.Listed(e.entry, n) for n, e in self.engines.items()}
            self.start(g)

    def run(self, seconds: float) -> World:
        end = self.began + int(seconds * SECOND)
        self.watch_loads()
        self.at(self.now, lambda: self._arrive(end))
        self.at(self.now, lambda: self._audit(end + 12 * SECOND))
        while self.events and self.events[0][0] <= end + 12 * SECOND:
            self.now, _, call = heapq.heappop(self.events)
            call()
        for name, q in self.asks.items():
            if self._lives(q) and not q.answer and not q.streams:
                self.breach("lost", name)
        self._audit_cold()
        return self

    def _audit(self, end: int) -> None:
        limit = self.settings.rules.release_within + SLACK + HELD_SLACK
        for name, held in list(self.held.items()):
            q = self.asks[name]
            if not self._lives(q) or held.is_over():
                del self.held[name]
            elif held.since() and not q.arrived and self.now - max(q.idle_since, min(held.since())) > limit:
                self.breach("pinned", name)
                del self.held[name]
        if self.now < end:
            self.after(20 * MS, lambda: self._audit(end))

    def cold_arrivals(self, engine: Engine) -> list[EngineArrival]:
        """What arrived there since its latest start, as long as it was cold."""
        started = engine.entry.started
        until = started + self.settings.rules.warm_within
        return [a for a in engine.arrivals if started and started <= a.at < until]

    def cold_use(self) -> list[float]:
        """Of each engine in slow start, the share of its limit that its fullest window used."""
        found = []
        for engine in self.engines.values():
            at_engine = windows(
                self.cold_arrivals(engine),
                lambda when, engine=engine: self.allowed(engine, when),  # type: ignore[misc]
                self.settings.rules.cold_window,
            )
            if at_engine:
                found.append(max(window.fills for window in at_engine))
        return found

    def overload(self, engine: Engine) -> Window | None:
        """The fullest window in which this engine was overloaded while it was cold, if it was."""
        length = self.settings.rules.cold_window
        return worst_breach(self.cold_arrivals(engine), lambda when: self.allowed(engine, when), length)

    def _audit_cold(self) -> None:
        for name, engine in self.engines.items():
            breach = self.overload(engine)
            if breach is not None:
                began = (breach.start - engine.entry.started) / SECOND
                got = f"{breach.work:.1f} of {breach.limit:.1f} in a window"
                self.breach("pushed over", f"{name} got {got}, {began:.3f} s after its start")
            if self.count_sends:
                self._audit_cold_count(name, engine)

    def _audit_cold_count(self, name: str, engine: Engine) -> None:
        """Besides, on the days that have been held to it: no more sends than the multiple and two."""
        cold = [arrival.at for arrival in self.cold_arrivals(engine)]
        for i, first in enumerate(cold):
            sent = sum(at < first + self.settings.rules.cold_window for at in cold[i:])
            allowed = self.allowed(engine, first)
            if sent > allowed + 2:
                self.breach("pushed over", f"{name} got {sent} in a window, {allowed:.1f} allowed")
                break
