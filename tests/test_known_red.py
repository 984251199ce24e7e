"""The list of tests that are known to fail: what it may say, and what CI makes of it."""

from __future__ import annotations

import importlib.util
import subprocess
import sys
from pathlib import Path

import pytest

PATH = Path(__file__).resolve().parent.parent / ".ci" / "known_red.py"
SPEC = importlib.util.spec_from_file_location("known_red", PATH)
assert SPEC is not None and SPEC.loader is not None
known_red = importlib.util.module_from_spec(SPEC)
sys.modules["known_red"] = known_red
SPEC.loader.exec_module(known_red)

TESTS = "def test_good(): assert True\ndef test_bad(): assert False\ndef test_worse(): assert False\n"
BAD, WORSE, GOOD = (f"test_it.py::test_{name}" for name in ("bad", "worse", "good"))


def checked(folder: Path, listed: str | None) -> tuple[int, str]:
    """CI's exit status and output for these three tests and this list."""
    (folder / "test_it.py").write_text(TESTS)
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, str(PATH), "-q", "-p", "no:cacheprovider"]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    return done.returncode, done.stdout


def test_no_list_means_that_every_test_counts(tmp_path: Path) -> None:
    status, out = checked(tmp_path, None)
    assert status == 1 and "2 failed, 1 passed" in out


def test_listed_tests_are_passed_over_but_run_and_printed(tmp_path: Path) -> None:
    status, out = checked(tmp_path, f"{BAD} | pytest | a cause | 23\n{WORSE} | pytest | another | #24\n")
    assert status == 0 and "1 passed, 2 deselected" in out
    assert f"known red: {BAD}: fails, as is known (a cause; `pytest`; issue 23)" in out
    assert f"known red: {WORSE}: fails, as is known (another; `pytest`; issue #24)" in out


def test_a_test_that_is_not_listed_still_fails_the_run(tmp_path: Path) -> None:
    status, out = checked(tmp_path, f"{BAD} | pytest | a cause | 23\n")
    assert status == 1 and "1 failed, 1 passed, 1 deselected" in out


def test_a_listed_test_that_passes_is_said_to_have_to_leave(tmp_path: Path) -> None:
    status, out = checked(tmp_path, "".join(f"{t} | pytest | a cause | 23\n" for t in (BAD, WORSE, GOOD)))
    assert f"known red: {GOOD}: passes now and should leave the list" in out
    assert status == 5  # of those that count none is left: pytest's own status for that


def test_an_id_that_is_no_test_fails_the_run(tmp_path: Path) -> None:
    gone = "test_it.py::test_gone | pytest | a cause | 23\n"
    status, out = checked(tmp_path, f"{BAD} | pytest | a cause | 23\n{gone}")
    assert status == 1 and out == "KNOWN-RED.txt: pytest collects no such test: test_it.py::test_gone\n"


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("".join(f"a.py::t{i} | pytest | cause | 23\n" for i in range(4)), "4 lines, 3 at most"),
        ("a.py::t | pytest | cause\n", "KNOWN-RED.txt:1: not"),
        ("a.py::t | pytest | cause | 23 | more\n", "KNOWN-RED.txt:1: not"),
        ("a.py::t | pytest | | 23\n", "KNOWN-RED.txt:1: not"),
        ("a.py::t | pytest | cause | soon\n", "KNOWN-RED.txt:1: not"),
        ("a.py | pytest | cause | 23\n", "KNOWN-RED.txt:1: not"),
        ("a.py::t | pytest | cause | 23\n\n", "KNOWN-RED.txt:2: not"),
        ("# a comment\n", "KNOWN-RED.txt:1: not"),
        ("a.py::t | pytest | cause | 23\na.py::t | pytest | cause | 23\n", "named twice"),
    ],
)
def test_a_list_that_breaks_its_rule_is_refused(text: str, said: str) -> None:
    with pytest.raises(known_red.BadList, match=said):
        known_red.parse(text)
