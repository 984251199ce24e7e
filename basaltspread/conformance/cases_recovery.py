"""Cases on the gateway's own death and on upgrades: killed at every step of a call, and streams handed on."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import tempfile
from collections.abc import Awaitable, Callable

from basaltspread.conformance.cases import add, case
from basaltspread.conformance.cases_replies import answer, answer_after
from basaltspread.conformance.peers import Asked
from basaltspread.conformance.world import (
    AFTER,
    BEFORE,
    END,
    Engine,
    Failed,
    Needs,
    Stage,
    check,
    code,
    equal,
)

KILLED = "brief: a gateway that dies between the call and its reply never makes an order twice"
HANDED = "OPERATIONS: running streams are handed to a new version"

# --- killed at every step -------------------------------------------------------------------------------


class Steps:
    """A call's way through the gateway, held at one step."""

    def __init__(self, stage: Stage, step: str, effect: str) -> None:
        self.stage, self.step, self.effect = stage, step, effect
        self.reached, self.go_on = asyncio.Event(), asyncio.Event()
        stage.on(self.serve)

    async def serve(self, asked: Asked) -> None:
        first = len(self.stage.seen()) == 1
        if asked.message.get("method") != "tools/call" or self.go_on.is_set():
            asked.json(answer(asked))
        elif self.step == "pause" and first:
            asked.reset()
            self.reached.set()
        elif self.step == "call":
            self.reached.set()
            await asked.closed()
        elif self.step == "progress":
            asked.begin()
            asked.event({"jsonrpc": "2.0", "method": "notifications/progress",
                         "params": {"progressToken": 1, "progress": 1}})  # fmt: skip
            await asked.closed()
        elif self.step == "half-reply":
            asked.begin()
            asked.chunk(b'data: {"jsonrpc"')
            await asked.flush()
            self.reached.set()
            await asked.closed()
        elif self.step == "half-batch" and asked.message["id"] == 2:
            await asked.closed()
        else:
            asked.json(answer(asked))
            if self.step == "half-batch":
                self.reached.set()

    async def script(self, engine: Engine) -> None:
        async def take(asked: Asked) -> None:
            if self.step == "return" and not self.go_on.is_set():
                self.reached.set()
                await asked.closed()
                return
            asked.reply(202)
            engine.note(asked)
            if self.step in ("progress", "after"):
                self.reached.set()

        engine.take = take
        call = self.stage.call(1, self.effect)
        call["params"]["_meta"] = {"progressToken": 1}
        if self.step == "before" and not self.go_on.is_set():
            self.reached.set()
            await engine.closed()
            return
        engine.send([call, self.stage.call(2, self.effect)] if self.step == "half-batch" else call)
        while not isinstance(await engine.reply(), list) and "method" in engine.got[-1]:
            pass
        if not self.go_on.is_set():
            await engine.closed()
        engine.end()


def _killed(step: str, effect: str, cls: str) -> None:
    """SIGKILL at this step; then the client comes again, as its class allows, and the engine calls again."""

    async def run(stage: Stage) -> None:
        steps = Steps(stage, step, effect)
        _, client = await stage.begin(steps.script, cls)
        async with asyncio.timeout(10):
            await steps.reached.wait()
        await stage.gateway.kill()
        made = len(stage.seen())
        _, whole = await client.rest()
        check(not whole, "the client's stream broke")
        steps.go_on.set()
        await stage.world.gateway()
        again = "again" if cls == "order" else "1"
        got = await stage.play(steps.script, cls, X_Repeat=again)
        equal((got.status, got.whole), (200, True), "the client's second try")
        reply = got.posts[-1]
        replies = reply if isinstance(reply, list) else [reply]
        if effect == "unsafe":
            equal([code(m) for m in replies], [-32004] * len(replies), "not made again")
            equal(len(stage.seen()), made, "calls after the kill")
            check(made <= (2 if step == "half-batch" else 1), f"{made} calls written")
        else:
            check(all("result" in m for m in replies), "made again")

    add(f"killed/{step}/{effect}", KILLED, run, Needs(), alone=True)


for _step in ("before", "call", "progress", "half-reply", "half-batch", "return", "after"):
    _killed(_step, "unsafe", "order")
for _step in ("pause", "call", "half-batch", "return"):
    _killed(_step, "safe", "ask")


# --- a new version --------------------------------------------------------------------------------------


async def _upgraded(stage: Stage, play: Callable[[Callable[[], Awaitable[None]]], Awaitable[None]]) -> None:
    """Ends the world's gateway, starts one on an inherited socket, and lets `play` call for the upgrade."""
    await stage.gateway.kill()
    with (
        tempfile.TemporaryDirectory() as scratch,
        socket.create_server(("127.0.0.1", 0), backlog=512) as door,
    ):
        old = await stage.world.gateway(door.fileno(), scratch)

        async def upgrade() -> None:
            await stage.world.gateway(door.fileno(), scratch)
            old.process.send_signal(signal.SIGTERM)
            await old.until("stopping")
            with contextlib.suppress(Failed):  # it may have handed all on, and ended
                await old.counters()  # what can be handed on at once has been by now

        await play(upgrade)
        async with asyncio.timeout(20):
            equal(await old.process.wait(), 0, "the old process ends in order")
        for gateway in stage.world.gateways:
            await gateway.kill()


@case("upgrade/stream-is-handed-on", HANDED, alone=True)
async def handed_on(stage: Stage) -> None:
    async def play(upgrade: Callable[[], Awaitable[None]]) -> None:
        async def script(engine: Engine) -> None:
            engine.send(stage.call(1, "unsafe"))
            await engine.reply()
            engine.send(AFTER)
            await upgrade()
            new = stage.gateway
            await new.until_count("streams_adopted")
            engine.send(stage.call(1, "unsafe"), stage.call(2, "unsafe"))
            equal((await engine.reply())["id"], 2, "the old id is known in the new process")
            engine.end()

        served = await stage.play(script, "order")
        equal((served.whole, served.body), (True, BEFORE + AFTER + END), "the client's stream, unbroken")
        equal((len(stage.seen()), len(served.posts)), (2, 2), "calls and replies")

    await _upgraded(stage, play)


@case("upgrade/open-call-ends-first", HANDED, alone=True)
async def open_call(stage: Stage) -> None:
    go_on = asyncio.Event()

    async def wait(asked: Asked) -> None:
        if asked.message["id"] == 1:
            await go_on.wait()
        asked.json(answer(asked))

    stage.on(wait)

    async def play(upgrade: Callable[[], Awaitable[None]]) -> None:
        async def script(engine: Engine) -> None:
            engine.send(stage.call(1, "unsafe"))
            await stage.until_seen()
            await upgrade()
            equal(
                (await stage.gateway.counters()).get("streams_adopted", 0), 0, "it stays while a call is open"
            )
            go_on.set()
            equal((await engine.reply())["id"], 1, "the reply, by the old process")
            await stage.gateway.until_count("streams_adopted")
            engine.send(stage.call(2, "unsafe"))
            equal((await engine.reply())["id"], 2, "the next, by the new one")
            engine.end()

        served = await stage.play(script, "order")
        equal((served.whole, len(stage.seen()), len(served.posts)), (True, 2, 2), "stream, calls, replies")

    await _upgraded(stage, play)


@case("upgrade/part-of-an-event-stays", HANDED, alone=True)
async def part_of_event(stage: Stage) -> None:
    async def play(upgrade: Callable[[], Awaitable[None]]) -> None:
        async def script(engine: Engine) -> None:
            raw = b"data: " + json.dumps(stage.call(1, "unsafe")).encode() + b"\n\n"
            engine.send(raw[:30])
            await upgrade()
            engine.send(raw[30:])
            equal((await engine.reply())["id"], 1, "the call, though an upgrade cut it in two")
            engine.send(AFTER)
            await stage.gateway.until_count("streams_adopted")
            engine.end()

        served = await stage.play(script, "order")
        equal((served.whole, served.body), (True, BEFORE + AFTER + END), "the client's stream")
        equal(len(stage.seen()), 1, "calls")

    await _upgraded(stage, play)


@case("upgrade/resumed-stays-resumed", HANDED, alone=True)
async def resumed_stays(stage: Stage) -> None:
    async def play(upgrade: Callable[[], Awaitable[None]]) -> None:
        async def script(engine: Engine) -> None:
            await upgrade()
            engine.send(AFTER)
            await stage.gateway.until_count("streams_adopted")
            engine.send(stage.call(1, "unsafe"))
            equal(code(await engine.reply()), -32004, "what may not be called before may not after")
            engine.end()

        served = await stage.play(script, "order", X_Repeat="again")
        equal((served.whole, len(stage.seen())), (True, 0), "stream and calls")

    await _upgraded(stage, play)


@case("stop/open-call-is-answered", "README: SIGTERM answers all that it has taken", alone=True)
async def stop_open(stage: Stage) -> None:
    go_on = asyncio.Event()

    stage.on(answer_after(go_on))

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1, "unsafe"))
        await stage.until_seen()
        stage.gateway.process.send_signal(signal.SIGTERM)
        await stage.gateway.until("stopping")
        go_on.set()
        await engine.reply()
        engine.end()

    served = await stage.play(script, "order")
    equal((served.whole, len(stage.seen())), (True, 1), "stream and calls")
