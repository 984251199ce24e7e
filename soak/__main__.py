"""The soak's command line: `python -m soak --seed N`."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from soak.gateways import ROOT
from soak.judge import Violation, by_rule, judge
from soak.observations import ClientRequest, Observations
from soak.runner import PROXIED, WORKERS, play
from soak.schedule import Trouble, cut_down, draw


@dataclass(frozen=True)
class Shape:
    """What is the same for all seeds of a call."""

    processes: int
    seconds: float
    engines: int
    program: Path
    workers: int


def _run(shape: Shape, seed: int, troubles: Sequence[Trouble], folder: Path | None) -> Observations:
    return asyncio.run(
        play(
            seed,
            shape.processes,
            shape.seconds,
            troubles,
            folder,
            shape.engines,
            shape.program,
            shape.workers,
        )
    )


def _summary(seen: Observations, violations: list[Violation]) -> dict[str, Any]:
    statuses = Counter(request.status for request in seen.requests if request.sent_at is not None)
    return {
        "seed": seen.seed,
        "requests": len(seen.requests),
        "statuses": {str(status): count for status, count in sorted(statuses.items())},
        "processes": len(seen.processes),
        "troubles": sorted({span.detail for span in seen.troubles}),
        "held_up_s": round(seen.slack, 3),
        "load": [round(load, 1) for load in seen.load],
        "violations": dict(by_rule(violations)),
    }


def _trace(seen: Observations, violation: Violation) -> list[str]:
    """What was seen of the request that a violation names, in order."""
    name = violation.where.partition("@")[0]
    request = next((r for r in seen.requests if r.id == name), None)
    lines = [(r.began_at, _told_of(r)) for r in [request] if r is not None]
    lines += [(s.first_byte_at, f"{s.call} to {s.engine}, left {s.time_left_ms}") for s in seen.sent
              if s.request == name]  # fmt: skip
    lines += [(w.at, f"{w.engine} runs {w.call}") for w in seen.work if w.request == name]
    lines += [(h.since, f"{h.engine} holds until {h.until}") for h in seen.held if h.request == name]
    return [f"  {at - seen.began_at:8.3f} {text}" for at, text in sorted(lines)]


def _told_of(request: ClientRequest) -> str:
    return (
        f"{request.kind.value} {request.service_class} left {request.time_left:.2f} "
        f"new={request.new_connection} "
        f"sent={request.sent_at} answered={request.answered_at} {request.status} left_at={request.left_at} "
        f"ended={request.ended_at}"
    )


@click.command()
@click.option("--seed", type=int, required=True, help="What the schedule and the load are drawn from.")
@click.option("--seeds", type=int, default=1, show_default=True, help="How many seeds, one after the other.")
@click.option("--processes", type=click.IntRange(1, 40), default=24, show_default=True, help="Gateways.")
@click.option(
    "--engines",
    type=click.IntRange(PROXIED, 3200),
    default=PROXIED,
    show_default=True,
    help="Engines that are listed.",
)
@click.option(
    "--clients", type=click.IntRange(1, 40), default=WORKERS, show_default=True, help="Of each gateway."
)
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=ROOT,
    help="A checkout whose gateway is played in place of this one.",
)
@click.option("--seconds", type=click.FloatRange(1.0, 600.0), default=30.0, show_default=True, help="Load.")
@click.option("--troubles", default="", help="Kinds to draw from, e.g. gateway,engine:hang; all if empty.")
@click.option("--cut", is_flag=True, help="Cut a failing schedule down to the troubles that matter.")
@click.option("--logs", type=click.Path(path_type=Path), help="A folder that keeps the gateways' logs.")
@click.option("--json", "report", type=click.Path(path_type=Path), help="Where to write the results.")
def main(
    seed: int, seeds: int, processes: int, clients: int, engines: int, program: Path, seconds: float,
    troubles: str, cut: bool, logs: Path | None, report: Path | None,
) -> None:  # fmt: skip
    """Play many real gateways under overlapping troubles, and judge them. Exit status 1 on a violation."""
    only = [kind for kind in troubles.split(",") if kind]
    shape = Shape(processes, seconds, engines, program, clients)
    found, results = 0, list[dict[str, Any]]()
    for number in range(seed, seed + seeds):
        schedule = draw(number, processes, PROXIED, seconds, only)
        folder = logs / str(number) if logs is not None else None
        seen = _run(shape, number, schedule, folder)
        violations = judge(seen)
        found += len(violations)
        results.append(_summary(seen, violations))
        _show(seen, violations, results[-1])
        if violations and cut:
            _cut(shape, number, schedule, violations[0].rule)
    if report is not None:
        report.write_text(json.dumps(results, indent=1))
    sys.stdout.flush()
    sys.exit(1 if found else 0)


def _show(seen: Observations, violations: list[Violation], summary: dict[str, Any]) -> None:
    click.echo(json.dumps(summary))
    for violation in violations[:40]:
        click.echo(f"{violation.at - seen.began_at:8.3f} {violation}")
        for line in _trace(seen, violation):
            click.echo(line)
    if violations:
        click.echo(f"{len(violations)} violations; load {os.getloadavg()[0]:.1f}")


def _cut(shape: Shape, seed: int, schedule: Sequence[Trouble], rule: str) -> None:
    def still_fails(fewer: Sequence[Trouble]) -> bool:
        fails = rule in by_rule(judge(_run(shape, seed, fewer, None)))
        click.echo(f"{len(fewer)} troubles: {'still' if fails else 'no'} {rule}")
        return fails

    for trouble in cut_down(schedule, still_fails):
        click.echo(f"needed: {trouble}")


if __name__ == "__main__":
    main()
