"""The workers that one decision looks at: all of a role where they are few, and a bounded choice of many.

From a large fleet come, for a read, the text's homes (its arc of the ring), who is known to hold the text or
the session, who was used lately, some in slow start, and some at random; for a write, who was used lately in
the reader's cell and elsewhere, and some at random of the cell, the zone and the whole role. The least loaded
of a random few is nearly as idle as the least loaded of all (the power of d choices); those used lately have
connections that are open. The cost of a decision does not depend on the number of workers.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

from basaltspread.control.engine_index import EngineIndex, WorkerGroup
from basaltspread.control.held_prefixes import HeldPrefixes
from basaltspread.control.load_view import Request, Worker
from basaltspread.interface import KeyScope, Role
from basaltspread.structures.hashing import hashed

LOOKED_AT = 128  # workers of a role that one decision looks at, at the most; so many are looked at one by one
HOMES = 16  # of a text, from a random place in its arc where it has more
ARC = HOMES + 8  # of the ring: some homes may be left out for now
HOLDERS = 8  # workers known to hold a text, and a session
RECENT = 24  # workers used last that are kept, by role and cell
RECENT_LOOKED_AT = 24  # of these, of all cells together
COLD = 8
RANDOM = 4  # of the role; as many of the zone
RANDOM_IN_CELL = 4


class RecentlyUsed:
    """The workers used last, by role and cell. Each call costs O(1), a look O(its length)."""

    def __init__(self) -> None:
        self._by_cell: dict[tuple[Role, int], OrderedDict[str, Worker]] = {}
        self._by_role: dict[Role, OrderedDict[str, Worker]] = {}

    def used(self, worker: Worker) -> None:
        in_cell = self._by_cell.setdefault((worker.role, worker.cell), OrderedDict())
        in_role = self._by_role.setdefault(worker.role, OrderedDict())
        for kept, most in ((in_cell, RECENT), (in_role, 2 * RECENT)):
            kept[worker.name] = worker
            kept.move_to_end(worker.name)
            if len(kept) > most:
                kept.popitem(last=False)

    def of_role(self, role: Role, count: int) -> list[Worker]:
        return _newest(self._by_role.get(role, {}), count)

    def in_cell(self, role: Role, cell: int, count: int) -> list[Worker]:
        return _newest(self._by_cell.get((role, cell), {}), count)


def _newest(kept: Mapping[str, Worker], count: int) -> list[Worker]:
    newest = reversed(kept.values()) if isinstance(kept, OrderedDict) else ()
    return [worker for worker, _ in zip(newest, range(count), strict=False)]


class Candidates:
    """Which workers a decision looks at."""

    def __init__(self, index: EngineIndex, held: HeldPrefixes, zone: int) -> None:
        self._index, self._held, self._zone = index, held, zone
        self.recent = RecentlyUsed()

    def few(self, *roles: Role) -> bool:
        """Whether all of these roles are looked at."""
        return sum(len(self._index.group(role)) for role in roles) <= LOOKED_AT

    def readers(self, request: Request, arc: Iterable[Worker]) -> list[Worker]:
        """For a read; `arc` are its text's homes."""
        role = Role.READER
        if self.few(role) or self._scope(request) is not KeyScope.ALL:
            return self._of_scope(request, role)
        key = hashed(request.id)
        chosen = [
            *arc,
            *self._holders(request),
            *self.recent.of_role(role, RECENT_LOOKED_AT),
            *self._index.cold(role, key, COLD),
            *self._index.in_zone(role, self._zone).sample(key, RANDOM),
            *self._index.group(role).sample(key, RANDOM),
        ]
        return self._listed(chosen, role)

    def arc(self, request: Request, near: bool, homes: int) -> list[Worker]:
        """The homes of its text among the readers of this zone (`near`), or of all: another part of them for
        another conversation, where it has many."""
        role = Role.READER
        group = self._index.in_zone(role, self._zone) if near else self._index.group(role)
        if homes >= len(group):
            return group.after(hashed(conversation_key(request)), 0, ARC)
        skip = hashed(conversation_key(request)) % (homes - HOMES + 1) if homes > HOMES else 0
        return group.after(text_key(request), skip, ARC)

    def homes_among(self, near: bool) -> int:
        """Of how many readers a text's homes are."""
        group = self._index.in_zone(Role.READER, self._zone)
        return len(group) if near and len(group) else len(self._index.group(Role.READER))

    def writers(self, request: Request, near: Worker | None) -> list[Worker]:
        """For a write whose state waits at `near`. The place that is held for it is always among them."""
        roles = (Role.WRITER, Role.MIXED)
        if self.few(*roles) or self._scope(request) is not KeyScope.ALL:
            return [worker for role in roles for worker in self._of_scope(request, role)]
        place = request.place
        chosen = [worker for role in roles for worker in self._writers_of(role, hashed(request.id), near)]
        if place is not None:
            chosen.append(place)
        return [w for role in roles for w in self._listed(chosen, role)]

    def _writers_of(self, role: Role, key: int, near: Worker | None) -> list[Worker]:
        index = self._index
        chosen = [
            *self.recent.of_role(role, RECENT_LOOKED_AT),
            *index.cold(role, key, COLD),
            *index.group(role).sample(key, RANDOM),
        ]
        if near is not None:
            chosen += self.recent.in_cell(role, near.cell, RECENT_LOOKED_AT)
            chosen += index.in_cell(role, near.cell).sample(key, RANDOM_IN_CELL)
            chosen += index.in_zone(role, near.zone).sample(key, RANDOM)
        return chosen

    def _holders(self, request: Request) -> list[Worker]:
        names = self._held.holders(request.a, HOLDERS)
        return [worker for name in names if (worker := self._index.named(name)) is not None]

    def _scope(self, request: Request) -> KeyScope:
        return request.cls.key_scope if request.ran is not None else KeyScope.ALL

    def _of_scope(self, request: Request, role: Role) -> list[Worker]:
        """Of those that may be sent a request that may have run, if it has."""
        group: WorkerGroup
        match self._scope(request), request.ran:
            case KeyScope.ZONE, Worker() as ran:
                group = self._index.in_zone(role, ran.zone)
            case KeyScope.CELL, Worker() as ran:
                group = self._index.in_cell(role, ran.cell)
            case _:
                group = self._index.group(role)
        return group.sample(hashed(request.id), LOOKED_AT)

    def _listed(self, chosen: Iterable[Worker], role: Role) -> list[Worker]:
        """Each once, and only who is up in this role now."""
        by_name = {worker.name: worker for worker in chosen if worker.role is role}
        return [worker for name, worker in by_name.items() if self._index.named(name) is worker]


def text_key(request: Request) -> int:
    """Requests that begin with the same text have the same."""
    arrival = request.a
    return hashed(arrival.prefix or arrival.session or arrival.request)


def conversation_key(request: Request) -> str:
    """The turns of one conversation have the same."""
    return request.a.session or request.id
