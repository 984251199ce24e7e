"""What a decision costs by the number of engines: `python -m benchmarks.decisions [--json FILE]`.

Beside the router's figures stands a plain scan for the emptiest of all workers, the least that a decision
costs that walks the fleet. The last column is the cost at this size over that at 200; it is held to 1.6.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time
from dataclasses import replace
from typing import Any

from basaltspread import interface as api
from basaltspread.adapter import settings_from
from basaltspread.rules import Router
from benchmarks.table import keep, show

SIZES = (12, 200, 800, 3200)
MOST_GROWTH = 1.6
ROUNDS, WARM_UP = 300, 60
FEW, MANY = 3, 60  # routers
MS, SECOND = 1000, 1_000_000
SETTINGS: dict[str, Any] = {
    "azs": ["a", "b", "c"], "me": 0, "zone": 0, "registry_mode": "push", "round": 2000,
    "classes": [
        {"name": "ask", "effect": "safe", "key_scope": "all", "deadline": 6_000_000, "promise": 1_500_000,
         "points": 2.0, "late_value": 0.3, "streaming": True, "window": 5_000_000},
    ],
    "limits": {"cancel": True, "max_attempts": 5, "retry_after": True, "max_retry_after": 1_000_000,
               "connect_timeout": 250_000, "idle_close": 30_000_000},
    "machine_types": ["prefill", "decode"],
    "rules": {"answer_slack": 8000, "fall": 1_000_000, "start_capacity": 0.26, "stop_sending_within": 250_000,
              "tip_multiple": 2.5, "warm_within": 14_000_000},
    "specifics": {"role_by_kind": ["read", "write"], "early_pairing": True, "release": 500_000,
                  "resume": False, "token_aim": [60000.0]},
}  # fmt: skip


def entries(count: int) -> tuple[api.WorkerEntry, ...]:
    up = api.WorkerState.UP
    return tuple(api.WorkerEntry(f"s{n}", up, n % 9, n % 3, n % 2, 1.0, 0) for n in range(count))


class Traffic:
    """One router and its requests, one after the other; times of their decisions in us."""

    def __init__(self, routers: int, count: int) -> None:
        used = replace(
            settings_from({**SETTINGS, "balancers": routers}),
            report_fields=("memory_share", "prompt_k_waiting"),
        )
        self.router, self.now = Router(used, 1), 1000 * SECOND
        self._lot, self._count = random.Random(7), 0
        self.listed = entries(count)
        self.router.handle(self.now, [api.WorkerList(api.ListKind.FULL, 1, self.listed)])

    def _report(self) -> dict[str, float]:
        return {"memory_share": self._lot.random(), "prompt_k_waiting": 3 * self._lot.random()}

    def _handle(self, event: api.Event, after: int) -> tuple[float, str]:
        """What it took, and where the request was sent by it."""
        self.now += after
        began = time.perf_counter()
        actions = self.router.handle(self.now, [event])
        took = (time.perf_counter() - began) * 1e6
        sent = [action.worker for action in actions if isinstance(action, api.Send)]
        return took, sent[0] if sent else ""

    def request(self) -> float:
        """Its four decisions: arrival, read, first token, end."""
        self._count += 1
        name, outcome = f"q{self._count}", api.Outcome
        session, text = f"s{self._lot.randrange(40)}", f"p{self._lot.randrange(12)}"
        arrival = api.Arrival(name, session, text, 400, 1500, 200, 0, 0, 6 * SECOND, 0, False, False)
        first, reader = self._handle(arrival, 25 * MS)
        if not reader:
            raise RuntimeError(f"{name} was not sent")
        read = api.AttemptEnded(name, 0, reader, outcome.READ, 20 * MS, False, 0, self._report())
        second, writer = self._handle(read, 20 * MS)
        third, _ = self._handle(api.FirstToken(name, 1, writer, 30 * MS), 30 * MS)
        end = api.AttemptEnded(name, 1, writer, outcome.SERVED, 90 * MS, True, 0, self._report())
        return first + second + third + self._handle(end, 60 * MS)[0]

    def change(self) -> float:
        """One entry of the list that is told anew."""
        entry = self.listed[self._lot.randrange(len(self.listed))]
        return self._handle(api.WorkerList(api.ListKind.DELTA, 2, (entry,)), MS)[0]

    def scan(self) -> float:
        """The emptiest of all workers, by looking at each."""
        began = time.perf_counter()
        min(self.router.fleet.values(), key=lambda worker: len(worker.reads))
        return (time.perf_counter() - began) * 1e6


def measure(routers: int) -> list[dict[str, Any]]:
    made = [(size, Traffic(routers, size)) for size in SIZES]
    times: dict[int, list[float]] = {size: [] for size in SIZES}
    for number in range(WARM_UP + ROUNDS):  # in turn, as a machine's speed drifts
        for size, traffic in made:
            took = traffic.request()
            if number >= WARM_UP:
                times[size].append(took)
    usual = statistics.median(times[200])
    return [
        {
            "routers": routers,
            "engines": size,
            "request us": statistics.median(times[size]),
            "delta us": statistics.median(traffic.change() for _ in range(100)),
            "plain scan us": statistics.median(traffic.scan() for _ in range(100)),
            "of 200": statistics.median(times[size]) / usual,
        }
        for size, traffic in made
    ]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", help="where the results are kept")
    options = parser.parse_args()
    rows = [row for routers in (FEW, MANY) for row in measure(routers)]
    show("decisions of one request, medians", rows)
    keep(options.json, {"decisions": rows})
    worst = max(float(row["of 200"]) for row in rows)
    print(f"\nlargest growth over 200 engines: {worst:.2f}, {MOST_GROWTH} at the most")
    return 0 if worst <= MOST_GROWTH else 1


if __name__ == "__main__":
    sys.exit(main())
