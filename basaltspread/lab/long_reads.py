"""Calm days by how long a prompt is read, from 0.1 to 3 s: gateways with little traffic each, readers that
answer probes in turn with their reads, and places that are kept meanwhile.

`python -m basaltspread.lab.long_reads` plays each read time at loads from 0.5 to 2.0 and prints what is
served and how many reads a release made worthless. The same seed gives the same day.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from itertools import product

from basaltspread.lab.cold_days import Plan
from basaltspread.lab.served_days import play, print_days
from basaltspread.lab.settings import SECOND

READ_TIMES = (0.1, 0.5, 1.0, 3.0)  # s of the mean prompt at a warm reader
LOADS = (0.5, 0.8, 1.0, 1.4, 2.0)  # of what the readers can do
CALM_LOAD = 0.57  # the upper end of the operators' calm days
LEARNT = 8 * SECOND  # by when nearly every gateway has had a request to its end
WRITERS = 10
SEED = 701
CALM = Plan(
    SEED, gateways=60, writers=WRITERS, rate=60.0, load=CALM_LOAD, starts="calm",
    faults=("burst", "deep probes"), caches=True, priced=True, length=24.0,
)  # fmt: skip


def day(read_time: float, load: float = CALM_LOAD) -> Plan:
    """A calm day whose mean read takes so many s, at this load of the readers."""
    readers = round(CALM.rate * read_time / load)
    return replace(CALM, readers=max(1, readers), load=load)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--times", type=float, nargs="*", default=READ_TIMES)
    parser.add_argument("--loads", type=float, nargs="*", default=LOADS)
    parser.add_argument("--processes", type=int, default=3)
    options = parser.parse_args()
    plans = [day(read_time, load) for read_time, load in product(options.times, options.loads)]
    with ProcessPoolExecutor(options.processes) as pool:
        return print_days(list(pool.map(play, plans)))


if __name__ == "__main__":
    raise SystemExit(main())
