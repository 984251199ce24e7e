"""The conformance suite as a whole, its mutants' edits, and the command that runs it."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import pytest
from click.testing import CliRunner

from basaltspread.cli import main
from basaltspread.conformance import cases, mutants, runner

CASES = cases.load()
PARTS = 4  # the suite is run in so many processes by pytest-xdist


@pytest.mark.parametrize("part", range(PARTS))
def test_every_case_holds(part: int) -> None:
    """A report in place of the first failure: each case that fails is named."""
    import asyncio

    results = asyncio.run(runner.run(list(CASES.values())[part::PARTS]))
    assert [f"{r.name}: {r.why}" for r in results if not r.passed] == []
    assert len(results) >= len(CASES) // PARTS


def test_there_are_enough_cases_and_each_names_its_clause() -> None:
    assert len(CASES) >= 120
    assert all(case.clause for case in CASES.values())


def test_every_mutant_fits_the_code_and_names_cases() -> None:
    assert len(mutants.MUTANTS) >= 12
    for mutant in mutants.MUTANTS.values():
        with tempfile.TemporaryDirectory() as folder:
            mutants.build(mutant, Path(folder))
        for pattern in mutant.caught_by:
            assert runner.select(CASES.values(), [pattern]), f"{mutant.name}: {pattern}"


@pytest.mark.parametrize("name", ["resends-unsafe", "waits-for-the-streams-end", "forgets-ids-in-upgrade"])
def test_a_mutant_is_caught_by_the_command(name: str, tmp_path: Path) -> None:
    """All of them: `basaltspread conformance --mutants`, which takes a minute or two."""
    report = tmp_path / "report.json"
    chosen = mutants.MUTANTS[name].caught_by
    ran = CliRunner().invoke(main, ["conformance", "--mutant", name, "--json", str(report), *chosen])
    assert ran.exit_code == 1, ran.output
    assert not all(row["passed"] for row in json.loads(report.read_text()))


def test_the_command_says_what_is_wrong_with_its_words() -> None:
    for words in (["no-such-case"], ["--mutant", "no-such-mutant"]):
        assert CliRunner().invoke(main, ["conformance", *words]).exit_code == 2
    listed = CliRunner().invoke(main, ["conformance", "--list", "batch/*"])
    assert listed.exit_code == 0 and "batch/mixed" in listed.output
