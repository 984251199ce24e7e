"""Files that the processes of one gateway share: operators' bans, and what one process tells the next.

It owns their form, their locks and how they are replaced. It must never decide what a ban means.
"""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import json
import logging
import os
import re
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from basaltspread import core
from basaltspread.net.links import READ_SIZE, load_json

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
        self._seen: tuple[int, ...] = ()

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
            return core.BansTold(frozenset(disabled), {name: int(at) for name, at in returned.items()})
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
            log.error("bans kept in %s can't be read and do not count: %r", self.path.name, error)
            return None

    def keep(self, effect: core.KeepBans) -> None:
        """Only this engine's entry changes: the other process may have changed others meanwhile."""
        lock = open_lock(self.path.with_suffix(".lock"))
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            held = self._read()
            disabled, returned = effect.disabled, dict(effect.returned)
            if held is not None:
                disabled = held.disabled - {effect.engine} | effect.disabled & {effect.engine}
                returned = {**held.returned, **effect.returned}
                if effect.engine not in effect.returned:
                    returned.pop(effect.engine, None)
            lately = max(returned.values(), default=0) - RETURNS_KEPT
            returned = {name: at for name, at in returned.items() if at > lately}
            replace_file(self.path, {"disabled": sorted(disabled), "returned": returned})
        finally:
            os.close(lock)


class Overlap:
    """Whether another process of this gateway runs beside this one, as a new version beside the old. Each
    holds the same lock shared as long as it lives, so that only one that is alone can have it for itself."""

    def __init__(self, folder: str, name: str) -> None:
        self._path = Path(folder) / f"basaltspread-{plain(name)}-knowledge.json"
        self._path.unlink(missing_ok=True)  # of an earlier time; the other process writes it once we are seen
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
        # POSIX locks: a failed try for the whole lock keeps the share that is held.
        try:
            fcntl.lockf(self._lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
            fcntl.lockf(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            fcntl.lockf(self._lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return False
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


def replace_file(path: Path, content: Any) -> None:
    """Written whole, then renamed: a reader finds the old or the new."""
    import tempfile  # with all that it imports, for the few gateways that write files

    with tempfile.NamedTemporaryFile("w", dir=path.parent, delete=False) as file:
        json.dump(content, file)
    os.replace(file.name, path)


def plain(name: str) -> str:
    """A gateway's name as part of a file's."""
    return re.sub(r"[^A-Za-z0-9._-]", "_", name)
