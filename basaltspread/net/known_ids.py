"""The ids of requests that may have run, in a table that the processes of one gateway share.

An old and a new version of a gateway run side by side for a while, and either may be asked for an id that
the other has begun or ended. The table lies in a file of their folder that both map: it is there before a
process serves, needs no answer of one that hangs, and outlives a kill. Without a folder, or where it fails,
it is kept in this process alone.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import mmap
import os
import time
from collections.abc import Iterator
from pathlib import Path

from basaltspread.net.shared_files import boot_id, open_lock, plain
from basaltspread.structures.hashing import hashed
from basaltspread.structures.id_table import SLOT_SIZE, Claim, IdTable

log = logging.getLogger("basaltspread")
SLOTS_PER_MB = 1024  # of the memory limit: 16 KB of each MB
LEAST_SLOTS, MOST_SLOTS = 8 * 1024, 128 * 1024
OPEN_FOR = 3_600_000_000  # us for which an id is known whose end nobody tells: its process was killed
LOCK_TRIES = 50  # the holder needs microseconds; one that was stopped meanwhile is not waited for
HEADER = 64  # bytes before the table: of which boot its times are


def now_us() -> int:
    """The system's monotonic clock, which all processes read alike."""
    return time.monotonic_ns() // 1000


class KnownIds:
    """Claims an id before its request is begun, and knows it for its time."""

    def __init__(self, folder: str | None, name: str, memory_mb: int, known_for: int) -> None:
        """`known_for` us an id is known after its request has ended."""
        self._known_for = known_for
        self._slots = max(LEAST_SLOTS, min(MOST_SLOTS, memory_mb * SLOTS_PER_MB))
        self.size = HEADER + self._slots * SLOT_SIZE
        self.unlocked = 0  # claims without the lock, which another process held for long
        self._lock: int | None = None
        block: mmap.mmap | bytearray = bytearray(self.size)
        if folder is not None:
            try:
                block = self._mapped(Path(folder) / f"basaltspread-{plain(name)}-ids-{self._slots}")
            except OSError as error:
                log.error("ids are known to this process alone: %s", error)
        self._table = IdTable(memoryview(block)[HEADER:])

    def _mapped(self, path: Path) -> mmap.mmap:
        """The file, made if there is none, and emptied if its times are those of another boot. Raises
        OSError. All of it is reserved: a page that is missing later would end the process."""
        file = open_lock(path)
        try:
            fcntl.lockf(file, fcntl.LOCK_EX)
            os.posix_fallocate(file, 0, self.size)
            block = mmap.mmap(file, self.size)
            boot = hashed(boot_id()).to_bytes(8, "little")
            if block[:8] != boot:
                block[:] = boot + bytes(self.size - len(boot))
            fcntl.lockf(file, fcntl.LOCK_UN)
        except BaseException:
            os.close(file)
            raise
        self._lock = file
        return block

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        held = self._lock is not None and self._try_lock(self._lock)
        try:
            yield
        finally:
            if held and self._lock is not None:
                fcntl.lockf(self._lock, fcntl.LOCK_UN)

    def _try_lock(self, file: int) -> bool:
        for _ in range(LOCK_TRIES):
            with contextlib.suppress(OSError):
                fcntl.lockf(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return True
        self.unlocked += 1
        return False

    def claim(self, request: str) -> Claim:
        """Whether a request with this id may be begun, in whatever process of this gateway."""
        now = now_us()
        with self._locked():
            return self._table.claim(request, now + OPEN_FOR, now)

    def ended(self, request: str) -> None:
        """It is known for its time, counted from now."""
        now = now_us()
        with self._locked():
            self._table.forget_at(request, now + self._known_for, now)

    def figures(self) -> dict[str, int]:
        known = self._table.known(now_us())
        return {"ids_known": known, "ids_slots": self._slots, "ids_unlocked": self.unlocked}
