"""Carries out what the reducer asks for: streams, links to other parties and their pools, the timer wheel,
descriptor and memory budgets, signals and counters.

It knows HTTP messages (parsed by h11) but none of any front's paths, headers or meanings; it must never
decide what becomes of a request, and it changes the core's state only by feeding inputs to the reducer.
"""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import heapq
import json
import logging
import os
import re
import signal
import socket
import sys
import time
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

import h11

from basaltspread import core
from basaltspread.config import split_address
from basaltspread.core import Ending
from basaltspread.records import record

log = logging.getLogger("basaltspread")
TICK = 0.005  # s, of the timer wheel
READ_SIZE = 65536
BODY_LIMIT = 256 * 1024
CHUNK_LIMIT = 256 * 1024  # bytes of one chunk, whatever size it declares
PART_PATIENCE = 1.0  # s spent waiting for the rest of a head or a chunk that has begun
HEAD_LIMIT = 32 * 1024
TAIL = 16  # bytes by which the end of a chunk is known
CLIENT_BUFFER = 64 * 1024  # bytes that may wait for a slow reader of a stream
SPARE_DESCRIPTORS = 48  # for the interpreter, the listener, discovery and log files
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
DISTRUST = 30.0  # s in which no kept link to an address is used, after one was reset as it was used again
MOST_DISTRUSTED = 3  # addresses; with so many, no kept link to any address is used
DUTY_DESCRIPTORS = 12  # of the spare ones, for releases
MANAGEMENT_DESCRIPTORS = 16  # of the spare ones, for operators
TOLD_WAIT = 0.5  # s for the other process to tell what it knows
TELL_STEP = 0.01
OTHER_STEP = 0.05  # s between two looks at this gateway's other process
RETURNS_KEPT = 60_000_000  # us for which the file tells when an engine was let in again; warm by then
BODY_BUDGET = 0.2  # share of the memory limit that request bodies may take
Headers = list[tuple[bytes, bytes]]


def load_json(text: str | bytes) -> Any:
    """A peer's JSON; raises ValueError for all that is none, nesting without end included."""
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


class Clock:
    """Unix time in microseconds that never goes back: read once, then carried on by the monotonic clock."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> int:
        return int((self._offset + time.monotonic()) * 1_000_000)


class Wheel:
    """Coarse timers: what is due within a tick fires together, and the loop wakes only for ticks that hold
    something. A timer in a tick that holds others costs an append, a first one a push on a heap of ticks."""

    def __init__(self, fire: Callable[[tuple[Any, ...]], None], now: Callable[[], int]) -> None:
        self._fire, self._now = fire, now
        self._slots: dict[int, list[tuple[Any, ...]]] = {}
        self._ticks: list[int] = []  # those of the slots, a heap
        self._alarm: asyncio.TimerHandle | None = None  # for the first of them
        self._tick_us = int(TICK * 1_000_000)

    def set(self, at: int, token: tuple[Any, ...]) -> None:
        now = self._now()
        tick = max(-(-at // self._tick_us), now // self._tick_us + 1)
        slot = self._slots.get(tick)
        if slot is not None:
            slot.append(token)
            return
        self._slots[tick] = [token]
        heapq.heappush(self._ticks, tick)
        if self._ticks[0] == tick:
            self._wake(now)

    def _wake(self, now: int) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        pause = max(0, self._ticks[0] * self._tick_us - now) / 1_000_000
        self._alarm = asyncio.get_running_loop().call_later(pause, self._turn)

    def _turn(self) -> None:
        self._alarm = None
        due: list[tuple[Any, ...]] = []
        now = self._now()
        while self._ticks and self._ticks[0] * self._tick_us <= now:
            due += self._slots.pop(heapq.heappop(self._ticks))
        for token in due:
            self._fire(token)
        if self._ticks and self._alarm is None:
            self._wake(self._now())


class LinkError(Exception):
    """A link could not be used; says how its use ended."""

    def __init__(self, ending: Ending) -> None:
        super().__init__(ending.value)
        self.ending = ending


class Descriptors:
    """How many sockets are open, against the limit."""

    def __init__(self, limit: int) -> None:
        self.used = self.most = 0
        self.set_limit(limit)

    def set_limit(self, limit: int) -> None:
        self.limit = max(8, limit - SPARE_DESCRIPTORS)

    def take(self, duty: bool = False) -> bool:
        """Whether one may be opened; a duty (letting go of what is held) may go into the spare ones."""
        if self.used >= self.limit + (DUTY_DESCRIPTORS if duty else 0):
            return False
        self.accepted()
        return True

    def accepted(self) -> None:
        """One that is open already."""
        self.used += 1
        self.most = max(self.most, self.used)

    def free(self) -> None:
        self.used -= 1


@record
class Reply:
    """A whole small answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


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


class Ear(asyncio.StreamReader):
    """Counts what comes in, so that bytes that nobody asked for are noticed, and bounds the waits for it by
    one alarm: that is put off, not set anew, by each piece that comes. A stream of many pieces would else
    spend more on the loop's timers than on passing its pieces on."""

    heard = 0
    _bell: asyncio.Future[None] | None = None  # rings as something comes, ends or is late
    _alarm: asyncio.TimerHandle | None = None
    _by = 0.0

    def feed_data(self, data: Any) -> None:
        self.heard += len(data)
        super().feed_data(data)
        self._ring()

    def feed_eof(self) -> None:
        super().feed_eof()
        self._ring()

    def set_exception(self, exc: Exception) -> None:
        super().set_exception(exc)
        self._ring()

    def _ring(self) -> None:
        if self._bell is not None and not self._bell.done():
            self._bell.set_result(None)

    def _late(self, loop: asyncio.AbstractEventLoop) -> None:
        self._alarm = None
        if self._bell is None or self._bell.done():
            return
        if loop.time() < self._by:
            self._alarm = loop.call_at(self._by, self._late, loop)
        else:
            self._ring()

    async def piece(self, taken: int, patience: float | None) -> bytes:
        """What comes next, within so many seconds; `taken` bytes have been read before. Raises TimeoutError,
        or as the connection broke; nothing at its end."""
        if self._nothing(taken):
            loop = asyncio.get_running_loop()
            bell = self._bell = loop.create_future()
            if patience is not None:
                self._by = loop.time() + patience
                if self._alarm is not None and self._alarm.when() > self._by:
                    self.rest()
                if self._alarm is None:
                    self._alarm = loop.call_at(self._by, self._late, loop)
            else:
                self.rest()
            try:
                await bell
            finally:
                self._bell = None
            if self._nothing(taken):
                raise TimeoutError
        return await self.read(READ_SIZE)

    def _nothing(self, taken: int) -> bool:
        return self.heard == taken and not self.at_eof() and self.exception() is None

    def rest(self) -> None:
        """Nothing is waited for: no alarm stays behind."""
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None


async def connect(**where: Any) -> tuple[Ear, asyncio.StreamWriter]:
    """asyncio.open_connection with that reader."""
    loop = asyncio.get_running_loop()
    reader = Ear(limit=READ_SIZE, loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, **where)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]


async def open_door(
    key: str, listen: str, accept: Accept, queue: int, at_once: int, inherited: int | None = None
) -> asyncio.Server:
    """Serve what connects to an address, or to a socket that listens there already. asyncio accepts as many
    connections at one turn as its backlog says, before any budget is asked: that is small here, and the
    kernel's queue is made long after it."""
    host, port = split_address(key, listen)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    if inherited is None:
        door = socket.create_server((host.strip("[]"), port), family=family, backlog=queue)
    else:
        door = socket.socket(fileno=inherited)
    door.setblocking(False)
    server = await asyncio.start_server(accept, sock=door, limit=READ_SIZE, backlog=at_once)
    door.listen(queue)
    return server


def address_of(server: asyncio.Server) -> str:
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])


class Link:
    """One connection to another party, with its h11 state. One request at a time."""

    def __init__(
        self,
        address: str,
        reader: Ear,
        writer: asyncio.StreamWriter,
        free: Callable[[], None],
    ) -> None:
        self.address, self._reader, self._writer, self._free = address, reader, writer, free
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT)
        self._eof = self._closed = False
        self._taken = 0  # bytes read so far
        self._in_chunk = 0  # bytes of a chunk that has not ended
        self._chunked = False
        self._tail, self._chunk_tail = b"", b"?"  # the last bytes read, and of the last chunk
        self._part_waited = 0.0  # s waited for the rest of what has begun
        self.idle_since = 0.0
        self.reused = False
        self.written = False  # the last byte of the present request has gone out
        writer.transport.set_write_buffer_limits(high=0)  # so that drain means: all of it is written

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        self.written = False
        head: Headers = [(b"Host", self.address.encode()), *headers]
        if body or method == "POST":
            head.append((b"Content-Length", str(len(body)).encode()))
        out = self._http.send(h11.Request(method=method, target=target, headers=head)) or b""
        if body:
            out += self._http.send(h11.Data(data=body)) or b""
        out += self._http.send(h11.EndOfMessage()) or b""
        # What the kernel has taken may reach the other side, whatever becomes of the connection: only bytes
        # that stay in the transport's buffer are certainly unsent.
        self._writer.write(out)
        if self._writer.transport.is_closing():
            raise LinkError(Ending.BROKE_UNSENT)
        if self._writer.transport.get_write_buffer_size():
            try:
                await self._writer.drain()
            except OSError as error:
                raise LinkError(Ending.BROKE_UNSENT) from error
        self.written = True

    async def event(self, silence: float | None = None, chunk: int = CHUNK_LIMIT) -> h11.Event:
        """The next event of the answer. A head or a chunk that has begun must end soon, and no chunk is
        waited for because of the size that it declares; `silence` bounds the wait for a next one."""
        while True:
            begun = self._http.their_state is h11.SEND_BODY  # asked now: after an error it says only that
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                if not self._eof:
                    raise LinkError(Ending.MALFORMED) from error
                raise LinkError(Ending.CUT_SHORT if begun else Ending.RESET) from error
            if event is h11.NEED_DATA:
                data = await self._more(silence)
                self._eof = not data
                self._http.receive_data(data)
            elif isinstance(event, h11.InformationalResponse):
                continue
            elif isinstance(event, h11.Data):
                if self._chunked:  # h11 says where a chunk begins only if its data came with its size
                    self._chunk_tail = ((self._chunk_tail if self._in_chunk else b"") + event.data)[-TAIL:]
                    self._in_chunk = 0 if event.chunk_end else self._in_chunk + len(event.data)
                if self._in_chunk > chunk:
                    raise LinkError(Ending.MALFORMED)
                return event
            elif isinstance(event, (h11.Response, h11.EndOfMessage)):
                self._in_chunk = 0
                self._chunked = isinstance(event, h11.Response) and any(
                    name == b"transfer-encoding" for name, _ in event.headers
                )
                return event
            else:
                raise LinkError(Ending.RESET)

    async def _more(self, silence: float | None) -> bytes:
        part = bool(self._in_chunk or self._http.trailing_data[0])
        if not part:
            self._part_waited = 0.0
        began = time.monotonic()
        try:
            patience = PART_PATIENCE - self._part_waited if part else silence
            data = await self._reader.piece(self._taken, patience)
        except TimeoutError as error:
            raise LinkError(Ending.MALFORMED if part else Ending.STALLED) from error
        except OSError as error:
            raise LinkError(Ending.RESET) from error
        if part:
            self._part_waited += time.monotonic() - began
        self._taken += len(data)
        self._tail = (self._tail + data)[-TAIL - 2 :]
        return data

    async def rest(self, limit: int = BODY_LIMIT, silence: float | None = None) -> bytes:
        """The rest of the body, which must be small."""
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self.event(silence, limit)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limit:
                    raise LinkError(Ending.MALFORMED)

    @classmethod
    def running(
        cls, address: str, reader: Ear, writer: asyncio.StreamWriter, free: Callable[[], None]
    ) -> Link:
        """A link whose answer another process has read up to the end of a chunk."""
        link = cls(address, reader, writer, free)
        for event in (h11.Request(method="GET", target="/", headers=[("Host", "-")]), h11.EndOfMessage()):
            link._http.send(event)
        link._http.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        link._http.next_event()
        link.written = link._chunked = True
        return link

    def between_chunks(self) -> bool:
        """Whether all that was read ends with a whole chunk, so that another process can read on."""
        if self._chunk_tail.endswith(b"\r\n"):  # it can't be told from the end of the chunk that holds it
            return False
        whole = self._tail.endswith(self._chunk_tail + b"\r\n") and not self._in_chunk
        return whole and not self._http.trailing_data[0] and not self.dead()

    def leave(self) -> int:
        """Its descriptor, for a process that goes on with it."""
        return int(self._writer.get_extra_info("socket").fileno())

    def left(self) -> None:
        """Another process has it: it is closed here without a word to the other side."""
        self._closed = True
        self._writer.transport.abort()
        self._free()

    def done(self) -> bool:
        """Whether the exchange is over and the link can carry another; readies it for that."""
        both = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if both and not self._http.trailing_data[0] and not self.dead():
            self._http.start_next_cycle()
            return True
        return False

    def dead(self) -> bool:
        """Closed by either side, or holding what nobody asked for: it would be taken for the next answer."""
        closed = self._closed or self._reader.at_eof() or self._writer.transport.is_closing()
        return closed or self._eof or self._reader.heard != self._taken

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            # abort() closes the socket a turn of the loop later; what is sent elsewhere must not go first.
            with contextlib.suppress(OSError):
                self._writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            self._writer.transport.abort()
            self._reader.rest()
            self._free()


class Pool:
    """Links by address. Idle ones are kept well short of the time after which the other side closes them:
    what is written to a closed link counts as sent, so a stale one costs a request that may not be resent."""

    def __init__(
        self, descriptors: Descriptors, connect_timeout: float, idle: float, counters: Counter[str]
    ) -> None:
        self._descriptors, self._connect_timeout, self._idle_limit = descriptors, connect_timeout, idle
        self._idle: dict[str, list[Link]] = {}
        self._distrusted: dict[str, float] = {}  # by address: until when
        self._counters = counters

    def _trusted(self, address: str) -> bool:
        return address not in self._distrusted and len(self._distrusted) < MOST_DISTRUSTED

    def lost(self, link: Link, ending: Ending) -> None:
        """A link's use ended badly. Where a kept one was reset as it was used again, the other side (or what
        lies between) drops connections without a word, and each further reuse is a request at stake: one that
        has been written may have run. A new connection costs far less."""
        link.close()
        if link.reused and ending in (Ending.RESET, Ending.BROKE_UNSENT):
            self._counters["links_stale"] += 1
            self._distrusted[link.address] = time.monotonic() + DISTRUST
            self.drop(link.address)

    async def acquire(self, address: str, fresh: bool = False, duty: bool = False) -> Link:
        idle = [] if fresh or not self._trusted(address) else self._idle.get(address, [])
        while idle:
            link = idle.pop()
            if not link.dead() and time.monotonic() - link.idle_since < self._idle_limit:
                self._counters["links_reused"] += 1
                link.reused = True
                return link
            link.close()
        if not self._descriptors.take(duty) and not (self.shed() and self._descriptors.take(duty)):
            raise LinkError(Ending.NO_DESCRIPTOR)
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._connect_timeout):
                reader, writer = await connect(host=host, port=int(port))
        except TimeoutError as error:
            self._descriptors.free()
            raise LinkError(Ending.CONNECT_TIMED_OUT) from error
        except (OSError, ValueError) as error:
            self._descriptors.free()
            # Only a refusal says that no process is there. Guards against a reset of the new connection, or a
            # fault of this side, that is told to all gateways as an engine gone.
            refused = isinstance(error, ConnectionRefusedError)
            raise LinkError(Ending.REFUSED if refused else Ending.BROKE_UNSENT) from error
        except BaseException:
            self._descriptors.free()
            raise
        self._counters["links_opened"] += 1
        return Link(address, reader, writer, self._descriptors.free)

    async def adopt(self, address: str, running: socket.socket) -> Link:
        """A link of another process, in the middle of an answer."""
        reader, writer = await connect(sock=running)
        self._descriptors.accepted()
        return Link.running(address, reader, writer, self._descriptors.free)

    def give_back(self, link: Link) -> None:
        if self._trusted(link.address) and link.done():
            link.idle_since = time.monotonic()
            self._idle.setdefault(link.address, []).append(link)
        else:
            link.close()

    def shed(self) -> bool:
        """Close the link that has been idle longest, for its descriptor."""
        waiting = [links for links in self._idle.values() if links]
        oldest = min(waiting, key=lambda links: links[0].idle_since, default=None)
        if oldest is None:
            return False
        oldest.pop(0).close()
        return True

    def drop(self, address: str) -> None:
        """Close the idle links to an address that is not used any more."""
        for link in self._idle.pop(address, []):
            link.close()

    def sweep(self) -> None:
        now = time.monotonic()
        self._distrusted = {a: until for a, until in self._distrusted.items() if until > now}
        for address, links in list(self._idle.items()):
            limit = time.monotonic() - self._idle_limit
            for link in links:
                if link.dead() or link.idle_since < limit:
                    link.close()
            self._idle[address] = [link for link in links if not link.dead()]
            if not self._idle[address]:
                del self._idle[address]

    async def call(
        self, address: str, method: str, target: str, headers: Headers | None = None, body: bytes = b"",
        wait: float = 1.0, begun: list[bool] | None = None, fresh: bool = False, duty: bool = False,
        limit: int = BODY_LIMIT,
    ) -> Reply:  # fmt: skip
        """One whole small exchange; raises LinkError. `begun` is set when its first byte goes out; `fresh`
        asks for a new connection, which can't be stale."""
        async with self.using(address, wait, fresh, duty) as link:
            if begun is not None:
                begun[0] = True
            await link.send(method, target, headers or [], body)
            event = await link.event()
            if not isinstance(event, h11.Response):
                raise LinkError(Ending.MALFORMED)
            return Reply(event.status_code, dict(event.headers), await link.rest(limit))

    @contextlib.asynccontextmanager
    async def using(
        self, address: str, wait: float, fresh: bool = False, duty: bool = False
    ) -> AsyncIterator[Link]:
        """A link for one exchange of `wait` seconds at the most; raises LinkError. It is kept if the exchange
        has come to its end by then, and closed if not."""
        link = await self.acquire(address, fresh, duty)
        try:
            async with asyncio.timeout(wait):
                yield link
        except TimeoutError as error:
            link.close()
            raise LinkError(Ending.TIMED_OUT if link.written else Ending.BROKE_UNSENT) from error
        except LinkError as error:
            self.lost(link, error.ending)
            raise
        except BaseException:
            link.close()
            raise
        self.give_back(link)


class Runtime:
    """Feeds inputs to the reducer and hands each effect to whoever carries it out."""

    def __init__(
        self, state: core.State, sockets: int, memory_mb: int, connect_timeout: float, idle: float,
        bans: BanFile | None = None, overlap: Overlap | None = None,
    ) -> None:  # fmt: skip
        self.state, self.bans, self._overlap = state, bans, overlap
        self._processes = 1 if overlap is None or overlap.alone() else 2
        self.clock = Clock()
        self.counters: Counter[str] = Counter()
        self.descriptors = Descriptors(sockets)
        self.pool = Pool(self.descriptors, connect_timeout, idle, self.counters)
        self.reconfigure(sockets, memory_mb)
        self.wheel = Wheel(lambda token: self.feed(core.Woken(token)), self.clock.now)
        self.over = asyncio.Event()
        self.on_terminate: list[Callable[[], None]] = []
        self._queue: deque[core.Input] = deque()
        self._feeding = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.carry: dict[type, Callable[[Any], None]] = {
            core.Wake: lambda e: self.wheel.set(e.at, e.token),
            core.Count: lambda e: self.count(e.name),
            core.Say: lambda e: log.info("%s", e.text),
            core.KeepBans: self._keep_bans,
            core.Exit: lambda e: self.over.set(),
        }
        self.feed(core.Sharing(self._processes))

    def reconfigure(self, sockets: int, memory_mb: int) -> None:
        """The limits; what is over a lower one comes down as it ends."""
        self._limits = sockets, memory_mb
        self.memory_mb = memory_mb // self._processes
        self.descriptors.set_limit(sockets // self._processes)
        while self.descriptors.used > self.descriptors.limit and self.pool.shed():
            pass
        self.body_room = int(memory_mb * 1024 * 1024 * BODY_BUDGET) // self._processes

    def count(self, name: str) -> None:
        self.counters[name] += 1

    def feed(self, event: core.Input) -> None:
        self._queue.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._queue:
                for effect in core.reduce(self.state, self.clock.now(), self._queue.popleft()):
                    try:
                        self.carry[type(effect)](effect)
                    except Exception:
                        self.count("effect_faults")
                        log.exception("effect fault: %s", type(effect).__name__)
        finally:
            self._feeding = False

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        """A task that is kept, and whose unexpected end is logged and ends nothing else."""
        task = asyncio.get_running_loop().create_task(self._guarded(work, name), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: work.close())  # cancelled before its first step, it never began
        return task

    async def _guarded(self, work: Coroutine[Any, Any, None], name: str) -> None:
        try:
            await work
        except asyncio.CancelledError:
            raise
        except Exception:
            self.count("task_faults")
            log.exception("task fault: %s", name)

    def print_counters(self) -> None:
        state = self.state
        self.counters["now_requests"] = len(state.requests)
        self.counters["now_releases"] = len(state.releases)
        self.counters["now_descriptors"] = self.descriptors.used
        self.counters["most_descriptors"] = self.descriptors.most
        line = " ".join(f"{name}={value}" for name, value in sorted(self.counters.items()))
        print(f"counters {line}", file=sys.stderr, flush=True)

    def watch_signals(self, reload: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._terminate)
        loop.add_signal_handler(signal.SIGINT, self._terminate)
        loop.add_signal_handler(signal.SIGHUP, reload)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)

    async def watch_other(self) -> None:
        """The other process's calls bind this one too, well within the time that a drain allows, and both
        together keep the limits of one."""
        while self.bans is not None or self._overlap is not None:
            self.look_at_other()
            await asyncio.sleep(OTHER_STEP)

    def look_at_other(self) -> None:
        told = self.bans.news() if self.bans is not None else None
        if told is not None:
            self.feed(told)
        processes = 1 if self._overlap is None or self._overlap.alone() else 2
        if processes != self._processes:
            self._processes = processes
            self.feed(core.Sharing(processes))
            self.reconfigure(*self._limits)
            if processes > 1 and self._overlap is not None:
                self._overlap.tell(core.knowledge(self.state))
            log.info("another process of this gateway %s", "runs" if processes > 1 else "has ended")

    async def take_over(self) -> None:
        """Learn from the process that this one is to replace, before clients come."""
        if self._overlap is not None and self._processes > 1:
            try:
                knowledge = await self._overlap.told()
            except (OSError, ValueError) as error:
                log.error("what the other process knew can't be read: %s", error)
                return
            if knowledge is not None:
                self.feed(core.Recalled(knowledge))

    def hand_on(self, about: dict[str, Any], descriptors: list[int]) -> bool:
        return self._overlap is not None and self._overlap.hand_on(about, descriptors)

    def take_over_streams(self, take: Callable[[Any, list[socket.socket]], None]) -> None:
        if self._overlap is not None:
            self._overlap.take_over_streams(take)

    def _keep_bans(self, effect: core.KeepBans) -> None:
        if self.bans is not None:
            self.bans.keep(effect)

    @staticmethod
    def hold_signals() -> None:
        """All is done: a signal that comes twice must not turn the end in order into a kill. The loop gives
        its handlers back when it closes."""
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

    def _terminate(self) -> None:
        log.info("stopping: finishing %d requests", len(self.state.requests))
        for call in self.on_terminate:
            call()
        self.feed(core.Terminate())

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.pool.sweep()
