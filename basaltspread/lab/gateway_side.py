"""The gateways of the virtual fleet, each the real reducer with the real module: processes and lists."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from basaltspread import core
from basaltspread import interface as api
from basaltspread.control import picture
from basaltspread.lab.entities import Gateway
from basaltspread.lab.fleet_state import FleetState
from basaltspread.lab.settings import MS, SECOND
from basaltspread.rules import Router

OVERLAP_NOTICED = 50 * MS  # until a process knows that another of its gateway runs
OVERLAP = 2 * SECOND  # for which the old process of a gateway runs beside the new one


class GatewaySide(FleetState):
    """Gateways start, die, are replaced, and hear of changes of the list, each at a time of its own."""

    def start(self, g: Gateway) -> None:
        """From nothing but the last list that it had."""
        own = replace(self.settings, router=g.number, zone=g.zone)
        g.state, g.life = core.State(own, Router(own, self.noise.getrandbits(60))), g.life + 1
        g.state.picture = picture.Picture(own) if picture.talks(own) else None
        g.told = {n: self.now for n, w in g.known.items() if w.entry.state is not api.WorkerState.UP}
        self.feed(g, core.ListTold(api.ListKind.CACHED, 1, tuple(g.known.values())))
        self.feed(g, core.Serving())

    def kill(self, g: Gateway, back_after: int) -> None:
        g.state = None
        self.lose_clients(g)
        self.after(back_after, lambda: self.start(g))

    def hand_over(self, g: Gateway) -> None:
        """A second process of this gateway starts beside the first, learns from it and takes its clients."""
        if g.state is None or g.leaving:
            return
        new = Gateway(g.number, g.zone, known=dict(g.known), traffic=g.traffic)
        knowledge = json.loads(json.dumps(core.knowledge(g.state, self.now)))
        g.leaving = True
        self.gateways.append(new)
        self.start(new)
        self.feed(new, core.Sharing(2))
        self.feed(new, core.Recalled(knowledge))
        self.after(OVERLAP_NOTICED, lambda: self.feed(g, core.Sharing(2)))
        self.after(OVERLAP, lambda: self._left(g, new))

    def _left(self, old: Gateway, new: Gateway) -> None:
        old.state = None
        self.gateways.remove(old)
        self.feed(new, core.Sharing(1))

    def feed(self, g: Gateway, event: core.Input) -> None:
        if g.state is not None:
            for effect in core.reduce(g.state, self.now, event):
                self.carry(g, effect)

    def tell(self, engines: list[str], least: int, most: int) -> None:
        """Each gateway hears of these at a time of its own."""
        for number in sorted({g.number for g in self.gateways}):
            self.after(
                self.noise.randrange(least, most) + self.late_lists.get(number, 0),
                lambda number=number: self._tell_processes(number, engines),  # type: ignore[misc]
            )

    def _tell_processes(self, number: int, engines: list[str]) -> None:
        for g in [g for g in self.gateways if g.number == number]:
            self._told(g, engines)

    def _told(self, g: Gateway, engines: list[str]) -> None:
        entries = []
        for name in engines:
            engine = self.engines[name]
            entry = engine.entry if engine.alive else replace(engine.entry, state=api.WorkerState.REMOVED)
            g.known[name] = core.Listed(entry, name)
            entries.append(g.known[name])
            if entry.state is not api.WorkerState.UP:
                g.told.setdefault(name, self.now)
            else:
                g.told.pop(name, None)
        self.feed(g, core.ListTold(api.ListKind.DELTA, 2, tuple(entries)))

    def lose_clients(self, g: Gateway) -> None:
        """A process of a gateway has died."""
        raise NotImplementedError

    def carry(self, g: Gateway, effect: Any) -> None:
        """What a gateway wants to be done."""
        raise NotImplementedError
