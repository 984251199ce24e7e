"""The partners' library: its core by any order of inputs and by table, its fronts against stand-in gateways
and against the real program."""

from __future__ import annotations

import ast
import asyncio
import errno
import json
import random
import unittest
from collections import Counter
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
from hypothesis import Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from basaltspread import client as library
from basaltspread.client import core
from basaltspread.client.core import LAW, Gateway, How, May, Policy
from basaltspread.client.discovery import LIST_LIMIT, Source, from_eureka, from_text
from basaltspread.client.virtual import World
from basaltspread.conformance.peers import Asked, Peer
from tests.helpers import Clocked
from tests.standins import Asked as EngineAsked
from tests.standins import FleetTest, reading, writing

MS, SECOND = 1000, 1_000_000
PIECE = 8192  # bytes of an answer that are written at once
REFUSAL = (How.REFUSED, 2 * MS, "0.5")
MESSAGES = [{"role": "user", "content": "one pair, please"}]


def test_the_library_imports_nothing_of_the_server() -> None:
    allowed = ("basaltspread.client", "basaltspread.structures", "basaltspread.control.budget")
    folder = Path(library.__file__).parent
    for path in folder.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
            names += [str(node.module)] if isinstance(node, ast.ImportFrom) else []
            for name in names:
                assert not name.startswith("basaltspread") or name.startswith(allowed), (path.name, name)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("2", 2.0), ("0.25", 0.25), ("0", 0.0), ("999999999", core.ADVICE_LIMIT), ("-1", None), ("nan", None),
     ("inf", None), ("soon", None), ("Wed, 21 Oct 2026 07:28:00 GMT", None), ("1e3", core.ADVICE_LIMIT)],
)  # fmt: skip
def test_advice(text: str, seconds: float | None) -> None:
    assert core.advice(text) == seconds


def test_every_ending_has_its_law() -> None:
    assert set(LAW) == set(How)


def test_subsets_spread_evenly_and_change_little() -> None:
    gateways = [Gateway(f"g{i}:1") for i in range(300)]
    chosen = [core.subset(gateways, 20, f"client{c}") for c in range(600)]
    load = Counter(g.address for subset in chosen for g in subset)
    assert len(load) == 300 and max(load.values()) < 2 * 40
    fewer = [core.subset(gateways[1:], 20, f"client{c}") for c in range(600)]
    assert sum(a != b for a, b in zip(chosen, fewer, strict=True)) == load["g0:1"]


# --- the core in virtual time ---------------------------------------------------------------------------


def test_a_thousand_clients_that_lose_their_connections_come_back_over_several_seconds() -> None:
    back = 2 * SECOND
    world = World(lambda gateway, now: (None, 5 * MS, ""))
    states = [core.State(Policy(), [Gateway("g:1")], seed) for seed in range(1000)]
    for state in states:
        world.feed(state, core.Kept("g:1"))
    world.now = back
    for number, state in enumerate(states):
        world.feed(state, core.Lost("g:1", asked=False))
        world.feed(state, core.Asked(number, False, 1.0, "", world.now + 8 * SECOND))
    world.run(12 * SECOND)
    times = [at for at, _, _ in world.sends]
    assert len(times) == 1000 and all(isinstance(end, core.Done) for end in world.ends.values())
    assert max(times) - min(times) > 3 * SECOND
    bins = Counter((at - back) // (100 * MS) for at in times)
    assert max(bins.values()) < 2.5 * 1000 / 40
    assert len(world.ends) == 1000  # none starves


def test_a_total_outage_and_its_end() -> None:
    up = [False]
    world = World(lambda gateway, now: (None, 5 * MS, "") if up[0] else (How.UNREACHABLE, MS, ""))
    state = core.State(Policy(), [Gateway("a:1"), Gateway("b:1")], 1)
    for i in range(400):
        world.feed(state, core.Asked(i, i % 3 == 0, 1.0, "", world.now + 3 * SECOND))
        world.run(world.now + 25 * MS)
    assert len(world.sends) / 400 < 1.1
    up[0] = True
    began = world.now
    for i in range(400, 1400):
        world.feed(state, core.Asked(i, False, 1.0, "", world.now + 3 * SECOND))
        world.run(world.now + 25 * MS)
    first = min(r for (_, r), end in world.ends.items() if isinstance(end, core.Done))
    assert (first - 400) * 25 * MS < 11 * SECOND, "it comes back within its longest rest"
    last = [world.ends.get((0, i)) for i in range(1200, 1380)]
    assert all(isinstance(end, core.Done) for end in last), began


def test_a_gateway_that_refuses_half_is_not_hammered() -> None:
    lots = random.Random(3)
    world = World(lambda gateway, now: (None, 20 * MS, "") if lots.random() < 0.5 else REFUSAL, True)
    state = core.State(Policy(), [Gateway("a:1")], 1)
    for i in range(2000):
        world.feed(state, core.Asked(i, False, 1.0, "", world.now + 4 * SECOND))
        world.run(world.now + 10 * MS)
    world.run(world.now + 8 * SECOND)
    served = sum(isinstance(end, core.Done) for end in world.ends.values())
    assert len(world.ends) == 2000
    assert len(world.sends) <= 1.25 * 2000 and served >= 0.45 * 2000
    held = [at for at, _, send in world.sends if send.repeat]
    assert held and len(world.sends) - len(held) <= 2000


def test_what_is_worth_least_is_held_back_first() -> None:
    world = World(lambda gateway, now: (None, 20 * MS, "") if (now // MS) % 10 == 0 else REFUSAL)
    state = core.State(Policy(retry_share=0.0, retry_reserve=0.0), [Gateway("a:1")], 1)
    held: Counter[float] = Counter()
    for i in range(3000):
        worth = 5.0 if i % 2 else 2.0
        world.feed(state, core.Asked(i, worth > 2, worth, "", world.now + 4 * SECOND))
        world.run(world.now + 7 * MS)
        end = world.ends.get((0, i))
        held[worth] += isinstance(end, core.Finish) and end.why.startswith("held back")
    assert held[2.0] > 500 and held[5.0] < 0.75 * held[2.0]


def test_sessions_keep_to_a_gateway_and_the_better_of_two_is_taken() -> None:
    world = World(lambda gateway, now: (None, 5 * MS if gateway == "a:1" else 200 * MS, ""))
    state = core.State(Policy(), [Gateway("a:1"), Gateway("b:1")], 1)
    for i in range(300):
        world.feed(state, core.Asked(i, False, 1.0, f"s{i % 5}" if i > 100 else "", world.now + 4 * SECOND))
        world.run(world.now + 300 * MS)
    where = Counter(gateway for _, gateway, _ in world.sends[150:])
    assert where["a:1"] > 140
    near = core.State(Policy(zone="x"), [Gateway("a:1", "y"), Gateway("b:1", "x")], 1)
    before = len(world.sends)
    for i in range(20):
        world.feed(near, core.Asked(i, False, 1.0, "", world.now + 4 * SECOND))
    world.run(world.now + SECOND)
    assert Counter(gateway for _, gateway, _ in world.sends[before:]) == {"b:1": 20}


class ClientMachine(Clocked, RuleBasedStateMachine):
    """The core under any order of what gateways, connections, callers and time can bring. The law of resends:
    after an unsafe request's last byte went out, nothing of it goes out again but for a refusal, or for the
    rest of its answer, and marked so."""

    policy = Policy(retry_reserve=5.0, retry_share=0.5)

    def __init__(self) -> None:
        super().__init__()
        self.now, self.numbers = SECOND, 0
        self.state = core.State(self.policy, [Gateway("a:1"), Gateway("b:1"), Gateway("c:1")], 7)
        self.out: dict[int, core.Send] = {}
        self.unsafe: set[int] = set()
        self.ran: set[int] = set()  # written, and not refused since
        self.streamed: set[int] = set()
        self.deadline: dict[int, int] = {}
        self.sent: Counter[int] = Counter()
        self.open: set[int] = set()
        self.wakes: list[tuple[int, tuple[Any, ...]]] = []

    def feed(self, event: core.Input) -> None:
        for effect in core.reduce(self.state, self.now, event):
            match effect:
                case core.Send(request, _, _, rested, left, repeat):
                    assert request in self.open and request not in self.out
                    if request in self.unsafe:
                        assert request not in self.ran or repeat == "again", "resent"
                        assert rested <= self.policy.fresh
                    assert (repeat == "") == (not self.sent[request])
                    assert (repeat == "again") == (request in self.streamed)
                    assert left >= core.LEAST_USEFUL
                    assert self.now + left <= self.deadline[request] or repeat == "again"
                    self.sent[request] += 1
                    self.out[request] = effect
                case core.Abandon(request, _):
                    del self.out[request]
                case core.Finish(request, end):
                    assert request in self.open
                    self.open.discard(request)
                    if request in self.unsafe and request in self.ran and request not in self.streamed:
                        assert end in (core.End.UNKNOWN, core.End.REJECTED), (end, "it may have run")
                    if end is core.End.UNKNOWN:
                        assert request in self.unsafe
                case core.Done(request):
                    self.open.discard(request)
                case core.WakeAt(at, token):
                    self.wakes.append((at, token))

    @rule(unsafe=st.booleans(), left=st.sampled_from([20, 500, 8000]), session=st.sampled_from(["", "s"]))
    def ask(self, unsafe: bool, left: int, session: str) -> None:
        self.numbers += 1
        self.open.add(self.numbers)
        self.deadline[self.numbers] = self.now + left * MS
        if unsafe:
            self.unsafe.add(self.numbers)
        worth = 5.0 if unsafe else 2.0
        self.feed(core.Asked(self.numbers, unsafe, worth, session, self.deadline[self.numbers]))

    @precondition(lambda self: self.out)
    @rule(data=st.data())
    def written(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.out)))
        self.ran.add(request)
        self.feed(core.Written(request, self.out[request].number))

    @precondition(lambda self: self.out)
    @rule(
        data=st.data(), how=st.sampled_from(list(How)),
        told=st.sampled_from(["", "0.2", "-1", "x", "99999"]),
    )  # fmt: skip
    def breaks(self, data: st.DataObject, how: How, told: str) -> None:
        request = data.draw(st.sampled_from(sorted(self.out)))
        send = self.out.pop(request)
        before = request in self.ran
        if request not in self.streamed or send.repeat == "again":
            if how is How.CUT and request not in self.streamed:
                how = How.BROKE
            if LAW[how] in (May.ANY, May.NONE):
                self.ran.discard(request)
            if not before and how in (How.BROKE, How.NOISE, How.SILENT, How.FAILED, How.CUT):
                how = How.UNSENT
        self.feed(core.Broke(request, send.number, how, 503 if how is How.REFUSED else 0, told))

    @precondition(lambda self: self.out)
    @rule(data=st.data())
    def first_event(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.out)))
        self.ran.add(request)
        self.streamed.add(request)
        self.feed(core.Written(request, self.out[request].number))
        self.feed(core.FirstEvent(request, self.out[request].number))

    @precondition(lambda self: self.out)
    @rule(data=st.data())
    def ends(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.out)))
        self.feed(core.Ended(request, self.out.pop(request).number))

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def cancels(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.open)))
        self.feed(core.Cancelled(request))
        self.open.discard(request)
        self.out.pop(request, None)

    @rule(gateway=st.sampled_from(["a:1", "b:1", "d:1"]), kept=st.booleans(), asked=st.booleans())
    def connection(self, gateway: str, kept: bool, asked: bool) -> None:
        self.feed(core.Kept(gateway) if kept else core.Lost(gateway, asked))

    @rule(names=st.sets(st.sampled_from(["a:1", "b:1", "c:1", "d:1"])))
    def told(self, names: set[str]) -> None:
        self.feed(core.GatewaysTold(tuple(Gateway(name) for name in sorted(names))))

    @rule(time=st.sampled_from([1, 60, 400, 3000, 12000]))
    def time_passes(self, time: int) -> None:
        self.let_pass(time * MS)

    def woken(self, token: tuple[Any, ...]) -> None:
        self.feed(core.Woken(token))

    @invariant()
    def laws(self) -> None:
        assert core.invariants(self.state) == []
        assert set(self.state.requests) == self.open


ClientMachine.TestCase.settings = hypothesis_settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True, phases=(Phase.generate,)
)
TestClientMachine = ClientMachine.TestCase


@pytest.mark.parametrize("how", [How.BROKE, How.NOISE, How.SILENT, How.FAILED])
def test_a_broken_law_is_noticed(how: How, monkeypatch: pytest.MonkeyPatch) -> None:
    """The state test above with this row of the table broken: it must fail."""
    monkeypatch.setitem(LAW, how, May.ANY)
    with pytest.raises(AssertionError):
        machine = ClientMachine()
        machine.ask(True, 8000, "")
        (request,) = machine.out
        machine.ran.add(request)
        machine.feed(core.Written(request, 1))
        del machine.out[request]
        machine.feed(core.Broke(request, 1, how))
        machine.time_passes(3000)


# --- lists of gateways ----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("a:1\n# none\n b:2 x  # near\n", [Gateway("a:1"), Gateway("b:2", "x")]),
        ("", "no gateway"), ("a", "line 1"), ("a:1\nb:99999", "line 2"), ("a:1 x y", "line 1"),
        (":1", "line 1"),
    ],
)  # fmt: skip
def test_a_list_in_a_file(text: str, found: Any) -> None:
    if isinstance(found, list):
        assert from_text(text) == found
    else:
        with pytest.raises(ValueError, match=found):
            from_text(text)


def _instance(port: Any, status: str = "UP", **more: Any) -> dict[str, Any]:
    return {"ipAddr": "127.0.0.1", "port": {"$": port}, "status": status, "metadata": {"zone": "x"}, **more}


@pytest.mark.parametrize(
    ("instances", "ports"),
    [
        ([_instance(1), _instance(2, "DOWN"), _instance(3, "OUT_OF_SERVICE"), {"odd": 1}], [1]),
        (_instance(4), [4]), ([], None), ([_instance(2, "DOWN")], None), (None, None),
        ([_instance("x")], None),
    ],
)  # fmt: skip
def test_a_list_in_a_registry(instances: Any, ports: list[int] | None) -> None:
    raw = {"applications": {"application": [{"name": "OTHER", "instance": _instance(9)},
                                            {"name": "GATES", "instance": instances}]}}  # fmt: skip
    if ports is None:
        with pytest.raises(ValueError, match="no instance"):
            from_eureka(raw, "gates")
    else:
        assert from_eureka(raw, "gates") == [Gateway(f"127.0.0.1:{port}", "x") for port in ports]


def test_a_source_keeps_its_last_good_list() -> None:
    used: list[Any] = []
    source = Source(used.append)
    for text in ("a:1", "a:1", "nonsense", "", "b:1", "b:1 x y"):
        source.take(lambda text=text: from_text(text))  # type: ignore[misc]
    assert used == [[Gateway("a:1")], [Gateway("b:1")]]
    assert source.counters == {"lists_used": 2, "lists_faulty": 3} and "line 1" in source.fault


# --- the fronts against stand-in gateways ---------------------------------------------------------------


def piece(text: str) -> dict[str, Any]:
    return {"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": None}]}


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def gateway(self, handler: Any) -> Peer:
        peer = await Peer().start()
        peer.handlers["/v1/chat/completions"] = handler
        self.addAsyncCleanup(peer.stop)
        return peer

    def client(self, *peers: Peer, **policy: Any) -> library.Client:
        client = library.Client([p.address for p in peers], Policy(**policy), account="acme", seed=1)
        self.addAsyncCleanup(client.close)
        return client

    async def ask(self, client: library.Client, unsafe: bool = False, timeout: float = 5.0) -> library.Answer:
        cls = "order" if unsafe else "ask"
        return await client.ask(MESSAGES, request_class=cls, unsafe=unsafe, timeout=timeout)

    async def test_a_dial_that_fails_on_this_machine_for_a_moment_is_tried_again(self) -> None:
        """It was taken for a gateway that can't be reached, and all tries were spent in some milliseconds."""

        async def serve(asked: Asked) -> None:
            asked.begin()
            asked.event(piece("here"))
            asked.finish()

        peer = await self.gateway(serve)
        real, failures = asyncio.open_connection, 8

        async def failing(*where: Any, **more: Any) -> Any:
            nonlocal failures
            if failures:
                failures -= 1
                raise OSError(errno.EADDRNOTAVAIL, "Cannot assign requested address")
            return await real(*where, **more)

        with mock.patch("basaltspread.client.aio.asyncio.open_connection", failing):
            answer = await self.ask(self.client(peer))
        self.assertEqual((await answer.text(), len(peer.seen)), ("here", 1))

    async def test_an_answer_and_its_headers(self) -> None:
        async def serve(asked: Asked) -> None:
            asked.begin()
            for text in ("two ", "pairs"):
                asked.event(piece(text))
            asked.finish()

        peer = await self.gateway(serve)
        client = self.client(peer)
        for _ in range(2):
            self.assertEqual(await (await self.ask(client)).text(), "two pairs")
        first, second = peer.seen
        self.assertEqual((first.first, second.first), (True, False))  # the connection is kept
        self.assertNotEqual(first.headers["x-correlation-id"], second.headers["x-correlation-id"])
        self.assertLessEqual(int(first.headers["x-time-left-ms"]), 5000)
        self.assertEqual((first.headers["x-account"], "x-repeat" in first.headers), ("acme", False))

    async def test_a_slow_reader_loses_nothing_when_the_answer_breaks_off_or_is_cancelled(self) -> None:
        async def many(asked: Asked) -> None:
            asked.begin()
            for i in range(500):
                asked.event(piece(f"{i} "))
            await asked.flush()
            asked.close()

        for cancel in (False, True):
            client = self.client(await self.gateway(many), resume=False)
            answer = await self.ask(client, unsafe=True)
            async with asyncio.timeout(10):
                while answer._pending.room.locked() is False:
                    await asyncio.sleep(0)
                if cancel:
                    answer.cancel()
                got = []
                try:
                    async for text in answer:
                        got.append(text)
                except library.StreamBroken as broken:
                    self.assertEqual("".join(got), broken.text)
                    self.assertEqual(len(got), 500)
            self.assertEqual(got, [f"{i} " for i in range(len(got))])
            self.assertGreaterEqual(len(got), 64)

    async def test_an_answer_without_an_event_is_empty(self) -> None:
        async def serve(asked: Asked) -> None:
            asked.begin()
            asked.chunk(b"data: no json\n\n: comment\n\n")
            asked.finish()

        client = self.client(await self.gateway(serve))
        self.assertEqual(await (await self.ask(client, unsafe=True)).text(), "")
        self.assertEqual(client.state.counters["events_odd"], 1)

    async def test_a_refusal_is_heeded_and_the_repeat_marked(self) -> None:
        async def second_time(asked: Asked) -> None:
            if len(peer.seen) == 1:
                asked.reply(503, Retry_After="0.05")
            else:
                asked.begin()
                asked.event(piece("x"))
                asked.finish()

        peer = await self.gateway(second_time)
        answer = await self.ask(self.client(peer), unsafe=True)
        self.assertEqual(await answer.text(), "x")
        self.assertEqual([a.headers.get("x-repeat") for a in peer.seen], [None, "1"])
        began = [attempt.began for attempt in answer.attempts]
        self.assertGreaterEqual(began[1] - began[0], 0.05)

    async def test_what_may_have_run_is_unknown_and_not_sent_again(self) -> None:
        async def reset(asked: Asked) -> None:
            asked.reset()

        async def noise(asked: Asked) -> None:
            asked.raw(b"nonsense\r\n\r\n")

        async def failed(asked: Asked) -> None:
            asked.reply(502)

        async def silent(asked: Asked) -> None:
            await asked.closed()

        for trouble in (reset, noise, failed, silent):
            with self.subTest(trouble.__name__):
                peer = await self.gateway(trouble)
                with self.assertRaises(library.OutcomeUnknown) as caught:
                    await self.ask(self.client(peer), unsafe=True, timeout=0.6)
                self.assertEqual((len(peer.seen), caught.exception.tries), (1, 1))
                self.assertEqual(caught.exception.ids, (peer.seen[0].headers["x-correlation-id"],))
                peer = await self.gateway(trouble)
                with self.assertRaises((library.Failed, library.DeadlinePassed)):
                    await self.ask(self.client(peer), timeout=0.6)

    async def test_half_refused_beside_a_client_that_tries_again_at_once(self) -> None:
        lots = random.Random(5)

        async def half(asked: Asked) -> None:
            if lots.random() < 0.5:
                asked.reply(503, Retry_After="0.001")
            else:
                asked.begin()
                asked.event(piece("x"))
                asked.finish()

        peer = await self.gateway(half)
        client, served = self.client(peer, backoff=MS, longest_backoff=2 * MS), 0
        for _ in range(150):
            try:
                served += await (await self.ask(client)).text() == "x"
            except library.Refused as error:
                self.assertGreaterEqual(error.tries, 1)
        sends = len(peer.seen)
        self.assertLessEqual(sends, 150 * 1.2 + 10 + 2)
        self.assertGreaterEqual(served, 0.45 * sends)
        del peer.seen[:]
        host, _, port = peer.address.rpartition(":")
        for _ in range(150):  # the naive one: up to three tries, at once, marked or not
            for _ in range(3):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
                refused = b"503" in await reader.readline()
                writer.close()
                if not refused:
                    break
        self.assertGreater(len(peer.seen), 1.2 * sends)

    async def test_a_request_found_wrong_is_not_sent_again(self) -> None:
        async def wrong(asked: Asked) -> None:
            asked.reply(400)

        peer = await self.gateway(wrong)
        with self.assertRaises(library.Rejected) as caught:
            await self.ask(self.client(peer), unsafe=True)
        self.assertEqual((caught.exception.status, len(peer.seen)), (400, 1))

    async def test_a_broken_stream_is_resumed_and_joined(self) -> None:
        words = [f"w{i} " for i in range(12)]

        async def break_off(asked: Asked) -> None:
            had = asked.message["messages"][-1]
            at = len(had["content"].split()) if had["role"] == "assistant" else 0
            asked.begin()
            for word in words[at : at + 4]:
                asked.event(piece(word))
            if at + 4 < len(words):
                asked.chunk(b"data: " + json.dumps(piece("half")).encode())  # an event that never ends
                await asked.flush()
                asked.close()
            else:
                asked.finish()

        peer = await self.gateway(break_off)
        answer = await self.ask(self.client(peer, spread=10 * MS, rest=10 * MS), unsafe=True)
        self.assertEqual(await answer.text(), "".join(words))
        self.assertEqual([a.headers.get("x-repeat") for a in peer.seen], [None, "again", "again"])

    async def test_another_gateway_is_asked_where_one_does_not_come_up(self) -> None:
        async def serve(asked: Asked) -> None:
            asked.begin()
            asked.event(piece("x"))
            asked.finish()

        gone, peer = await self.gateway(serve), await self.gateway(serve)
        await gone.stop()
        client = self.client(gone, peer)
        for unsafe in (True, False, True, False):
            self.assertEqual(await (await self.ask(client, unsafe)).text(), "x")
        self.assertEqual(len(peer.seen), 4)

    async def test_an_answer_byte_by_byte_and_a_cancel(self) -> None:
        closed = asyncio.Event()

        async def slowly(asked: Asked) -> None:
            raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            event = b"data: " + json.dumps(piece("x")).encode() + b"\n\n"
            for byte in raw + f"{len(event):x}\r\n".encode() + event + b"\r\n":
                asked.raw(bytes([byte]))
                await asked.flush()
            await asked.closed()
            closed.set()

        answer = await self.ask(self.client(await self.gateway(slowly)))
        self.assertEqual(await anext(aiter(answer)), "x")
        answer.cancel()
        async with asyncio.timeout(10):
            await closed.wait()

    async def test_lists_that_change_in_service(self) -> None:
        async def serve(asked: Asked) -> None:
            asked.begin()
            asked.event(piece("x"))
            asked.finish()

        peers = [await self.gateway(serve) for _ in range(2)]
        registry = await Peer().start()
        self.addAsyncCleanup(registry.stop)
        listed = [_instance(int(peers[0].address.rpartition(":")[2]))]

        async def apps(asked: Asked) -> None:
            asked.json({"application": {"name": "GATES", "instance": listed}})

        registry.handlers["/eureka/apps/GATES"] = apps
        client, told = self.client(), asyncio.Event()

        def use(gateways: Any) -> None:
            client.use(gateways)
            told.set()

        source = Source(use)
        source.watch_eureka(registry.address, "GATES", ask=0.01)
        self.addAsyncCleanup(source.stop)
        async with asyncio.timeout(20):
            await told.wait()
            await (await self.ask(client)).text()
            listed[:] = []  # briefly empty: the last list stays
            await registry.until(lambda: len(registry.seen) >= 5)
            await (await self.ask(client)).text()
            told.clear()
            listed[:] = [_instance(int(peers[1].address.rpartition(":")[2]))]
            await told.wait()
            await (await self.ask(client)).text()
        self.assertEqual([len(p.seen) for p in peers], [2, 1])

    async def listed_by(self, *answers: bytes) -> Source:
        """A source that has used a list, where each of these is all that a registry writes to one call, the
        last to all further ones."""
        registry, told, left = await Peer().start(), asyncio.Event(), list(answers)
        self.addAsyncCleanup(registry.stop)

        async def apps(asked: Asked) -> None:
            answer = left.pop(0) if len(left) > 1 else left[0]
            for at in range(0, len(answer), PIECE):
                asked.raw(answer[at : at + PIECE])
                await asked.flush()
            asked.close()

        registry.handlers["/eureka/apps/GATES"] = apps
        source = Source(lambda gateways: told.set())
        source.watch_eureka(registry.address, "GATES", ask=0.01)
        self.addAsyncCleanup(source.stop)
        async with asyncio.timeout(20):
            await told.wait()
        return source

    async def test_a_registrys_list_is_read_however_it_is_framed(self) -> None:
        """In chunks, or up to the connection's end, all but its first piece was dropped, each time."""
        instances = [_instance(port) for port in range(1, 1000)]
        body = json.dumps({"application": {"name": "GATES", "instance": instances}}).encode()
        self.assertGreater(len(body), 2 * PIECE)
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:9000], body[9000:]))
        for framed in (
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body),
            b"Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n" % chunks,
            b"Connection: close\r\n\r\n%s" % body,
        ):
            source = await self.listed_by(b"HTTP/1.1 200 OK\r\n" + framed)
            self.assertEqual((source.counters["lists_faulty"], source.fault), (0, ""))

    async def test_an_answer_that_is_no_http_does_not_end_the_watch_of_a_registry(self) -> None:
        """One without a status ended it for good: no later list was ever used."""
        body = json.dumps({"application": {"name": "GATES", "instance": _instance(1)}}).encode()
        good = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        huge = b"HTTP/1.1 200 OK\r\n\r\n" + b" " * (LIST_LIMIT + 1)
        odd = (b"HTTP/1.1\r\n\r\n", b"\r\n\r\n", b"noise", b"", b"HTTP/1.1 503 X\r\n\r\n", huge)
        source = await self.listed_by(*odd, good)
        self.assertEqual(source.counters["lists_faulty"], len(odd))

    async def test_the_command(self) -> None:
        async def serve(asked: Asked) -> None:
            if asked.headers["x-service-class"] == "order":
                asked.reset()
            elif len(peer.seen) == 1:
                asked.reply(503)
            else:
                asked.begin()
                asked.event(piece("two pairs"))
                asked.finish()

        peer = await self.gateway(serve)

        def run(*words: str) -> Any:
            from click.testing import CliRunner

            from basaltspread.cli import main

            return CliRunner().invoke(main, ["ask", "socks", "--gateway", peer.address, *words])

        shown = await asyncio.to_thread(run, "--explain")
        self.assertEqual((shown.exit_code, shown.stdout), (0, "two pairs\n"))
        self.assertIn("marked as a repeat", shown.stderr)
        told = await asyncio.to_thread(run, "--json", "--unsafe", "--class", "order")
        report = json.loads(told.stdout)
        self.assertEqual((told.exit_code, report["error"]["kind"]), (3, "OutcomeUnknown"))
        self.assertEqual((len(report["tries"]), report["tries"][0]["gateway"]), (1, peer.address))
        wrong = await asyncio.to_thread(run, "--gateway", "nowhere")
        self.assertEqual(wrong.exit_code, 2)

    async def test_the_blocking_front(self) -> None:
        async def serve(asked: Asked) -> None:
            if asked.headers["x-service-class"] == "order":
                asked.reset()
                return
            asked.begin()
            asked.event(piece("a "))
            asked.event(piece("b"))
            asked.finish()

        peer = await self.gateway(serve)

        def work() -> list[Any]:
            with library.BlockingClient([peer.address], account="acme") as client:
                got: list[Any] = [list(client.ask(MESSAGES, request_class="ask", unsafe=False))]
                try:
                    client.ask(MESSAGES, request_class="order", unsafe=True, timeout=2.0)
                except library.OutcomeUnknown as error:
                    got.append(error.tries)
                return got

        self.assertEqual(await asyncio.to_thread(work), [["a ", "b"], 1])


class RealGatewayTest(FleetTest):
    """Against the real program, with engines that count."""

    async def test_an_order_is_never_resent_whenever_the_gateway_dies(self) -> None:
        for step in ("reading", "writing", "streaming"):
            with self.subTest(step):
                await self._killed_at(step)

    async def _killed_at(self, step: str) -> None:
        reached, orders = asyncio.Event(), []

        async def read(asked: EngineAsked) -> None:
            if asked.target.startswith("/v1/") and step == "reading":
                reached.set()
                await asked.closed()
            else:
                await reading()(asked)

        async def answer(asked: EngineAsked) -> None:
            orders.append(asked.rid)
            if step == "streaming":
                asked.begin()
                asked.chunk(b"data: " + json.dumps(piece("x")).encode() + b"\n\n")
            reached.set()
            await asked.closed()

        reader, writer = await self.standin(read), await self.standin(writing(answer))
        gateway = await self.fleet(r1=reader, w1=writer)
        client = library.Client([gateway.address], Policy(resume=False), account="acme", seed=1)
        self.addAsyncCleanup(client.close)
        asking = asyncio.ensure_future(client.ask(MESSAGES, request_class="order", unsafe=True, timeout=10.0))
        async with asyncio.timeout(20):
            await reached.wait()
            if step == "streaming":
                answered = await asking
                await gateway.kill()
                with self.assertRaises(library.StreamBroken) as broken:
                    await answered.text()
                self.assertEqual(broken.exception.text, "x")
            else:
                await gateway.kill()
                with self.assertRaises(library.OutcomeUnknown):
                    await asking
        self.assertLessEqual(len(orders), 1)
