"""The process's clock, and how far the wall clock has been stepped away from it.

Spans (deadlines, windows, waits, ejections) are measured by the monotonic clock alone. The wall clock is read
to understand stamps that others made with it.
"""

from __future__ import annotations

import json
import logging
import time
from pathlib import Path

from basaltspread.net.shared_files import boot_id, plain, replace_file

log = logging.getLogger("basaltspread")
MICRO = 1_000_000
LEAST_STEP = 250_000  # us by which the wall clock has to differ from before to count as stepped
STEP_KEPT = 60 * MICRO  # us for which stamps of the time before a step may still come


class Clock:
    """Unix time in microseconds at the start of this process, carried on by the monotonic clock: it never
    goes back and is never stepped."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()  # s
        self._shift = 0  # us that the wall clock is ahead of this one now
        self._earlier: dict[int, int] = {}  # earlier shifts: until when they count, in us of this clock
        self.steps = 0

    def now(self) -> int:
        return int((self.offset + time.monotonic()) * MICRO)

    def monotonic(self, at: int) -> int:
        """An instant of this clock as one of the system's monotonic clock, in us: other processes of this
        machine can read that until it is booted again."""
        return at - int(self.offset * MICRO)

    def from_monotonic(self, at: int) -> int:
        return at + int(self.offset * MICRO)

    def wall_shifts(self) -> tuple[int, ...]:
        """How far the wall clock is ahead of this one, in us, and was shortly before; to be asked often."""
        now, shift = self.now(), int(time.time() * MICRO) - self.now()
        if abs(shift - self._shift) > LEAST_STEP:
            log.warning("the wall clock was stepped by %.3f s", (shift - self._shift) / MICRO)
            self.steps += 1
            self._earlier[self._shift] = now + STEP_KEPT
            self._shift = shift
        self._earlier = {shift: until for shift, until in self._earlier.items() if until > now}
        return (self._shift, *self._earlier)

    def recall(self, offset: int) -> None:
        """An earlier process saw the wall clock ahead of the monotonic one by `offset` us. Where that differs
        from now it was stepped meanwhile, and engines may have started before that."""
        shift = offset - int(self.offset * MICRO)
        if abs(shift - self._shift) > LEAST_STEP:
            log.warning("the wall clock was stepped by %.3f s since an earlier process", -shift / MICRO)
            self.steps += 1
            self._earlier[shift] = self.now() + STEP_KEPT


class ClockFile:
    """Keeps how far the wall clock is ahead of the monotonic one, for the processes that follow."""

    def __init__(self, folder: str, name: str) -> None:
        self._path = Path(folder) / f"basaltspread-{plain(name)}-clock.json"
        self._kept_for: int | None = None  # the number of steps seen as it was written

    def load(self, clock: Clock) -> None:
        """Tell the clock what an earlier process saw, if the machine has not been booted since."""
        try:
            raw = json.loads(self._path.read_bytes())
            if raw["boot"] == boot_id():
                clock.recall(int(raw["offset_us"]))
        except FileNotFoundError:
            pass
        except (OSError, ValueError, TypeError, KeyError, RecursionError) as error:
            log.error("%s can't be read and does not count: %r", self._path.name, error)

    def keep(self, clock: Clock) -> None:
        """Write it, if it has changed since it was written. Raises OSError."""
        if self._kept_for != clock.steps:
            offset = int((time.time() - time.monotonic()) * MICRO)
            replace_file(self._path, {"boot": boot_id(), "offset_us": offset})
            self._kept_for = clock.steps
