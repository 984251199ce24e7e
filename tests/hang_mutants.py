"""Small faults put into a copy of the program, each of which the virtual fleet's hang days must catch.

`python -m tests.hang_mutants` plays each on the first days until one breaks a rule, and prints by which day
it was caught; the suite sees to it that each fits the code.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CORE = "basaltspread/core/"
STEPS = (20, 80, 300)  # days that are played until one catches it


@dataclass(frozen=True)
class Edit:
    """Text of one file that stands there once, and what takes its place."""

    file: str
    old: str
    new: str

    def fits(self, root: Path = ROOT) -> bool:
        return (root / self.file).read_text().count(self.old) == 1

    def apply(self, root: Path) -> None:
        path = root / self.file
        path.write_text(path.read_text().replace(self.old, self.new))


class Mutant:
    """A fault: one edit, or more where two parts of the program guard against it."""

    def __init__(self, name: str, file: str, old: str, new: str, *more: Edit) -> None:
        self.name, self.edits = name, (Edit(file, old, new), *more)

    def fits(self) -> bool:
        return all(edit.fits() for edit in self.edits)

    def apply(self, root: Path) -> None:
        for edit in self.edits:
            edit.apply(root)


MUTANTS = (
    Mutant(
        "a place that is kept counts as a sign of the reader, for good", CORE + "held_clock.py",
        "        return max((self._lease_end(request, attempt) for attempt in request.out()), default=0)",
        "        kept = request.held.keeps_place()\n"
        "        return self.now + 60_000_000 if kept and request.out() else 0",
    ),
    Mutant(
        "a sign of the reader counts for good", CORE + "held_clock.py",
        "        return min(sign + self._held_limit(), attempt.written_at"
        " + self._longest_lease(request, attempt))",
        "        return sign + 60_000_000",
    ),
    Mutant(
        "what was written counts as arrived", CORE + "held_clock.py",
        "        if sign is None:\n            return 0\n",
        "        if sign is None:\n            sign = self.now\n",
    ),
    Mutant(
        "the limit is nearly doubled", CORE + "held_clock.py", "HELD_SHARE = 0.7", "HELD_SHARE = 1.8",
    ),
    Mutant(
        "any ending of an attempt begins the clock anew", CORE + "held_clock.py",
        "        if ending in ANSWERED and ledger.holds():",
        "        if ledger.holds():",
    ),
    Mutant(
        "what a read leaves that is given up is forgotten", CORE + "held_clock.py",
        "            ledger.add(HeldKind.STATE, attempt.worker, self.now, Knowledge.POSSIBLE)\n"
        "        elif not attempt.reading:",
        "            pass\n        elif not attempt.reading:",
    ),
    Mutant(
        "what was left to a write is forgotten as that ends", CORE + "held_ledger.py",
        "                entry.waits_for, entry.since = None, now",
        "                self.end(entry)",
    ),
    Mutant(
        "each question begins the clock of all anew", CORE + "places.py",
        "        self._watch_held(request)\n        self.count(\"places_asked\")",
        "        request.held.outcome(self.now)\n        self._watch_held(request)\n"
        "        self.count(\"places_asked\")",
    ),
    Mutant(
        "a refusal of one writer ends what all hold", CORE + "places.py",
        '            self._end_entry(request, entry, "refused" if event.place is Place.NOT_HELD'
        ' else "not_asked")',
        "            for other in list(request.held):\n                request.held.end(other)",
    ),
    Mutant(
        "a place that is taken late is not released", CORE + "places.py",
        "        if not waits or (late and not newer):\n            self._release_late(request)",
        "        if not waits or (late and not newer):\n            request.held.end(entry)",
    ),
    Mutant(
        "questions are given up with the release, and what they leave is forgotten", CORE + "places.py",
        "        return\n        self.touched[request.id] = None\n        late = entry.released",
        "        return\n        if entry.released:\n            return request.held.end(entry)\n"
        "        self.touched[request.id] = None\n        late = entry.released",
    ),
    Mutant(
        "a release is tried once", CORE + "releases.py",
        "        self.do(Wake(self.now + min(step, LONGEST_RELEASE_STEP), "
        '("release", name, release.tries)))\n',
        "",
    ),
    Mutant(
        "a release goes to one engine after the other, each for long", CORE + "releases.py",
        "RELEASE_STEP = 50 * MS",
        "RELEASE_STEP = 400 * MS",
    ),
    Mutant(
        "the end of a request releases nothing", CORE + "reducer.py",
        "        if request.held.holds():\n            self._release(name)",
        "        if request.held.holds():\n            request.held.release()",
    ),
    Mutant(
        "sends that were given up are not released again", CORE + "untaken_sends.py",
        "RELEASES_OF_ONE = 12",
        "RELEASES_OF_ONE = 0",
    ),
    Mutant(
        "nothing is released at the limit", CORE + "held_clock.py",
        "        if self.now >= due:\n            self._release_at_limit(request)",
        "        if self.now >= due:\n            pass",
    ),
    Mutant(
        "a sign of any engine counts for all", CORE + "held_clock.py",
        "        sign = self.state.contacts.answered_since(attempt.worker, attempt.written_at)\n"
        "        if sign is None:\n            return 0\n",
        "        sign = max(self.state.contacts.answered.values(), default=0)\n"
        "        if sign <= attempt.written_at:\n            return 0\n",
    ),
    Mutant(
        "a state that was read is not noted", CORE + "held_clock.py",
        "            ledger.add(HeldKind.STATE, attempt.worker, self.now, Knowledge.KEPT)\n",
        "",
    ),
    Mutant(
"a release is taken for heard as it is sent", CORE + "releases.py",
        "        zones[self.state.workers[best].entry.zone] += 1\n        self._call_release(name, best)",
        "        zones[self.state.workers[best].entry.zone] += 1\n        self._call_release(name, best)\n"
        "        release.tries = RELEASE_TRIES + 1",
    ),
    Mutant(
        "a place is asked for as if it held nothing", CORE + "places.py",
        "        request.held.add(HeldKind.PLACE, worker, self.now, Knowledge.ASKED)\n",
        "        request.held.add(HeldKind.PLACE, worker, self.now, Knowledge.ASKED).released = True\n",
    ),
    Mutant(
        "an order that may have run is sent again", "basaltspread/rules.py",
        "        barred = request.ran is not None and request.cls.effect is Effect.UNSAFE",
        "        barred = False",
        Edit(CORE + "guards.py", "        return Denial.MAY_HAVE_RUN", "        return None"),
    ),
    Mutant(
        "a drain is not told to the module, and the list's state is not asked before a send",
        "basaltspread/rules.py",
        "        worker.update(entry)\n",
        "        worker.update(entry) if entry.state is api.WorkerState.UP else None\n",
        Edit(CORE + "reducer.py", "        if listed is None or listed.entry.state is not WorkerState.UP:",
             "        if listed is None:"),
        Edit(CORE + "guards.py", "    if listed is None or listed.entry.state is not WorkerState.UP:",
             "    if listed is None:"),
    ),
    Mutant(
        "deadlines are nobody's", CORE + "reducer.py",
        '                    self.count("deadline_backstops")\n                    self._give_up(request)',
        '                    self.count("deadline_backstops")',
        Edit("basaltspread/rules.py", "        if not request.done and self.now >= request.deadline:",
             "        if False:"),
    ),
)  # fmt: skip


def caught_by(mutant: Mutant) -> str | None:
    """The first line about a day that broke a rule; None if no day did."""
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder:
        root = Path(folder)
        for name in ("basaltspread", "tests", "soak"):
            shutil.copytree(ROOT / name, root / name, ignore=shutil.ignore_patterns("__pycache__"))
        mutant.apply(root)
        first = 0
        for last in STEPS:
            command = [sys.executable, "-m", "tests.hang_days", "--processes", "1",
                       "--first", str(first), "--days", str(last - first)]  # fmt: skip
            environment = {**os.environ, "PYTHONPATH": folder}
            done = subprocess.run(
                command, cwd=root, env=environment, capture_output=True, text=True, check=False
            )
            if done.returncode != 0:
                said = done.stdout.splitlines() or done.stderr.splitlines()[-1:]
                return f"within {last} days: {said[0]}"
            first = last
    return None


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    with ThreadPoolExecutor(options.processes) as pool:
        found = list(pool.map(caught_by, MUTANTS))
    for mutant, caught in zip(MUTANTS, found, strict=True):
        print(f"{mutant.name}: {caught or f'NOT CAUGHT in {STEPS[-1]} days'}")
    return int(None in found)


if __name__ == "__main__":
    raise SystemExit(main())
