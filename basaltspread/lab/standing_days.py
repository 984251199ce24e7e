"""The operators' standing days by name, shortened: 200 gateways beside engines that queue, keep what they
have read, and are linked. Each is judged by the gate and against random choice.

`python -m basaltspread.lab.standing_days --seeds 3` plays them at two loads, with reports that are told to
all and at the prices of the operators' site, where they are not.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from basaltspread.lab.cold_days import Plan
from basaltspread.lab.served_days import LARGE, play, print_days

LOADS = (0.57, 0.65)  # the upper ends of the site's loads on calm days and beside trouble
FIRST_SEED = 401

# By name: which engines start, and what else happens.
DAYS: dict[str, tuple[str, tuple[str, ...]]] = {
    "calm+mass": ("calm", ("burst", "shift")),
    "roll+mass": ("half in steps", ("tenths restarted", "one in twenty hangs")),
    "herd+mass": ("calm", ("discovery down", "kill", "sick engines")),
    "zone+mass": ("zone", ("zone apart", "slow engines")),
    "split+mass": ("calm", ("zone apart", "stale lists", "lost writes")),
    "join+mass": ("six in ten", ("late connects", "clients leave")),
}


def day(name: str, seed: int, load: float, priced: bool = True) -> Plan:
    """One of these days. `priced`: at the prices of the operators' site."""
    starts, faults = DAYS[name]
    return replace(LARGE, seed=seed, load=load, starts=starts, faults=faults, caches=True, priced=priced)


def plans(seeds: int, names: list[str]) -> Iterator[Plan]:
    for name in names:
        for load in LOADS:
            for seed in range(FIRST_SEED, FIRST_SEED + seeds):
                yield day(name, seed, load, True)
                yield day(name, seed, load, False)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--only", nargs="*", choices=list(DAYS), default=list(DAYS), metavar="DAY")
    options = parser.parse_args()
    chosen = [replace(plan, gateways=options.gateways) for plan in plans(options.seeds, options.only)]
    with ProcessPoolExecutor(options.processes) as pool:
        return print_days(list(pool.map(play, chosen)))


if __name__ == "__main__":
    raise SystemExit(main())
