"""What is still owed at the instant something ends, on real sockets against the real program.

The crossing is forced: the program is held while bytes, closes and signals gather, or a peer waits at a gate
until the program is seen to be at the named point.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import tempfile
from typing import Any

from tests.standins import (
    DONE,
    PATIENCE,
    Asked,
    FleetTest,
    Gateway,
    Standin,
    answer_plainly,
    reading,
    writing,
)

EVENT = b'data: {"choices":[{"delta":{"content":"hello"}}]}\n\n'
WHOLE = EVENT + DONE
READ = b'HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{"cached_tokens":16}'
FIRST = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
)
LAST = b"%x\r\n%s\r\n0\r\n\r\n" % (len(DONE), DONE)
STREAM = FIRST + LAST


def request(rid: str, cls: str = "ask", body: bytes = b"{}") -> bytes:
    fields = {
        "Host": "backend.local", "X-Correlation-Id": rid, "X-Service-Class": cls, "X-Account": "acme",
        "X-Session-Key": "s" + rid, "X-Time-Left-Ms": "20000",
        "X-Facts": f"prefix=p{rid},prompt_len=512,prefix_len=256", "Content-Length": str(len(body)),
    }  # fmt: skip
    head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return f"POST /v1/chat/completions HTTP/1.1\r\n{head}\r\n".encode() + body


def requests_of(engine: Standin, rid: str) -> int:
    return sum(a.rid == rid and a.target.startswith("/v1") for a in engine.seen)


class Gated:
    """An engine whose answers wait at a gate, one step each, until the test lets them on."""

    def __init__(self, *steps: bytes) -> None:
        self.steps, self.at = steps, asyncio.Queue[tuple[str, int]]()
        self.gates: dict[tuple[str, int], asyncio.Event] = {}

    async def handle(self, asked: Asked) -> None:
        if asked.target.startswith("/state"):
            asked.reply(200 if asked.method == "POST" else 204)
            return
        for step, piece in enumerate(self.steps):
            gate = self.gates.setdefault((asked.rid, step), asyncio.Event())
            self.at.put_nowait((asked.rid, step))
            await gate.wait()
            asked.raw(piece)

    async def until(self, *where: tuple[str, int]) -> None:
        """Until these requests wait at these gates."""
        missing = set(where)
        async with asyncio.timeout(PATIENCE):
            while missing:
                missing.discard(await self.at.get())

    def let_on(self, rid: str) -> None:
        for step in range(len(self.steps)):
            self.gates.setdefault((rid, step), asyncio.Event()).set()


class EndingTest(FleetTest):
    async def plain(self, **options: Any) -> Gateway:
        self.reader = await self.standin(reading())
        self.writer = await self.standin(writing(answer_plainly))
        return await self.fleet(r1=self.reader, w1=self.writer, **options)

    # --- the end of the process -------------------------------------------------------------------------

    async def test_a_request_on_a_resting_connection_that_crosses_sigterm_is_served(self) -> None:
        gateway = await self.plain()
        client = await self.client(gateway)
        self.assertEqual((await client.ask("q1"))[0], 200)
        async with gateway.held():
            client.raw(request("q2"))
            await client.flushed()
            gateway.process.send_signal(signal.SIGTERM)
        self.assertEqual((await client.answer_to_raw())[2], WHOLE)
        self.assertEqual((requests_of(self.reader, "q2"), requests_of(self.writer, "q2")), (1, 1))
        counters = await gateway.ended()
        self.assertEqual((counters["answers_served"], counters["now_requests"]), (2, 0))

    async def test_a_request_that_crosses_the_shutting_of_the_door_is_served_or_left_unread(self) -> None:
        """What is read is answered; what is not finds its connection closed without a byte, so that its
        client may ask again."""
        gateway = await self.plain()
        clients = [await self.client(gateway) for _ in range(6)]
        for i, client in enumerate(clients):
            self.assertEqual((await client.ask(f"a{i}"))[0], 200)
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.until("the door is shut")
        for i, client in enumerate(clients):
            with contextlib.suppress(ConnectionError):
                client.raw(request(f"b{i}"))
                await client.flushed()
        for i, client in enumerate(clients):
            got = await client.to_the_end()
            sent_on = (requests_of(self.reader, f"b{i}"), requests_of(self.writer, f"b{i}"))
            if got:
                self.assertTrue(got.startswith(b"HTTP/1.1 200") and got.endswith(b"0\r\n\r\n"), got)
            self.assertEqual(sent_on, (1, 1) if got else (0, 0))
        counters = await gateway.ended()
        self.assertEqual(counters["requests_taken"], counters["answers_served"])

    async def test_requests_in_each_state_get_their_answer_after_sigterm_and_after_another(self) -> None:
        """Read out, state held and written, stream open, and the last event written but not passed on."""
        reads, writes = Gated(READ), Gated(b"", FIRST, LAST)
        reader, writer = await self.standin(reads.handle), await self.standin(writes.handle)
        gateway = await self.fleet(r1=reader, w1=writer)
        clients = {rid: await self.client(gateway) for rid in ("read", "written", "open", "last")}
        for rid, client in clients.items():
            client.send(rid, cls="order")
        for rid in ("written", "open", "last"):
            reads.let_on(rid)
        await writes.until(("written", 0), ("open", 0), ("last", 0))
        for rid in ("open", "last"):
            writes.gates[rid, 0].set()
        await writes.until(("open", 1), ("last", 1))
        for rid in ("open", "last"):
            writes.gates[rid, 1].set()
        heads = {rid: await clients[rid].head() for rid in ("open", "last")}
        await writes.until(("open", 2), ("last", 2))
        async with gateway.held():
            writes.gates["last", 2].set()
            gateway.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(PATIENCE):
                while not any(a.rid == "last" and a.sent >= len(STREAM) for a in writer.seen):
                    await asyncio.sleep(0)
        await gateway.until("stopping")
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.until("stopping")
        for rid in ("read", "written", "open"):
            reads.let_on(rid)
            writes.let_on(rid)
        for rid, client in clients.items():
            head = heads.get(rid) or await client.head()
            status, _, body, whole = await client.rest(head)
            self.assertEqual((status, body, whole), (200, WHOLE, True), [rid, *gateway.lines])
            self.assertEqual((requests_of(reader, rid), requests_of(writer, rid)), (1, 1))
        counters = await gateway.ended()
        self.assertEqual((counters["answers_served"], counters["now_requests"]), (4, 0))

    async def test_what_waits_for_an_engine_is_refused_also_after_sigterm(self) -> None:
        gateway = await self.fleet()
        client = await self.client(gateway)
        async with gateway.held():
            client.raw(request("q1", "order"))
            await client.flushed()
            gateway.process.send_signal(signal.SIGTERM)
        status, headers, _, _ = await client.answer_to_raw()
        self.assertEqual(status, 503)
        self.assertGreater(float(headers[b"retry-after"]), 0)
        await gateway.ended()

    async def test_a_kill_just_after_an_accept_leaves_nothing_and_the_next_process_serves(self) -> None:
        gateway = await self.plain()
        client = await self.client(gateway)
        client.raw(request("q1")[:-1])
        await client.flushed()
        await gateway.until_counter("clients_accepted")
        await gateway.kill()
        self.assertEqual(await client.to_the_end(), b"")
        self.assertEqual((self.reader.seen, self.writer.seen), ([], []))
        again = await self.started(Gateway(config=self.config))
        self.assertEqual((await (await self.client(again)).ask("q1"))[0], 200)
        await again.stop()

    # --- the end of a client ----------------------------------------------------------------------------

    async def test_a_client_that_has_closed_as_its_request_is_read_gets_nothing_sent(self) -> None:
        """Links are open, so that an attempt would begin in the next turn of the loop."""
        gateway = await self.plain()
        resting, gone = await self.client(gateway), await self.client(gateway)
        for i in range(2):
            self.assertEqual((await gone.ask(f"a{i}"))[0], 200)
        async with gateway.held():
            gone.raw(request("q1"))
            await gone.flushed()
            gone.close()
            await gone.gone()
        await gateway.until_counter("clients_gone_before")
        self.assertEqual((await resting.ask("q2"))[0], 200)
        self.assertEqual((requests_of(self.reader, "q1"), requests_of(self.writer, "q1")), (0, 0))
        counters = await gateway.stop()
        self.assertEqual((counters["requests_taken"], counters.get("task_faults", 0)), (3, 0))

    async def test_a_client_that_floods_and_leaves_is_seen_to_leave(self) -> None:
        """Guards against what it asked for being sent on: past 64 KiB nothing more was read of it, so that
        its close was not seen."""
        reads = Gated(READ)
        reader, writer = await self.standin(reads.handle), await self.standin(writing(answer_plainly))
        gateway = await self.fleet(r1=reader, w1=writer)
        flood, usual = await self.client(gateway), await self.client(gateway)
        flood.raw(request("q1", "order"))
        await reads.until(("q1", 0))
        flood.raw(request("q2", body=b"x" * 100_000) * 20)
        async with asyncio.timeout(PATIENCE):
            await flood.flushed()
        flood.close()
        await gateway.until_counter("clients_gone")
        reads.let_on("q1")
        reads.let_on("q3")
        self.assertEqual((await usual.ask("q3"))[0], 200)
        self.assertEqual((requests_of(writer, "q1"), requests_of(reader, "q2")), (0, 0))
        counters = await gateway.stop()
        # clients_ahead counts where the flood was read before the close was known: test_request_time.py.
        self.assertEqual((counters["clients_gone"], counters["now_requests"]), (1, 0))

    async def test_commands_that_come_at_once_are_answered_in_turn(self) -> None:
        gateway = await self.plain()
        client = await self.client(gateway)
        client.raw(b"".join(request(f"q{i}", body=b"x" * 30_000) for i in range(8)))
        for _ in range(8):
            self.assertEqual((await client.answer_to_raw())[2:], (WHOLE, True))
        self.assertEqual([requests_of(self.writer, f"q{i}") for i in range(8)], [1] * 8)
        await gateway.stop()

    async def test_commands_that_came_at_once_are_answered_though_the_door_shuts_meanwhile(self) -> None:
        """Guards bytes that are here already: they were dropped with the close after the first answer, whose
        head could not say so. They are refused, as a stream that begins now may find the kill."""
        writes = Gated(FIRST, LAST)
        writer = await self.standin(writes.handle)
        gateway = await self.fleet(r1=await self.standin(reading()), w1=writer)
        client = await self.client(gateway)
        client.raw(request("q1") + request("q2"))
        await writes.until(("q1", 0))
        writes.gates["q1", 0].set()
        client.as_asked()
        head = await client.head()
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.until("the door is shut")
        writes.let_on("q1")
        writes.let_on("q2")
        self.assertEqual((await client.rest(head))[2:], (WHOLE, True))
        status, headers, _, _ = await client.answer_to_raw()
        self.assertEqual((status, headers[b"connection"]), (503, b"close"))
        self.assertEqual(await client.to_the_end(), b"")
        self.assertEqual(requests_of(writer, "q2"), 0)
        self.assertEqual((await gateway.ended())["answers_served"], 1)

    async def test_a_refused_request_gets_its_answer_though_more_is_unread_behind_it(self) -> None:
        """A close over unread bytes resets the connection: the answer has to be out by then."""
        gateway = await self.plain()
        for _ in range(5):
            client = await self.client(gateway)
            async with gateway.held():
                client.raw(b"POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
                client.raw(b"x" * 900_000)
                client.write_end()
            got = await client.to_the_end()
            self.assertTrue(got.startswith(b"HTTP/1.1 404"), got[:40])
        self.assertEqual((await gateway.stop())["bad_requests_404"], 5)

    async def test_a_client_that_leaves_during_a_connect_gets_nothing_sent(self) -> None:
        with socket.socket() as full:  # its queue is full, so that connections to it do not come up
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            full.setblocking(False)
            with socket.create_connection(full.getsockname()), contextlib.ExitStack() as stack:
                for _ in range(4):
                    waiting = stack.enter_context(socket.socket())
                    waiting.setblocking(False)
                    waiting.connect_ex(full.getsockname())
                address = f"127.0.0.1:{full.getsockname()[1]}"
                gateway = await self.fleet(r1=address, w1=await self.standin(writing(answer_plainly)))
                client = await self.client(gateway)
                async with gateway.held():
                    client.raw(request("q1"))
                    await client.flushed()
                await gateway.until_counter("sends_read")
                client.close()
                await gateway.until_counter("clients_gone")
                counters = await gateway.stop()
                got = b""
                with contextlib.suppress(BlockingIOError):
                    while True:
                        connection, _ = full.accept()
                        connection.setblocking(False)
                        with contextlib.suppress(BlockingIOError), connection:
                            got += connection.recv(100)
        self.assertEqual((got, counters["now_requests"], counters.get("ended_reset", 0)), (b"", 0, 0))

    async def test_an_id_that_comes_again_after_its_request_is_over_reaches_no_engine(self) -> None:
        """Guards "pinned": engines take it for the first request, whose client has gone; the place asked
        for beside its read was held for nobody."""
        reads = Gated(READ)
        reader, writer = await self.standin(reads.handle), await self.standin(writing(answer_plainly))
        gateway = await self.fleet(r1=reader, w1=writer)
        gone = await self.client(gateway)
        gone.send("q1")
        await reads.until(("q1", 0))
        await writer.until("POST", target="/state/q1")
        gone.close()
        await gateway.until_counter("clients_gone")
        await gateway.until_true(lambda counters: not counters["now_requests"])
        again = await self.client(gateway)
        self.assertEqual((await again.ask("q1"))[0], 409)
        reads.let_on("q2")
        self.assertEqual((await (await self.client(gateway)).ask("q2"))[0], 200)
        self.assertEqual((requests_of(reader, "q1"), writer.count("POST", "/state/q1")), (1, 1))
        self.assertEqual((await gateway.stop())["bad_requests_409"], 1)

    async def test_a_request_was_begun_whose_close_stood_behind_more_than_one_piece(self) -> None:
        gateway = await self.plain()
        async with gateway.held():
            client = await self.client(gateway)
            client.raw(request("q1") + b"x" * 300_000)
            await client.flushed()
            client.close()
        await gateway.until_counter("clients_gone_before")
        counters = await gateway.stop()
        self.assertEqual(counters.get("requests_taken", 0), 0)
        self.assertEqual((self.reader.seen, requests_of(self.writer, "q1")), ([], 0))

    async def test_half_a_request_and_then_a_close_costs_nobody_anything(self) -> None:
        gateway = await self.plain()
        whole = request("q1", body=b"x" * 50)
        for cut in range(1, len(whole), 7):
            client = await self.client(gateway)
            client.raw(whole[:cut])
            await client.flushed()
            client.close()
        usual = await self.client(gateway)
        self.assertEqual((await usual.ask("q2"))[0], 200)
        counters = await gateway.stop()
        self.assertEqual((counters["requests_taken"], counters.get("task_faults", 0)), (1, 0))
        self.assertEqual(len([a for a in self.reader.seen if a.target.startswith("/v1")]), 1)

    async def test_a_request_in_pieces_of_one_byte_is_one_request(self) -> None:
        gateway = await self.plain()
        client = await self.client(gateway)
        for byte in request("q1", body=b'{"model":"chat"}'):
            client.raw(bytes([byte]))
            await client.flushed()
            await asyncio.sleep(0)
        self.assertEqual((await client.answer_to_raw())[2:], (WHOLE, True))
        self.assertEqual((await self.reader.until("POST")).body, b'{"model":"chat"}')
        await gateway.stop()

    # --- the end of an engine's connection ----------------------------------------------------------------

    async def test_a_kept_link_that_its_engine_ends_as_it_is_wanted_carries_nothing(self) -> None:
        for end in (Asked.close, Asked.reset):
            gateway = await self.plain()
            client = await self.client(gateway)
            self.assertEqual((await client.ask("q1", cls="order"))[0], 200)
            async with gateway.held():
                client.raw(request("q2", "order"))
                await client.flushed()
                for asked in (*self.reader.seen, *self.writer.seen):
                    end(asked)
                await asyncio.sleep(0)  # a transport's abort is carried out in the next turn
            self.assertEqual((await client.answer_to_raw())[2:], (WHOLE, True), end)
            self.assertEqual((requests_of(self.reader, "q2"), requests_of(self.writer, "q2")), (1, 1))
            await gateway.stop()

    async def cut_at(self, answer: bytes, reads: bool, ends: Any) -> None:
        """An engine's answer that breaks off at each byte: what is safe is served by the next attempt or ends
        with its stream; an order is written once, and each request gets one end."""
        cut = 0

        async def break_off(asked: Asked) -> None:
            if asked.target.startswith("/state"):
                asked.reply(409 if asked.method == "POST" else 204)
            elif asked.rid in broken:
                asked.raw(READ if reads else STREAM)
            else:
                broken.add(asked.rid)
                asked.raw(answer[:cut])
                await asked.flushed()
                ends(asked)

        broken: set[str] = set()
        engine = await self.standin(break_off)
        other = await self.standin(writing(answer_plainly, 409) if reads else reading())
        r1, w1 = (engine, other) if reads else (other, engine)
        gateway = await self.fleet(r1=r1, w1=w1)
        for cut in range(len(answer)):
            for cls in ("ask", "order"):
                rid = f"{cls}{cut}"
                client = await self.client(gateway)
                status, _, body, whole = await client.ask(rid, cls=cls)
                client.close()
                began = not reads and EVENT in answer[:cut]
                if began:
                    self.assertEqual((status, whole), (200, False), rid)
                    self.assertTrue(WHOLE.startswith(body), rid)
                elif cls == "ask" or reads:
                    self.assertEqual((status, body, whole), (200, WHOLE, True), rid)
                else:
                    self.assertEqual(status, 502, rid)
                writes = requests_of(other if reads else engine, rid)
                self.assertEqual(writes, 2 if cls == "ask" and not reads and not began else 1, rid)
        counters = await gateway.stop()
        self.assertEqual((counters["now_requests"], counters["now_releases"]), (0, 0))
        self.assertEqual(counters.get("attempt_faults", 0) + counters.get("task_faults", 0), 0)

    async def test_a_read_answer_that_breaks_off_at_each_byte(self) -> None:
        await self.cut_at(READ, True, Asked.close)

    async def test_a_stream_that_breaks_off_at_each_byte(self) -> None:
        await self.cut_at(STREAM, False, Asked.close)

    async def test_a_stream_that_is_reset_at_each_byte(self) -> None:
        await self.cut_at(STREAM, False, Asked.reset)

    async def test_each_event_is_passed_on_before_the_next_is_written(self) -> None:
        """Beside a neighbour that pours: an event that is held back for the next one would wait for ever."""
        got = asyncio.Queue[bytes]()

        async def one_by_one(asked: Asked) -> None:
            asked.begin()
            for i in range(20):
                event = b"data: %d\n\n" % i
                asked.chunk(event)
                if asked.rid == "q1":
                    async with asyncio.timeout(PATIENCE):
                        while await got.get() != event:
                            pass
                else:
                    asked.chunk(b"data: " + b"x" * 60_000 + b"\n\n")
            asked.finish()

        gateway = await self.fleet(
            r1=await self.standin(reading()), w1=await self.standin(writing(one_by_one))
        )
        client, neighbour = await self.client(gateway), await self.client(gateway)
        neighbour.send("q0")
        client.send("q1")
        await client.head()
        for _ in range(20):
            got.put_nowait(bytes((await client.event()).data))
        self.assertTrue((await neighbour.answer())[3])
        await gateway.stop()

    # --- the end of a watch -------------------------------------------------------------------------------

    async def drained(self, gateway: Gateway, one: Standin, two: Standin) -> None:
        """Once the drain of w1 is known, all go to w2."""
        await gateway.until_counter("lists_delta")
        before = one.count("POST", "/v1")
        client = await self.client(gateway)
        for i in range(6):
            self.assertEqual((await client.ask(f"late{i}"))[0], 200)
        self.assertEqual((one.count("POST", "/v1"), two.count("POST", "/v1")), (before, 6))

    def drain(self, version: int = 42) -> bytes:
        gone = [{**self.entries["w1"], "lifecycle": "draining"}]
        return json.dumps({"generation": version, "reset": False, "instances": gone}, indent=2).encode()

    async def two_writers(self) -> tuple[Gateway, Standin, Standin]:
        one, two = [await self.standin(writing(answer_plainly)) for _ in range(2)]
        return await self.fleet(r1=await self.standin(reading()), w1=one, w2=two), one, two

    async def test_a_watch_is_reset_just_before_a_drain_that_comes_in_pieces(self) -> None:
        gateway, one, two = await self.two_writers()
        (await self.discovery.until("GET", 1)).reset()
        self.discovery.handler = self.dribble
        await self.drained(gateway, one, two)
        counters = await gateway.stop()
        self.assertEqual(counters["discovery_failures"], 1)

    async def dribble(self, asked: Asked) -> None:
        """The drain, byte by byte and indented; then nothing."""
        if "from=42" in asked.target:
            await asked.closed()
        body = self.drain()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        for byte in head + body:
            asked.raw(bytes([byte]))
            await asked.flushed()

    async def test_a_watch_falls_silent_and_what_it_missed_is_learnt_by_the_next(self) -> None:
        gateway, one, two = await self.two_writers()
        await self.discovery.until("GET", 1)
        # Nothing will ever come on that one. The next is answered at once.
        self.discovery.handler = self.dribble
        await self.drained(gateway, one, two)
        await gateway.stop()

    async def test_a_drain_that_crosses_a_move_of_discovery_is_learnt(self) -> None:
        """Told is what discovery has written: here it is on its way, or just about to be, as discovery moves
        to a place that says nothing yet."""

        async def say_nothing(asked: Asked) -> None:
            await asked.closed()

        for on_its_way in (True, False):
            gateway, one, two = await self.two_writers()
            self.news.put_nowait(b'{"generation":41,"reset":false,"instances":[]}')
            watch = await self.discovery.until("GET", 2)
            place = await self.standin(say_nothing)
            async with gateway.held():
                if on_its_way:
                    watch.reply(200, self.drain())
                    await watch.flushed()
                gateway.replace_file({"discovery": place.address})
                gateway.process.send_signal(signal.SIGHUP)
            await gateway.until("reloaded")
            if not on_its_way:
                watch.reply(200, self.drain())
            await self.drained(gateway, one, two)
            await gateway.stop()

    async def test_idle_clients_fill_the_descriptors_while_discovery_is_down(self) -> None:
        """The gateway keeps descriptors for its own needs, and learns of a drain as discovery is back."""
        one, two = [await self.standin(writing(answer_plainly)) for _ in range(2)]
        gateway = await self.fleet(sockets=128, r1=await self.standin(reading()), w1=one, w2=two)
        down = asyncio.Event()

        async def refuse(asked: Asked) -> None:
            down.set()
            asked.reset()

        (await self.discovery.until("GET", 1)).reset()
        self.discovery.handler = refuse
        async with asyncio.timeout(PATIENCE):
            await down.wait()
        crowd = await asyncio.gather(*(self.client(gateway) for _ in range(300)))
        await gateway.until_counter("clients_accepted", 300)
        self.discovery.handler = self.dribble
        await self.drained(gateway, one, two)
        counters = await gateway.stop()
        self.assertEqual(len(crowd), 300)
        self.assertGreater(counters["clients_made_room"], 0)
        self.assertTrue(any("clients fill" in line for line in gateway.lines))
        self.assertLessEqual(counters["most_descriptors"], 128)


class KilledProcessTest(FleetTest):
    """A process that follows a kill, while discovery is silent and the configuration is older."""

    async def test_a_drain_that_was_told_before_a_kill_holds_for_the_process_that_follows(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        drains, stays = await self.standin(reading()), await self.standin(reading())
        writer = await self.standin(writing(answer_plainly))
        gateway = await self.fleet(r1=drains, r2=stays, w1=writer, scratch=folder.name)
        self.tell(42, "r1", "draining")
        await gateway.until_counter("lists_delta")
        await gateway.kill()
        before = drains.count("POST", "/v1")
        client = await self.client(await self.started(Gateway(config=self.config, scratch=folder.name)))
        for number in range(8):
            status, _, _, whole = await client.ask(f"q{number}")
            self.assertEqual((status, whole), (200, True))
        self.assertEqual(drains.count("POST", "/v1"), before)
