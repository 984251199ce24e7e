"""Runs the tests, passing over those that KNOWN-RED.txt names: tests that fail for a real fault that is not
mended yet. It owns the rule on that file, and must never pass over a test that the file does not name.

A line is `test id | command and seed | what was seen | issue`. A fourth line, a malformed one, or an id that
pytest does not collect fails the run. The named tests are run and printed all the same; of one that passes
it is said that it should leave the list.
"""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

LIST = "KNOWN-RED.txt"
MOST = 3  # tests that may be known to fail at once
FORM = "test id | command and seed | what was seen | issue"
FIELDS = FORM.count("|") + 1
ISSUE = re.compile(r"#?[0-9]+\Z")


class BadList(Exception):
    """The list breaks its own rule."""


@dataclass(frozen=True)
class KnownRed:
    test: str
    command: str  # that shows it, with the seed if it has one
    seen: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Raises BadList, with the line's number."""
    out: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), start=1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != FIELDS or not all(parts) or "::" not in parts[0] or not ISSUE.match(parts[-1]):
            raise BadList(f"{LIST}:{number}: not `{FORM}`: {line!r}")
        if any(known.test == parts[0] for known in out):
            raise BadList(f"{LIST}:{number}: {parts[0]} is named twice")
        out.append(KnownRed(*parts))
    if len(out) > MOST:
        raise BadList(f"{LIST}: {len(out)} lines, {MOST} at most")
    return out


def uncollected(known: Iterable[KnownRed], collected: str) -> list[str]:
    """The named tests that are none; `collected` is what pytest prints of them, one a line."""
    tests = set(collected.splitlines())
    return [red.test for red in known if red.test not in tests]


def pytest(*arguments: str, show: bool) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "pytest", *arguments]
    out = None if show else subprocess.PIPE
    return subprocess.run(command, stdout=out, text=True, check=False)


def check(root: Path, arguments: list[str]) -> int:
    """The exit status of the whole run, which prints as it goes."""
    path = root / LIST
    try:
        known = parse(path.read_text()) if path.exists() else []
        missing = uncollected(known, pytest("--collect-only", "-q", show=False).stdout) if known else []
        if missing:
            raise BadList(f"{LIST}: pytest collects no such test: {', '.join(missing)}")
    except BadList as error:
        print(error)
        return 1
    status = pytest(*arguments, *(f"--deselect={red.test}" for red in known), show=True).returncode
    for red in known:
        passes = pytest("-q", red.test, show=True).returncode == 0
        said = "passes now and should leave the list" if passes else "fails, as is known"
        print(f"known red: {red.test}: {said} ({red.seen}; `{red.command}`; issue {red.issue})", flush=True)
    return status


if __name__ == "__main__":
    sys.exit(check(Path.cwd(), sys.argv[1:]))
