"""Cases on what tool servers answer: every form of a reply, whole and broken, to either kind of call."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from basaltspread.conformance.cases import add, case
from basaltspread.conformance.peers import Asked, Handler, event
from basaltspread.conformance.world import SHORT_MS, Engine, Needs, Stage, check, code, equal

STREAMED = "MCP, Streamable HTTP: the reply is JSON or an event stream"
ONCE = "README: an unsafe call is written at most once; -32001 where it may have been made"
AGAIN = "README: a safe call is written again, three times in all"
SHORT = Needs(deadline_ms=SHORT_MS)


def answer(asked: Asked, **change: Any) -> dict[str, Any]:
    message = {"jsonrpc": "2.0", "id": asked.message["id"], "result": {"ok": 1}, **change}
    return {name: value for name, value in message.items() if value is not ...}


def answer_after(go_on: asyncio.Event) -> Handler:
    """Answers each call once the case lets it."""

    async def wait(asked: Asked) -> None:
        await go_on.wait()
        asked.json(answer(asked))

    return wait


# --- replies that count ---------------------------------------------------------------------------------


def _counts(name: str, respond: Any, clause: str = STREAMED) -> None:
    """Both a safe and an unsafe call get this reply, by one try."""

    async def run(stage: Stage) -> None:
        async def handle(asked: Asked) -> None:
            found = respond(asked)
            if found is not None:
                await found

        stage.on(handle)
        for effect, cls in (("safe", "ask"), ("unsafe", "order")):
            got = await stage.one(stage.call(f"{effect}-1", effect), cls=cls)
            equal(
                (got["id"], got.get("result")),
                (f"{effect}-1", {"ok": 1}),
                f"reply to a call that is {effect}",
            )
        equal(len(stage.seen()), 2, "tries")

    add(f"reply/{name}", clause, run)


def _stream(asked: Asked, *parts: bytes, end: bool = True) -> None:
    asked.begin()
    for part in parts:
        asked.chunk(part)
    if end:
        asked.end()


async def _kept_open(asked: Asked) -> None:
    """The stream stays open after the reply, as a server that has more to say may leave it."""
    _stream(asked, event(answer(asked)), end=False)
    await asked.closed()


async def _piecewise(asked: Asked, data: bytes, size: int) -> None:
    asked.begin()
    for i in range(0, len(data), size):
        asked.chunk(data[i : i + size])
        await asked.flush()
    asked.end()


async def _bytewise_json(asked: Asked) -> None:
    body = json.dumps(answer(asked)).encode()
    asked.raw(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body))
    for i in range(len(body)):
        asked.raw(body[i : i + 1])
        await asked.flush()


async def _bytewise_head(asked: Asked) -> None:
    body = json.dumps(answer(asked)).encode()
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body:
        asked.raw(bytes([byte]))
        await asked.flush()


async def _until_close(asked: Asked) -> None:
    asked.raw(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + json.dumps(answer(asked)).encode())
    await asked.flush()
    asked.close()


async def _gone_after(asked: Asked) -> None:
    """The stream breaks right after the reply."""
    _stream(asked, event(answer(asked)), end=False)
    await asked.flush()
    asked.close()


for _name, _respond in {
    "json": lambda a: a.json(answer(a)),
    "json-without-type": lambda a: a.reply(200, json.dumps(answer(a)).encode()),
    "json-until-close": _until_close,
    "json-byte-by-byte": _bytewise_json,
    "head-byte-by-byte": _bytewise_head,
    "batch-of-one": lambda a: a.json([answer(a)]),
    "batch-among-others": lambda a: a.json([{"jsonrpc": "2.0", "method": "x"}, answer(a)]),
    "white-space-around": lambda a: a.reply(200, b"\r\n " + json.dumps(answer(a)).encode() + b"\n\n"),
    "stream": lambda a: _stream(a, event(answer(a))),
    "stream-with-charset": lambda a: (
        a.raw(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n"
              b"Transfer-Encoding: chunked\r\n\r\n"), a.chunk(event(answer(a))), a.end(), None,
    )[-1],
    "stream-kept-open": _kept_open,
    "stream-broken-after": _gone_after,
    "stream-byte-by-byte": lambda a: _piecewise(a, event(answer(a), b"\r\n\r\n"), 1),
    "stream-in-sevens": lambda a: _piecewise(a, event(answer(a)), 7),
    "stream-after-comments": lambda a: _stream(a, b": ping\n\n", b": ping\n\n", event(answer(a))),
    "stream-after-notifications": lambda a: _stream(
        a, event({"jsonrpc": "2.0", "method": "notifications/message", "params": {"level": "info"}}),
        event(answer(a)),
    ),
    "stream-after-noise": lambda a: _stream(a, b"data: noise\n\n", b'data: {"x":1}\n\n', event(answer(a))),
    "stream-after-a-wrong-id": lambda a: _stream(a, event(answer(a, id="other")), event(answer(a))),
    "stream-with-bom": lambda a: _stream(a, b"\xef\xbb\xbf" + event(answer(a))),
    "double": lambda a: _stream(a, event(answer(a)), event(answer(a, result={"ok": 2}))),
    "double-in-one-chunk": lambda a: _stream(a, event(answer(a)) + event(answer(a, result={"ok": 2}))),
    "continue-first": lambda a: (a.raw(b"HTTP/1.1 100 Continue\r\n\r\n"), a.json(answer(a)), None)[-1],
    "status-201": lambda a: a.json(answer(a), 201),
    "status-500-with-a-result": lambda a: a.json(answer(a), 500),
}.items():  # fmt: skip
    _counts(_name, _respond)


def _every_cut(name: str, streamed: bool) -> None:
    """The same reply, cut in two at each of its bytes, by a call for each cut."""

    async def run(stage: Stage) -> None:
        async def handle(asked: Asked) -> None:
            at = asked.message["params"]["arguments"]["at"]
            body = json.dumps(answer(asked)).encode()
            body = b"data: " + body + b"\r\n\r\n" if streamed else body
            if streamed:
                asked.begin()
                for part in (body[:at], body[at:]):
                    if part:
                        asked.chunk(part)
                        await asked.flush()
                asked.end()
            else:
                asked.raw(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:at])
                await asked.flush()
                asked.raw(body[at:])

        stage.on(handle)
        size = len(json.dumps({"jsonrpc": "2.0", "id": 10, "result": {"ok": 1}})) + (10 if streamed else 0)

        async def script(engine: Engine) -> None:
            for start in range(0, size, 8):
                count = min(8, size - start)
                for at in range(start, start + count):
                    params = {"name": f"c{stage.slot}_safe", "arguments": {"at": at}}
                    engine.send(stage.call(at + 10, params=params))
                for _ in range(count):
                    equal((await engine.reply()).get("result"), {"ok": 1}, "a reply")
            engine.end()

        served = await stage.play(script)
        equal((len(served.posts), len(stage.seen())), (size, size), "one reply and one try for each cut")

    add(f"reply/{name}", STREAMED, run)


_every_cut("json-cut-at-every-byte", False)
_every_cut("stream-cut-at-every-byte", True)


@case("reply/error-object", "JSON-RPC 2.0, 5.1: an error is a reply")
async def error_object(stage: Stage) -> None:
    async def refuse(asked: Asked) -> None:
        asked.json(answer(asked, result=..., error={"code": -7, "message": "sold out", "data": [1]}), 400)

    stage.on(refuse)
    for effect, cls in (("safe", "ask"), ("unsafe", "order")):
        got = await stage.one(stage.call(1, effect), cls=cls)
        equal(got["error"], {"code": -7, "message": "sold out", "data": [1]}, "the error")
    equal(len(stage.seen()), 2, "tries")


@case("reply/written-anew", "README: a reply is encoded anew, under the id that the engine gave")
async def reply_anew(stage: Stage) -> None:
    async def odd(asked: Asked) -> None:
        body = b'{"extra": 1,  "result": {"\\u0061": [1.0, "\\u4f60"]}, "id": %d, "jsonrpc": "2.0"}'
        asked.reply(200, body % asked.message["id"])

    stage.on(odd)
    got = await stage.one(stage.call(5))
    equal(got, {"jsonrpc": "2.0", "id": 5, "result": {"a": [1.0, "\u4f60"]}}, "the reply")


# --- replies that do not --------------------------------------------------------------------------------


def _fails(
    name: str, respond: Any, unsafe: int = -32001, safe: int = -32603, needs: Needs | None = None
) -> None:
    """A safe call is tried three times and gets `safe`; an unsafe one is written once and gets `unsafe`."""

    async def handle(asked: Asked) -> None:
        if asked.message.get("method") != "tools/call":
            asked.json({"jsonrpc": "2.0", "id": asked.message["id"], "result": {}})
            return
        found = respond(asked)
        if found is not None:
            await found

    async def unsafe_run(stage: Stage) -> None:
        stage.on(handle)
        got = await stage.one(stage.call(1, "unsafe"), cls="order")
        equal((code(got), len(stage.seen())), (unsafe, 1), "error and tries")

    async def safe_run(stage: Stage) -> None:
        stage.on(handle)
        got = await stage.one(stage.call(1, "safe"))
        equal(code(got), safe, "error")
        check(1 <= len(stage.seen()) <= 3 and (needs is not None or len(stage.seen()) == 3), "three tries")

    add(f"broken/{name}/unsafe", ONCE, unsafe_run, needs)
    add(f"broken/{name}/safe", AGAIN, safe_run, needs)


async def _reset(asked: Asked) -> None:
    asked.reset()


async def _half_head(asked: Asked) -> None:
    asked.raw(b"HTTP/1.1 200 OK\r\nContent-Le")
    await asked.flush()
    asked.close()


async def _half_body(asked: Asked) -> None:
    body = json.dumps(answer(asked)).encode()
    asked.raw(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:-1])
    await asked.flush()
    asked.close()


async def _half_event(asked: Asked) -> None:
    _stream(asked, event(answer(asked))[:-2], end=False)
    await asked.flush()
    asked.close()


async def _stall(asked: Asked) -> None:
    await asked.closed()


async def _stall_in_reply(asked: Asked) -> None:
    _stream(asked, event(answer(asked))[:-2], end=False)
    await asked.closed()


async def _huge(asked: Asked) -> None:
    asked.json(answer(asked, result="x" * 300_000))


async def _huge_event(asked: Asked) -> None:
    asked.begin()
    for _ in range(10):
        asked.chunk(b"data: " + b"x" * 32_000)
    await asked.closed()


for _name, _respond in {
    "reset-before-head": _reset, "death-in-head": _half_head, "death-in-body": _half_body,
    "death-in-event": _half_event, "oversized": _huge, "oversized-event": _huge_event,
    "stream-ends-without": lambda a: _stream(a, b": nothing\n\n"),
    "event-without-end": lambda a: _stream(a, event(answer(a))[:-1]),
    "status-500": lambda a: a.reply(500), "status-404": lambda a: a.reply(404),
    "status-503": lambda a: a.reply(503), "status-202": lambda a: a.reply(202),
    "empty": lambda a: a.reply(200), "no-json": lambda a: a.reply(200, b"<html>"),
    "no-message": lambda a: a.json({"ok": True}), "not-http": lambda a: a.raw(b"nonsense\r\n\r\n"),
    "wrong-id": lambda a: a.json(answer(a, id=99)), "id-as-text": lambda a: a.json(answer(a, id="1")),
    "id-null": lambda a: a.json(answer(a, id=None)), "no-id": lambda a: a.json(answer(a, id=...)),
    "result-and-error": lambda a: a.json(answer(a, error={"code": 1, "message": "x"})),
    "neither": lambda a: a.json(answer(a, result=...)),
    "error-a-text": lambda a: a.json(answer(a, result=..., error="sold out")),
    "error-without-code": lambda a: a.json(answer(a, result=..., error={"message": "x"})),
    "version-1": lambda a: a.json(answer(a, jsonrpc="1.0")),
    "member-twice": lambda a: a.reply(200, json.dumps(answer(a)).encode()[:-1] + b',"result":2}'),
    "surrogate": lambda a: a.reply(200, b'{"jsonrpc":"2.0","id":1,"result":"\\ud800"}'),
    "number-beyond-range": lambda a: a.reply(200, b'{"jsonrpc":"2.0","id":1,"result":1e999}'),
    "a-request-in-place-of-it": lambda a: a.json(a.message),
    "both-lengths": lambda a: a.raw(
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\n{}x"
    ),
}.items():  # fmt: skip
    _fails(_name, _respond)

_fails("turned-away", lambda a: a.reply(503, X_Unprocessed="1"), -32003, -32003)
_fails("stalls", _stall, -32001, -32002, SHORT)
_fails("stalls-in-reply", _stall_in_reply, -32001, -32002, SHORT)


@case("broken/late", "README, codes: -32002; each id one reply", SHORT)
async def late(stage: Stage) -> None:
    go_on = asyncio.Event()

    stage.on(answer_after(go_on))

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1))
        equal(code(await engine.reply()), -32002, "at the deadline")
        go_on.set()
        engine.send(stage.call(2))
        equal((await engine.reply())["id"], 2, "the next reply")
        engine.end()

    equal(len((await stage.play(script)).posts), 2, "replies")


@case("broken/third-time-lucky", AGAIN)
async def third_time(stage: Stage) -> None:
    async def handle(asked: Asked) -> None:
        tries = len(stage.seen())
        if tries == 1:
            asked.reset()
        elif tries == 2:
            asked.reply(500)
        else:
            asked.json(answer(asked))

    stage.on(handle)
    equal(((await stage.one(stage.call()))["result"], len(stage.seen())), ({"ok": 1}, 3), "reply and tries")


@case("broken/stale-connection", "README: an unsafe call goes on a connection of its own")
async def stale(stage: Stage) -> None:
    async def handle(asked: Asked) -> None:
        if asked.first:
            asked.json(answer(asked))
        else:
            asked.reset()  # as a server that closes kept connections without a word

    stage.on(handle)
    await stage.one(stage.call(1))
    for _ in range(3):
        got = await stage.one(stage.call(1, "unsafe"), cls="order")
        equal(got.get("result"), {"ok": 1}, "the order's reply")
    await stage.one(stage.call(2))


@case("broken/same-idempotency-key", "README: Idempotency-Key is request/id, at each try")
async def idempotency(stage: Stage) -> None:
    async def handle(asked: Asked) -> None:
        asked.reset() if len(stage.seen()) < 3 else asked.json(answer(asked))

    stage.on(handle)
    await stage.one(stage.call("a b"))
    keys = [asked.headers["idempotency-key"] for asked in stage.seen()]
    equal(keys, [f"c{stage.slot}-1/a_b"] * 3, "keys")


# --- the engine's side ----------------------------------------------------------------------------------


@case("engine/takes-no-reply", "README: a reply that no engine takes ends the stream")
async def engine_deaf(stage: Stage) -> None:
    async def script(engine: Engine) -> None:
        async def deaf(asked: Asked) -> None:
            asked.reply(404)

        engine.take = deaf
        engine.send(stage.call())
        await engine.closed()

    served = await stage.play(script)
    equal((served.whole, len(stage.seen())), (False, 1), "the stream ends without its last chunk")


@case("engine/turns-a-reply-away-once", "README: a reply that certainly did not arrive is written again")
async def engine_busy(stage: Stage) -> None:
    async def script(engine: Engine) -> None:
        times = 0

        async def second_time(asked: Asked) -> None:
            nonlocal times
            times += 1
            if times == 1:
                asked.reply(503, X_Unprocessed="1")
            else:
                asked.reply(202)
                engine.note(asked)

        engine.take = second_time
        engine.send(stage.call())
        await engine.reply()
        engine.end()

    equal(len((await stage.play(script)).posts), 1, "replies")


@case("engine/resets-a-reply", "README: a reply that may have arrived is not written again")
async def engine_resets(stage: Stage) -> None:
    times = 0

    async def script(engine: Engine) -> None:
        async def reset(asked: Asked) -> None:
            nonlocal times
            times += 1
            asked.reset()

        engine.take = reset
        engine.send(stage.call(1, "unsafe"))
        await engine.closed()

    served = await stage.play(script, "order")
    equal((served.whole, times, len(stage.seen())), (False, 1, 1), "one reply, one call, the stream ended")


@case(
    "engine/ends-without-its-reply",
    "README: the client leaves, or the stream ends: safe calls are called off",
)
async def engine_ends(stage: Stage) -> None:
    async def script(engine: Engine) -> None:
        engine.send(stage.call())
        await stage.until_seen()
        engine.end()

    async def hold(asked: Asked) -> None:
        await asked.closed()

    stage.on(hold)
    served = await stage.play(script)
    equal((served.whole, served.posts), (True, []), "the client's stream")


@case("engine/pause-longer-than-silence", "README: an engine pauses for its call; ONCALL: silence is 4 s")
async def long_pause(stage: Stage) -> None:
    async def slow(asked: Asked) -> None:
        await asyncio.sleep(4.6)
        asked.json(answer(asked))

    stage.on(slow)

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1, "unsafe"))
        await engine.reply()
        await asyncio.sleep(1.0)
        engine.end()

    served = await stage.play(script, "order")
    equal((served.whole, len(served.posts)), (True, 1), "the stream, and replies")
