"""Cases on where calls go and when: routes, drains, limits, deadlines, cancels, progress, sessions, lists."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from basaltspread.conformance.cases import case
from basaltspread.conformance.cases_replies import answer, answer_after
from basaltspread.conformance.peers import Asked, Handler, event
from basaltspread.conformance.world import SHORT_MS, Engine, Needs, Stage, check, code, echo, equal

ROUTES = "operators: tool servers, routes"
DRAINS = "rule: nothing new within 250 ms of a drain being known"
CANCEL = "MCP, Cancellation"
PROGRESS = "MCP, Progress"
SESSION = "MCP, Streamable HTTP: session management"
LIST = "MCP, Tools: tools/list"
TWO, THREE = Needs(servers=2), Needs(servers=3)
MCP = Needs(protocol="mcp")


async def hold(asked: Asked) -> None:
    """Says nothing until the other side closes."""
    await asked.closed()


# --- routes ---------------------------------------------------------------------------------------------


@case("routes/refused-connection-safe", ROUTES, Needs(servers=2, dead=True))
async def refused_safe(stage: Stage) -> None:
    for i in range(4):
        check("result" in await stage.one(stage.call(i)), "served by the server that is there")
    equal(len(stage.seen("b")), 4, "calls there")


@case("routes/refused-connection-unsafe", ROUTES, Needs(servers=2, dead=True))
async def refused_unsafe(stage: Stage) -> None:
    for i in range(4):
        got = await stage.one(stage.call(i, "unsafe"), cls="order")
        check("result" in got, "not a byte was written to the first: the second may have it")
    equal(len(stage.seen("b")), 4, "calls there")


@case("routes/nobody-there", "README, codes: -32003 certainly not made", Needs(dead=True))
async def nobody(stage: Stage) -> None:
    equal(code(await stage.one(stage.call(1, "unsafe"), cls="order")), -32003, "an unsafe call")


@case("routes/turned-away-unsafe", "README: an unsafe call is written at most once", TWO)
async def turned_away(stage: Stage) -> None:
    async def full(asked: Asked) -> None:
        asked.reply(503, X_Unprocessed="1")

    stage.on(full, "a")
    stage.on(full, "b")
    got = await stage.one(stage.call(1, "unsafe"), cls="order")
    equal((code(got), len(stage.seen())), (-32003, 1), "error, and times written over both servers")


@case("routes/failed-safe-goes-elsewhere", ROUTES, THREE)
async def elsewhere(stage: Stage) -> None:
    async def fail(asked: Asked) -> None:
        asked.reset()

    for letter in "abc":
        stage.on(fail, letter)
    equal(code(await stage.one(stage.call())), -32603, "the error")
    equal([len(stage.seen(letter)) for letter in "abc"], [1, 1, 1], "tries at each")


@case("routes/spread", ROUTES, THREE)
async def spread(stage: Stage) -> None:
    go_on = asyncio.Event()

    for letter in "abc":
        stage.on(answer_after(go_on), letter)

    async def script(engine: Engine) -> None:
        engine.send(*(stage.call(i) for i in range(12)))
        await stage.until_seen(12)
        go_on.set()
        for _ in range(12):
            await engine.reply()
        engine.end()

    await stage.play(script)
    equal([len(stage.seen(letter)) for letter in "abc"], [4, 4, 4], "calls at once at each")


@case("routes/failing-server-rests", ROUTES, TWO)
async def rests(stage: Stage) -> None:
    async def fail(asked: Asked) -> None:
        asked.reset()

    stage.on(fail, "a")
    for i in range(30):
        check("result" in await stage.one(stage.call(i)), "the other server's reply")
    check(len(stage.seen("a")) <= 8, f"{len(stage.seen('a'))} of 30 calls went to a server that fails")


@case("routes/comes-back-by-trial", ROUTES)
async def trial(stage: Stage) -> None:
    well = False

    async def handle(asked: Asked) -> None:
        await echo(asked) if well else asked.reset()

    stage.on(handle)
    for i in range(4):
        await stage.one(stage.call(i, "unsafe"), cls="order")
    equal(code(await stage.one(stage.call(9, "unsafe"), cls="order")), -32001, "the fifth")
    failed = len(stage.seen())
    well = True
    got = await stage.one(stage.call(10, "unsafe"), cls="order")  # waits for the trial
    check("result" in got, "served once the trial has been answered")
    equal((len(stage.seen()), len(stage.seen(method="ping")) >= 1), (failed + 1, True), "calls and trials")


# --- drains ---------------------------------------------------------------------------------------------


@case("drain/by-its-own-word", DRAINS, TWO)
async def drain_header(stage: Stage) -> None:
    async def leaving(asked: Asked) -> None:
        asked.json({"jsonrpc": "2.0", "id": asked.message["id"], "result": {}}, X_Draining="1")

    stage.on(leaving, "a")
    for i in range(20):
        check("result" in await stage.one(stage.call(i)), "a reply")
    check(len(stage.seen("a")) <= 1, f"{len(stage.seen('a'))} calls at a server that said that it drains")
    stage.on(echo, "a")
    await stage.until_seen(1, "a", "ping")
    async with asyncio.timeout(10):
        while len(stage.seen("a")) < 2:  # it does not drain any more, by its own word
            await stage.one(stage.call(1))


@case("drain/by-an-operator", DRAINS, TWO)
async def drain_operator(stage: Stage) -> None:
    status, _ = await stage.gateway.operate("PUT", f"/-/tools/{stage.server('a')}/drain")
    equal(status, 200, "the operator's answer")
    for i in range(10):
        await stage.one(stage.call(i, "unsafe"), cls="order")
    equal((len(stage.seen("a")), len(stage.seen("b"))), (0, 10), "calls")
    equal((await stage.gateway.operate("PUT", f"/-/tools/{stage.server('a')}/resume"))[0], 200, "resumed")
    await stage.gateway.operate("PUT", f"/-/tools/{stage.server('b')}/drain")
    await stage.one(stage.call(99))
    equal(len(stage.seen("a")), 1, "used again")
    equal((await stage.gateway.operate("PUT", "/-/tools/nobody/drain"))[0], 404, "an unknown server")
    figures = (await stage.gateway.operate("GET", "/-/tools"))[1]
    equal(figures["servers"][stage.server("b")]["state"], "draining", "what operators see")


@case("drain/crosses-a-repeated-attempt", DRAINS, TWO)
async def drain_crosses(stage: Stage) -> None:
    """The server that would get the second try drains while the call is in its pause."""
    failed: list[str] = []

    async def fail(asked: Asked) -> None:
        name = asked.target.rpartition("/")[2]
        other = {stage.server("a"): stage.server("b"), stage.server("b"): stage.server("a")}[name]
        if not failed:
            failed.append(other)
            await stage.gateway.operate("PUT", f"/-/tools/{other}/drain")
            asked.reset()
        else:
            asked.json(answer(asked))

    stage.on(fail, "a")
    stage.on(fail, "b")
    check("result" in await stage.one(stage.call()), "a reply")
    drained = failed[0][-1]
    equal(len(stage.seen(drained)), 0, "calls at the server that drains")
    await stage.gateway.operate("PUT", f"/-/tools/{failed[0]}/resume")


@case("drain/running-calls-end-there", DRAINS)
async def drain_running(stage: Stage) -> None:
    go_on = asyncio.Event()

    stage.on(answer_after(go_on))

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1, "unsafe"))
        await stage.until_seen()
        await stage.gateway.operate("PUT", f"/-/tools/{stage.server()}/drain")
        engine.send(stage.call(2, "unsafe"))
        equal(code(await engine.reply()), -32006, "a new one: certainly not made, and told so at once")
        go_on.set()
        check("result" in await engine.reply(), "the one under way ends where it is")
        engine.end()

    await stage.play(script, "order")
    equal(len(stage.seen()), 1, "calls made")


# --- reloads --------------------------------------------------------------------------------------------


@case("reload/swaps-a-route", "operators: reload swaps routes at once", TWO, alone=True)
async def reload_swaps(stage: Stage) -> None:
    both = json.dumps([stage.server("a"), stage.server("b")])
    await stage.gateway.reload(lambda text: text.replace(f'_*" = {both}', f'_*" = ["{stage.server("b")}"]'))
    for i in range(6):
        await stage.one(stage.call(i))
    equal((len(stage.seen("a")), len(stage.seen("b"))), (0, 6), "calls")


@case("reload/calls-under-way-end-where-they-are", "operators: reload swaps routes at once", TWO, alone=True)
async def reload_running(stage: Stage) -> None:
    go_on = asyncio.Event()

    async def wait(asked: Asked) -> None:
        await go_on.wait()
        asked.json(answer(asked, result=asked.target))

    stage.on(wait, "a")
    stage.on(wait, "b")

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1, "unsafe"))
        await stage.until_seen()
        there = stage.seen()[0].target[-1]
        other = stage.server("b" if there == "a" else "a")
        both = json.dumps([stage.server("a"), stage.server("b")])
        await stage.gateway.reload(lambda text: text.replace(f'_*" = {both}', f'_*" = ["{other}"]'))
        go_on.set()
        check((await engine.reply())["result"].endswith(there), "where it was")
        engine.send(stage.call(2, "unsafe"))
        check((await engine.reply())["result"].endswith(other), "the next one goes by the new route")
        engine.end()

    await stage.play(script, "order")
    equal(len(stage.seen()), 2, "calls made")


@case("reload/removes-the-route-of-a-call-in-its-pause", "operators: a removed route", alone=True)
async def reload_paused(stage: Stage) -> None:
    """The first try fails while the reload is under way; whichever comes first, there is one reply."""

    async def fail(asked: Asked) -> None:
        asked.reset()

    stage.on(fail)

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1))
        await stage.until_seen()
        await stage.gateway.reload(lambda text: text.replace(f'"c{stage.slot}_*"', '"other_*"'))
        check(code(await engine.reply()) in (-32602, -32603), "an error")
        engine.send(stage.call(2))
        equal(code(await engine.reply()), -32602, "no route any more")
        engine.end()

    equal(len((await stage.play(script)).posts), 2, "replies")


@case("reload/faulty-file-changes-nothing", "README: a faulty file changes nothing", alone=True)
async def reload_faulty(stage: Stage) -> None:
    await stage.gateway.reload(lambda text: text.replace(f'["{stage.server()}"]', '["nobody"]'))
    check("result" in await stage.one(stage.call()), "the old route stands")


# --- limits ---------------------------------------------------------------------------------------------


@case(
    "limits/turned-away-early", "README, codes: -32006", Needs(deadline_ms=1500, server="max_concurrent = 1")
)
async def turned_away_early(stage: Stage) -> None:
    async def slow(asked: Asked) -> None:
        await asyncio.sleep(0.25)
        asked.json(answer(asked))

    stage.on(slow)
    for i in range(3):
        await stage.one(stage.call(i))

    async def script(engine: Engine) -> None:
        engine.send(*(stage.call(i) for i in range(16)))
        for _ in range(16):
            await engine.reply()
        engine.end()

    served = await stage.play(script)
    codes = [code(m) for m in served.posts]
    check(codes.count(-32006) >= 6, f"what can't be done in time is turned away: {codes}")
    check(codes.count(None) >= 3, f"and the rest is served: {codes}")
    check(len(stage.seen()) <= 3 + 16 - codes.count(-32006), "what was turned away was not written")
    first = [code(m) for m in served.posts[:4]]
    check(-32006 in first, "at once, before the first reply")


@case("limits/one-at-a-time", "operators: max_concurrent", Needs(server="max_concurrent = 2"))
async def most_at_once(stage: Stage) -> None:
    now, most = 0, 0

    async def count(asked: Asked) -> None:
        nonlocal now, most
        now += 1
        most = max(most, now)
        await asyncio.sleep(0.02)
        now -= 1
        asked.json(answer(asked))

    stage.on(count)

    async def script(engine: Engine) -> None:
        engine.send(*(stage.call(i) for i in range(10)))
        for _ in range(10):
            check("result" in await engine.reply(), "a reply")
        engine.end()

    await stage.play(script)
    equal(most, 2, "calls at once")


@case(
    "limits/budget",
    "operators: retry_share and retry_reserve",
    Needs(limits="retry_share = 0\nretry_reserve = 2"),
    True,
)
async def budget(stage: Stage) -> None:
    async def fail(asked: Asked) -> None:
        await (echo(asked) if asked.message["method"] == "ping" else _refuse(asked))

    async def _refuse(asked: Asked) -> None:
        asked.reply(500)

    stage.on(fail)
    for i in range(4):
        equal(code(await stage.one(stage.call(i))), -32603, "an error")
    check(len(stage.seen()) <= 4 + 2, f"{len(stage.seen())} sends for 4 calls and a budget of 2")


@case("limits/second-copy", "operators: hedge", Needs(2, limits="retry_reserve = 50\nhedge = true"), True)
async def second_copy(stage: Stage) -> None:
    for i in range(30):
        await stage.one(stage.call(i))
    await stage.one(stage.call(1, "unsafe"), cls="order")
    before = len(stage.seen())

    async def once(asked: Asked) -> None:
        if len(stage.seen()) == before + 1:
            await asked.closed()  # the first copy is never answered, and closed once the second is
        else:
            await echo(asked)

    stage.on(once, "a")
    stage.on(once, "b")
    check("result" in await stage.one(stage.call(77)), "the second copy's reply")
    equal(len(stage.seen()), before + 2, "copies")


@case(
    "limits/no-second-copy-of-an-unsafe-call",
    "README: written at most once",
    Needs(2, limits="hedge = true"),
    True,
)
async def no_copy(stage: Stage) -> None:
    for i in range(30):
        await stage.one(stage.call(i, "unsafe"), cls="order")

    async def slow(asked: Asked) -> None:
        await asyncio.sleep(0.3)
        await echo(asked)

    stage.on(slow, "a")
    stage.on(slow, "b")
    await stage.one(stage.call(77, "unsafe"), cls="order")
    equal(len(stage.seen()), 31, "calls made")


@case("limits/silence", "operators: silence_ms", Needs(server="silence_ms = 1000"))
async def silence(stage: Stage) -> None:
    async def first_silent(asked: Asked) -> None:
        await (hold(asked) if len(stage.seen()) == 1 else echo(asked))

    stage.on(first_silent)
    check("result" in await stage.one(stage.call()), "the second try's reply")
    equal(len(stage.seen()), 2, "tries")


# --- cancels --------------------------------------------------------------------------------------------


def tell_end(closed: asyncio.Event) -> Handler:
    """Never answers, and says so when the gateway has closed the call's connection."""

    async def note(asked: Asked) -> None:
        await asked.closed()
        closed.set()

    return note


def cancel(ident: Any) -> dict[str, Any]:
    return {"jsonrpc": "2.0", "method": "notifications/cancelled", "params": {"requestId": ident}}


@case("cancel/safe", CANCEL)
async def cancel_safe(stage: Stage) -> None:
    closed = asyncio.Event()

    stage.on(tell_end(closed))

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1))
        await stage.until_seen()
        engine.send(cancel(1))
        async with asyncio.timeout(5):
            await closed.wait()
        stage.on(echo)
        engine.send(stage.call(2))
        equal((await engine.reply())["id"], 2, "the only reply")
        engine.end()

    equal(len((await stage.play(script)).posts), 1, "replies")


@case("cancel/unsafe-is-heard-out", "README: an unsafe call is heard out, and its reply is dropped")
async def cancel_unsafe(stage: Stage) -> None:
    go_on, done = asyncio.Event(), asyncio.Event()

    async def wait(asked: Asked) -> None:
        await go_on.wait()
        asked.json(answer(asked))
        done.set()

    stage.on(wait)

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1, "unsafe"))
        await stage.until_seen()
        engine.send(cancel(1))
        await stage.gateway.until_count("tool_cancels")
        go_on.set()
        await done.wait()
        engine.send(stage.call(2, "unsafe"))
        equal((await engine.reply())["id"], 2, "the only reply")
        engine.end()

    equal((len((await stage.play(script, "order")).posts), len(stage.seen())), (1, 2), "replies and calls")


@case("cancel/crosses-the-reply", CANCEL)
async def cancel_crosses(stage: Stage) -> None:
    """Cancels sent with the call, and again once its reply has come: never a second reply, never a hang."""

    async def script(engine: Engine) -> None:
        for i in range(20):
            engine.send(stage.call(i))
            if i % 2:
                engine.send(cancel(i))
            else:
                await engine.reply()
                engine.send(cancel(i))
        engine.send(stage.call(99))
        while (await engine.reply())["id"] != 99:
            pass
        engine.end()

    served = await stage.play(script)
    ids = [m["id"] for m in served.posts]
    check(len(ids) == len(set(ids)) and served.whole, f"one reply an id at the most: {ids}")


@case("cancel/in-a-batch", CANCEL)
async def cancel_in_batch(stage: Stage) -> None:
    async def first_held(asked: Asked) -> None:
        await (hold(asked) if asked.message["id"] == 1 else echo(asked))

    stage.on(first_held)

    async def script(engine: Engine) -> None:
        engine.send([stage.call(1), stage.call(2)])
        await stage.until_seen(2)
        engine.send(cancel(1))
        equal([m["id"] for m in await engine.reply()], [2], "the rest of the batch")
        engine.send([stage.call(3), cancel(3)], stage.call(4))
        while (await engine.reply()) and not any(isinstance(m, dict) and m["id"] == 4 for m in engine.got):
            pass
        engine.end()

    check((await stage.play(script)).whole, "the stream")


@case("cancel/client-leaves", "README: when the client leaves, safe calls are called off")
async def client_leaves(stage: Stage) -> None:
    closed = asyncio.Event()

    stage.on(tell_end(closed))

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1))
        await engine.closed()

    _, client = await stage.begin(script)
    await stage.until_seen()
    client.close()
    async with asyncio.timeout(5):
        await closed.wait()


@case("cancel/client-leaves-an-unsafe-call", "brief: a tool reply after the client has cancelled")
async def client_leaves_unsafe(stage: Stage) -> None:
    go_on, broke = asyncio.Event(), False

    async def wait(asked: Asked) -> None:
        nonlocal broke
        await go_on.wait()
        broke = asked._reader.at_eof()
        asked.json(answer(asked))

    stage.on(wait)

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1, "unsafe"))
        await engine.closed()

    rid, client = await stage.begin(script, "order")
    await stage.until_seen()
    client.close()
    await stage.world.engines.until(lambda: True)
    await stage.gateway.until_count("clients_gone")
    dropped = (await stage.gateway.counters()).get("tool_replies_dropped", 0)
    go_on.set()
    await stage.gateway.until_count("tool_replies_dropped", dropped + 1)
    equal(
        (broke, len(stage.seen()), stage.world.streams[rid].got), (False, 1, []), "heard out, told to nobody"
    )


# --- sessions -------------------------------------------------------------------------------------------


class McpServer:
    """A tool server with sessions, that keeps to the published lifecycle."""

    def __init__(self, stage: Stage, letter: str = "a") -> None:
        self.stage, self.letter = stage, letter
        self.sessions: set[str] = set()
        self.seen: list[Asked] = []
        self.tools: list[list[dict[str, Any]]] = [[]]
        self.call: Handler = self.answer
        stage.on(self.handle, letter)

    async def handle(self, asked: Asked) -> None:
        self.seen.append(asked)
        if asked.method == "DELETE":
            self.sessions.discard(asked.headers.get("mcp-session-id", ""))
            asked.reply(204)
            return
        message = asked.message
        method = message.get("method")
        if method == "initialize":
            name = f"s-{self.letter}-{len(self.seen)}"
            self.sessions.add(name)
            about = {"protocolVersion": "2025-06-18", "capabilities": {"tools": {}},
                     "serverInfo": {"name": "x", "version": "1"}}  # fmt: skip
            asked.json({"jsonrpc": "2.0", "id": message["id"], "result": about}, Mcp_Session_Id=name)
        elif asked.headers.get("mcp-session-id") not in self.sessions:
            asked.reply(404)
        elif "id" not in message or "method" not in message:
            asked.reply(202)
        elif method == "tools/list":
            page = int(message.get("params", {}).get("cursor", 0))
            result: dict[str, Any] = {"tools": self.tools[page]}
            if page + 1 < len(self.tools):
                result["nextCursor"] = str(page + 1)
            asked.json({"jsonrpc": "2.0", "id": message["id"], "result": result})
        elif method == "ping":
            asked.json({"jsonrpc": "2.0", "id": message["id"], "result": {}})
        else:
            await self.call(asked)

    async def answer(self, asked: Asked) -> None:
        asked.json(answer(asked))

    def methods(self) -> list[str]:
        return [a.method if a.method != "POST" else a.message.get("method", "reply") for a in self.seen]

    def of(self, method: str) -> list[Asked]:
        return [a for a in self.seen if a.method == "POST" and a.message.get("method") == method]


@case("mcp/initialize-first", SESSION, MCP)
async def mcp_initialize(stage: Stage) -> None:
    server = McpServer(stage)
    got = await stage.one(stage.call("x"))
    equal((got["id"], got["result"]), ("x", {"ok": 1}), "the reply, under the engine's id")
    await stage.one(stage.call("x"))
    equal(
        server.methods(), ["initialize", "notifications/initialized", "tools/call", "tools/call"], "messages"
    )
    calls = server.of("tools/call")
    check(all(a.headers["mcp-session-id"] in server.sessions for a in calls), "the session's name")
    check(all(a.headers["mcp-protocol-version"] == "2025-06-18" for a in calls), "the version")
    check(all("text/event-stream" in a.headers["accept"] and "application/json" in a.headers["accept"]
              for a in server.seen), "both forms are accepted")  # fmt: skip
    equal(len({a.message["id"] for a in calls}), 2, "ids are unique in a session")


@case("mcp/one-session-for-many", SESSION, MCP)
async def mcp_one_session(stage: Stage) -> None:
    server = McpServer(stage)
    await stage.ask(*(stage.call(i) for i in range(8)), posts=8)
    equal((len(server.of("initialize")), len(server.of("tools/call"))), (1, 8), "sessions and calls")


@case("mcp/session-lost-safe", SESSION, MCP)
async def mcp_lost(stage: Stage) -> None:
    server = McpServer(stage)
    await stage.one(stage.call(1))
    server.sessions.clear()
    equal((await stage.one(stage.call(2)))["result"], {"ok": 1}, "the reply, in a new session")
    equal(len(server.of("initialize")), 2, "sessions")


@case("mcp/session-lost-unsafe", "README: written at most once", MCP)
async def mcp_lost_unsafe(stage: Stage) -> None:
    server = McpServer(stage)
    await stage.one(stage.call(1))
    server.sessions.clear()
    equal(code(await stage.one(stage.call(2, "unsafe"), cls="order")), -32001, "may have been made")
    equal(len(server.of("tools/call")), 2, "calls written")
    equal((await stage.one(stage.call(3, "unsafe"), cls="order"))["result"], {"ok": 1}, "the next")


@case("mcp/no-session-comes-up", "README, codes: -32003 certainly not made", MCP)
async def mcp_none(stage: Stage) -> None:
    async def fail(asked: Asked) -> None:
        asked.reply(500)

    stage.on(fail)
    equal(code(await stage.one(stage.call(1, "unsafe"), cls="order")), -32003, "an unsafe call")
    equal(len(stage.seen()), 0, "calls written")


@case("mcp/server-pings", "MCP, Ping: the receiver must answer", MCP)
async def mcp_server_pings(stage: Stage) -> None:
    server = McpServer(stage)

    async def ask_back(asked: Asked) -> None:
        asked.begin()
        asked.event({"jsonrpc": "2.0", "id": "p1", "method": "ping"})
        asked.event({"jsonrpc": "2.0", "id": "s1", "method": "sampling/createMessage", "params": {}})
        await stage.world.tools.until(lambda: len(server.of("")) + len(replies()) >= 2)
        asked.event(answer(asked))
        asked.end()

    def replies() -> list[Any]:
        return [a.message for a in server.seen if a.method == "POST" and "method" not in a.message]

    server.call = ask_back
    await stage.one(stage.call(1))
    found = {m["id"]: m for m in replies()}
    equal((found["p1"].get("result"), code(found["s1"])), ({}, -32601), "answers to the server")


@case("mcp/cancel-is-passed-on", CANCEL, MCP)
async def mcp_cancel(stage: Stage) -> None:
    server = McpServer(stage)
    server.call = hold

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1))
        await stage.until_seen()
        engine.send(cancel(1))
        await stage.until_seen(1, "", "notifications/cancelled")
        engine.end()

    await stage.play(script)
    (told,), (made,) = server.of("notifications/cancelled"), server.of("tools/call")
    equal(told.message["params"]["requestId"], made.message["id"], "the id under which the server knows it")


@case("mcp/cancel-of-an-unsafe-call-is-passed-on", CANCEL, MCP)
async def mcp_cancel_unsafe(stage: Stage) -> None:
    server = McpServer(stage)
    go_on = asyncio.Event()
    server.call = answer_after(go_on)

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1, "unsafe"))
        await stage.until_seen()
        engine.send(cancel(1))
        await stage.until_seen(1, "", "notifications/cancelled")
        go_on.set()
        engine.send(stage.call(2, "unsafe"))
        equal((await engine.reply())["id"], 2, "the only reply")
        engine.end()

    equal(len((await stage.play(script, "order")).posts), 1, "replies")


@case("mcp/client-leaves", CANCEL, MCP)
async def mcp_client_leaves(stage: Stage) -> None:
    server = McpServer(stage)
    server.call = hold

    async def script(engine: Engine) -> None:
        engine.send(stage.call(1))
        await engine.closed()

    _, client = await stage.begin(script)
    await stage.until_seen()
    client.close()
    await stage.until_seen(1, "", "notifications/cancelled")
    equal(len(server.of("notifications/cancelled")), 1, "the server is told")


@case("mcp/server-calls-off", CANCEL, MCP)
async def mcp_called_off(stage: Stage) -> None:
    server = McpServer(stage)

    async def off(asked: Asked) -> None:
        asked.begin()
        asked.event({"jsonrpc": "2.0", "method": "notifications/cancelled",
                     "params": {"requestId": asked.message["id"]}})  # fmt: skip
        await asked.closed()

    server.call = off
    equal(code(await stage.one(stage.call(1, "unsafe"), cls="order")), -32001, "an unsafe call")
    equal(len(server.of("tools/call")), 1, "calls")


@case("mcp/session-is-given-back", SESSION, MCP, alone=True)
async def mcp_delete(stage: Stage) -> None:
    server = McpServer(stage)
    await stage.one(stage.call(1))
    await stage.gateway.stop()
    equal((server.methods()[-1], server.sessions), ("DELETE", set()), "the last message")


# --- progress -------------------------------------------------------------------------------------------


def _with_token(stage: Stage, token: Any, ident: Any = 1, effect: str = "safe") -> dict[str, Any]:
    params = {**stage.call(1, effect)["params"], "_meta": {"progressToken": token}}
    return stage.call(ident, effect, params=params)


def _progress(asked: Asked, reached: Any, token: Any = ..., **more: Any) -> dict[str, Any]:
    token = asked.message["params"]["_meta"]["progressToken"] if token is ... else token
    params = {"progressToken": token, "progress": reached, **more}
    return {"jsonrpc": "2.0", "method": "notifications/progress", "params": params}


@case("progress/passed-on", PROGRESS, MCP)
async def progress(stage: Stage) -> None:
    server, told = McpServer(stage), asyncio.Event()

    async def slowly(asked: Asked) -> None:
        asked.begin()
        asked.event(_progress(asked, 1, total=2, message="half"))
        await told.wait()
        asked.event(answer(asked))
        asked.end()

    server.call = slowly

    async def script(engine: Engine) -> None:
        engine.send(_with_token(stage, "mine"))
        note = await engine.reply()
        wanted = {"progressToken": "mine", "progress": 1, "total": 2, "message": "half"}
        equal((note["method"], note["params"]), ("notifications/progress", wanted), "what the engine is told")
        told.set()
        equal((await engine.reply())["id"], 1, "then the reply")
        engine.end()

    served = await stage.play(script)
    equal((len(served.posts), served.text), (2, b""), "messages, and nothing to the client")
    sent = server.of("tools/call")[0].message["params"]["_meta"]["progressToken"]
    check(sent != "mine", "tokens are unique in a session")


def _half_way(told: asyncio.Event) -> Handler:
    """A tool server that answers once its word of progress has been told."""

    async def slowly(asked: Asked) -> None:
        asked.begin()
        asked.event(_progress(asked, 0.5))
        await told.wait()
        asked.event(answer(asked))
        asked.end()

    return slowly


@case("progress/plain-server", PROGRESS)
async def progress_plain(stage: Stage) -> None:
    told = asyncio.Event()

    stage.on(_half_way(told))

    async def script(engine: Engine) -> None:
        engine.send(_with_token(stage, 7))
        equal((await engine.reply())["params"], {"progressToken": 7, "progress": 0.5}, "progress")
        told.set()
        await engine.reply()
        engine.end()

    equal(len((await stage.play(script)).posts), 2, "messages")


@case("progress/stray-is-dropped", PROGRESS)
async def progress_stray(stage: Stage) -> None:
    async def babble(asked: Asked) -> None:
        asked.begin()
        for note in (_progress(asked, 1, "other"), _progress(asked, "x"), _progress(asked, True), {}):
            asked.event(note)
        asked.event(answer(asked))
        asked.end()

    stage.on(babble)
    equal((await stage.one(_with_token(stage, 7)))["id"], 1, "the reply alone")


@case("progress/not-asked-for", PROGRESS)
async def progress_unasked(stage: Stage) -> None:
    async def babble(asked: Asked) -> None:
        asked.begin()
        asked.event(_progress(asked, 1, 1))
        asked.event(answer(asked))
        asked.end()

    stage.on(babble)
    equal((await stage.one(stage.call(1)))["id"], 1, "the reply alone")


@case("progress/never-after-the-reply", PROGRESS)
async def progress_after(stage: Stage) -> None:
    """An engine that is slow to take progress gets the reply after it all the same."""

    async def both(asked: Asked) -> None:
        asked.begin()
        asked.chunk(event(_progress(asked, 1)) + event(answer(asked)))
        asked.end()

    stage.on(both)

    async def script(engine: Engine) -> None:
        async def slow(asked: Asked) -> None:
            if "method" in json.loads(asked.body):
                await asyncio.sleep(0.1)
            asked.reply(202)
            engine.note(asked)

        engine.take = slow
        engine.send(_with_token(stage, 1))
        while "result" not in await engine.reply():
            pass
        engine.end()

    served = await stage.play(script)
    equal([m.get("method") for m in served.posts], ["notifications/progress", None], "the order")


@case("progress/never-taken-is-told-again", PROGRESS)
async def progress_again(stage: Stage) -> None:
    told, turned = asyncio.Event(), [2]

    stage.on(_half_way(told))

    async def script(engine: Engine) -> None:
        async def take(asked: Asked) -> None:
            if turned[0]:
                turned[0] -= 1
                asked.reply(503, X_Unprocessed="1")
                return
            asked.reply(202)
            engine.note(asked)

        engine.take = take
        engine.send(_with_token(stage, 7))
        equal((await engine.reply())["params"], {"progressToken": 7, "progress": 0.5}, "the third try")
        told.set()
        equal((await engine.reply())["id"], 1, "then the reply")
        engine.end()

    served = await stage.play(script)
    equal(len(served.posts), 2, "messages that were taken")


@case("progress/is-bounded", PROGRESS)
async def progress_bounded(stage: Stage) -> None:
    async def flood(asked: Asked) -> None:
        asked.begin()
        for i in range(2000):
            asked.event(_progress(asked, i))
        await asked.flush()
        asked.event(answer(asked))
        asked.end()

    stage.on(flood)

    async def script(engine: Engine) -> None:
        engine.send(_with_token(stage, 1))
        while "result" not in await engine.reply():
            pass
        engine.end()

    served = await stage.play(script)
    check(1 < len(served.posts) <= 25, f"{len(served.posts)} messages for 2,000 notifications at once")


@case("progress/puts-off-silence", "operators: silence_ms", Needs(server="silence_ms = 300"))
async def progress_silence(stage: Stage) -> None:
    async def busy(asked: Asked) -> None:
        asked.begin()
        for i in range(6):
            asked.event(_progress(asked, i))
            await asyncio.sleep(0.12)
        asked.event(answer(asked))
        asked.end()

    stage.on(busy)

    async def script(engine: Engine) -> None:
        engine.send(_with_token(stage, 1, 1, "unsafe"))
        while "result" not in await engine.reply():
            pass
        engine.end()

    await stage.play(script, "order")
    equal(len(stage.seen()), 1, "tries")


@case(
    "progress/never-puts-off-the-deadline", PROGRESS, Needs(deadline_ms=SHORT_MS, server="silence_ms = 300")
)
async def progress_deadline(stage: Stage) -> None:
    sent, at_reply = 0, 0

    async def busy(asked: Asked) -> None:
        nonlocal sent
        asked.begin()
        for sent in range(100):
            asked.event(_progress(asked, sent))
            await asyncio.sleep(0.05)

    stage.on(busy)

    async def script(engine: Engine) -> None:
        nonlocal at_reply
        engine.send(_with_token(stage, 1, 1, "unsafe"))
        while code(await engine.reply()) != -32001:
            pass
        at_reply = sent
        engine.end()

    check((await stage.play(script, "order")).whole, "the stream goes on at the deadline")
    check(0 < at_reply < 60, f"the reply came after {at_reply} of 100 notifications, one each 50 ms")


# --- lists ----------------------------------------------------------------------------------------------


@case("list/merged-and-paged", LIST, Needs(2, "mcp"), alone=True)
async def list_merged(stage: Stage) -> None:
    a, b = McpServer(stage, "a"), McpServer(stage, "b")
    name = f"c{stage.slot}_"
    a.tools = [[{"name": name + "x", "description": "of a"}], [{"name": name + "y"}], [{"name": "elsewhere"}]]
    b.tools = [[{"name": name + "x", "description": "of b"}, {"name": name + "z"}, {"odd": 1}]]
    message = {"jsonrpc": "2.0", "id": "l", "method": "tools/list"}
    got = await stage.one(message)
    found = {tool["name"]: tool for tool in got["result"]["tools"]}
    equal(sorted(found), [name + "x", name + "y", name + "z"], "tools that their routes lead to")
    equal(found[name + "x"]["description"], "of a", "the first server's, where two have it")
    check("nextCursor" not in got["result"], "one page")
    await stage.one({**message, "id": 2})
    equal((len(a.of("tools/list")), len(b.of("tools/list"))), (3, 1), "pages fetched, the second time none")


@case("list/one-server-silent", LIST, Needs(2, "mcp"), alone=True)
async def list_partial(stage: Stage) -> None:
    b = McpServer(stage, "b")
    b.tools = [[{"name": f"c{stage.slot}_z"}]]

    async def fail(asked: Asked) -> None:
        asked.reply(500)

    stage.on(fail, "a")
    got = await stage.one({"jsonrpc": "2.0", "id": 1, "method": "tools/list", "params": {}})
    equal([t["name"] for t in got["result"]["tools"]], [f"c{stage.slot}_z"], "what is known")
    equal((await stage.gateway.counters()).get("tool_lists_partial"), 1, "counted")


@case("list/nobody-answers", LIST, alone=True)
async def list_none(stage: Stage) -> None:
    async def fail(asked: Asked) -> None:
        asked.reply(500)

    stage.on(fail)
    equal(code(await stage.one({"jsonrpc": "2.0", "id": 1, "method": "tools/list"})), -32603, "an error")


@case("list/changed", LIST, MCP, alone=True)
async def list_changed(stage: Stage) -> None:
    server = McpServer(stage)
    server.tools = [[{"name": f"c{stage.slot}_safe"}]]

    async def tell(asked: Asked) -> None:
        asked.begin()
        asked.event({"jsonrpc": "2.0", "method": "notifications/tools/list_changed"})
        asked.event(answer(asked))
        asked.end()

    server.call = tell
    message = {"jsonrpc": "2.0", "id": 1, "method": "tools/list"}
    await stage.one(message)
    await stage.one(stage.call(1))
    server.tools = [[]]
    equal((await stage.one(message))["result"]["tools"], [], "the new list")
