"""Stand-ins for engines, and the way to each: a proxy that delays, cuts, resets and fragments.

They keep states and places as the protocol's pages say: a place is kept until it is taken, released or
replaced, a release frees what no write waits for, and a process that stands still takes what its system has
as it goes on, given up or not. They write down what reached them and when. They must never know what a
gateway thinks.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import Counter
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from basaltspread.net import tcp_info
from soak.observations import Held, HeldKind, Observations, Sent, Work

READ_SIZE = 65536
READ_TIME = (0.01, 0.05)  # s that a reader takes for a prompt
EVENT_TIME = (0.005, 0.04)  # s between two events of a stream
EVENTS = (3, 12)
FETCH_TIME = 0.005  # s until a writer has fetched a state
PLACES_REFUSED = 0.3  # share of questions for a place
PLACE_UNKNOWN_AFTER = 0.3  # s until a writer says that it does not know of a read
DONE = b"data: [DONE]\n\n"
CALLS = {"POST /v1": "generate", "POST /state": "place", "DELETE /state": "release"}


def gateway_of(request: str) -> int:
    """Requests' ids begin with the number of the gateway that they are sent to."""
    number = request.partition("-")[0].removeprefix("g")
    return int(number) if number.isdigit() else -1


@dataclass
class Mood:
    """What goes wrong with an engine, and on the way to it, for now."""

    frozen: bool = False  # its process stands still, and its system goes on
    turns_away: bool = False
    ends_early: bool = False  # its streams end in order, without their last events
    closes_idle: bool = False
    delay: float = 0.0  # s for each piece
    cut: bool = False
    resets: bool = False
    fragments: bool = False


@dataclass
class Head:
    """The head of a request, as far as a stand-in reads it."""

    method: str
    target: str
    fields: dict[str, str] = field(default_factory=dict)

    @classmethod
    def parse(cls, raw: bytes) -> Head:
        line, *lines = raw.decode("latin-1").split("\r\n")
        method, target, _ = line.split(" ", 2)
        return cls(
            method, target, {k.lower(): v for k, _, v in (one.partition(": ") for one in lines if one)}
        )

    @property
    def request(self) -> str:
        return self.fields.get("x-correlation-id") or self.target.rpartition("/")[2]

    @property
    def call(self) -> str:
        for prefix, name in CALLS.items():
            if f"{self.method} {self.target}".startswith(prefix):
                return name
        return "probe"


class Role(Enum):
    READER = "prefill"
    WRITER = "decode"


class Fleet:
    """All engines, and what is held at them: a release goes round among them."""

    def __init__(self, seen: Observations) -> None:
        self.seen = seen
        self.engines: list[Engine] = []
        self.holding: dict[str, list[Held]] = {}
        self.waiting: Counter[str] = Counter()  # writes that fetch a state, by request
        self.read_over: set[str] = set()  # requests of which no read is out

    def hold(self, engine: Engine, request: str, kind: HeldKind) -> None:
        """One state, and one place, of each request: a new one replaces it."""
        for held in [held for held in self.holding.get(request, []) if held.kind is kind]:
            self._end(held)
        held = Held(engine.name, request, kind, time.monotonic())
        self.holding.setdefault(request, []).append(held)
        self.seen.held.append(held)

    def has_state(self, request: str) -> bool:
        """Whether a state of it waits anywhere."""
        return any(held.kind is HeldKind.STATE for held in self.holding.get(request, []))

    def release(self, request: str) -> None:
        """All goes that no write waits for."""
        if not self.waiting[request]:
            self.taken(request)

    def taken(self, request: str) -> None:
        """A writer has it all."""
        for held in self.holding.get(request, [])[:]:
            self._end(held)

    def lost_with(self, engine: Engine) -> None:
        """Its process has ended."""
        for holders in list(self.holding.values()):
            for held in [held for held in holders if held.engine == engine.name]:
                self._end(held)

    def _end(self, held: Held) -> None:
        held.until = time.monotonic()
        holders = self.holding[held.request]
        holders.remove(held)
        if not holders:
            del self.holding[held.request]


class Engine:
    """One engine behind its proxy."""

    def __init__(
        self, fleet: Fleet, name: str, role: Role, zone: str, seed: int, host: str = "127.0.0.1",
        direct: bool = False,
    ) -> None:  # fmt: skip
        """With `direct` there is no proxy on the way: thousands of them fit in one process."""
        self.fleet, self.name, self.role, self.zone = fleet, name, role, zone
        self._host, self._direct = host, direct
        self.mood, self.started_ms = Mood(), 0
        self.lifecycle = "up"
        self._lot = random.Random(f"{seed} {name}")
        self._ways: set[Way] = set()
        self._server: asyncio.Server | None = None
        self._own: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""
        fleet.engines.append(self)

    async def start(self) -> None:
        """At the same address as before, if there was one."""
        host, _, port = self.address.rpartition(":")
        if self._direct:
            self._own = await asyncio.start_server(
                self._serve, host or self._host, int(port or 0), backlog=64
            )
            self.address = "{}:{}".format(*self._own.sockets[0].getsockname()[:2])
            return
        self._own = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._server = await asyncio.start_server(
            self._proxy, host or "127.0.0.1", int(port or 0), backlog=512
        )
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def die(self) -> None:
        """As a process that is killed: its connections are reset, new ones refused."""
        for server in (self._server, self._own):
            if server is not None:
                server.close()
        for way in list(self._ways):
            way.abort()
        for task in list(self._tasks):
            task.cancel()
        self.fleet.lost_with(self)

    def reset_all(self) -> None:
        for way in list(self._ways):
            way.abort()

    async def _proxy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._own is None or self.mood.resets:
            writer.transport.abort()
            return
        try:
            port = self._own.sockets[0].getsockname()[1]
            inner_reader, inner_writer = await asyncio.open_connection("127.0.0.1", port)
        except (OSError, IndexError):
            writer.transport.abort()
            return
        way = Way(self, (reader, writer), (inner_reader, inner_writer))
        self._ways.add(way)
        try:
            await way.run()
        finally:
            self._ways.discard(way)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                patience = 0.2 if self.mood.closes_idle else 30.0
                async with asyncio.timeout(patience):
                    raw = await reader.readuntil(b"\r\n\r\n")
                head = Head.parse(raw[:-4])
                if self._direct:
                    self.note_sent(head, time.monotonic())
                    await self._while_cut()
                await reader.readexactly(int(head.fields.get("content-length", 0)))
                came_at = time.monotonic()
                await self._thawed()
                if head.call == "generate":
                    await self._unless_closed(self._generate(head, writer), reader)
                else:
                    await self._call(head, came_at, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _while_cut(self) -> None:
        while self.mood.cut:
            await asyncio.sleep(0.02)

    @staticmethod
    async def _unless_closed(work: Coroutine[Any, Any, None], reader: asyncio.StreamReader) -> None:
        """An engine stops to work as its connection closes: one request at a time travels on it, so that
        nothing else comes meanwhile."""
        working, closed = asyncio.create_task(work), asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({working, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not working.done():
                raise ConnectionResetError
            await working
        finally:
            for task in (working, closed):
                task.cancel()
            await asyncio.wait({working, closed})

    async def _thawed(self) -> None:
        """Until the process goes on, if it stands still."""
        while self.mood.frozen:
            await asyncio.sleep(0.01)

    async def _work(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._thawed()

    async def _call(self, head: Head, came_at: float, writer: asyncio.StreamWriter) -> None:
        """A small call is taken whether its connection is still open or not."""
        if head.call == "release":
            self.fleet.release(head.request)
            reply(writer, 204)
        elif head.call == "place":
            reply(writer, await self._place(head.request, came_at))
        elif report := self.probe_report():
            reply(writer, 200, report.encode())
        else:
            reply(writer, 404)

    def probe_report(self) -> str:
        """The load that a probe is told; empty where there are no probes."""
        return ""

    async def _place(self, request: str, came_at: float) -> int:
        """The status for a question for a place. Without a read it may be kept all the same."""
        if self.role is Role.READER:
            return 404
        if self._lot.random() < PLACES_REFUSED:
            return 409
        self.fleet.hold(self, request, HeldKind.PLACE)
        late = time.monotonic() - came_at > PLACE_UNKNOWN_AFTER
        if not late and request not in self.fleet.read_over:
            return 200
        await self._work(max(0.0, came_at + PLACE_UNKNOWN_AFTER - time.monotonic()))
        return 204

    @contextlib.contextmanager
    def _working(self, request: str) -> Iterator[Work]:
        """One read or write, from its taking to its end, however that comes."""
        call = "read" if self.role is Role.READER else "write"
        work = Work(self.name, call, request, gateway_of(request), time.monotonic(), 1.0)
        self.fleet.seen.work.append(work)
        try:
            yield work
        finally:
            work.ended_at = time.monotonic()
            if self.role is Role.READER:
                self.fleet.read_over.add(request)

    async def _generate(self, head: Head, writer: asyncio.StreamWriter) -> None:
        request = head.request
        with self._working(request) as work:
            if self.mood.turns_away:
                work.refused = True
                reply(writer, 503, extra="X-Unprocessed: 1\r\n")
            elif self.role is Role.READER:
                await self._read(head, writer)
            elif not self.fleet.has_state(request):
                work.refused = True
                reply(writer, 410, extra="X-Unprocessed: 1\r\n")
            else:
                await self._write(work, head, writer)

    async def _read(self, head: Head, writer: asyncio.StreamWriter) -> None:
        request = head.request
        await self._work(self._lot.uniform(*READ_TIME))
        if not self._gateway_waits(request, writer):
            raise ConnectionResetError  # as soon as the system knows, however busy this runner is
        self.fleet.hold(self, request, HeldKind.STATE)
        reply(writer, 202, b'{"cached_tokens":0}')

    async def _write(self, work: Work, head: Head, writer: asyncio.StreamWriter) -> None:
        """The state waits where it is until it has been fetched."""
        self.fleet.waiting[work.request] += 1
        try:
            await self._work(FETCH_TIME)
            self.fleet.taken(work.request)
        finally:
            self.fleet.waiting[work.request] -= 1
        await self._stream(work, writer)

    def _gateway_waits(self, request: str, writer: asyncio.StreamWriter) -> bool:
        """Whether the connection on which a request came is open, as the system knows it."""
        if self._direct:
            return not tcp_info.closed_by_peer(writer.get_extra_info("socket"))
        ways = [way for way in self._ways if way.request == request and way.call == "generate"]
        return any(not way.gateway_has_closed() for way in ways)

    def note_sent(self, head: Head, first_byte_at: float) -> None:
        """A gateway's request has come to the way here."""
        call = head.call
        if call == "generate":
            call = "read" if self.role is Role.READER else "write"
        if call == "read":
            self.fleet.read_over.discard(head.request)
        left = head.fields.get("x-time-left-ms")
        self.fleet.seen.sent.append(Sent(
            gateway_of(head.request), self.name, call, head.request, first_byte_at,
            int(left) if left is not None else None,
        ))  # fmt: skip

    async def _stream(
        self, work: Work, writer: asyncio.StreamWriter, whole: asyncio.Future[None] | None = None
    ) -> None:
        """With `whole`, the last event waits for it."""
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        body = b""
        for number in range(self._lot.randint(*EVENTS)):
            await self._work(self._lot.uniform(*EVENT_TIME))
            content = {"choices": [{"delta": {"content": f"{work.request}@{self.name}#{number}"}}]}
            piece = b"data: " + json.dumps(content).encode() + b"\n\n"
            if not body:  # with the first event all goes that is still held for it
                self.fleet.taken(work.request)
            body += piece
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
        if whole is not None:
            await whole
        if self.mood.ends_early:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return
        body += DONE
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(DONE), DONE))
        await writer.drain()
        work.body, work.whole = body, True


def reply(writer: asyncio.StreamWriter, status: int, body: bytes = b"", extra: str = "") -> None:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    writer.write(head.encode() + body)


Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Way:
    """One connection from a gateway to an engine, through the proxy."""

    def __init__(self, engine: Engine, gateway: Stream, inner: Stream) -> None:
        self._engine, self._gateway, self._inner = engine, gateway, inner
        self._head: bytes | None = b""  # of the request that comes in; None: it is known
        self._first_byte_at = 0.0
        self.request = self.call = ""  # the last that was sent on it
        self._fresh = True  # the next bytes of the gateway begin a request

    def gateway_has_closed(self) -> bool:
        """Whether the system knows that the gateway has closed this connection."""
        return tcp_info.closed_by_peer(self._gateway[1].get_extra_info("socket"))

    def abort(self) -> None:
        for _, writer in (self._gateway, self._inner):
            writer.transport.abort()

    async def run(self) -> None:
        up = asyncio.create_task(self._pump(self._gateway[0], self._inner[1], True))
        down = asyncio.create_task(self._pump(self._inner[0], self._gateway[1], False))
        try:
            await asyncio.wait({up, down}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (up, down):
                task.cancel()
            await asyncio.wait({up, down})
            self.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, inward: bool) -> None:
        mood = self._engine.mood
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_SIZE):
                if inward:
                    self._note(data)
                else:
                    self._fresh = True
                while mood.cut:
                    await asyncio.sleep(0.02)
                if mood.delay:
                    await asyncio.sleep(mood.delay)
                step = 7 if mood.fragments else len(data)
                for first in range(0, len(data), step):
                    writer.write(data[first : first + step])
                    await writer.drain()
                    if mood.fragments:
                        await asyncio.sleep(0)

    def _note(self, data: bytes) -> None:
        if self._fresh:
            self._fresh, self._head, self._first_byte_at = False, b"", time.monotonic()
        if self._head is None:
            return
        self._head += data
        raw, end, _ = self._head.partition(b"\r\n\r\n")
        if not end:
            return
        self._head, head = None, Head.parse(raw)
        self.request, self.call = head.request, head.call
        self._engine.note_sent(head, self._first_byte_at)
