"""The platform's front: clients, and their requests at engines, as its protocol words them on HTTP/1.1.

It turns messages into the core's inputs and the core's effects into messages. It must never choose an engine,
send anything a second time, or word a final answer that the core did not ask for (malformed requests, which
the core never sees, excepted).
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
import socket
import time
from collections.abc import Coroutine
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import h11

from basaltspread import core
from basaltspread import interface as api
from basaltspread.config import Gateway
from basaltspread.control.descriptor_budget import DescriptorUse
from basaltspread.control.memory import REQUEST_COST, MemoryClass
from basaltspread.core import Ending, Verdict, guards
from basaltspread.core.guards import Denial, StartFacts
from basaltspread.core.invariants import Invariant
from basaltspread.net.arrivals import Arrivals
from basaltspread.net.client_table import ClientTable, CloseReason
from basaltspread.net.clients import (
    CLIENT_PATIENCE,
    LAST_LOOK,
    REQUEST_PATIENCE,
    Client,
    Exchange,
    ReceivedRequest,
    WaitEnd,
)
from basaltspread.net.connection_admission import ConnectionAdmission
from basaltspread.net.discovery_watch import DiscoveryWatch
from basaltspread.net.engine_calls import EngineCalls
from basaltspread.net.known_ids import KnownIds
from basaltspread.net.links import PART_WINDOW, Link, LinkError
from basaltspread.net.listener import Listener, open_listener
from basaltspread.net.log_limit import LineLimit
from basaltspread.net.memory_guard import MemoryGuard
from basaltspread.net.parsing import BadRequest, arrival_from
from basaltspread.net.partial_events import PartialEvent, PartialEvents
from basaltspread.net.readers import TimedReader, connect
from basaltspread.net.runtime import Runtime
from basaltspread.net.sse import END, TooLong
from basaltspread.structures import events

if TYPE_CHECKING:
    from basaltspread.net.sse import Splitter
    from basaltspread.net.toolcalls import Relay

log = logging.getLogger("basaltspread")
COMPLETIONS = b"/v1/chat/completions"
FIRST_LIST_WAIT = 0.25  # s that clients wait at a start for discovery's first word; it may say nothing
CLOSE_AFTER = 0.4  # s that a connection has rested before a drain closes it
QUEUE = 512  # connections that may wait to be accepted
ACCEPTED_AT_ONCE = 32  # connections; a few ms of one turn, and a late loop has few turns
BAD_REQUEST_LINES = 10  # log lines about them in a second; the counters hold them all
UNANSWERED_LINES = 10  # the same of attempts that wait past the usual time
HALF_READ_PATIENCE = REQUEST_PATIENCE + 0.1  # s at the end for clients in the middle of a request or answer
ERROR_BODY_WAIT = 0.5  # s for the rest of an answer whose status has settled it
STREAM_SILENCE = 4.0  # s between two pieces of a stream; the protocol lets a client wait for 5
EVENT_LIMIT = 64 * 1024  # bytes of a stream's first event
CACHED = re.compile(rb'"cached_tokens"\s*:\s*(\d{1,9})')


class Front:
    """Serves clients, and carries out the core's effects on their requests."""

    def __init__(self, runtime: Runtime, config: Gateway, relay: Relay | None = None) -> None:
        self.runtime, self._config, self._spawn = runtime, config, runtime.spawn
        self._relay_calls = relay
        self._exchanges: dict[str, Exchange] = {}
        self._attempts: dict[tuple[str, int], asyncio.Task[None]] = {}
        self._links: dict[tuple[str, int], Link] = {}  # of the attempts that are out
        self._splitters: dict[tuple[str, int], Splitter] = {}  # of their streams, where tools may be called
        self._clients: dict[Client, asyncio.Task[None]] = {}
        self.client_table = ClientTable()
        self.memory = MemoryGuard(runtime, self.client_table)
        self._partial_events = PartialEvents(self.memory)
        runtime.pool.make_room = self.memory.close_idle_client
        longest = max((c.deadline for c in config.settings.classes), default=0)
        self._ids = KnownIds(config.scratch, config.name, config.memory_mb, longest)
        runtime.reserve(self._ids.size)
        runtime.gauges.append(self._ids.figures)
        self.arrivals = Arrivals(runtime)
        self._admission = ConnectionAdmission(runtime, self.client_table, self.memory)
        self._bad_request_lines = LineLimit(BAD_REQUEST_LINES)
        self._unanswered_lines = LineLimit(UNANSWERED_LINES)
        self._list_awaited = False  # discovery has answered, or had its time to
        self._listener: Listener | None = None
        self.discovery, self._engine_calls = DiscoveryWatch(runtime, config), EngineCalls(runtime)
        self.address = config.listen
        runtime.carry.update({
            core.StartAttempt: self._start_attempt, core.AbandonAttempt: self._abandon_attempt,
            core.PassOn: self._pass_on, core.HandOn: self._hand_on, core.EndStream: self._end_stream,
            core.BreakClient: self._break_client, core.Answer: self._answer,
            core.SayUnanswered: self._say_unanswered,
            core.CloseIdle: lambda e: self._close_idle(CLOSE_AFTER),
            core.StopListening: lambda e: self._stop_listening(),
            core.StopAccepting: lambda e: self._stop_accepting(),
        })  # fmt: skip

    async def start(self) -> None:
        """Let clients come, once discovery has said what changed since the known list was written. Guards
        against sends to an engine that drained meanwhile: to a gateway that starts, it counts as told."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.discovery.first_answer(), FIRST_LIST_WAIT)
        self._list_awaited = True
        facts = StartFacts(list_awaited=self._list_awaited, bans_read=self.runtime.looked_at_files)
        if guards.may_serve(facts) is not None:
            self.runtime.feed(core.Violated(Invariant.SERVED_TOO_EARLY.value))
        self.runtime.measure_memory()
        self._listener = await open_listener(
            "listen",
            self._config.listen,
            self._accept,
            QUEUE,
            ACCEPTED_AT_ONCE,
            self._config.door,
            self.runtime.counters,
            self.runtime.memory.piece,
        )
        self.address = self._listener.address
        self.runtime.take_over_streams(self._take_over)
        self.runtime.feed(core.Serving())
        log.info("serving %s on %s", self._config.name, self.address)

    async def stop(self) -> None:
        """Let answers under way and requests half read come to their end."""
        await asyncio.sleep(2 * LAST_LOOK)
        busy = [task for client, task in self._clients.items() if not client.idle]
        if busy:
            await asyncio.wait(busy, timeout=HALF_READ_PATIENCE)
        left = list(self._clients.items())
        for client, _ in left:
            client.abort(CloseReason.LET_GO)
        if left:
            await asyncio.wait([task for _, task in left], timeout=HALF_READ_PATIENCE)

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()

    def _stop_accepting(self) -> None:
        self._stop_listening()
        self._close_idle(0.0)
        log.info(
            "the door is shut; %d clients are still here, %d in the middle of a request",
            len(self._clients), len(self.arrivals),
        )  # fmt: skip

    def _close_idle(self, rest: float) -> None:
        """A connection just opened, or just answered, may have bytes under way."""
        before = time.monotonic() - rest
        for client in list(self._clients):
            if client.idle and client.rests_since <= before:
                client.let_go()

    async def _accept(self, reader: TimedReader, writer: asyncio.StreamWriter) -> None:
        client = Client(self, reader, writer)
        admitted = self._admission.admits(client)
        # It may have waited at the door as that was shut.
        client.refused = not admitted or not self.runtime.state.accepting
        self.runtime.count("clients_accepted")
        with self._admission.counted(client):
            await self._keep(client, writer, client.serve())

    async def _keep(
        self, client: Client, writer: asyncio.StreamWriter, work: Coroutine[Any, Any, None]
    ) -> None:
        """A client's connection, from its opening here to its end."""
        descriptor = client.descriptor = self.runtime.descriptors.accepted(DescriptorUse.CLIENT)
        task = asyncio.current_task()
        assert task is not None
        self._clients[client] = task
        if not client.leaving():
            self.client_table.opened(client, client.rests_since)
            if not client.idle:  # taken over in the middle of an answer
                self.client_table.busy(client)
        try:
            await work
            async with asyncio.timeout(CLIENT_PATIENCE):
                await writer.wait_closed()
        except (OSError, TimeoutError):
            pass
        except Exception:
            self.runtime.count("task_faults")
            log.exception("client fault")
        finally:
            client.abort()
            del self._clients[client]
            descriptor.free()

    def note_bad_request(self, error: BadRequest) -> None:
        """Counted always, logged a few times a second: a flood of them must not become a flood of lines."""
        self.runtime.count(f"bad_requests_{error.status}")
        if self._bad_request_lines.due():
            log.info("bad request: %d %s", error.status, error.why)

    def note_refused_arrival(self, head: h11.Request | None) -> None:
        """It counts for its class if its head says of which it is."""
        self.runtime.count("refused_for_memory")
        if head is None:
            return
        fields = {k.decode(): v.decode("latin-1") for k, v in head.headers}
        with contextlib.suppress(BadRequest):
            arrival = arrival_from(fields, self._config.settings)
            self.runtime.feed(core.TurnedAway(arrival.request_class))

    async def route(self, client: Client, received: ReceivedRequest) -> None:
        request = received.head
        path = request.target.split(b"?")[0]
        if path == b"/health/ready":
            client.answer(200, "") if core.door_open(self.runtime.state) else client.answer(503, "not ready")
        elif path != COMPLETIONS:
            raise BadRequest(404, "no such path")
        elif request.method != b"POST":
            raise BadRequest(405, "POST is wanted here")
        else:
            await self._exchange(client, received)

    async def _exchange(self, client: Client, received: ReceivedRequest) -> None:
        request, body = received.head, received.body
        fields = {k.decode(): v.decode("latin-1") for k, v in request.headers}
        arrival = arrival_from(fields, self._config.settings)
        rid = arrival.request
        await asyncio.sleep(0)  # a close that came with the request's last bytes is read by then
        ahead = await client.read_ahead()
        if ahead is WaitEnd.CLIENT_LEFT:
            self.runtime.count("clients_gone_before")
            raise LinkError(Ending.CLIENT_LEFT)
        if ahead is WaitEnd.CLIENT_FLOODS:
            self.runtime.count("clients_flooding")
            client.refused = True
        if client.refused:
            if not self.arrivals.may_finish():
                self.runtime.count(f"refused_{Denial.PROCESS_ENDS.value}")
                log.info("request %s is refused: this process ends", rid)
            self.runtime.feed(core.TurnedAway(arrival.request_class))
            client.answer_last(503, "ask elsewhere, or later", [(b"Retry-After", b"1")])
            return
        if rid in self._exchanges or rid in self.runtime.state.requests:
            raise BadRequest(409, "a request with this X-Correlation-Id is under way")
        if not self.memory.takes(client, REQUEST_COST):
            self.runtime.count("refused_for_memory")
            self.runtime.feed(core.TurnedAway(arrival.request_class))
            client.answer(503, "out of memory for requests", [(b"Retry-After", b"1")])
            return
        denial = guards.may_begin(self._ids.claim(rid))
        if denial is not None:
            self._refuse_id(client, arrival, denial)
            return
        exchange = self._exchanges[rid] = Exchange(client, request, body)
        client.owed = rid
        try:
            spent = round((time.monotonic() - received.began_at) * 1_000_000)
            self.runtime.feed(core.Taken(replace(arrival, time_left=max(0, arrival.time_left - spent))))
            self.arrivals.ends(client)
            await self._until_end(client, exchange, rid)
        finally:
            self.memory.credit(client, MemoryClass.REQUEST)
            del self._exchanges[rid]
            self._ids.ended(rid)

    def _refuse_id(self, client: Client, arrival: api.Arrival, denial: Denial) -> None:
        """Raises BadRequest for an id that is known."""
        self.memory.credit(client, MemoryClass.REQUEST)
        self.runtime.count(f"refused_{denial.value}")
        if denial is Denial.ID_KNOWN:
            raise BadRequest(409, f"request {arrival.request} has been here")
        log.info("request %s is refused: no more ids can be remembered", arrival.request)
        self.runtime.feed(core.TurnedAway(arrival.request_class))
        client.answer(503, "too many requests to remember", [(b"Retry-After", b"1")])

    async def _until_end(self, client: Client, exchange: Exchange, rid: str) -> None:
        ended = await client.wait_for(exchange)
        if ended is WaitEnd.CLIENT_LEFT:
            self.runtime.feed(core.ClientLeft(rid))
            client.close(CloseReason.CLIENT_LEFT)
        elif ended is WaitEnd.CLIENT_FLOODS:
            log.info("%s: its client sends without end and is answered now", rid)
            self.runtime.feed(core.ClientFloods(rid))
            await exchange.done

    # --- streams from one process to the next -----------------------------------------------------------

    def _hand_on(self, effect: core.HandOn) -> None:
        """All in one turn: nothing is read or written between the look and the handing on."""
        key = (effect.request, effect.number)
        exchange, link = self._exchanges.get(effect.request), self._links.get(key)
        if exchange is None or link is None:
            return
        client, splitter = exchange.client, self._splitters.get(key)
        if splitter is not None and not splitter.between:
            return  # a part of an event is here: a tool call may be in it
        if events.ends_whole(exchange.tail):
            return  # only its last chunk is left
        if exchange.passing != effect.number or not (link.between_chunks() and client.can_leave()):
            return
        about = {
            "request": effect.request, "class": effect.request_class,
            "worker": effect.worker, "address": effect.address, "resumed": effect.resumed,
            "tenant": effect.tenant, "calls": effect.calls, "tail": exchange.tail.decode("latin-1"),
        }  # fmt: skip
        if self.runtime.hand_on(about, [client.leave(), link.leave()]):
            link.left()
            client.abort(CloseReason.HANDED_ON)
            self._attempts[key].cancel()
            self.runtime.feed(core.HandedOn(*key))
            exchange.finish()

    def _take_over(self, about: Any, sockets: list[socket.socket]) -> None:
        client, engine = sockets
        request, address = str(about["request"]), str(about["address"])
        effect = core.StartAttempt(request, 0, str(about["worker"]), address, False, 0)
        if request in self._exchanges or request in self.runtime.state.requests:
            raise ValueError(f"{request} is under way here")
        calls = tuple(str(ident) for ident in about["calls"])
        adopted = core.Adopted(
            request,
            int(about["class"]),
            effect.worker,
            bool(about["resumed"]),
            int(about["tenant"]),
            calls,
            address,
        )
        tail = str(about.get("tail", "")).encode("latin-1", "replace")
        self._spawn(self._carry_on(effect, adopted, client, engine, tail), f"taken over {request}")

    async def _carry_on(
        self, effect: core.StartAttempt, adopted: core.Adopted, connection: socket.socket,
        engine: socket.socket, tail: bytes,
    ) -> None:  # fmt: skip
        for taken in (connection, engine):
            taken.setblocking(False)
        link = await self.runtime.pool.adopt(effect.address, engine)
        reader, writer = await connect(sock=connection)
        client = Client(self, reader, writer)
        self.memory.admits(client)
        exchange = self._exchanges[effect.request] = Exchange(client, client.carry_on(), ())
        exchange.passing, exchange.tail = effect.number, tail
        self.runtime.feed(adopted)
        self._start_attempt(effect, link)

        async def work() -> None:
            try:
                await self._until_end(client, exchange, effect.request)
            finally:
                del self._exchanges[effect.request]
                client.close(CloseReason.LAST_ANSWER)

        await self._keep(client, writer, work())

    def _answer(self, effect: core.Answer) -> None:
        exchange = self._exchanges.get(effect.request)
        if exchange is None:
            return
        try:
            if effect.verdict is Verdict.REFUSED:
                when = f"{effect.retry_after / 1e6:.3f}".encode()
                advice = [(b"Retry-After", when)] if effect.retry_after else []
                exchange.client.answer(503, "try again later", advice)
            else:
                exchange.client.answer(502, "the request failed")
        finally:
            exchange.finish()

    def _pass_on(self, effect: core.PassOn) -> None:
        exchange = self._exchanges.get(effect.request)
        if exchange is not None:
            exchange.passing, exchange.body = effect.number, ()  # nothing more is sent for it
            self.memory.credit(exchange.client, MemoryClass.BODY)

    def _end_stream(self, effect: core.EndStream) -> None:
        exchange = self._exchanges.get(effect.request)
        if exchange is not None:
            exchange.client.end_stream()
            exchange.finish()

    def _break_client(self, effect: core.BreakClient) -> None:
        exchange = self._exchanges.get(effect.request)
        if exchange is not None:
            exchange.client.close(CloseReason.STREAM_BROKEN)
            exchange.finish()

    # --- engines ----------------------------------------------------------------------------------------

    def _start_attempt(self, effect: core.StartAttempt, running: Link | None = None) -> None:
        exchange = self._exchanges[effect.request]
        key = (effect.request, effect.number)
        task = self._attempts[key] = self._spawn(self._attempt(effect, exchange, running), f"attempt {key}")
        task.add_done_callback(lambda _: self._attempts.pop(key, None))
        if self._relay_calls is not None:
            self._splitters[key] = self._relay_calls.splitter(*key)
            task.add_done_callback(lambda _: self._splitters.pop(key, None))

    def _abandon_attempt(self, effect: core.AbandonAttempt) -> None:
        """Its connection is closed at once: the task itself would be a turn of the loop later."""
        key = (effect.request, effect.number)
        if key in self._links:
            self._links[key].close()
        if key in self._attempts:
            self._attempts[key].cancel()

    def _say_unanswered(self, effect: core.SayUnanswered) -> None:
        """One line about an attempt that waits past the usual time: what is known of its way."""
        link = self._links.get((effect.request, effect.number))
        if link is None or not self._unanswered_lines.due():
            return
        engine = (
            "never heard" if effect.silent_for is None else f"silent for {effect.silent_for // core.MS} ms"
        )
        log.info(
            "attempt %s/%d %s at %s unanswered for %d ms: %s; engine %s",
            effect.request,
            effect.number,
            "read" if effect.reading else "write",
            effect.worker,
            effect.waited // core.MS,
            link.progress(),
            engine,
        )

    async def _attempt(
        self, effect: core.StartAttempt, exchange: Exchange, running: Link | None = None
    ) -> None:
        """One attempt, from its connection on, or from the middle of its stream."""
        name, number = effect.request, effect.number
        ending, detail = Ending.GATEWAY_FAULT, 0
        report: dict[str, float] = {}
        link: Link | None = None
        cancelled = False
        by = self.runtime.clock.now() + effect.time_left
        try:
            if running is not None:
                link = self._links[name, number] = running
                ending, detail = await self._relay(link, name, number, None, exchange)
                self.runtime.pool.give_back(link)
                return
            link = self._links[name, number] = await self.runtime.pool.acquire(effect.address)
            denial = self.runtime.send_denial(name, number, exchange.client.has_left())
            if denial is not None:
                ending = guards.DENIED_ENDINGS.get(denial, Ending.NOT_SENT)
                self.runtime.pool.put_back(link)
                if denial is Denial.CLIENT_GONE:
                    self.runtime.feed(core.ClientLeft(name))
                    exchange.client.close(CloseReason.CLIENT_LEFT)
                return
            left = max(1, (by - self.runtime.clock.now()) // core.MS)
            headers = [*exchange.headers, (b"X-Time-Left-Ms", str(left).encode())]
            self.runtime.feed(core.Begun(name, number))
            await link.send(exchange.method, exchange.target, headers, exchange.body)
            self.runtime.feed(core.Written(name, number))
            head = await link.event()
            if not isinstance(head, h11.Response):
                raise LinkError(Ending.MALFORMED)
            fields = dict(head.headers)
            if b"x-backend-load" in fields:
                report = self._engine_calls.report(effect.worker, fields[b"x-backend-load"])
            if head.status_code == 200:
                ending, detail = await self._relay(link, name, number, fields, exchange)
            else:
                ending, detail = await self._small_answer(link, head.status_code, fields)
            self.runtime.pool.give_back(link)
        except LinkError as error:
            ending = error.ending
            if link is not None:
                self.runtime.pool.lost(link, ending)
            if ending in (Ending.CLIENT_LEFT, Ending.CLIENT_SLOW):
                self.runtime.feed(core.ClientLeft(name, ending))
                exchange.client.close(CloseReason.CLIENT_LEFT)
        except asyncio.CancelledError:
            cancelled = True
            raise
        except Exception:
            self.runtime.count("attempt_faults")
            log.exception("attempt fault: %s to %s", name, effect.worker)
        finally:
            self._links.pop((name, number), None)
            if link is not None and (cancelled or ending is Ending.GATEWAY_FAULT):
                link.close()
            if not cancelled:
                self.runtime.feed(core.Ended(name, number, ending, detail, report))

    async def _small_answer(self, link: Link, status: int, fields: dict[bytes, bytes]) -> tuple[Ending, int]:
        """A status that settles the attempt; its body matters only after a read."""
        unprocessed = fields.get(b"x-unprocessed") == b"1"
        if status == 202:
            found = CACHED.search(await link.rest(silence=PART_WINDOW))
            return Ending.READ, int(found[1]) if found else 0
        try:
            async with asyncio.timeout(ERROR_BODY_WAIT):
                await link.rest()
        except (LinkError, TimeoutError):
            link.close()
        if unprocessed and status in (503, 504):
            return Ending.TURNED_AWAY, 0
        if unprocessed and status == 410:
            return Ending.STATE_GONE, 0
        return (Ending.SERVER_ERROR if status == 500 else Ending.STRANGE_STATUS), 0

    async def _relay(
        self, link: Link, name: str, number: int, fields: dict[bytes, bytes] | None, exchange: Exchange
    ) -> tuple[Ending, int]:
        """Pass an engine's events on as they come, to its last chunk; without a head, from the middle on. A
        last chunk before the final event is no end of an answer."""
        partial = self._partial_events.of(exchange.client)
        try:
            return await self._relay_events(link, name, number, fields, exchange, partial)
        finally:
            partial.release()

    async def _relay_events(
        self,
        link: Link,
        name: str,
        number: int,
        fields: dict[bytes, bytes] | None,
        exchange: Exchange,
        partial: PartialEvent,
    ) -> tuple[Ending, int]:
        begun, first = fields is None, b""
        tail = exchange.tail if begun else b""
        fields = fields or {b"transfer-encoding": b"chunked"}
        splitter = self._splitters.get((name, number))
        framed = b"transfer-encoding" in fields or b"content-length" in fields
        while True:
            held = len(first) + (splitter.held if splitter is not None else 0)
            await partial.hold(held)
            event = await self._next(link, name, begun)
            over = isinstance(event, h11.EndOfMessage)
            data = bytes(event.data) if isinstance(event, h11.Data) else b""
            del event  # what it holds must not wait for a slow client
            if not begun:
                # Until a whole event is there, what came may be anything; another engine can still answer.
                looked = max(0, len(first) - 3)
                first += data
                if END.search(first, looked) is None:
                    if over or len(first) > EVENT_LIMIT:
                        raise LinkError(Ending.MALFORMED)
                    continue
                begun, data, first = True, first, b""
                self.runtime.feed(core.FirstEvent(name, number))
                if exchange.passing == number:
                    exchange.client.begin_stream(fields.get(b"content-type", b"text/event-stream"))
            if over and not framed:
                raise LinkError(Ending.CUT_SHORT)
            if over:
                rest = splitter.rest() if splitter is not None else b""
                if rest and exchange.passing == number:
                    await exchange.client.stream(rest)
                if not events.ends_whole(tail):
                    raise LinkError(Ending.INCOMPLETE)
                found = CACHED.search(tail)
                return Ending.SERVED, int(found[1]) if found else 0
            tail = events.tail_of(tail, data)
            if exchange.passing == number:
                exchange.tail = tail
            if splitter is not None:
                data = self._split(splitter, data)
            if data and exchange.passing == number:
                await exchange.client.stream(data)
            del data  # the next piece may be long in coming

    async def _next(self, link: Link, name: str, begun: bool) -> h11.Event:
        """The next event of a stream that may pause for tools, but not fall silent. Until it has begun,
        another engine can still answer: its parts have to come sooner."""
        silence, window = STREAM_SILENCE, STREAM_SILENCE if begun else PART_WINDOW
        while True:
            try:
                return await link.event(silence, window=window)
            except LinkError as error:
                since = core.silent_since(self.runtime.state, name)
                silence = STREAM_SILENCE
                if since is not None:
                    silence -= (self.runtime.clock.now() - since) / 1e6
                if error.ending is not Ending.STALLED or silence <= 0:
                    raise

    def _split(self, splitter: Splitter, data: bytes) -> bytes:
        try:
            return splitter.feed(data)
        except TooLong as error:
            self.runtime.count("tool_events_oversized")
            raise LinkError(Ending.MALFORMED) from error
