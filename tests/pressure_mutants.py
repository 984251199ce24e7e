"""Small faults put into a copy of the program, each of which the tests of memory, streams, floods and ids
must catch: `python -m tests.pressure_mutants` plays them and prints which lived. The suite sees that each
fits the code."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.hang_mutants import ROOT, Mutant

MEMORY, GUARD = "basaltspread/control/memory.py", "basaltspread/net/memory_guard.py"
CLIENTS, EVENTS = "basaltspread/net/clients.py", "basaltspread/structures/events.py"
LINKS, PROGRESS = "basaltspread/net/links.py", "basaltspread/structures/progress.py"
CHUNKS, IDS = "basaltspread/structures/chunks.py", "basaltspread/structures/id_table.py"
KNOWN, TURNS = "basaltspread/net/known_ids.py", "basaltspread/net/turns.py"
PLATFORM, WATCH = "basaltspread/net/platform.py", "basaltspread/net/discovery_watch.py"
BUDGET, ADMISSION = "basaltspread/control/descriptor_budget.py", "basaltspread/net/connection_admission.py"
SUITE = (
    "memory", "whole_streams", "slow_streams", "floods", "known_ids", "large_lists", "descriptors",
)  # fmt: skip
AT_ONCE = 3
PATIENCE = 400.0  # s

MUTANTS = (
    Mutant("bodies are not charged", CLIENTS,
           "memory.keep(self, MemoryClass.BODY, self._body.size)", "pass"),
    Mutant("parts of events are not charged", "basaltspread/net/partial_events.py",
           "event.client, MemoryClass.EVENT, more,", "event.client, MemoryClass.EVENT, 0,"),
    Mutant("what is credited twice counts twice", MEMORY,
           "min(size, held)", "size"),
    Mutant("a level that was left does not reopen", MEMORY,
           "self.used < self.capacity * AMPLE_BELOW", "self.used < 0"),
    Mutant("a class has no share", MEMORY,
           "return self.used + size <= self.capacity * SHARES[cls]", "return True"),
    Mutant("who moves makes room like who has stalled", MEMORY,
           "now - oldest.moved_at >= STALLED_AFTER", "True"),
    Mutant("a closed account is still charged", MEMORY,
           "        if account.closed:\n            return\n        self._unfile(account)\n        account.h",
           "        self._unfile(account)\n        account.h"),
    Mutant("heads may have any number of fields", CLIENTS,
           "if self._fields > MOST_FIELDS:", "if False:"),
    Mutant("a request that stalls is read on for ever", GUARD,
           "while not self._ledger.fits(MemoryClass.BODY, self._ledger.piece()):", "while False:"),
    Mutant("a last chunk alone ends a stream", PLATFORM,
           "if not events.ends_whole(tail):", "if False:"),
    Mutant("a final event needs no empty line", EVENTS,
           'rb"[\\r\\n](?:[\\r\\n]|:', 'rb"(?:[\\r\\n]|:'),
    Mutant("waits add up over a stream", PROGRESS,
           "if self._came >= self._least:", "if False:"),
    Mutant("a chunk may declare any size", CHUNKS,
           "self.too_large = declared > self._most", "self.too_large = False"),
    Mutant("a chunk has ended before its line has", CHUNKS,
           "self._left = declared + len(_LINE_END)", "self._left = declared"),
    Mutant("a connection does not give way", TURNS,
           "            await asyncio.sleep(0)\n", "            pass\n"),
    Mutant("an engine's stream does not give way", LINKS,
           "            await self._turn.spend()\n", ""),
    Mutant("a full table forgets the old", IDS,
           "            return Claim.FULL\n", "            free = slot\n"),
    Mutant("ids are known to one process", KNOWN,
           "if folder is not None:", "if False:"),
    Mutant("an id that has ended is forgotten at once", KNOWN,
           "now + self._known_for, now", "now, now"),
    Mutant("a list has the bound of a client's body", WATCH,
           "limit=LIST_LIMIT,\n", "\n"),
    Mutant("a list has one time-out with its body", WATCH,
           "            body_wait=LIST_WAIT,\n", ""),
    Mutant("a chunk of a list has the bound of a stream's", LINKS,
           "event = await link.event(chunk=limit)", "event = await link.event()"),
    Mutant("discovery has no descriptors of its own", BUDGET,
           "    DescriptorUse.REGISTRY: 4,\n", ""),
    Mutant("a reserve is everybody's", BUDGET,
           "self.by_use[use] >= RESERVES.get(use, 0)", "self.used >= self.common + 4"),
    Mutant("a reset of a watch makes discovery distrusted", LINKS,
           "link.reused and not of_registry and", "link.reused and"),
    Mutant("new clients ask for their share alone", ADMISSION,
           "if not budget.is_full():", "if True:"),
    Mutant("idle clients make no room for attempts", LINKS,
           "(self.shed() or self.make_room())", "self.shed()"),
)  # fmt: skip


def lives(mutant: Mutant) -> bool:
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder:
        root = Path(folder) / "copy"
        ignored = shutil.ignore_patterns(".git", ".venv*", "journal", "__pycache__", ".*_cache")
        shutil.copytree(ROOT, root, ignore=ignored)
        mutant.apply(root)
        files = [f"tests/test_{name}.py" for name in SUITE]
        command = [sys.executable, "-m", "pytest", "-x", "-q", "-k", "not mutant", *files]
        try:
            ran = subprocess.run(command, cwd=root, capture_output=True, check=False, timeout=PATIENCE)
        except subprocess.TimeoutExpired:
            return False
        return ran.returncode == 0


def main() -> int:
    with ThreadPoolExecutor(AT_ONCE) as pool:
        living = list(pool.map(lives, MUTANTS))
    for mutant, lived in zip(MUTANTS, living, strict=True):
        print(f"{'LIVES ' if lived else 'caught'} {mutant.name}")
    return 1 if any(living) else 0


if __name__ == "__main__":
    sys.exit(main())
