"""The listening side: an address at which connections are accepted.

It owns the listening socket, and what happens where accept fails. It must never read from a connection.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from basaltspread.config import split_address
from basaltspread.net.links import LOCAL_FAULT_PATIENCE
from basaltspread.net.log_limit import LineLimit
from basaltspread.net.readers import ONE_PIECE, PieceProtocol, PieceSize, TimedReader, largest_piece
from basaltspread.structures import system_faults as faults

log = logging.getLogger("basaltspread")
ACCEPT_PAUSE = 0.005  # s without a try after accept failed, at first
LONGEST_ACCEPT_PAUSE = 0.05  # s
LONGEST_CREATE_PAUSE = 0.5  # s between two tries to make a listening socket
# What says of an address that it can't be had: it is not this machine's, or not this user's.
PERMANENT = frozenset((errno.EADDRNOTAVAIL, errno.EACCES, errno.EPERM))
CLOSE_PATIENCE = 1.0  # s in which a closing door tries to accept what waits at it

Accept = Callable[[Any, asyncio.StreamWriter], Coroutine[Any, Any, None]]


class Listener:
    """A listening socket of which each connection goes to `accept`.

    At most `at_once` are accepted in one turn of the loop: before any budget is asked, nothing else bounds
    them. asyncio's own accept loop stops for a whole second where this machine is short of something, and
    writes a line for each turn of the loop on errors that it does not know.
    """

    def __init__(
        self, listener: socket.socket, accept: Accept, at_once: int, counters: Counter[str], inherited: bool,
        piece: PieceSize = largest_piece,
    ) -> None:  # fmt: skip
        self._piece = piece
        self._listener, self._accept, self._at_once = listener, accept, at_once
        self._counters, self._inherited = counters, inherited
        self._loop = asyncio.get_running_loop()
        self._pause = 0.0  # s; 0: accept did not fail last
        self._retry: asyncio.TimerHandle | None = None
        self._close_by: float | None = None  # the door is closing
        self._closed = False
        self._fault_lines = LineLimit()
        self._opening: set[asyncio.Task[Any]] = set()
        self.address = "{}:{}".format(*listener.getsockname()[:2])
        self._loop.add_reader(listener, self._ready)

    def close(self) -> None:
        """Accept no more. What waits is accepted first: its clients have connected, and a close would reset
        them. At an inherited socket it is left to the process that follows."""
        if self._close_by is not None:
            return
        self._close_by = self._loop.time() + CLOSE_PATIENCE
        if self._inherited:
            self._shut()
        elif self._retry is None:
            self._ready()

    def _shut(self) -> None:
        if self._closed:
            return
        self._closed = True
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._listener)
        self._listener.close()

    def _ready(self) -> None:
        self._retry = None
        if self._closed:
            return
        for _ in range(self._at_once):
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                if self._close_by is not None:
                    self._shut()
                else:
                    self._pause = 0.0
                return
            except OSError as error:
                self._note(error)
                if faults.of_accept(error) is not faults.FaultScope.CONNECTION:
                    self._wait()
                    return
                continue
            self._pause = 0.0
            connection.setblocking(False)
            self._open(connection)
        if self._close_by is not None or self._pause:
            self._wait()

    def _wait(self) -> None:
        """Accept is asked again a little later, whether something comes or not."""
        if self._close_by is not None and self._loop.time() >= self._close_by:
            log.warning("the door %s closes though accept still fails", self.address)
            self._shut()
            return
        self._loop.remove_reader(self._listener)
        self._pause = min(max(ACCEPT_PAUSE, 2 * self._pause), LONGEST_ACCEPT_PAUSE)
        self._retry = self._loop.call_later(self._pause, self._ready_again)

    def _ready_again(self) -> None:
        self._loop.add_reader(self._listener, self._ready)
        self._ready()

    def _note(self, error: OSError) -> None:
        """Counted always, logged once a second."""
        self._counters["accept_faults"] += 1
        self._pause = self._pause or ACCEPT_PAUSE / 2
        if self._fault_lines.due():
            log.warning("accept failed at %s: %s", self.address, error)

    def _open(self, connection: socket.socket) -> None:
        task = self._loop.create_task(self._loop.connect_accepted_socket(self._protocol, connection))
        self._opening.add(task)
        task.add_done_callback(self._opened)

    def _opened(self, task: asyncio.Task[Any]) -> None:
        self._opening.discard(task)
        if not task.cancelled() and isinstance(error := task.exception(), OSError):
            self._note(error)  # it broke as it was taken

    def _protocol(self) -> asyncio.StreamReaderProtocol:
        reader = TimedReader(limit=ONE_PIECE, loop=self._loop)
        return PieceProtocol(reader, self._piece, self._loop, self._accept)


async def _create(
    key: str, address: tuple[str, int], family: socket.AddressFamily, queue: int
) -> socket.socket:
    """A listening socket. Where this machine is short of something it is tried again for a while: else a
    moment of that would end a process as it starts."""
    give_up_at, pause = time.monotonic() + LOCAL_FAULT_PATIENCE, ACCEPT_PAUSE
    while True:
        try:
            return socket.create_server(address, family=family, backlog=queue)
        except OSError as error:
            momentary = faults.of_connect(error) is faults.FaultScope.LOCAL_MOMENTARY
            if error.errno in PERMANENT or not momentary or time.monotonic() >= give_up_at:
                raise
            log.warning("no socket for %s yet: %s", key, error)
        await asyncio.sleep(pause)
        pause = min(2 * pause, LONGEST_CREATE_PAUSE)


async def open_listener(
    key: str,
    listen: str,
    accept: Accept,
    queue: int,
    at_once: int,
    inherited: int | None = None,
    counters: Counter[str] | None = None,
    piece: PieceSize = largest_piece,
) -> Listener:
    """Serve what connects to an address (named `key` in errors), or to a socket that listens there already.
    `queue` connections may wait in the kernel; `piece` says how
    much may be read at once. Raises ConfigError, or OSError where the address is taken, or
    where this machine can't make a socket for longer than a moment."""
    host, port = split_address(key, listen)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    if inherited is None:
        listener = await _create(key, (host.strip("[]"), port), family, queue)
    else:
        listener = socket.socket(fileno=inherited)
    listener.setblocking(False)
    listener.listen(queue)
    counted = counters if counters is not None else Counter[str]()
    return Listener(listener, accept, at_once, counted, inherited is not None, piece)
