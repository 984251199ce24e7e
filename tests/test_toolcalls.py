"""The second front: tool calls from an engine's stream to the application's tool server and back, on
loopback; the stand-ins follow the public specifications (JSON-RPC 2.0, server-sent events, Eureka)."""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import unittest
from collections import defaultdict
from typing import Any

from basaltspread import core
from basaltspread.config import write_sidecar
from basaltspread.core import Ending, ToolFault
from basaltspread.interface import Outcome
from basaltspread.net import toolcalls
from tests.standins import DONE, Asked, Gateway, Handler, LoopbackTest, Standin, reading
from tests.test_eureka import RegistryStandin
from tests.test_platform import dead_address

TOOLS = ["look_up=safe", "place_order=unsafe"]


def call(ident: Any = 1, tool: str = "look_up", **change: Any) -> dict[str, Any]:
    params = {"name": tool, "arguments": {}}
    message = {"jsonrpc": "2.0", "id": ident, "method": "tools/call", "params": params, **change}
    return {name: value for name, value in message.items() if value is not None}


def event(message: Any) -> bytes:
    return b"event: message\r\ndata: " + json.dumps(message).encode() + b"\r\n\r\n"


class ParserTest(unittest.TestCase):
    def test_every_fault_has_a_code(self) -> None:
        """Of its own, but for the two kinds of wrong parameters."""
        self.assertEqual(set(toolcalls.CODES), set(ToolFault))
        self.assertEqual(len(set(toolcalls.CODES.values())), len(ToolFault) - 1)
        failures = {core.OUTCOMES[e] for e in Ending} - {Outcome.SERVED, Outcome.READ}
        self.assertEqual(set(core.TOOL_FAULTS), failures)


class Engine:
    """A writer whose stream makes calls, and waits for each reply; a test may hold it at its gates."""

    def __init__(self, *calls: dict[str, Any]) -> None:
        self.calls, self.replies = calls, list[dict[str, Any]]()
        self.may_call, self.may_take, self.may_go_on = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self.took = asyncio.Event()
        self._come: defaultdict[str, asyncio.Queue[None]] = defaultdict(asyncio.Queue)  # by request
        for gate in (self.may_call, self.may_take, self.may_go_on):
            gate.set()

    async def handle(self, asked: Asked) -> None:
        if asked.target.startswith("/state"):
            asked.reply(204 if asked.method == "DELETE" else 200)
        elif asked.target.startswith("/v1/toolcalls/"):
            await self.may_take.wait()
            self.replies.append(json.loads(asked.body))
            self._come[asked.rid].put_nowait(None)
            asked.reply(202)
        else:
            await self._stream(asked)

    async def _stream(self, asked: Asked) -> None:
        asked.begin()
        asked.chunk(b"data: before\n\n")
        await self.may_call.wait()
        for message in self.calls:
            asked.chunk(event(message))
            if message.get("id") is not None:
                await self._come[asked.rid].get()
        self.took.set()
        await self.may_go_on.wait()
        asked.chunk(b"data: after\n\n")
        asked.finish()


async def reply(asked: Asked) -> None:
    ident = json.loads(asked.body)["id"]
    asked.reply(200, json.dumps({"jsonrpc": "2.0", "id": ident, "result": {"content": []}}).encode())


def replying_after(go_on: asyncio.Event) -> Handler:
    """A tool server that holds its reply back until it may go on."""

    async def late(asked: Asked) -> None:
        await go_on.wait()
        await reply(asked)

    return late


class SidecarTest(LoopbackTest):
    async def sidecar(self, engine: Engine, tools: Standin | str, deadline_ms: int = 20000) -> Gateway:
        self.writer, reader = await self.standin(engine.handle), await self.standin(reading())
        self.registry = RegistryStandin()
        self.registry.add("r1", reader.address, machineType="prefill", zone="local")
        self.registry.add("w1", self.writer.address, machineType="decode", zone="local")
        eureka = await self.standin(self.registry.handle)
        text = write_sidecar(argparse.Namespace(
            application="duty-free", listen="127.0.0.1:0", registry=eureka.address, engines="MODEL-ENGINES",
            tools=tools if isinstance(tools, str) else tools.address, tool=TOOLS, request_class=None,
            management="127.0.0.1:0",
        ))  # fmt: skip
        text = text.replace("fetch_s = 5", "fetch_s = 0.05").replace("renew_s = 10", "renew_s = 0.05")
        text = text.replace("deadline_ms = 5000", f"deadline_ms = {deadline_ms}")
        text = text.replace("deadline = 6000000", "deadline = 20000000")
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
            file.write(text)
        self.file = file.name
        return await self.again()

    async def again(self) -> Gateway:
        gateway = await self.started(Gateway("--sidecar", self.file))
        await gateway.until_counter("lists_full")
        return gateway

    async def faulted(
        self, message: dict[str, Any], tools: Standin | str, cls: str = "ask", **options: Any
    ) -> Any:
        """The one reply that the engine gets for a call that fails; the stream goes on and is served."""
        engine = Engine(message)
        gateway = await self.sidecar(engine, tools, **options)
        client = await self.client(gateway)
        status, _, body, whole = await client.ask("q1", cls=cls)
        self.assertEqual((status, body, whole), (200, b"data: before\n\ndata: after\n\n" + DONE, True))
        self.assertEqual(len(engine.replies), 1)
        self.assertEqual(engine.replies[0]["id"], message["id"])
        self.counted = await gateway.stop()
        return engine.replies[0]["error"]["code"]

    async def test_the_whole_path(self) -> None:
        engine, tools = Engine(call(1), call("1"), call(2, "place_order")), await self.standin(reply)
        gateway = await self.sidecar(engine, tools)
        client = await self.client(gateway)
        status, _, body, whole = await client.ask("q1", cls="order")
        self.assertEqual((status, body, whole), (200, b"data: before\n\ndata: after\n\n" + DONE, True))
        ids: tuple[Any, ...] = (1, "1", 2)
        results = [{"jsonrpc": "2.0", "id": i, "result": {"content": []}} for i in ids]
        self.assertEqual(engine.replies, results)
        self.assertEqual([json.loads(a.body) for a in tools.seen], list(engine.calls))
        self.assertEqual((tools.seen[2].target, tools.seen[2].headers["idempotency-key"]), ("/rpc", "q1/2"))
        counters = await gateway.stop()
        self.assertEqual((counters["tool_calls"], counters["tool_replies_returned"]), (3, 3))
        self.assertEqual((counters["now_requests"], self.registry.own), (0, {}))

    async def test_an_error_of_the_tool_is_its_reply(self) -> None:
        async def refuse(asked: Asked) -> None:
            asked.reply(400, b'{"jsonrpc":"2.0","id":1,"error":{"code":-7,"message":"sold out"}}')

        tools = await self.standin(refuse)
        self.assertEqual(await self.faulted(call(), tools), -7)
        self.assertEqual(len(tools.seen), 1)

    async def test_a_safe_call_is_sent_again(self) -> None:
        async def third_time(asked: Asked) -> None:
            if len(tools.seen) == 1:
                asked.reset()
            elif len(tools.seen) == 2:
                asked.reply(500)
            else:
                body = b'data: {"jsonrpc":"2.0","id":1,"result":7}\n\n'
                asked.reply(200, body, Content_Type="text/event-stream")

        tools = await self.standin(third_time)
        engine = Engine(call())
        client = await self.client(await self.sidecar(engine, tools))
        self.assertTrue((await client.ask("q1"))[3])
        self.assertEqual((engine.replies[0]["result"], len(tools.seen)), (7, 3))

    async def test_each_failure_has_its_code_and_an_unsafe_call_is_written_once(self) -> None:
        async def reset(asked: Asked) -> None:
            asked.reset()

        async def fail(asked: Asked) -> None:
            asked.reply(500)

        async def babble(asked: Asked) -> None:
            asked.raw(b"nonsense\r\n\r\n")

        async def hang(asked: Asked) -> None:
            pass

        async def other_id(asked: Asked) -> None:
            asked.reply(200, b'{"jsonrpc":"2.0","id":99,"result":1}')

        async def never_ran(asked: Asked) -> None:
            asked.reply(503, X_Unprocessed="1")

        for trouble, unsafe_code, safe_code, safe_tries in (
            (reset, -32001, -32603, 3), (fail, -32001, -32603, 3), (babble, -32001, -32603, 3),
            (other_id, -32001, -32603, 3), (never_ran, -32003, -32003, 3),
        ):  # fmt: skip
            with self.subTest(trouble.__name__):
                tools = await self.standin(trouble)
                self.assertEqual(await self.faulted(call(5, "place_order"), tools, "order"), unsafe_code)
                self.assertEqual(len(tools.seen), 1)
                self.assertEqual(self.counted.get("tool_replies_unknown_id", 0), int(trouble is other_id))
                tools = await self.standin(trouble)
                self.assertEqual(await self.faulted(call(), tools), safe_code)
                self.assertEqual(len(tools.seen), safe_tries)
        tools = await self.standin(hang)
        self.assertEqual(await self.faulted(call(), tools, deadline_ms=300), -32002)
        tools = await self.standin(hang)
        self.assertEqual(await self.faulted(call(5, "place_order"), tools, "order", deadline_ms=300), -32001)
        self.assertEqual(len(tools.seen), 1)
        self.assertEqual(await self.faulted(call(5, "place_order"), dead_address(), "order"), -32003)

    async def test_an_answer_to_a_ping_is_sent_again_if_its_connection_did_not_come_up(self) -> None:
        """The server's address is closed as it asks, and open again once the gateway has met that."""
        answered = asyncio.Event()

        async def ask_back(asked: Asked) -> None:
            message = json.loads(asked.body)
            if "method" not in message:
                asked.reply(202)
                answered.set()
                return
            tools.close_door()
            asked.begin()
            asked.chunk(event({"jsonrpc": "2.0", "id": "p1", "method": "ping"}))
            await gateway.until_counter("tool_notes_retried")
            await tools.open_door()
            await answered.wait()
            asked.chunk(event({"jsonrpc": "2.0", "id": message["id"], "result": {}}))
            asked.end()

        tools = await self.standin(ask_back)
        gateway = await self.sidecar(Engine(call()), tools)
        self.assertTrue((await (await self.client(gateway)).ask("q1"))[3])
        self.assertEqual(json.loads(tools.seen[1].body), {"jsonrpc": "2.0", "id": "p1", "result": {}})

    async def test_what_may_not_be_called_never_reaches_the_tool_server(self) -> None:
        for message, code in (
            (call(1, "place_order"), -32004), (call(1, "nobody_listed_it"), -32004),
            (call(1, method="tools/sell"), -32601), (call(1, params=[]), -32602),
        ):  # fmt: skip
            tools = await self.standin(reply)
            self.assertEqual(await self.faulted(message, tools), code)
            self.assertEqual(tools.seen, [])

    async def test_a_call_is_answered_once_though_it_comes_twice_and_a_notification_never(self) -> None:
        class Twice(Engine):
            async def _stream(self, asked: Asked) -> None:
                asked.begin()
                asked.chunk(event(call(1, "place_order")) * 2 + event(call(id=None)))
                await self._come[asked.rid].get()
                asked.finish()

        engine, tools = Twice(), await self.standin(reply)
        gateway = await self.sidecar(engine, tools)
        self.assertTrue((await (await self.client(gateway)).ask("q1", cls="order"))[3])
        counters = await gateway.stop()
        self.assertEqual((len(tools.seen), len(engine.replies)), (1, 1))
        self.assertEqual((counters["tool_calls_repeated"], counters["tool_messages_unanswerable"]), (1, 1))

    async def test_a_reply_after_the_client_left_is_dropped_and_counted(self) -> None:
        go_on = asyncio.Event()
        engine, tools = Engine(call(1, "place_order")), await self.standin(replying_after(go_on))
        gateway = await self.sidecar(engine, tools)
        client = await self.client(gateway)
        client.send("q1", cls="order")
        await tools.until("POST")
        client.close()
        await gateway.until_counter("clients_gone")
        go_on.set()
        await gateway.until_counter("tool_replies_dropped")
        self.assertEqual((engine.replies, len(tools.seen)), ([], 1))
        await gateway.stop()

    async def test_a_reply_reaches_its_engine_though_the_registrys_list_is_empty(self) -> None:
        """Guards replies of tool calls against a list that is briefly empty: review case 4."""
        go_on = asyncio.Event()
        engine, tools = Engine(call(1, "place_order")), await self.standin(replying_after(go_on))
        gateway = await self.sidecar(engine, tools)
        client = await self.client(gateway)
        client.send("q1", cls="order")
        await tools.until("POST")
        self.registry.engines.clear()
        self.registry.changes.clear()
        await gateway.until_true(lambda counters: counters["now_engines"] == 0)
        go_on.set()
        status, _, body, whole = await client.answer()
        self.assertEqual((status, body, whole), (200, b"data: before\n\ndata: after\n\n" + DONE, True))
        self.assertEqual(len(engine.replies), 1)

    async def test_a_reply_that_is_turned_away_goes_again_until_its_calls_time_is_over(self) -> None:
        """Guards a reply against three tries in ten milliseconds: its order was placed (review case 6)."""

        class Full(Engine):
            turned_away = 0

            async def handle(self, asked: Asked) -> None:
                if asked.target.startswith("/v1/toolcalls/") and self.turned_away < 5:
                    self.turned_away += 1
                    asked.reply(503, X_Unprocessed="1")
                else:
                    await super().handle(asked)

        engine = Full(call(1, "place_order"))
        gateway = await self.sidecar(engine, await self.standin(reply))
        status, _, _, whole = await (await self.client(gateway)).ask("q1", cls="order")
        self.assertEqual((status, whole, len(engine.replies)), (200, True, 1))
        self.assertEqual((await gateway.stop())["tool_replies_retried"], 5)

    async def test_an_engine_that_takes_no_reply_breaks_the_stream(self) -> None:
        class Deaf(Engine):
            async def handle(self, asked: Asked) -> None:
                asked.reply(404) if "toolcalls" in asked.target else await super().handle(asked)

        gateway = await self.sidecar(Deaf(call()), await self.standin(reply))
        status, _, body, whole = await (await self.client(gateway)).ask("q1")
        self.assertEqual((status, body, whole), (200, b"data: before\n\n", False))
        self.assertEqual((await gateway.stop())["tool_replies_lost"], 1)

    async def test_a_gateway_killed_at_any_step_never_repeats_an_unsafe_call(self) -> None:
        """SIGKILL before the call, between call and reply, while the reply is returned, and after it; then
        the client of the order asks for the rest, and the engine makes its call again."""
        for step, seen in (("before", 0), ("between", 1), ("returning", 1), ("after", 1)):
            for cls, tool in (("order", "place_order"), ("ask", "look_up")):
                with self.subTest(step=step, tool=tool):
                    await self._killed_at(step, cls, tool, seen)

    async def _killed_at(self, step: str, cls: str, tool: str, seen: int) -> None:
        may_reply = asyncio.Event()

        async def hold(asked: Asked) -> None:
            await may_reply.wait()
            await reply(asked)

        tools, engine = await self.standin(hold), Engine(call(1, tool))
        gates = {"before": engine.may_call, "between": may_reply, "returning": engine.may_take}
        gate = gates.get(step, engine.may_go_on)
        may_reply.set()
        gate.clear()
        gateway = await self.sidecar(engine, tools)
        client = await self.client(gateway)
        client.send("q1", cls=cls)
        await client.head()
        if step == "between":
            await tools.until("POST")
        elif step == "returning":
            await self.writer.until("POST", target="/v1/toolcalls/")
        elif step == "after":
            await engine.took.wait()
        await gateway.kill()
        self.assertEqual(len(tools.seen), seen)
        gate.set()
        client = await self.client(await self.again())
        status, _, _, whole = await client.ask("q2", cls=cls, X_Repeat="again" if cls == "order" else "1")
        self.assertEqual((status, whole), (200, True))
        if cls == "order":
            self.assertEqual(engine.replies[-1]["error"]["code"], toolcalls.CODES[ToolFault.NOT_PERMITTED])
            self.assertEqual(len(tools.seen), seen)
        else:
            self.assertEqual((engine.replies[-1].get("id"), len(tools.seen)), (1, seen + 1))
