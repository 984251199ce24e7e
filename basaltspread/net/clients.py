"""Clients' connections: one request at a time on each, its answer, and the watch for the client's leaving.

It must never choose an engine, send anything to one, or word a final answer that the core did not ask for
(malformed requests, which the core never sees, excepted).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import re
import time
from enum import Enum
from typing import Any, Protocol

import h11

from basaltspread import core
from basaltspread.control.descriptor_budget import HeldDescriptor
from basaltspread.control.memory import MemoryClass
from basaltspread.core import Ending, guards, invariants
from basaltspread.net import tcp_info
from basaltspread.net.arrivals import Arrivals
from basaltspread.net.bodies import Body
from basaltspread.net.client_table import FIRST_BYTES_UNDER_WAY, ClientTable, CloseReason
from basaltspread.net.links import BODY_LIMIT, HEAD_LIMIT, Headers, LinkError
from basaltspread.net.memory_guard import MemoryGuard, OutOfMemory
from basaltspread.net.parsing import BadRequest, check_head
from basaltspread.net.readers import READ_SIZE, TimedReader
from basaltspread.net.runtime import Runtime
from basaltspread.net.turns import TurnBudget
from basaltspread.records import record

log = logging.getLogger("basaltspread")
FIRST_BYTE_PATIENCE = 2.0  # s from a connection's opening to its first byte; it may be closed without one
REQUEST_PATIENCE = 2.5  # s from a request's first byte to its last; a first one's runs from the opening
LAST_LOOK = 0.005  # s for bytes under way, before a resting connection is closed from this side
REST_PATIENCE = 30.0  # s that a connection may rest between two requests
AHEAD_LIMIT = 2 * BODY_LIMIT  # bytes that a client may send while its request is under way
# Bytes dropped of one client while its request is under way: it is answered at once when it sends more. What
# comes is read without a pause until then, so that a close behind it is seen, and no longer: a flood must not
# take the neighbours' time.
DROPPED_LIMIT = 4 * 1024 * 1024
STREAM_DROP_PACE = 0.02  # s between two pieces of such a flood during a stream, when nothing more begins
MOST_FIELDS = 100  # of a head; each costs many times its bytes once it is parsed
FED_AT_ONCE = 16 * 1024  # bytes of read-ahead that are given to the parser
WRITTEN_AT_ONCE = 8 * 1024  # bytes of an answer: what a slow client does not take is copied
STUCK_STEP = 0.25  # s between two looks at whether a client takes its answer
LINGER = REQUEST_PATIENCE  # s in which a client that was refused half-way may take its answer
LINGER_STEP = 0.25  # s between two looks at whether it has gone
BLANK_LINE = re.compile(rb"\n\r?\n")
BLANK_LINE_SIZE = 2  # bytes of one that may have come before its end
CLIENT_PATIENCE = 30.0  # s for a client that does not read its stream
# Not passed on to an engine: of this hop alone, or set anew.
HOP_HEADERS = frozenset((
    b"host", b"connection", b"content-length", b"transfer-encoding", b"x-time-left-ms", b"te", b"upgrade",
    b"keep-alive", b"expect", b"trailer", b"proxy-connection", b"proxy-authorization",
))  # fmt: skip
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 431: b"Request Header Fields Too Large",
    502: b"Bad Gateway", 503: b"Service Unavailable",
}  # fmt: skip


@record
class ReceivedRequest:
    """A whole request, and when the client may have begun to send it, by the monotonic clock in s."""

    head: h11.Request
    body: tuple[bytes, ...]
    began_at: float


GONE = frozenset((CloseReason.CLIENT_LEFT, CloseReason.TOO_SLOW))
BROKEN = frozenset((CloseReason.STREAM_BROKEN, CloseReason.HANDED_ON))


class WaitEnd(Enum):
    """What ended the wait for an answer."""

    ANSWERED = "answered"
    CLIENT_LEFT = "client left"
    CLIENT_FLOODS = "client sent too much ahead"


class Exchange:
    """One client request: what is passed on to engines, and the client that waits for the answer."""

    def __init__(self, client: Client, request: h11.Request, body: tuple[bytes, ...]) -> None:
        self.client, self.body = client, body
        self.method, self.target = request.method.decode(), request.target.decode()
        self.headers: Headers = [(k, v) for k, v in request.headers if k not in HOP_HEADERS]
        self.passing: int | None = None  # the attempt whose stream the client gets
        self.tail = b""  # the last bytes of that stream
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def finish(self) -> None:
        if not self.done.done():
            self.done.set_result(None)


class ClientHost(Protocol):
    """What a client's connection asks of the front that it belongs to."""

    runtime: Runtime
    client_table: ClientTable
    memory: MemoryGuard
    arrivals: Arrivals

    async def route(self, client: Client, received: ReceivedRequest) -> None:
        """Leads one whole request to its answer; raises BadRequest, or LinkError if the client left."""

    def note_bad_request(self, error: BadRequest) -> None:
        """Counts and logs a request that can't be taken."""

    def note_refused_arrival(self, head: h11.Request | None) -> None:
        """Counts a request that was refused before it was whole."""


class Client:
    """One client connection: one request at a time, its answer, and the watch for the client's leaving."""

    def __init__(self, front: ClientHost, reader: TimedReader, writer: asyncio.StreamWriter) -> None:
        self._front, self._reader, self._writer = front, reader, writer
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT)
        self.account = front.memory.open(self)
        self.descriptor: HeldDescriptor | None = None  # once it is kept
        front.memory.came(self, reader.heard)
        reader.on_bytes = lambda size: front.memory.came(self, size)
        self._early = bytearray()  # what came while the answer was awaited
        self._arriving: h11.Request | None = None  # the head of a request that is not whole yet
        self._body = Body()
        self._fields, self._head_tail = 0, b""  # lines of the head that is arriving, and its last bytes
        self._given_up = False  # its request made room for others
        self._early_since = 0.0  # when the first of it came
        self._dropped = 0  # bytes that came ahead past what is kept
        self._consumed = 0  # bytes taken out of the reader
        self.idle = True  # not a byte of a next request has come
        self.spoke = False  # a byte has come at all
        self.rests_since = self._opened = time.monotonic()
        # By its client: it may have waited long in the system's queue, also for an earlier process.
        waited = tcp_info.age(writer.get_extra_info("socket"))
        self._connected_at = self._opened - waited
        front.runtime.load.accepted(int(waited * 1_000_000))
        self._received_at = self._opened  # when the last bytes were handed to the parser
        self.refused = False  # over the budget, or this process ends: its request is refused
        self._wait: asyncio.Timeout | None = None  # for a first byte, while one is waited for
        self._turn = TurnBudget()
        self._last = False  # the connection ends with this answer
        self.owed: str | None = None  # the id of a request that has no final answer yet
        self._ends_for = CloseReason.GATEWAY_FAULT  # why its service ends, once that is known
        writer.transport.set_write_buffer_limits(high=0)  # so that drain means: the system has it all

    async def serve(self) -> None:
        try:
            while await self._one():
                if self._http.trailing_data[0]:
                    await self._turn.give_way()
                self.idle, self.rests_since = True, time.monotonic()
                self._front.client_table.rests(self, self.rests_since)
                if core.leaving(self._front.runtime.state):  # a head that went out before could not say so
                    if not self._early and not self._http.trailing_data[0]:
                        self._ends_for = CloseReason.LET_GO
                        break
                    self.refused = True  # what is read already is answered; sent on, it might not end in time
        except (OSError, LinkError):
            self._ends_for = CloseReason.CLIENT_LEFT
        finally:
            self._front.runtime.counters["client_turns_cut_short"] += self._turn.cut_short
            self.close(self._ends_for)

    def request_id(self) -> str:
        """Of the request that is arriving or owed; empty if it is not known."""
        if self.owed is not None or self._arriving is None:
            return self.owed or ""
        return dict(self._arriving.headers).get(b"x-correlation-id", b"").decode("latin-1")

    def give_up_arrival(self) -> None:
        """Its request has not arrived whole, and makes room for others: it is refused at once, in words."""
        self._given_up = True
        self._drop_arrival()
        self._refuse_arrival()
        self.let_go()

    def _drop_arrival(self) -> None:
        self._body = Body()
        self._early.clear()
        memory = self._front.memory
        memory.arrives(self, False)
        for cls in (MemoryClass.PARSER, MemoryClass.BODY, MemoryClass.READ_AHEAD):
            memory.credit(self, cls)

    def _refuse_arrival(self) -> None:
        self._front.note_refused_arrival(self._arriving)
        self._ends_for = CloseReason.NO_MEMORY
        self.answer_last(503, "out of memory for requests", [(b"Retry-After", b"1")])

    def cut_answer(self) -> None:
        """Its client takes nothing of it, and makes room for others."""
        self.owed = None
        self.abort(CloseReason.TOO_SLOW)

    def close(self, reason: CloseReason) -> None:
        """The one way in which this side closes. What was written still goes out; a stream not ended stays
        without its last chunk."""
        self._let_go_of_all()
        if self._writer.transport.is_closing():
            return
        self._note_close(reason)
        self._writer.close()

    def _let_go_of_all(self) -> None:
        self._front.client_table.left(self)
        self._front.memory.close(self)
        self._body = Body()
        self._early = bytearray()
        self._reader.on_bytes = None

    def _note_close(self, reason: CloseReason) -> None:
        """Asks the guard, and counts the reason."""
        runtime = self._front.runtime
        runtime.count(f"clients_closed_{reason.value}")
        gone = reason in GONE or self.has_left()
        if guards.may_close(self.owed is not None, gone, reason in BROKEN) is not None:
            runtime.feed(core.Violated(invariants.Invariant.CLOSED_UNANSWERED.value, self.owed or ""))

    def carry_on(self) -> h11.Request:
        """For a connection on which another process has begun to answer in chunks. It ends with that answer:
        what its head said of the connection is not known here."""
        self._http.receive_data(b"GET / HTTP/1.1\r\nHost: -\r\n\r\n")
        request = self._http.next_event()
        assert isinstance(request, h11.Request)
        self._http.next_event()
        self._http.send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
        self.idle, self.spoke, self._last = False, True, True
        return request

    def can_leave(self) -> bool:
        """Whether another process can go on with the answer: all that was written is out, nothing came."""
        waiting = self._writer.transport.get_write_buffer_size()
        return not self.leaving() and not waiting and not self._early and not self._reader.at_eof()

    def leave(self) -> int:
        """The connection's descriptor, for that process."""
        return int(self._writer.get_extra_info("socket").fileno())

    def let_go(self) -> None:
        """Close a resting connection, unless the next request's bytes are there already."""
        if self._wait is not None and not self._wait.expired():
            self._wait.reschedule(0.0)

    def leaving(self) -> bool:
        return self._writer.transport.is_closing()

    def has_left(self) -> bool:
        """Its close or a break has come. What it sent before may still be unread; nothing of that counts."""
        return self._reader.ended or tcp_info.closed_by_peer(self._writer.get_extra_info("socket"))

    def abort(self, reason: CloseReason | None = None) -> None:
        """Closes without waiting for what was written to go out; with no reason, what is closed already."""
        self._let_go_of_all()
        if reason is not None:
            self._note_close(reason)
        self._writer.transport.abort()
        if self.descriptor is not None:
            self.descriptor.free()

    async def _one(self) -> bool:
        """Read and answer one request; whether another may follow."""
        refused = False
        try:
            received = await self._read()
            if received is None:
                return False
            try:
                await self._front.route(self, received)
            finally:
                self._front.memory.credit(self, MemoryClass.BODY)
        except OutOfMemory:
            refused = True  # what the exception holds goes before its client is waited for
        except BadRequest as error:
            self._front.note_bad_request(error)
            self.answer_last(error.status, error.why)  # what stands behind it is not read as a request
            self._ends_for = CloseReason.BAD_REQUEST
        except h11.LocalProtocolError:  # the answer was under way when something else went wrong
            self._ends_for = CloseReason.GATEWAY_FAULT
            return False
        finally:
            self._front.arrivals.ends(self)
        if refused:
            await self._linger()
            return False
        try:
            await self._drained()
        except TimeoutError:
            self._ends_for = CloseReason.TOO_SLOW
            return False
        if self._last or self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            if self._ends_for is not CloseReason.BAD_REQUEST:
                self._ends_for = CloseReason.LAST_ANSWER
            return False
        self._http.start_next_cycle()
        return True

    async def _linger(self) -> None:
        """Its request was refused before all of it was read. Closing on what is unread would reset the
        connection, and the answer would be lost with it; nothing more is read, and the connection may make
        room for others."""
        until = time.monotonic() + LINGER
        self._front.client_table.rests(self, time.monotonic())
        while time.monotonic() < until and not self.has_left() and not self.leaving():
            await asyncio.sleep(LINGER_STEP)

    async def _read(self) -> ReceivedRequest | None:
        """The next request, whole; None if the connection ends without one. Raises BadRequest, and
        OutOfMemory once the client has been told."""
        try:
            return await self._read_whole()
        except OutOfMemory:
            if not self._given_up:
                self._drop_arrival()
                self._refuse_arrival()
            raise
        finally:
            self._arriving = None

    async def _read_whole(self) -> ReceivedRequest | None:
        """Every wait is bounded. The client counts its time from the moment it began to send: on a new
        connection, which was opened for the request, that may have been before its first byte."""
        memory = self._front.memory
        self._body, self._fields, self._head_tail = Body(), 0, b""
        by = self._opened + FIRST_BYTE_PATIENCE if not self.spoke else self.rests_since + REST_PATIENCE
        began_at = self._received_at if self.spoke else self._connected_at
        if ahead := self._http.trailing_data[0]:  # it came with the bytes of the request before
            self._begins()
            self._check_fields(ahead)
            by = time.monotonic() + REQUEST_PATIENCE
        while True:
            await self._turn.spend()
            if self._given_up:
                raise OutOfMemory
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                why = "not HTTP/1.1" if not self._reader.ended else "it ended half-way"
                raise BadRequest(status if status in (431, 501) else 400, why) from error
            if event is h11.NEED_DATA:
                if self._arriving is not None and self._http.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
                    self._writer.write(self._http.send(go_on) or b"")
                data, came_at = self._take_early(), self._early_since
                if not data:
                    data = await (self._first_bytes(by) if self.idle else self._more_bytes(by))
                    came_at = time.monotonic()
                    if not data and self.idle:
                        if self.has_left():
                            self._ends_for = CloseReason.CLIENT_LEFT
                        return None
                if self.idle:
                    began_at = came_at if self.spoke else self._connected_at
                    by = self._rest_by()
                    self._begins()
                self._received_at = came_at
                self._check_fields(data)
                self._http.receive_data(data)
                if self._arriving is None:
                    memory.keep(self, MemoryClass.PARSER, len(self._http.trailing_data[0]))
            elif isinstance(event, h11.Request):
                self._arriving = event
                check_head(list(event.headers))
            elif isinstance(event, h11.Data):
                self._body.append(event.data)
                if self._body.size > BODY_LIMIT:
                    raise BadRequest(413, f"the body is over {BODY_LIMIT} bytes")
                memory.keep(self, MemoryClass.BODY, self._body.size)
            elif isinstance(event, h11.EndOfMessage) and self._arriving is not None:
                memory.arrives(self, False)
                memory.keep(self, MemoryClass.PARSER, len(self._http.trailing_data[0]))
                return ReceivedRequest(self._arriving, self._body.pieces(), began_at)
            else:
                self._ends_for = CloseReason.CLIENT_LEFT
                return None

    def _check_fields(self, data: bytes) -> None:
        """Refuses a head of too many fields before it is parsed: a short one costs fifty times its bytes."""
        if self._arriving is not None:
            return
        look = self._head_tail + data
        end = BLANK_LINE.search(look)
        lines = look.count(b"\n", 0, end.end() if end is not None else len(look))
        self._fields += lines - self._head_tail.count(b"\n")
        self._head_tail = look[-BLANK_LINE_SIZE:]
        if self._fields > MOST_FIELDS:
            raise BadRequest(431, f"a head of over {MOST_FIELDS} fields")

    def _rest_by(self) -> float:
        """By when the rest of a request has to come whose first bytes are here. A first one may have waited
        in the system's queue; what else lies there is read at once."""
        now = time.monotonic()
        if self.spoke:
            return now + REQUEST_PATIENCE
        return max(self._connected_at + REQUEST_PATIENCE, now + FIRST_BYTES_UNDER_WAY)

    def _begins(self) -> None:
        """The first bytes of a next request are here."""
        self.idle, self.spoke = False, True
        self._front.client_table.busy(self)
        self._front.memory.arrives(self, True)
        self._front.arrivals.begins(self)

    async def _first_bytes(self, by: float) -> bytes:
        """Of a next request; none if the connection has rested too long, or is let go."""
        try:
            async with asyncio.timeout(by - time.monotonic()) as self._wait:
                return await self._piece()
        except TimeoutError:
            self._front.runtime.count("clients_rested_out" if self.spoke else "clients_silent")
            self._ends_for = CloseReason.RESTED if self.spoke else CloseReason.SAID_NOTHING
        finally:
            self._wait = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_LOOK):
                return await self._piece()
        return b""

    async def _piece(self) -> bytes:
        data = await self._reader.read(READ_SIZE)
        self._consumed += len(data)
        self._front.memory.credit(self, MemoryClass.UNREAD, len(data))
        return data

    async def read_ahead(self) -> WaitEnd | None:
        """Read all that the client has sent behind its request so far, before anything is begun for it: its
        close may stand behind that. None if it is still there."""
        ahead = self._has_sent_ahead()
        while ahead and not self.has_left():
            if self._reader.heard > self._consumed:
                data = await self._piece()  # it is there
                if not self._keeps(data):
                    self._dropped += len(data)
                if self._dropped > DROPPED_LIMIT:
                    return WaitEnd.CLIENT_FLOODS
            for pause in (0.0, 0.0, LAST_LOOK):  # more may be under way, now that there is room
                if self._reader.heard == self._consumed:
                    await asyncio.sleep(pause)
            ahead = self._reader.heard > self._consumed
        return WaitEnd.CLIENT_LEFT if self.has_left() else None

    def _has_sent_ahead(self) -> bool:
        """Whether anything of the client stands behind its request, here or still with the system."""
        here = self._http.trailing_data[0] or self._reader.heard > self._consumed
        return bool(here or tcp_info.unread(self._writer.get_extra_info("socket")))

    async def _more_bytes(self, by: float) -> bytes:
        try:
            await self._front.memory.room_to_read(self, by)
            async with asyncio.timeout(by - time.monotonic()) as self._wait:
                data = await self._piece()
            self.refused = self.refused or not self._front.arrivals.may_finish()
            return data
        except TimeoutError as error:
            if self._given_up:
                raise OutOfMemory from error
            raise BadRequest(408, "the request did not arrive whole") from error
        finally:
            self._wait = None

    def answer(self, status: int, why: str, headers: Headers | None = None) -> None:
        """A whole answer in the gateway's own words."""
        body = b"" if status == 200 else json.dumps({"error": {"message": why, "code": status}}).encode()
        head: Headers = [(b"Content-Length", str(len(body)).encode()), *(headers or [])]
        if body:
            head.append((b"Content-Type", b"application/json"))
        self.owed = None
        self._send_head(status, head)
        for event in (h11.Data(data=body), h11.EndOfMessage()):
            self._writer.write(self._http.send(event) or b"")

    def answer_last(self, status: int, why: str, headers: Headers | None = None) -> None:
        """The same, and the connection ends with it."""
        self._last = True
        self.answer(status, why, headers)

    def _send_head(self, status: int, headers: Headers) -> None:
        if self._last or core.leaving(self._front.runtime.state) or self._http.their_state is not h11.DONE:
            headers = [*headers, (b"Connection", b"close")]
        head = h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b""))
        self._writer.write(self._http.send(head) or b"")

    def begin_stream(self, content_type: bytes) -> None:
        self._send_head(200, [(b"Content-Type", content_type), (b"Transfer-Encoding", b"chunked")])

    async def stream(self, data: bytes) -> None:
        """Pass a piece on; waits while the client reads too slowly. Raises LinkError."""
        for at in range(0, len(data), WRITTEN_AT_ONCE):
            await self._pass_on(data[at : at + WRITTEN_AT_ONCE], len(data) - at)

    async def _pass_on(self, data: bytes, held: int) -> None:
        """One part of it; `held` bytes of the piece are kept meanwhile."""
        if self._writer.transport.is_closing():
            raise LinkError(Ending.CLIENT_LEFT)
        self._writer.write(self._http.send(h11.Data(data=data)) or b"")
        try:
            await self._drained(held)
        except TimeoutError as error:
            raise LinkError(Ending.CLIENT_SLOW) from error
        except OSError as error:
            raise LinkError(Ending.CLIENT_LEFT) from error

    async def _drained(self, held: int = 0) -> None:
        """Until the client reads on, where it has not taken all that was written. A client that takes some of
        it now and then is waited for. Raises TimeoutError, or ConnectionError."""
        waiting = self._writer.transport.get_write_buffer_size()
        if not waiting:
            return
        memory, table = self._front.memory, self._front.client_table
        memory.relays(self, waiting + held)
        moved_at = time.monotonic()
        table.waits(self, moved_at)
        try:
            while not await self._drained_for(STUCK_STEP):
                now, left = time.monotonic(), self._writer.transport.get_write_buffer_size()
                if left < waiting:
                    waiting, moved_at = left, now
                    table.waits(self, now)
                elif now - moved_at >= CLIENT_PATIENCE:
                    raise TimeoutError
        finally:
            table.reads_on(self)
            memory.credit(self, MemoryClass.RELAY)

    async def _drained_for(self, seconds: float) -> bool:
        """Whether all is with the system by then. Raises ConnectionError."""
        try:
            async with asyncio.timeout(seconds) as wait:
                await self._writer.drain()
        except OSError as error:  # ETIMEDOUT among them, which is no wait that ran out
            if wait.expired():
                return False
            raise ConnectionResetError(str(error)) from error
        return True

    def end_stream(self) -> None:
        self.owed = None
        self._writer.write(self._http.send(h11.EndOfMessage()) or b"")

    async def wait_for(self, exchange: Exchange) -> WaitEnd:
        """Until the answer is out, the client goes away, or it sends more than is read of it."""
        done: asyncio.Future[Any] = exchange.done
        while not done.done():
            if self.has_left():
                return WaitEnd.CLIENT_LEFT
            read: asyncio.Future[Any] = asyncio.ensure_future(self._piece())
            await asyncio.wait({read, done}, return_when=asyncio.FIRST_COMPLETED)
            if not read.done():
                # Until the cancelled read is over, the stream refuses another: the connection would be lost.
                read.cancel()
                await asyncio.wait({read})
                break
            data = b"" if read.exception() is not None else read.result()
            if not data:
                return WaitEnd.ANSWERED if done.done() else WaitEnd.CLIENT_LEFT
            if self._keeps(data):
                continue
            self._dropped += len(data)
            if self._dropped <= DROPPED_LIMIT:
                continue
            if exchange.passing is None:
                return WaitEnd.CLIENT_FLOODS
            await asyncio.wait({done}, timeout=STREAM_DROP_PACE)
        return WaitEnd.ANSWERED

    def _keeps(self, data: bytes) -> bool:
        """Whether what came ahead is kept for the next request. However much comes, it is read: else the
        client's leaving would not be seen, and what it asked for would be sent on. What can't be kept is
        dropped, and the connection ends with the answer."""
        room = not self._last and len(self._early) + len(data) <= AHEAD_LIMIT
        if room and self._front.memory.keeps_ahead(self, len(data)):
            if not self._early:
                self._early_since = time.monotonic()
            self._early += data
            return True
        if not self._last:
            self._last = True
            self._front.runtime.count("clients_ahead")
            log.info("a client sent %d bytes ahead; what follows is dropped", len(self._early))
        return False

    def _take_early(self) -> bytes:
        """The next part of what came ahead."""
        data = bytes(self._early[:FED_AT_ONCE])
        del self._early[:FED_AT_ONCE]
        self._front.memory.credit(self, MemoryClass.READ_AHEAD, len(data))
        return data
