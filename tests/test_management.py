"""Operators' calls, on real sockets and in the core."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from typing import Any
from unittest import mock

from basaltspread import core
from basaltspread import interface as api
from basaltspread.net.clients import Client
from basaltspread.net.links import Link
from basaltspread.net.readers import TimedReader
from basaltspread.net.shared_files import BanFile
from tests.standins import (
    DONE,
    PATIENCE,
    ROOT,
    Asked,
    FleetTest,
    Gateway,
    answer_plainly,
    exchange,
    reading,
    writing,
)

ANYWHERE = {"management": "127.0.0.1:0"}


def request(rid: str) -> bytes:
    """A request as bytes, to be written in pieces."""
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Account: acme\r\n"
        f"X-Correlation-Id: {rid}\r\nX-Service-Class: ask\r\nX-Session-Key: s-{rid}\r\n"
        "X-Time-Left-Ms: 20000\r\nX-Facts: prompt_len=512\r\nContent-Length: 2\r\n\r\n{}"
    ).encode()


class ManagedTest(FleetTest):
    async def managed(self, **options: Any) -> Gateway:
        self.reader = await self.standin(reading())
        self.writer = await self.standin(writing(answer_plainly))
        options = {"r1": self.reader, "w1": self.writer, **options}
        return await self.fleet(more=ANYWHERE, **options)


class ManagementTest(ManagedTest):
    async def test_what_is_not_a_call_gets_its_own_4xx(self) -> None:
        gateway = await self.managed()
        end = b" HTTP/1.1\r\nHost: x\r\n\r\n"
        for pieces, status in (
            ((b"GET /-/ready" + end,), 200), ((b"GET /-/re", b"ady" + end), 200),
            ((b"PUT /-/ready" + end,), 405), ((b"GET /-/nothing" + end,), 404),
            ((b"GET /health/ready" + end,), 404), ((b"POST /v1/chat/completions" + end,), 404),
            ((b"nonsense\r\n\r\n",), 400),
            ((b"GET /-/ready HTTP/1.1\r\n\r\n",), 400), ((b"x" * 9000,), 431),
            ((b"GET /-/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n", b"x" * 9000), 413),
            ((b"GET /-/ready HTTP/1.1\r\nHost:",), 408),
        ):  # fmt: skip
            self.assertEqual((await exchange(gateway.management, *pieces))[0], status, pieces[0][:40])
        self.assertEqual((await gateway.stop()).get("task_faults", 0), 0)

    async def test_callers_that_say_nothing_make_room_for_those_that_call(self) -> None:
        """Guards the descriptors set aside for operators: all of them may be held by silent callers."""
        gateway = await self.managed()
        host, _, port = gateway.management.rpartition(":")
        silent = [await asyncio.open_connection(host, int(port)) for _ in range(40)]
        for i, (_, writer) in enumerate(silent):
            writer.write(b"GET /-/ready HTTP/1.1\r\n"[: i % 8])
        self.assertEqual((await gateway.operate("GET", "/-/ready"))[0], 200)
        for _, writer in silent:
            writer.close()

    async def test_the_figures_say_how_each_request_ended(self) -> None:
        gateway = await self.managed()
        nothing = {"success": 0, "overload": 0, "error": 0}
        _, figures = await gateway.operate("GET", "/-/metrics")
        self.assertEqual(figures["replies"], {"ask": nothing, "order": nothing})
        client = await self.client(gateway)
        for i in range(2):
            self.assertEqual((await client.ask(f"q{i}"))[0], 200)
        _, figures = await gateway.operate("GET", "/-/metrics")
        self.assertEqual(figures["replies"], {"ask": {**nothing, "success": 2}, "order": nothing})
        self.assertEqual((figures["dispatches"], figures["concurrent"]), (4, 0))
        self.assertEqual((figures["targets"], figures["targets_disabled"]), (2, 0))
        self.assertEqual(figures["given_up"], {reason.value: 0 for reason in api.RefusalReason})
        self.assertEqual((figures["engines_in_slow_start"], figures["slow_start_work_sent"]), (0, 0.0))
        self.assertIs(figures["still_learning"], True)  # of two requests

    async def test_a_request_refused_at_the_door_is_counted(self) -> None:
        gateway = await self.managed(memory_mb=1)
        client = await self.client(gateway)
        self.assertEqual((await client.ask("q1", cls="order", body=b"x" * 250_000))[0], 503)
        _, figures = await gateway.operate("GET", "/-/metrics")
        self.assertEqual(figures["replies"]["order"], {"success": 0, "overload": 1, "error": 0})
        self.assertEqual((figures["refused_for_memory"], figures["memory_bodies"]), (1, 0))
        self.assertGreater(figures["resident_bytes"], figures["memory_used"])

    async def test_a_drain_sends_clients_away_until_it_is_resumed(self) -> None:
        gateway = await self.managed()
        resting, client = await self.client(gateway), await self.client(gateway)
        self.assertEqual((await resting.ask("q0"))[0], 200)
        health = b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        for _ in range(2):
            self.assertEqual((await gateway.operate("PUT", "/-/drain"))[0], 200)
            self.assertEqual((await exchange(gateway.address, health))[0], 503)
            self.assertEqual((await gateway.operate("GET", "/-/ready"))[0], 503)
        status, headers, _, whole = await client.ask("q1")
        self.assertEqual((status, headers[b"connection"], whole), (200, b"close", True))
        await resting.closed()
        late = await self.client(gateway)  # the front may not have asked yet
        self.assertEqual((await late.ask("q2"))[0], 200)
        for _ in range(2):
            self.assertEqual((await gateway.operate("PUT", "/-/resume"))[0], 200)
            self.assertEqual((await exchange(gateway.address, health))[0], 200)
        kept = await self.client(gateway)
        for i in range(3, 5):
            self.assertEqual((await kept.ask(f"q{i}"))[0], 200)
        self.assertEqual((await gateway.stop())["answers_served"], 5)

    async def test_a_stream_that_ends_during_a_drain_ends_its_connection(self) -> None:
        """Its head went out before the drain and could not say that the connection closes."""
        go_on = asyncio.Event()

        async def pause(asked: Asked) -> None:
            asked.begin()
            asked.chunk(b"data: 1\n\n")
            await go_on.wait()
            asked.chunk(DONE)
            asked.end()

        gateway = await self.managed()
        self.writer.handler = writing(pause)
        client = await self.client(gateway)
        client.send("q1")
        head = await client.head()
        await gateway.operate("PUT", "/-/drain")
        go_on.set()
        self.assertTrue((await client.rest(head))[3])
        await client.closed()

    async def test_an_engine_is_left_out_and_used_again_on_an_operators_word(self) -> None:
        other = await self.standin(writing(answer_plainly))
        gateway = await self.managed(w2=other)
        client = await self.client(gateway)
        for _ in range(2):
            self.assertEqual((await gateway.operate("PUT", "/-/engines/w%31/disable"))[0], 200)
        for method, path, status in (
            ("PUT", "/-/engines/w9/disable", 404), ("PUT", "/-/engines/w9/enable", 404),
            ("GET", "/-/engines/w1/disable", 405), ("PUT", "/-/engines//disable", 404),
            ("PUT", "/-/engines/w1/forget", 404),
        ):  # fmt: skip
            self.assertEqual((await gateway.operate(method, path))[0], status, path)
        self.tell(42, "w1", "up")
        await gateway.until_counter("lists_delta")
        for i in range(8):
            self.assertEqual((await client.ask(f"q{i}"))[0], 200)
        self.assertEqual((self.writer.seen, other.count("POST", "/v1")), ([], 8))
        self.assertEqual((await gateway.operate("GET", "/-/metrics"))[1]["targets_disabled"], 1)
        self.assertEqual((await gateway.operate("PUT", "/-/engines/w1/enable"))[0], 200)
        await gateway.operate("PUT", "/-/engines/w2/disable")
        async with asyncio.timeout(PATIENCE):
            for i in itertools.count(8):  # it is cold, and takes its first requests one by one
                if (await client.ask(f"q{i}"))[0] == 200:
                    break
        self.assertEqual(self.writer.count("POST", "/v1"), 1)


class UpgradeTest(ManagedTest):
    async def test_a_new_version_takes_over_and_each_call_binds_both(self) -> None:
        go_on = asyncio.Event()

        async def pause_one(asked: Asked) -> None:
            if asked.rid != "q1":
                return await answer_plainly(asked)
            asked.begin()
            asked.chunk(b"data: 1\n\n")
            await go_on.wait()
            asked.chunk(DONE)
            asked.end()

        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        door = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(door.close)
        shared: dict[str, Any] = {"door": door.fileno(), "scratch": folder.name}
        old = await self.managed(w2=await self.standin(writing(answer_plainly)), **shared)
        self.writer.handler = writing(pause_one)
        await old.operate("PUT", "/-/engines/w2/disable")
        resting, running = await self.client(old), await self.client(old)
        self.assertEqual((await resting.ask("q0"))[0], 200)
        running.send("q1")
        head = await running.head()

        new = await self.started(Gateway(config=self.config, **shared))
        self.assertEqual(new.address, old.address)
        self.assertEqual((await new.counters())["knowledge_recalled"], 1)
        await old.until("another process of this gateway runs")
        self.assertEqual((await new.operate("GET", "/-/metrics"))[1]["targets_disabled"], 1)
        for one, other, call, left_out in ((old, new, "enable", 0), (new, old, "disable", 1)):
            told = (await other.counters()).get("bans_told", 0)
            await one.operate("PUT", f"/-/engines/w2/{call}")
            await other.until_counter("bans_told", told + 1)
            self.assertEqual((await other.operate("GET", "/-/metrics"))[1]["targets_disabled"], left_out)

        old.process.send_signal(signal.SIGTERM)
        await resting.closed()
        late = await self.client(new)
        self.assertEqual((await late.ask("q2"))[0], 200)
        self.assertEqual((await new.operate("GET", "/-/metrics"))[1]["replies"]["ask"]["success"], 1)
        counters = await old.ended()  # with the stream still running
        self.assertEqual((counters["answers_served"], counters["streams_handed_on"]), (1, 1))
        await new.until("another process of this gateway has ended")
        go_on.set()
        events = b"data: 1\n\n" + DONE
        self.assertEqual((await running.rest(head))[2:], (events, True))
        self.assertEqual((await new.operate("GET", "/-/metrics"))[1]["replies"]["ask"]["success"], 2)
        self.assertEqual((await late.ask("q3"))[0], 200)

    async def test_a_request_half_read_at_the_upgrade_is_answered_whole(self) -> None:
        """Guards against an old process that exits in the middle of what it took last (review case 3)."""
        go_on = asyncio.Event()

        async def pause(asked: Asked) -> None:
            asked.begin()
            asked.chunk(b"data: 1\n\n")
            await go_on.wait()
            asked.finish()

        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        door = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(door.close)
        shared: dict[str, Any] = {"door": door.fileno(), "scratch": folder.name}
        old = await self.managed(**shared)
        slow = await self.client(old)
        self.assertEqual((await slow.ask("q0"))[0], 200)
        self.writer.handler = writing(pause)
        new = await self.started(Gateway(config=self.config, **shared))
        await old.until("another process of this gateway runs")
        first, rest = request("slow")[:90], request("slow")[90:]
        slow.raw(first)
        await slow.flushed()
        old.process.send_signal(signal.SIGTERM)
        await old.until("the door is shut")
        slow.raw(rest)
        slow.as_asked()
        head = await slow.head()
        counters = await old.ended()
        self.assertEqual((counters["requests_taken"], counters.get("streams_handed_on")), (2, 1))
        go_on.set()
        self.assertEqual((await slow.rest(head))[2:], (b"data: 1\n\n" + DONE, True))
        self.assertEqual((await new.counters())["streams_adopted"], 1)

    async def test_a_request_half_read_at_a_plain_restart_is_refused_in_words(self) -> None:
        """Guards against requests that are begun though nobody will end them (review case 3)."""
        gateway = await self.managed()
        slow = await self.client(gateway)
        first, rest = request("slow")[:90], request("slow")[90:]
        slow.raw(first)
        await slow.flushed()
        gateway.process.send_signal(signal.SIGTERM)
        await gateway.until("the door is shut")
        slow.raw(rest)
        self.assertEqual((await slow.answer_to_raw())[0], 503)
        counters = await gateway.ended()
        self.assertEqual((counters["refused_process_ends"], self.reader.count("POST", "/v1")), (1, 0))


class BetweenChunksTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stream_is_handed_on_only_where_a_whole_chunk_ends(self) -> None:
        """Elsewhere the new process would take the middle of a chunk for the size of the next."""
        for body, whole in (
            (b"", False), (b"5\r\nhello\r\n", True), (b"5\r\nhello", False), (b"5\r\nhello\r", False),
            (b"5\r\nhel", False), (b"5\r\nhello\r\n3", False), (b"5\r\nhello\r\n3\r\n", False),
            (b"5\r\nhello\r\n3\r\nyou\r\n", True), (b"3\r\n1\n\n", False), (b"3\r\n1\n\n\r\n", True),
            (b"2\r\n\r\n", False), (b"4\r\nx\r\n\n", False), (b"0\r\n", False),
        ):  # fmt: skip
            reader, writer = TimedReader(limit=65536), mock.MagicMock()
            writer.transport.is_closing.return_value = False
            writer.transport.get_write_buffer_size.return_value = 0
            link = Link("x:1", reader, writer, mock.MagicMock())
            await link.send("GET", "/", [], b"")
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            for piece in [head, *(body[i : i + 1] for i in range(len(body)))]:
                reader.feed_data(piece)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.001):
                        while True:
                            await link.event()
            self.assertEqual(link.between_chunks(), whole, body)


class LetGoTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_under_way_keep_a_connection_that_is_let_go(self) -> None:
        for under_way in (b"", b"POST"):
            reader = TimedReader()
            client = Client(mock.MagicMock(), reader, mock.MagicMock())
            first = asyncio.ensure_future(client._first_bytes(time.monotonic() + PATIENCE))
            await asyncio.sleep(0)
            client.let_go()
            if under_way:
                reader.feed_data(under_way)
            self.assertEqual(await first, under_way)
            client.let_go()  # it does not wait any more


class SignalTest(unittest.TestCase):
    def test_a_second_sigterm_at_the_very_end_changes_nothing(self) -> None:
        """The closed loop has given the handlers back; the process died of the signal with its work done."""
        code = (
            "import asyncio, os, signal\n"
            "from unittest import mock\n"
            "from basaltspread.net.runtime import Runtime\n"
            "async def main():\n"
            "    Runtime.watch_signals(mock.MagicMock(), lambda: None)\n"
            "    Runtime.hold_signals()\n"
            "asyncio.run(main())\n"
            "os.kill(os.getpid(), signal.SIGTERM)\n"
        )
        self.assertEqual(subprocess.run([sys.executable, "-c", code], cwd=ROOT).returncode, 0)


class BanFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.ours, self.theirs = BanFile(folder.name, "n/0"), BanFile(folder.name, "n/0")

    def test_each_process_hears_what_the_other_kept_and_loses_none_of_it(self) -> None:
        self.assertIsNone(self.ours.news())
        self.ours.keep(core.KeepBans("a", frozenset("a"), {}))
        self.theirs.keep(core.KeepBans("b", frozenset("b"), {}))  # it has not looked yet
        self.assertEqual(self.theirs.news(), core.BansTold(frozenset("ab"), {}))
        self.assertIsNone(self.theirs.news())
        self.ours.keep(core.KeepBans("a", frozenset(), {"a": 7}))
        self.assertEqual(self.theirs.news(), core.BansTold(frozenset("b"), {"a": 7}))
        self.ours.keep(core.KeepBans("a", frozenset("a"), {}))
        self.assertEqual(self.theirs.news(), core.BansTold(frozenset("ab"), {}))
        self.assertEqual(len(list(self.ours.path.parent.iterdir())), 2)  # the file and its lock

    def test_a_spoilt_file_does_not_count_and_is_written_anew(self) -> None:
        for text in ("", "{", "[]", '{"disabled": "ab", "returned": {}}', '{"disabled": [1], "returned": {}}',
                     '{"disabled": [], "returned": {"a": "soon"}}', "{" * 100_000, "\xff"):  # fmt: skip
            self.ours.path.write_bytes(text.encode("latin-1"))
            with self.assertLogs("basaltspread", "ERROR"):
                self.assertIsNone(self.ours.news(), text[:30])
        with self.assertLogs("basaltspread", "ERROR"):
            self.ours.keep(core.KeepBans("a", frozenset("ac"), {}))
        self.assertEqual(self.theirs.news(), core.BansTold(frozenset("ac"), {}))
