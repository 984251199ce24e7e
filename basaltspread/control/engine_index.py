"""The available workers, indexed for decisions that must not walk the fleet.

It holds who there is by role, zone and cell, how heavy they are, and who is still warming up. It changes by
one worker at a time, as lists tell of changes, and must never decide anything. Times are in microseconds.

Costs, with n workers of a role: a change takes O(log n) and the shifting of three sorted arrays of n entries
(about 2 us each at 3,200); a look takes O(1), a sample or a walk along the ring O(its length). Memory: some
700 bytes a worker.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections.abc import Mapping, Sequence
from itertools import islice

from basaltspread.control.load_view import Worker
from basaltspread.interface import Role, WorkerState
from basaltspread.records import record
from basaltspread.structures.indexed_set import IndexedSet

LARGEST_WEIGHT = 1e6  # sums of products with times stay exact enough
MOST_COLD_WALKED = 64  # of the workers in slow start: the oldest starts, which may be sent most


class WorkerGroup:
    """Some workers, in an array for sampling and on a ring by their hashes."""

    def __init__(self) -> None:
        self._members = IndexedSet[Worker]()
        self._ring: list[tuple[int, str]] = []
        self._by_name: dict[str, Worker] = {}

    def __len__(self) -> int:
        return len(self._members)

    @property
    def members(self) -> list[Worker]:
        """All of them; costs O(their number)."""
        return list(self._members)

    def add(self, worker: Worker) -> None:
        self._members.add(worker)
        self._by_name[worker.name] = worker
        insort(self._ring, (worker.hash, worker.name))

    def discard(self, worker: Worker) -> None:
        self._members.discard(worker)
        del self._by_name[worker.name]
        del self._ring[bisect_left(self._ring, (worker.hash, worker.name))]

    def sample(self, key: int, count: int) -> list[Worker]:
        """`count` different members, or all, as IndexedSet.sample chooses."""
        return self._members.sample(key, count)

    def after(self, key: int, skip: int, count: int) -> list[Worker]:
        """Members on the ring from a key's point on, less the first `skip` of them: everybody who knows the
        same members finds the same ones, and a member that comes or goes moves its neighbours only."""
        size = len(self._ring)
        first = bisect_left(self._ring, (key, "")) + skip
        names = (self._ring[(first + i) % size][1] for i in range(min(count, size)))
        return [self._by_name[name] for name in names]


class _SlowStart:
    """One role's workers in slow start, in an order that all who know the same ones have."""

    def __init__(self) -> None:
        self.workers: list[Worker] = []
        self._keys: list[tuple[int, str]] = []
        self._warm_at: list[tuple[int, str]] = []  # sorted

    def add(self, worker: Worker, warm_at: int) -> None:
        key = (worker.hash, worker.name)
        position = bisect_left(self._keys, key)
        self._keys.insert(position, key)
        self.workers.insert(position, worker)
        insort(self._warm_at, (warm_at, worker.name))

    def discard(self, worker: Worker) -> None:
        key = (worker.hash, worker.name)
        position = bisect_left(self._keys, key)
        if position < len(self._keys) and self._keys[position] == key:
            del self._keys[position], self.workers[position]
            self._warm_at = [entry for entry in self._warm_at if entry[1] != worker.name]

    def forget_warm(self, now: int, named: Mapping[str, _Filed]) -> None:
        while self._warm_at and self._warm_at[0][0] <= now:
            name = self._warm_at[0][1]
            if name in named:
                self.discard(named[name].worker)
            else:
                del self._warm_at[0]

    @property
    def oldest(self) -> str | None:
        return self._warm_at[0][1] if self._warm_at else None


class _Weights:
    """The weights of one role's workers: their sum over the warm ones, and the largest."""

    def __init__(self) -> None:
        self.total = 0.0
        self.sorted: list[float] = []
        self._cold: dict[str, tuple[int, float]] = {}  # when it will be warm, and its weight
        self._cold_total = 0.0
        self._cold_until = 0.0  # sum of the weights of cold workers, each times when it will be warm
        self._warm_at: list[tuple[int, str]] = []  # a heap; entries of earlier starts are passed over

    def add(self, worker: Worker, weight: float, warm_at: int | None) -> None:
        self.total += weight
        insort(self.sorted, weight)
        if warm_at is not None:
            self._cold[worker.name] = (warm_at, weight)
            self._cold_total += weight
            self._cold_until += weight * warm_at
            heapq.heappush(self._warm_at, (warm_at, worker.name))

    def discard(self, worker: Worker, weight: float) -> None:
        del self.sorted[bisect_left(self.sorted, weight)]
        self.total -= weight
        self._warmed(worker.name)
        if not self.sorted:
            self.total = 0.0  # nothing is left of what adding floats lost

    def warm(self, now: int) -> float:
        while self._warm_at and self._warm_at[0][0] <= now:
            warm_at, name = heapq.heappop(self._warm_at)
            if self._cold.get(name, (0, 0.0))[0] == warm_at:
                self._warmed(name)
        if not self._cold:
            self._cold_total = self._cold_until = 0.0
        return self.total - self._cold_total

    def cold_part(self, now: int, warm_within: int) -> tuple[float, float]:
        """The weights of those in slow start, and these times the part of the slow start that is over."""
        self.warm(now)
        left = max(0.0, self._cold_until - now * self._cold_total)
        return self._cold_total, max(0.0, self._cold_total - left / max(1, warm_within))

    def cold_count(self, now: int) -> int:
        self.warm(now)  # forgets those that are warm by now
        return len(self._cold)

    def cold_names(self, key: int, count: int) -> list[str]:
        names = list(islice(self._cold, MOST_COLD_WALKED))
        first = key % len(names) if names else 0
        return [*names[first:], *names[:first]][:count]

    def _warmed(self, name: str) -> None:
        warm_at, weight = self._cold.pop(name, (0, 0.0))
        self._cold_total -= weight
        self._cold_until -= weight * warm_at


@record
class _Filed:
    """A worker as it was when it was put."""

    worker: Worker
    role: Role
    zone: int
    cell: int
    weight: float


class EngineIndex:
    """All workers that are up."""

    def __init__(self, warm_within: int, weights_mean_size: bool) -> None:
        """`warm_within`: how long a worker that has started stays cold. Without `weights_mean_size` all
        weigh the same."""
        self._warm_within, self._weights_mean_size = warm_within, weights_mean_size
        self._roles = {role: WorkerGroup() for role in Role}
        self._zones: dict[tuple[Role, int], WorkerGroup] = {}
        self._cells: dict[tuple[Role, int], WorkerGroup] = {}
        self._weights = {role: _Weights() for role in Role}
        self._filed: dict[str, _Filed] = {}
        self._slow_start = {role: _SlowStart() for role in Role}

    def put(self, worker: Worker) -> None:
        """A worker has come or changed; one that is not up goes."""
        self.drop(worker)
        if worker.state is not WorkerState.UP:
            return
        weight = self.weight(worker)
        self._filed[worker.name] = _Filed(worker, worker.role, worker.zone, worker.cell, weight)
        self._roles[worker.role].add(worker)
        self._zones.setdefault((worker.role, worker.zone), WorkerGroup()).add(worker)
        self._cells.setdefault((worker.role, worker.cell), WorkerGroup()).add(worker)
        warm_at = worker.warming_since + self._warm_within if worker.started > 0 else None
        self._weights[worker.role].add(worker, weight, warm_at)
        if warm_at is not None:
            self._slow_start[worker.role].add(worker, warm_at)

    def drop(self, worker: Worker) -> None:
        filed = self._filed.pop(worker.name, None)
        if filed is None:
            return
        self._roles[filed.role].discard(worker)
        self._zones[filed.role, filed.zone].discard(worker)
        self._cells[filed.role, filed.cell].discard(worker)
        self._weights[filed.role].discard(worker, filed.weight)
        self._slow_start[filed.role].discard(worker)

    def named(self, name: str) -> Worker | None:
        filed = self._filed.get(name)
        return filed.worker if filed is not None else None

    def cold(self, role: Role, key: int, count: int) -> list[Worker]:
        """Some workers in slow start, others for another key."""
        names = self._weights[role].cold_names(key, count)
        return [self._filed[name].worker for name in names]

    def group(self, role: Role) -> WorkerGroup:
        return self._roles[role]

    def in_zone(self, role: Role, zone: int) -> WorkerGroup:
        return self._zones.get((role, zone), _NONE)

    def in_cell(self, role: Role, cell: int) -> WorkerGroup:
        return self._cells.get((role, cell), _NONE)

    def weight(self, worker: Worker) -> float:
        if not self._weights_mean_size:
            return 1.0
        return min(max(worker.weight, 1 / LARGEST_WEIGHT), LARGEST_WEIGHT)

    def warm_weight(self, now: int, role: Role) -> float:
        """The sum of the weights of all that are not in slow start."""
        return self._weights[role].warm(now)

    def in_slow_start(self, now: int, role: Role) -> Sequence[Worker]:
        """All of a role that are in slow start, in the same order for all who know the same ones."""
        found = self._slow_start[role]
        found.forget_warm(now, self._filed)
        return found.workers

    def oldest_cold(self, now: int, role: Role) -> Worker | None:
        """The worker in slow start that will be warm first."""
        self.in_slow_start(now, role)
        name = self._slow_start[role].oldest
        return self._filed[name].worker if name is not None else None

    def cold_part(self, now: int, role: Role) -> tuple[float, float]:
        """The weights of all in slow start, and these times the part of their slow start that is over."""
        return self._weights[role].cold_part(now, self._warm_within)

    def cold_count(self, now: int, role: Role) -> int:
        """How many are in slow start."""
        return self._weights[role].cold_count(now)

    def second_largest_weight(self, role: Role) -> float:
        """Of one role's workers; of a single one its own, and 0 for none."""
        return (self._weights[role].sorted[-2:] or [0.0])[0]

    def largest_weight(self, role: Role, besides: Worker | None = None) -> float:
        """Of one role's workers, or of all but one; 0 for none."""
        weights = self._weights[role].sorted
        filed = self._filed.get(besides.name) if besides is not None else None
        top = -1
        if filed is not None and filed.role is role and weights and filed.weight == weights[-1]:
            top = -2
        return weights[top] if len(weights) >= -top else 0.0


_NONE = WorkerGroup()
