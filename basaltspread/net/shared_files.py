"""Files that the processes of one gateway share: operators' bans, and what one process tells the next.

It owns their form, their locks and how they are replaced. It must never decide what a ban means.
"""

from __future__ import annotations

import array
import asyncio
import contextlib
import errno
import fcntl
import functools
import json
import logging
import os
import re
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from basaltspread import core
from basaltspread.net.links import load_json
from basaltspread.net.readers import READ_SIZE

log = logging.getLogger("basaltspread")
TOLD_WAIT = 0.5  # s for the other process to tell what it knows
TELL_STEP = 0.01
RETURNS_KEPT = 60_000_000  # us for which the file tells when an engine was let in again; warm by then


class BanFile:
    """The engines that operators left out, in a file that this gateway's processes share: an old and a new
    version of it run side by side for a while. It is replaced whole, under a lock, and only what can be read
    in full counts."""

    def __init__(self, folder: str, name: str) -> None:
        self.path = Path(folder) / f"basaltspread-{plain(name)}-engines.json"
        self.clock_offset = 0  # us by which the process's clock is ahead of the system's monotonic one
        self._seen: tuple[int, ...] = ()
        self._pending: dict[str, core.KeepBans] = {}  # orders that were taken and are not written yet

    def news(self) -> core.BansTold | None:
        """What it says, if that has changed since the last look."""
        try:
            about = self.path.stat()
        except OSError:
            return None
        seen = (about.st_ino, about.st_mtime_ns, about.st_size)
        if seen == self._seen:
            return None
        self._seen = seen
        return self._read()

    def _read(self) -> core.BansTold | None:
        try:
            raw = load_json(self.path.read_bytes())
            disabled, returned = raw["disabled"], raw["returned"]
            texts = [*disabled, *returned]
            if not isinstance(disabled, list) or not all(isinstance(t, str) for t in texts):
                raise ValueError("not a list of engines")
            returns = {name: int(at) + self.clock_offset for name, at in returned.items()}
            if raw.get("boot", "") != boot_id():  # its monotonic clock is another
                returns = {}
            return self._with_pending(core.BansTold(frozenset(disabled), returns))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
            log.error("bans kept in %s can't be read and do not count: %r", self.path.name, error)
            return None

    def _with_pending(self, held: core.BansTold) -> core.BansTold:
        """What the file says and what it does not say yet. Only each order's own engine changes: the other
        process may have changed others meanwhile."""
        disabled, returned = held.disabled, dict(held.returned)
        for engine, order in self._pending.items():
            disabled = disabled - {engine} | order.disabled & {engine}
            returned.update(order.returned)
            if engine not in order.returned:
                returned.pop(engine, None)
        return core.BansTold(disabled, returned)

    def keep(self, order: core.KeepBans) -> None:
        """Write an operator's order. Raises OSError; it is pending then, until `retry` has written it."""
        self._pending.pop(order.engine, None)
        self._pending[order.engine] = order
        self.retry()

    def pending(self, engine: str) -> bool:
        """Whether an order on this engine has been taken and is not written."""
        return engine in self._pending

    def retry(self) -> None:
        """Write all orders that are pending. Raises OSError."""
        if not self._pending:
            return
        lock = open_lock(self.path.with_suffix(".lock"))
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            held = self._read()
            if held is None:  # no file yet, or a spoilt one
                newest = next(reversed(self._pending.values()))
                held = core.BansTold(newest.disabled, newest.returned)
            lately = max(held.returned.values(), default=0) - RETURNS_KEPT
            returned = {n: at - self.clock_offset for n, at in held.returned.items() if at > lately}
            content = {"disabled": sorted(held.disabled), "returned": returned, "boot": boot_id()}
            replace_file(self.path, content)
            self._pending.clear()
        finally:
            os.close(lock)


class DepartureFile:
    """The engines that this gateway was told to drain or to be gone, for a process that follows a kill: its
    configuration may be older, and discovery silent as it starts."""

    def __init__(self, folder: str, name: str) -> None:
        self._path = Path(folder) / f"basaltspread-{plain(name)}-departures.json"

    def load(self, clock_offset: int) -> core.DeparturesTold | None:
        """What an earlier process was told; `clock_offset` us is this process's clock ahead of the system's
        monotonic one."""
        try:
            raw = load_json(self._path.read_bytes())
            if raw["boot"] != boot_id():
                return None
            told = {
                str(name): core.Departure(int(started), int(version), int(at) + clock_offset)
                for name, (started, version, at) in raw["departures"].items()
            }
            return core.DeparturesTold(told)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
            log.error("%s can't be read and does not count: %r", self._path.name, error)
            return None

    def keep(self, effect: core.KeepDepartures, clock_offset: int) -> None:
        """Write them. Raises OSError. Not synced to the disk: it has to outlive the process alone."""
        told = {
            name: (left.started, left.version, left.told_at - clock_offset)
            for name, left in effect.departures.items()
        }
        replace_file(self._path, {"boot": boot_id(), "departures": told}, durable=False)


class Overlap:
    """Whether another process of this gateway runs beside this one, as a new version beside the old. Each
    holds the same lock shared as long as it lives, so that only one that is alone can have it for itself."""

    def __init__(self, folder: str, name: str) -> None:
        self._path = Path(folder) / f"basaltspread-{plain(name)}-knowledge.json"
        self._path.unlink(missing_ok=True)  # of an earlier time; the other process writes it once we are seen
        remove_drafts(self._path)
        self._lock = open_lock(Path(folder) / f"basaltspread-{plain(name)}.lock")
        # Streams are handed to whoever bound this path last.
        self._door = Path(folder) / f"basaltspread-{plain(name)}.sock"
        self._door.unlink(missing_ok=True)
        self._inbox = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self._inbox.setblocking(False)
        self._own: os.stat_result | None = None
        try:
            self._inbox.bind(str(self._door))
            self._own = self._door.stat()
        except OSError as error:  # a path can be too long for it
            log.warning("no streams can be handed on or taken over: %s", error)

    def alone(self) -> bool:
        """Whether no other process of this gateway runs. Raises OSError where that can't be told now."""
        # POSIX locks: a failed try for the whole lock keeps the share that is held.
        try:
            fcntl.lockf(self._lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
            fcntl.lockf(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            fcntl.lockf(self._lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError as error:
            if error.errno in (errno.EAGAIN, errno.EACCES):
                return False
            raise
        return True

    def hand_on(self, about: dict[str, Any], descriptors: list[int]) -> bool:
        """Give these connections to the process that follows; false if there is none, or no room now."""
        try:
            if self._own is None or os.path.samestat(self._own, self._door.stat()):
                return False
            parts = [json.dumps(about).encode()]
            if len(parts[0]) > READ_SIZE:  # it would arrive cut off, and its connections be lost
                return False
            rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]
            self._inbox.sendmsg(parts, rights, 0, str(self._door))
        except OSError:
            return False
        return True

    def take_over_streams(self, take: Callable[[Any, list[socket.socket]], None]) -> None:
        asyncio.get_running_loop().add_reader(self._inbox, self._handed, take)

    def _handed(self, take: Callable[[Any, list[socket.socket]], None]) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                data, descriptors, _, _ = socket.recv_fds(self._inbox, READ_SIZE, 2)
                sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
                try:
                    take(load_json(data), sockets)
                except Exception:  # one stream is lost, its connections are closed
                    log.exception("take-over fault")

    def tell(self, knowledge: dict[str, Any]) -> None:
        replace_file(self._path, knowledge)

    async def told(self) -> Any:
        """What the other process tells, soon after this one began; None if it says nothing."""
        for _ in range(int(TOLD_WAIT / TELL_STEP)):
            with contextlib.suppress(FileNotFoundError):
                return load_json(self._path.read_bytes())
            await asyncio.sleep(TELL_STEP)
        return None


def open_lock(path: Path) -> int:
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)


def replace_file(path: Path, content: Any, durable: bool = True) -> None:
    """Written whole and (if `durable`) synced, then renamed: a reader finds the old or the new, also after a
    kill. Raises OSError, and leaves nothing behind then."""
    draft = path.with_name(f"{path.name}.{os.getpid()}")
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
    try:
        with open(os.open(draft, flags, 0o600), "w") as file:
            json.dump(content, file)
            file.flush()
            if durable:
                os.fsync(file.fileno())
        os.replace(draft, path)
    except BaseException:
        draft.unlink(missing_ok=True)
        raise


def remove_drafts(path: Path) -> None:
    """Drafts that a kill left behind; one of a process that is writing now is written again by it."""
    for draft in path.parent.glob(f"{path.name}.*[0-9]"):
        draft.unlink(missing_ok=True)


@functools.cache
def boot_id() -> str:
    """Which boot of the machine this is: its monotonic clock holds for that long. Empty if it is unknown."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


def plain(name: str) -> str:
    """A gateway's name as part of a file's."""
    return re.sub(r"[^A-Za-z0-9._-]", "_", name)
