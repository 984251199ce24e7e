"""Fails system calls and steps the wall clock of a gateway, as a file that its runner writes says.

Python imports it at the start of each process in whose path it lies. The file holds one record of figures,
read anew at each call; without the file nothing changes.
"""

from __future__ import annotations

import mmap
import os
import socket
import struct
import time
from typing import Any

# errno of accept, connect, socket, file writes and one receive; bytes that a call may move, 0 for all; the
# wall clock's step in ms.
RECORD = struct.Struct("<iiiiiiq")
FILENO = 3  # where socket.socket takes an open descriptor
PATH = os.environ.get("SOAK_SHIM")


def _install(path: str) -> None:
    with open(path, "r+b") as file:
        shared = mmap.mmap(file.fileno(), RECORD.size)

    def figures() -> tuple[int, ...]:
        return RECORD.unpack_from(shared)

    def fail(code: int) -> None:
        if code:
            raise OSError(code, os.strerror(code))

    real = socket.socket
    accept, connect, recv, send = real.accept, real.connect, real.recv, real.send
    recv_into = real.recv_into
    made, wall = real.__init__, time.time
    replace, fsync = os.replace, os.fsync

    def failing_init(self: Any, *given: Any, **named: Any) -> None:
        family = given[0] if given else named.get("family", -1)
        is_new = len(given) <= FILENO and named.get("fileno") is None
        if is_new and family in (-1, socket.AF_INET):
            fail(figures()[2])
        made(self, *given, **named)

    def failing_accept(self: Any) -> Any:
        fail(figures()[0])
        return accept(self)

    def failing_connect(self: Any, address: Any) -> None:
        fail(figures()[1])
        connect(self, address)

    def short_recv(self: Any, size: int, *flags: int) -> bytes:
        _, _, _, _, once, most, _ = figures()
        if once and self.type & socket.SOCK_STREAM and self.getpeername()[1] != 0:
            struct.pack_into("<i", shared, 16, 0)
            raise OSError(once, os.strerror(once))
        return recv(self, min(size, most) if most else size, *flags)

    def short_recv_into(self: Any, buffer: Any, size: int = 0, *flags: int) -> int:
        _, _, _, _, once, most, _ = figures()
        if once and self.type & socket.SOCK_STREAM and self.getpeername()[1] != 0:
            struct.pack_into("<i", shared, 16, 0)
            raise OSError(once, os.strerror(once))
        size = size or len(buffer)
        return recv_into(self, buffer, min(size, most) if most else size, *flags)

    def short_send(self: Any, data: Any, *flags: int) -> int:
        most = figures()[5]
        short = most and self.type & socket.SOCK_STREAM
        return send(self, memoryview(data)[:most] if short else data, *flags)

    def failing_replace(*where: Any, **more: Any) -> None:
        fail(figures()[3])
        replace(*where, **more)

    def failing_fsync(descriptor: int) -> None:
        fail(figures()[3])
        fsync(descriptor)

    changes: dict[str, Any] = {
        "__init__": failing_init, "accept": failing_accept, "connect": failing_connect,
        "recv": short_recv, "recv_into": short_recv_into, "send": short_send,
    }  # fmt: skip
    for name, call in changes.items():
        setattr(real, name, call)
    os.replace, os.fsync = failing_replace, failing_fsync  # type: ignore[assignment]
    time.time = lambda: wall() + figures()[6] / 1000


if PATH is not None:
    _install(PATH)
