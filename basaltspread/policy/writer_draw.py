"""The choice of a writer where many routers choose: by chance, near the reader, by expected load.

Memory as told is a second old or more, and all routers know the same of it: the roomiest would get what all
of them send. So a writer is drawn, by what is known and by how much all will send before the next news.
Which group it is drawn from, the reader's cell, its zone or all, goes by how many readers feed that group's
writers, and by how much fuller these are than others.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp2, inf

from basaltspread import interface as api
from basaltspread.control.load_view import Request, Worker
from basaltspread.interface import Role
from basaltspread.policy.candidates import Candidates
from basaltspread.policy.health import Health
from basaltspread.policy.router_state import SECOND, TAUGHT
from basaltspread.policy.waits import Waits
from basaltspread.structures.hashing import point
from basaltspread.structures.water_filling import drawn, fill_shares

NEAR_MARGIN = 0.10  # share of a writer's memory that a nearer one may be fuller and still be preferred
ROOM_MEMORY = 4 * SECOND  # half-life of a reported memory share, as long as no answers were seen
ALL_CELLS = -1  # stands for them where link times are pooled


class WriterDraw(Health, Waits):
    """One router of many: its choice of a writer. Costs O(n log n) in the writers that are looked at."""

    candidates: Candidates

    def _draw_writer(self, request: Request, near: Worker | None, pool: Sequence[Worker]) -> Worker:
        chance = f"{request.id} {request.sent} {len(request.asked)}"
        cold = [worker for worker in pool if self.slow_start.is_cold(self.now, worker)]
        if cold:  # a unit of slow start is soon void, and tells that there is room
            self.chosen_for = api.ChoiceReason.SLOW_START
            nearest = _nearest(cold, near)
            return nearest[int(point(f"cold {chance}") * len(nearest))]
        self.chosen_for = api.ChoiceReason.DRAWN
        loads = self._loads(pool)
        group = self._near_group(near, pool, loads, chance)
        capacities = [worker.memory * worker.weight or worker.weight for worker in group]
        coming = self._coming_writes(group) * sum(capacities)
        shares = fill_shares([loads[worker.name] for worker in group], capacities, coming)
        return group[drawn(shares, point(f"writer {chance}"))]

    def _loads(self, pool: Sequence[Worker]) -> dict[str, float]:
        """By writer, the used share of its memory: as told, with own sends since. What was told fades to the
        average as answers come and go."""
        taught = self.answer_times.count >= TAUGHT
        half_life = max(1.0, self.answer_times.time) if taught else ROOM_MEMORY
        heard = [w.report["memory_share"] for w in pool if "memory_share" in w.report]
        average = sum(heard) / len(heard) if heard else 0.0
        loads = {}
        for worker in pool:
            told = worker.report.get("memory_share", average)
            fresh = exp2((worker.told_at - self.now) / half_life)
            own = sum(worker.sent.values()) / worker.memory if worker.memory else 0.0
            loads[worker.name] = average + (told - average) * fresh + own
        return loads

    def _coming_writes(self, group: Sequence[Worker]) -> float:
        """What all routers will send a writer of these, in shares of its memory, before they know how it
        fares; inf: not known."""
        asked = self.estimates.asked(self.now)
        memory = sum(worker.memory for worker in group) / len(group)
        age = self._news_age(group)
        if age is None or asked is None or not memory:
            return inf
        return asked / max(1, len(self.index.group(Role.WRITER))) * age / memory

    def _near_group(
        self, near: Worker | None, pool: Sequence[Worker], loads: dict[str, float], chance: str
    ) -> Sequence[Worker]:
        """The reader's cell, its zone, or all."""
        if near is None:
            return pool
        usual = sum(loads.values()) / len(loads)
        groups = (
            ("cell", [w for w in pool if w.cell == near.cell], self._fed(near, of_cell=True)),
            ("zone", [w for w in pool if w.zone == near.zone], self._fed(near, of_cell=False)),
        )
        for name, group, share in groups:
            if not group:
                continue
            fuller = sum(loads[worker.name] for worker in group) / len(group) - usual
            margin = self._near_margin(near) + self._coming_writes(group)  # else all would leave, or stay
            stays = share * min(1.0, 1.0 - fuller / margin)
            if point(f"{name} {chance}") < stays:
                return group
        return pool

    def _fed(self, near: Worker, of_cell: bool) -> float:
        """Of what this group's readers read, the part that its own writers can take: 1 if they are as large a
        part of all writers as its readers are of all readers."""
        index = self.index
        groups = [
            index.in_cell(role, near.cell) if of_cell else index.in_zone(role, near.zone)
            for role in (Role.WRITER, Role.READER)
        ]
        writers = len(groups[0]) / max(1, len(index.group(Role.WRITER)))
        readers = len(groups[1]) / max(1, len(index.group(Role.READER)))
        return min(1.0, writers / readers) if readers else 1.0

    def _near_margin(self, near: Worker) -> float:
        """Slow links: a nearer writer may be fuller by as much as answers leaving this cell begin later."""
        slower = self.far_time.get(self._link(near), 0.0) / self.near_time if self.near_time > 0 else 1.0
        return NEAR_MARGIN * max(1.0, slower)

    def _link(self, worker: Worker | None) -> int:
        # One of many routers rarely sees one cell's link.
        return ALL_CELLS if self.many or worker is None else worker.cell


def _nearest(workers: Sequence[Worker], near: Worker | None) -> Sequence[Worker]:
    """Those of a worker's cell, else of its zone, else all."""
    if near is None:
        return workers
    in_cell = [worker for worker in workers if worker.cell == near.cell]
    return in_cell or [worker for worker in workers if worker.zone == near.zone] or workers
