"""`basaltspread conformance`."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from basaltspread.conformance.cases import Case
    from basaltspread.conformance.runner import Result

EXIT_FAILED, EXIT_USAGE = 1, 2


def _row(result: Result) -> dict[str, Any]:
    return {
        "case": result.name, "clause": result.clause, "passed": result.passed,
        "seconds": round(result.seconds, 3), "why": result.why,
    }  # fmt: skip


def _run(cases: list[Case], package: Path | None = None, quiet: bool = False) -> list[Result]:
    from basaltspread.conformance import runner
    from basaltspread.conformance.world import ROOT

    done = 0

    def show(result: Result) -> None:
        nonlocal done
        done += 1
        if quiet:
            return
        if not result.passed:
            click.echo(f"{click.style('FAILED', fg='red')} {result.name}: {result.why}", err=True)
        elif sys.stderr.isatty():
            click.echo(f"\r{done}/{len(cases)} {result.name:60.60}", nl=False, err=True)

    results = asyncio.run(runner.run(cases, package or ROOT, show))
    if not quiet and sys.stderr.isatty():
        click.echo("\r" + " " * 80 + "\r", nl=False, err=True)
    return results


def _table(results: list[Result]) -> None:
    width = max((len(r.name) for r in results), default=4)
    for r in results:
        mark = "ok    " if r.passed else click.style("FAILED", fg="red")
        click.echo(f"{mark} {r.name:{width}} {r.seconds:6.2f} s  {r.clause}")
        if r.why:
            click.echo(f"       {r.why}")


def _all_mutants(cases: dict[str, Case]) -> list[dict[str, Any]]:
    from basaltspread.conformance import mutants, runner

    rows = []
    for mutant in mutants.MUTANTS.values():
        with tempfile.TemporaryDirectory() as folder:
            package = mutants.build(mutant, Path(folder))
            chosen = runner.select(cases.values(), mutant.caught_by)
            failed = [r.name for r in _run(chosen, package, quiet=True) if not r.passed]
        rows.append({"mutant": mutant.name, "breaks": mutant.breaks, "caught": bool(failed), "by": failed})
        mark = "caught  " if failed else click.style("SURVIVED", fg="red")
        click.echo(f"{mark} {mutant.name:28} {mutant.breaks}; by {len(failed)} of {len(chosen)} cases")
    return rows


@click.command()
@click.argument("patterns", nargs=-1)
@click.option("--list", "listing", is_flag=True, help="Print the cases' names and clauses, and run nothing.")
@click.option("--json", "report", type=click.Path(dir_okay=False, writable=True), help="Write results here.")
@click.option("--mutant", help="Run against this deliberately broken build; a case must fail.")
@click.option("--mutants", "all_mutants", is_flag=True, help="Try all of them; exits with 1 if one survives.")
def conformance(
    patterns: tuple[str, ...], listing: bool, report: str | None, mutant: str | None, all_mutants: bool
) -> None:
    """Run the real program among stand-in peers on loopback, case by case.

    PATTERNS choose cases by name, with * as in a shell; without any, all are run. Exits with 1 if a case
    fails, with 2 if there is no such case or mutant.
    """
    from basaltspread.conformance import cases, mutants, runner

    known = cases.load()
    chosen = runner.select(known.values(), patterns)
    if not chosen or (mutant is not None and mutant not in mutants.MUTANTS):
        names = ", ".join(mutants.MUTANTS)
        click.echo(f"no such {'case' if not chosen else f'mutant; there are {names}'}", err=True)
        sys.exit(EXIT_USAGE)
    if listing:
        width = max(len(c.name) for c in chosen)
        for c in chosen:
            click.echo(f"{c.name:{width}}  {c.clause}")
        return
    rows: list[dict[str, Any]]
    if all_mutants:
        rows = _all_mutants(known)
        bad = sum(not row["caught"] for row in rows)
        click.echo(f"{len(rows) - bad} passed, {bad} failed")
    else:
        with tempfile.TemporaryDirectory() as folder:
            package = None if mutant is None else mutants.build(mutants.MUTANTS[mutant], Path(folder))
            results = _run(chosen, package)
        _table(results)
        rows, bad = [_row(r) for r in results], sum(not r.passed for r in results)
        click.echo(f"{len(results) - bad} passed, {bad} failed")
    if report:
        Path(report).write_text(json.dumps(rows, indent=2) + "\n", "utf-8")
    sys.exit(EXIT_FAILED if bad else 0)
