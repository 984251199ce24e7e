"""What a call costs the dispatcher, and its structures against plain ones:
`python -m benchmarks.dispatching [--json FILE]`.

A call here is its whole way through the reducer: found, queued, begun, answered, its reply returned; beside
10, 1,000 and 10,000 calls that wait. No sockets and no JSON: those are in benchmarks.relay.
"""

from __future__ import annotations

import argparse
import bisect
import heapq
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from basaltspread import core
from basaltspread import interface as api
from basaltspread.control.dispatch import Dispatcher
from basaltspread.control.routes import Policy, RouteTable, Server
from basaltspread.endings import Ending
from basaltspread.structures.deadlines import Ranked
from basaltspread.structures.sketch import Sketch
from benchmarks.table import keep, show

SECOND = 1_000_000
OPEN = (10, 1_000, 10_000)
CALLS = 2_000


class _Module:
    """Sends each request to the one writer."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        return [api.Send(e.request, "w", 0) for e in events if isinstance(e, api.Arrival)]

    def resting(self, now: int) -> set[str]:
        return set()

    def share_with(self, processes: int) -> None:
        pass

    def slow_start_figures(self, now: int) -> api.SlowStartFigures:
        return api.SlowStartFigures(0, 0.0, 0.0, False)

    def knowledge(self, now: int) -> dict[str, Any]:
        return {}

    def recall(self, now: int, told: dict[str, Any]) -> None:
        pass


def _settings() -> api.Settings:
    classes = (api.RequestClass(
        "ask", api.Effect.SAFE, api.KeyScope.ALL, 0, SECOND, 40_000, 600 * SECOND, 60_000, 2.0, 0.3, True,
    ),)  # fmt: skip
    return api.Settings(
        router=0, routers=1, zone=0, zones=("a",),
        kinds=(api.WorkerKind("decode", api.Role.WRITER, 100_000),), classes=classes,
        tenants=(), over_share_worth=0.2,
        limits=api.Limits(5, True, True, True, True, SECOND, 250_000),
        rules=api.RuleFigures(8_000, 250_000, 2.5, SECOND, 0.26, 14 * SECOND, 500_000, 0),
        places_ahead=True, resumable=True, writers_read=False, list_must_be_asked=False,
        weights_mean_size=True, report_fields=(), tick=2_000,
    )  # fmt: skip


class Gateway:
    """A reducer with its dispatcher, and streams to call from."""

    def __init__(self) -> None:
        servers = {name: Server(name, f"{name}:1", most=4) for name in ("a", "b", "c")}
        table = RouteTable(
            {**servers, "idle": Server("idle", "i:1", most=64)}, {"*": tuple(servers), "quick": ("idle",)},
            policy=Policy(queue=100_000, adaptive=False),
        )  # fmt: skip
        self.now = SECOND
        self.state = core.State(_settings(), _Module())
        self.state.tools = Dispatcher(table, room=100)
        self.bundles = 0
        entry = api.WorkerEntry("w", api.WorkerState.UP, 0, 0, 0, 1.0, 0)
        self.feed(core.ListTold(api.ListKind.FULL, 1, (core.Listed(entry, "w:1"),)))

    def feed(self, event: core.Input) -> list[core.Effect]:
        return core.reduce(self.state, self.now, event)

    def stream(self, name: str) -> None:
        self.feed(core.Taken(api.Arrival(name, "s", "p", 0, 100, 50, 0, 0, 600 * SECOND, 0, False, False)))
        for event in (core.Begun(name, 0), core.Written(name, 0), core.FirstEvent(name, 0)):
            self.feed(event)

    def call(self, name: str, ident: str, tool: str) -> int:
        self.bundles += 1
        wanted = core.Wanted(ident, tool, api.Effect.SAFE, 500 * SECOND)
        self.feed(core.ToolCalled(name, 0, self.bundles, (wanted,)))
        return self.bundles

    def whole_call(self, name: str, ident: str) -> None:
        self.now += 10
        bundle = self.call(name, ident, "quick")
        self.feed(core.ToolBegun(name, ident, 1))
        self.feed(core.ToolEnded(name, ident, 1, Ending.SERVED))
        self.feed(core.ReplyEnded(name, bundle, Ending.SERVED))


def cost_beside(others: int) -> tuple[float, float]:
    """Microseconds of a call beside so many that wait, and bytes that each of those takes."""
    gateway = Gateway()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for i in range(others):
        if i % 16 == 0:
            gateway.stream(f"open{i // 16}")
        gateway.call(f"open{i // 16}", str(i), "slow")
    held = (tracemalloc.get_traced_memory()[0] - before) / others
    tracemalloc.stop()
    times = []
    for round_ in range(5):
        gateway.stream(f"mine{round_}")
        began = time.perf_counter()
        for i in range(CALLS // 5):
            gateway.whole_call(f"mine{round_}", str(i))
        times.append((time.perf_counter() - began) / (CALLS // 5))
        gateway.feed(core.ClientLeft(f"mine{round_}"))
    assert gateway.state.tools is not None and len(gateway.state.tools.jobs) == others
    return statistics.median(times) * 1e6, held


def _per(work: Callable[[], None], count: int) -> float:
    began = time.perf_counter()
    work()
    return (time.perf_counter() - began) / count * 1e6


def heaps(size: int) -> list[dict[str, Any]]:
    """`size` waiting; each step adds one and takes one out from the side, as a cancel does."""
    rng = random.Random(1)
    ranks = [rng.randrange(10**9) for _ in range(size + 20_000)]

    def ranked() -> float:
        heap: Ranked[int] = Ranked()
        for i in range(size):
            heap.push(i, ranks[i])

        def work() -> None:
            for i in range(size, size + 2_000):
                heap.push(i, ranks[i])
                heap.remove(i - size // 2)

        return _per(work, 2_000)

    def plain_list() -> float:
        held = sorted((ranks[i], i) for i in range(size))

        def work() -> None:
            for i in range(size, size + 2_000):
                bisect.insort(held, (ranks[i], i))
                gone = i - size // 2
                del held[bisect.bisect_left(held, (ranks[gone], gone))]

        return _per(work, 2_000)

    def dead_marks() -> tuple[float, int]:
        heap = [(ranks[i], i) for i in range(size)]
        heapq.heapify(heap)
        dead: set[int] = set()

        def work() -> None:
            for i in range(size, size + 2_000):
                heapq.heappush(heap, (ranks[i], i))
                dead.add(i - size // 2)

        return _per(work, 2_000), len(heap)

    marked, left = dead_marks()
    return [
        {"structure": f"Ranked, {size} waiting", "us a step": ranked(), "entries after": size},
        {"structure": f"sorted list, {size} waiting", "us a step": plain_list(), "entries after": size},
        {"structure": f"heapq with dead marks, {size} waiting", "us a step": marked, "entries after": left},
    ]


def sketches() -> list[dict[str, Any]]:
    """Percentiles of the last 512 values; one is asked for with each value, as a second copy's wait is."""
    rng = random.Random(1)
    values = [rng.lognormvariate(10, 1) for _ in range(20_000)]
    worst = 0.0
    sketch = Sketch()

    def add() -> None:
        for value in values:
            sketch.add(value)
            sketch.quantile(0.95)

    took = _per(add, len(values))
    window: list[float] = []
    plain: list[float] = []

    def add_plain() -> None:
        for value in values:
            window.append(value)
            bisect.insort(plain, value)
            if len(window) > 512:
                del plain[bisect.bisect_left(plain, window.pop(0))]

    took_plain = _per(add_plain, len(values))
    check = Sketch()
    for value in values[:500]:
        check.add(value)
    exact = sorted(values[:500])
    for share in (0.5, 0.9, 0.95, 0.99):
        worst = max(worst, check.quantile(share) / exact[int(share * 500) - 1] - 1)
    return [
        {"structure": "Sketch", "us a value": took, "worst error": worst, "numbers kept": 208},
        {"structure": "sorted window", "us a value": took_plain, "worst error": 0.0, "numbers kept": 1024},
    ]


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.dispatching", description=__doc__)
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    rows = []
    for others in OPEN:
        took, held = cost_beside(others)
        rows.append({"others open": others, "us a call": took, "bytes an open call": round(held)})
    for row in rows:
        row["to the least"] = row["us a call"] / rows[0]["us a call"]
    show("a call's way through the reducer and the dispatcher", rows)
    structures = heaps(100) + heaps(10_000)
    show("calls that wait, by deadline, some called off", structures)
    percentiles = sketches()
    show("percentiles of a tool's times", percentiles)
    keep(options.json, {"calls": rows, "heaps": structures, "sketches": percentiles})


if __name__ == "__main__":
    main()
