"""Runs cases and says how each ended.

It owns worlds (one that most cases share, one each for those that need a gateway alone) and the bounds on
time. It must never pass a case that did not run, nor let one that hangs hold up the others for more than its
time.
"""

from __future__ import annotations

import asyncio
import fnmatch
import logging
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from basaltspread.conformance.cases import Case
from basaltspread.conformance.world import ROOT, Stage, World

CASE_PATIENCE = 60.0  # s for one case
TOGETHER = 12  # cases at once in the shared world
ALONE_TOGETHER = 5  # gateways at once


@dataclass(frozen=True, slots=True)
class Result:
    name: str
    clause: str
    passed: bool
    seconds: float
    why: str = ""


Show = Callable[[Result], None]


def select(cases: Iterable[Case], patterns: Sequence[str]) -> list[Case]:
    """Those whose name fits one of the patterns (`*` as in a shell); all without any."""
    return [c for c in cases if not patterns or any(fnmatch.fnmatchcase(c.name, p) for p in patterns)]


async def _judge(case: Case, world: World, slot: int) -> Result:
    began = time.monotonic()
    why = ""
    try:
        async with asyncio.timeout(CASE_PATIENCE):
            await case.run(Stage(world, slot))
    except TimeoutError:
        why = "no end within its time: what it waits for did not happen"
    except Exception as error:  # whatever it is, the clause has not been shown to hold
        why = f"{type(error).__name__}: {error}" if not isinstance(error, AssertionError) else str(error)
    if not why:
        ended = [g for g in world.gateways[-1:] if g.process.returncode not in (None, 0)]
        faults = [line for g in world.gateways for line in g.lines if " fault" in line]
        if case.alone and faults:
            why = f"the gateway logged {faults[0]!r:.300}"
        elif ended and not case.alone:
            why = f"the gateway has died: {ended[0].lines[-3:]}"
    return Result(case.name, case.clause, not why, time.monotonic() - began, why)


async def _shared(cases: Sequence[Case], package: Path, show: Show) -> list[Result]:
    if not cases:
        return []
    world = World(package, [case.needs for case in cases])
    results: list[Result] = []
    room = asyncio.Semaphore(TOGETHER)

    async def one(slot: int, case: Case) -> None:
        async with room:
            results.append(await _judge(case, world, slot))
            show(results[-1])

    try:
        await world.start()
        await asyncio.gather(*(one(slot, case) for slot, case in enumerate(cases)))
        log = [line for gateway in world.gateways for line in gateway.lines]
        faults = [line for line in log if " fault" in line]
        why = "; ".join(faults[:3])
        results.append(Result("gateway/no-fault-in-its-log", "ONCALL: faults are bugs", not faults, 0.0, why))
        show(results[-1])
    except Exception as error:
        shown = {result.name for result in results}
        for case in cases:
            if case.name not in shown:
                results.append(
                    Result(case.name, case.clause, False, 0.0, f"the gateway did not start: {error}")
                )
                show(results[-1])
    finally:
        await world.stop()
    return results


async def _alone(case: Case, package: Path, room: asyncio.Semaphore, show: Show) -> Result:
    async with room:
        world = World(package, [case.needs])
        try:
            await world.start()
            result = await _judge(case, world, 0)
        except Exception as error:
            result = Result(case.name, case.clause, False, 0.0, f"the gateway did not start: {error}")
        finally:
            await world.stop()
        show(result)
        return result


async def run(cases: Sequence[Case], package: Path = ROOT, show: Show = lambda _: None) -> list[Result]:
    """All these cases against the package in this folder, in the order of their names."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # peers drop connections on purpose
    shared = [case for case in cases if not case.alone]
    results = await _shared(shared, package, show)
    room = asyncio.Semaphore(ALONE_TOGETHER)
    results += await asyncio.gather(*(_alone(c, package, room, show) for c in cases if c.alone))
    return sorted(results, key=lambda result: result.name)
