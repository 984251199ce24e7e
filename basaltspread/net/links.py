"""Connections to other parties (engines, discovery, tool servers) and their pool.

It knows HTTP messages (parsed by h11) but none of any front's paths, headers or meanings. It must never
decide what becomes of a request.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import h11

from basaltspread.control.descriptor_budget import DescriptorBudget, DescriptorUse, HeldDescriptor
from basaltspread.endings import Ending
from basaltspread.net import tcp_info
from basaltspread.net.log_limit import LineLimit
from basaltspread.net.readers import PieceSize, Silence, TimedReader, connect, largest_piece
from basaltspread.net.turns import TurnBudget
from basaltspread.records import record
from basaltspread.structures import system_faults as faults
from basaltspread.structures.chunks import ChunkFraming
from basaltspread.structures.progress import Progress

log = logging.getLogger("basaltspread")
BODY_LIMIT = 256 * 1024
SEND_SIZE = 32 * 1024  # bytes of a request that are handed to the system at once
CHUNK_LIMIT = 256 * 1024  # bytes that a chunk may declare
PART_WINDOW = 1.0  # s in which a head or a chunk that has begun has to make progress
HEAD_LIMIT = 32 * 1024
DISTRUST = 30.0  # s in which no kept link to an address is used, after one was reset as it was used again
MOST_DISTRUSTED = 3  # addresses; with so many, no kept link to any address is used
LOCAL_FAULT_PAUSE = 0.005  # s between two tries to connect while this machine can't, at first
LONGEST_LOCAL_FAULT_PAUSE = 0.05  # s
LOCAL_FAULT_PATIENCE = 2.0  # s of such tries in one attempt
Headers = list[tuple[bytes, bytes]]


def load_json(text: str | bytes) -> Any:
    """A peer's JSON; raises ValueError for all that is none, nesting without end included."""
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


class LinkError(Exception):
    """A link could not be used; says how its use ended."""

    def __init__(self, ending: Ending) -> None:
        super().__init__(ending.value)
        self.ending = ending


def failure_name(error: LinkError | ValueError) -> str:
    """Why a call to a peer failed, for a counter's name: how its connection's use ended, or `unreadable` for
    an answer that arrived whole."""
    return error.ending.name.lower() if isinstance(error, LinkError) else "unreadable"


@record
class Reply:
    """A whole small answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class Link:
    """One connection to another party, with its h11 state. One request at a time."""

    def __init__(
        self,
        address: str,
        reader: TimedReader,
        writer: asyncio.StreamWriter,
        descriptor: HeldDescriptor,
    ) -> None:
        self.address, self._reader, self._writer, self.descriptor = address, reader, writer, descriptor
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT)
        self._eof = self._closed = False
        self._taken = 0  # bytes read so far
        self._framing: ChunkFraming | None = None  # of the answer's body, where it comes in chunks
        self._delivered = 0  # bytes of such a body that were given out
        self._progress = Progress()  # of what has begun
        self._turn = TurnBudget()
        self.idle_since = 0.0
        self.reused = False
        self.written = False  # the last byte of the present request has gone out
        self._sent = 0  # bytes of the present request
        writer.transport.set_write_buffer_limits(high=0)  # so that drain means: all of it is written

    async def send(self, method: str, target: str, headers: Headers, body: bytes | Sequence[bytes]) -> None:
        """Write one request; raises LinkError. A body in pieces is handed to the system piece by piece: of a
        large one, no copy waits here for an engine that reads slowly."""
        self.written = False
        pieces = body if not isinstance(body, bytes) else (body,) if body else ()
        head: Headers = [(b"Host", self.address.encode()), *headers]
        if pieces or method == "POST":
            head.append((b"Content-Length", str(sum(map(len, pieces))).encode()))
        out = self._http.send(h11.Request(method=method, target=target, headers=head)) or b""
        self._sent = 0
        for piece in pieces:
            out += self._http.send(h11.Data(data=piece)) or b""
            if len(out) >= SEND_SIZE:
                await self._hand_over(out)
                out = b""
        await self._hand_over(out + (self._http.send(h11.EndOfMessage()) or b""))
        self.written = True

    async def _hand_over(self, out: bytes) -> None:
        """Until the system has it all. What it has taken may reach the other side, whatever becomes of the
        connection: only bytes that stay in the transport's buffer are certainly unsent."""
        self._sent += len(out)
        self._writer.write(out)
        if self._writer.transport.is_closing():
            raise LinkError(Ending.BROKE_UNSENT)
        if self._writer.transport.get_write_buffer_size():
            try:
                await self._writer.drain()
            except OSError as error:
                raise LinkError(Ending.BROKE_UNSENT) from error

    async def event(
        self, silence: float | None = None, chunk: int = CHUNK_LIMIT, window: float = PART_WINDOW
    ) -> h11.Event:
        """The next event of the answer. A head or a chunk that has begun must make progress in each `window`
        s; `silence` bounds the wait for a next one. `chunk` counts as the head is read: no chunk of its body
        may declare more bytes."""
        while True:
            await self._turn.spend()
            begun = self._http.their_state is h11.SEND_BODY  # asked now: after an error it says only that
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                if not self._eof:
                    raise LinkError(Ending.MALFORMED) from error
                raise LinkError(Ending.CUT_SHORT if begun else Ending.RESET) from error
            if event is h11.NEED_DATA:
                self._refuse_endless_chunk(1)
                data = await self._more(silence, window)
                self._eof = not data
                self._http.receive_data(data)
                if self._framing is not None:
                    self._framing.feed(data)
            elif isinstance(event, h11.InformationalResponse):
                continue
            elif isinstance(event, h11.Data):
                self._delivered += len(event.data)
                self._refuse_endless_chunk(0)
                return event
            elif isinstance(event, h11.Response):
                if any(name == b"transfer-encoding" for name, _ in event.headers):
                    self._framing, self._delivered = ChunkFraming(chunk), 0
                    self._framing.feed(self._http.trailing_data[0])
                return event
            elif isinstance(event, h11.EndOfMessage):
                self._framing = None
                return event
            else:
                raise LinkError(Ending.RESET)

    def _refuse_endless_chunk(self, next_bytes: int) -> None:
        """A chunk is refused for the size that it declares, as soon as all before it has been given out."""
        framing = self._framing
        if framing is not None and framing.too_large and self._delivered + next_bytes > framing.payload:
            raise LinkError(Ending.MALFORMED)

    async def _more(self, silence: float | None, window: float) -> bytes:
        part = self._framing.inside if self._framing is not None else bool(self._http.trailing_data[0])
        if not part:
            self._progress.begins()
        began = time.monotonic()
        try:
            patience = self._progress.time_left(window) if part else silence
            data = await self._reader.piece(self._taken, patience)
        except Silence as error:
            raise LinkError(Ending.MALFORMED if part else Ending.STALLED) from error
        except OSError as error:
            raise LinkError(Ending.RESET) from error
        self._progress.moved(len(data), time.monotonic() - began)
        self._taken += len(data)
        return data

    async def rest(self, limit: int = BODY_LIMIT, silence: float | None = None) -> bytes:
        """The rest of the body, which must be small."""
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self.event(silence)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limit:
                    raise LinkError(Ending.TOO_LARGE)

    @classmethod
    def running(
        cls, address: str, reader: TimedReader, writer: asyncio.StreamWriter, descriptor: HeldDescriptor
    ) -> Link:
        """A link whose answer another process has read up to the end of a chunk."""
        link = cls(address, reader, writer, descriptor)
        for event in (h11.Request(method="GET", target="/", headers=[("Host", "-")]), h11.EndOfMessage()):
            link._http.send(event)
        link._http.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        link._http.next_event()
        link.written, link._framing = True, ChunkFraming(CHUNK_LIMIT)
        return link

    def between_chunks(self) -> bool:
        """Whether all that was read ends with a whole chunk, so that another process can read on."""
        framing = self._framing
        between = framing is not None and framing.payload > 0 and not framing.inside
        return between and not self._http.trailing_data[0] and not self.dead()

    def leave(self) -> int:
        """Its descriptor, for a process that goes on with it."""
        return int(self._writer.get_extra_info("socket").fileno())

    def left(self) -> None:
        """Another process has it: it is closed here without a word to the other side."""
        self._closed = True
        self._writer.transport.abort()
        self.descriptor.free()

    def progress(self) -> str:
        """For the log: on what kind of connection the present request went out, and how far it got."""
        kind = "kept" if self.reused else "new"
        open_bytes = tcp_info.unacknowledged(self._writer.get_extra_info("socket"))
        arrived = "?" if open_bytes is None else str(max(0, self._sent - open_bytes))
        return f"{kind} connection, {self._sent} bytes written, {arrived} acknowledged"

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
            self.descriptor.free()


class Pool:
    """Links by address. Idle ones are kept well short of the time after which the other side closes them:
    what is written to a closed link counts as sent, so a stale one costs a request that may not be resent."""

    def __init__(
        self, descriptors: DescriptorBudget, connect_timeout: float, idle: float, counters: Counter[str],
        piece: PieceSize = largest_piece,
    ) -> None:  # fmt: skip
        """`piece` says how much may be read from a connection at once."""
        self._piece = piece
        self._descriptors, self._connect_timeout, self._idle_limit = descriptors, connect_timeout, idle
        self._idle: dict[str, list[Link]] = {}
        self._distrusted: dict[str, float] = {}  # by address: until when
        self._counters = counters
        self._local_fault_lines = LineLimit()
        # Frees a descriptor that no link holds, where all are held; whether there was one.
        self.make_room: Callable[[], bool] = lambda: False

    def _trusted(self, address: str) -> bool:
        return address not in self._distrusted and len(self._distrusted) < MOST_DISTRUSTED

    def lost(self, link: Link, ending: Ending) -> None:
        """A link's use ended badly. Where a kept one was reset as it was used again, the other side (or what
        lies between) drops connections without a word, and each further reuse is a request at stake: one that
        has been written may have run. A new connection costs far less. Calls to a registry may be made
        again whatever became of them."""
        link.close()
        of_registry = link.descriptor.use is DescriptorUse.REGISTRY
        if link.reused and not of_registry and ending in (Ending.RESET, Ending.BROKE_UNSENT):
            self._counters["links_stale"] += 1
            self._distrusted[link.address] = time.monotonic() + DISTRUST
            self.drop(link.address)

    async def acquire(
        self, address: str, fresh: bool = False, use: DescriptorUse = DescriptorUse.ENGINE
    ) -> Link:
        """A kept link, or a new one; raises LinkError."""
        idle = [] if fresh or not self._trusted(address) else self._idle.get(address, [])
        while idle:
            link = idle.pop()
            if not link.dead() and time.monotonic() - link.idle_since < self._idle_limit:
                self._counters["links_reused"] += 1
                link.reused = True
                link.descriptor.use_for(use)
                return link
            link.close()
        descriptor = self._descriptors.take(use)
        while descriptor is None and (self.shed() or self.make_room()):
            descriptor = self._descriptors.take(use)
        if descriptor is None:
            self._counters[f"descriptors_denied_{use.value}"] += 1
            raise LinkError(Ending.NO_DESCRIPTOR)
        try:
            reader, writer = await self._connect(address)
        except BaseException:
            descriptor.free()
            raise
        self._counters["links_opened"] += 1
        return Link(address, reader, writer, descriptor)

    async def _connect(self, address: str) -> tuple[TimedReader, asyncio.StreamWriter]:
        """A new connection. While this machine itself can't make one, it is tried again: that says nothing of
        the other side, and each attempt given up would be one less that the request has."""
        host, _, port = address.rpartition(":")
        give_up_at, pause = time.monotonic() + LOCAL_FAULT_PATIENCE, LOCAL_FAULT_PAUSE
        while True:
            try:
                async with asyncio.timeout(self._connect_timeout):
                    return await connect(self._piece, host=host, port=int(port))
            except TimeoutError as error:
                raise LinkError(Ending.CONNECT_TIMED_OUT) from error
            except (OSError, ValueError) as error:
                if faults.of_connect(error) is faults.FaultScope.REMOTE:
                    # Only a refusal says that no process is there. Guards against a reset of the new
                    # connection that is told to all gateways as an engine gone.
                    refused = isinstance(error, ConnectionRefusedError)
                    raise LinkError(Ending.REFUSED if refused else Ending.BROKE_UNSENT) from error
                self._note_local_fault(address, error)
                if time.monotonic() >= give_up_at:
                    raise LinkError(Ending.LOCAL_FAULT) from error
            await asyncio.sleep(pause)
            pause = min(2 * pause, LONGEST_LOCAL_FAULT_PAUSE)

    def _note_local_fault(self, address: str, error: Exception) -> None:
        """Counted always, logged once a second."""
        self._counters["local_connect_faults"] += 1
        if self._local_fault_lines.due():
            log.warning("this machine can't connect to %s for now: %s", address, error)

    async def adopt(self, address: str, running: socket.socket) -> Link:
        """A link of another process, in the middle of an answer."""
        reader, writer = await connect(self._piece, sock=running)
        return Link.running(address, reader, writer, self._descriptors.accepted(DescriptorUse.ENGINE))

    def give_back(self, link: Link) -> None:
        """One whose exchange is over."""
        self._keep_or_close(link, link.done())

    def put_back(self, link: Link) -> None:
        """One on which nothing was sent."""
        self._keep_or_close(link, not link.dead())

    def _keep_or_close(self, link: Link, usable: bool) -> None:
        """What was opened on a reserve is not kept, so that no other use gets hold of it. A registry's link
        is: nothing else goes there, and its next call follows at once."""
        on_reserve = self._descriptors.is_over() and link.descriptor.use is not DescriptorUse.REGISTRY
        if usable and self._trusted(link.address) and not on_reserve:
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
        wait: float = 1.0, permitted: Callable[[], bool] | None = None, fresh: bool = False,
        use: DescriptorUse = DescriptorUse.ENGINE, limit: int = BODY_LIMIT, body_wait: float = 0.0,
    ) -> Reply:  # fmt: skip
        """One whole exchange; raises LinkError. `permitted` is asked as its first byte is about to go out;
        `fresh` asks for a new connection, which can't be stale. `wait` s bound all of it; with `body_wait`,
        they bound the wait for the head, and a body that goes on arriving may take so many s more."""
        async with self.using(address, wait + body_wait, fresh, use) as link:
            async with asyncio.timeout(wait if body_wait else None):  # else `using` bounds it
                if permitted is not None and not permitted():
                    raise LinkError(Ending.NOT_SENT)
                await link.send(method, target, headers or [], body)
                event = await link.event(chunk=limit)
            if not isinstance(event, h11.Response):
                raise LinkError(Ending.MALFORMED)
            silence = PART_WINDOW if body_wait else None
            return Reply(event.status_code, dict(event.headers), await link.rest(limit, silence))

    @contextlib.asynccontextmanager
    async def using(
        self, address: str, wait: float, fresh: bool = False, use: DescriptorUse = DescriptorUse.ENGINE
    ) -> AsyncIterator[Link]:
        """A link for one exchange of `wait` seconds at the most; raises LinkError. It is kept if the exchange
        has come to its end by then, and closed if not."""
        link = await self.acquire(address, fresh, use)
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
