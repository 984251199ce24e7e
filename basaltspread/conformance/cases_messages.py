"""Cases on what an engine's stream holds: server-sent events, JSON-RPC messages, and batches."""

from __future__ import annotations

import json
from typing import Any

from basaltspread.conformance.cases import add, case
from basaltspread.conformance.peers import event
from basaltspread.conformance.world import AFTER, BEFORE, END, Engine, Served, Stage, check, code, equal

SSE = "HTML, 9.2.6 Interpreting an event stream"
RPC = "JSON-RPC 2.0, 4 Request object"
BATCH = "JSON-RPC 2.0, 6 Batch"
STRICT = "RFC 7493 (I-JSON); README, Tool calls"
HIDDEN = "README: a call is taken out of the stream"

# --- events ---------------------------------------------------------------------------------------------


def _framed(name: str, frame: Any) -> None:
    """A call in this frame is found, made and answered, and the client sees nothing of it."""

    async def run(stage: Stage) -> None:
        raw = frame(json.dumps(stage.call()).encode())
        got = await stage.one(*([raw] if isinstance(raw, bytes) else raw))
        equal(got["id"], 1, "the id that comes back")
        equal(len(stage.seen()), 1, "calls made")

    add(f"events/{name}", SSE, run)


for _name, _frame in {
    "ends-lf-lf": lambda b: b"data: " + b + b"\n\n",
    "ends-crlf-crlf": lambda b: b"data: " + b + b"\r\n\r\n",
    "ends-cr-cr": lambda b: b"data: " + b + b"\r\r",
    "ends-lf-crlf": lambda b: b"data: " + b + b"\n\r\n",
    "ends-crlf-lf": lambda b: b"data: " + b + b"\r\n\n",
    "ends-cr-crlf": lambda b: b"data: " + b + b"\r\r\n",
    "no-space-after-colon": lambda b: b"data:" + b + b"\n\n",
    "spaces-before-json": lambda b: b"data:  \t " + b + b"\n\n",
    "two-data-lines": lambda b: b"data: " + b.replace(b", ", b",\ndata: ", 1) + b"\n\n",
    "event-field-first": lambda b: b"event: message\ndata: " + b + b"\n\n",
    "id-and-retry-fields": lambda b: b"id: 7\nretry: 10\ndata: " + b + b"\n\n",
    "unknown-field": lambda b: b"database: x\ndata: " + b + b"\n\n",
    "comment-before": lambda b: b": keep-alive\ndata: " + b + b"\n\n",
    "comment-after": lambda b: b"data: " + b + b"\n: end\n\n",
    "empty-data-line-before": lambda b: b"data\ndata: " + b + b"\n\n",
    "between-plain-events": lambda b: [AFTER + b"data: " + b + b"\n\n" + BEFORE],
    "in-one-chunk-with-plain": lambda b: [b"data: " + b + b"\n\n" + AFTER],
    "cut-in-two-chunks": lambda b: [b"data: " + b[:20], b[20:] + b"\n\n"],
    "cut-before-its-end": lambda b: [b"data: " + b + b"\n", b"\n"],
    "cut-within-crlf": lambda b: [b"data: " + b + b"\r\n\r", b"\n"],
}.items():
    _framed(_name, _frame)


@case("events/cut-at-every-byte", SSE)
async def cut_everywhere(stage: Stage) -> None:
    raw = event(stage.call(), b"\r\n\r\n")

    async def script(engine: Engine) -> None:
        await engine.pieces(raw, 1)
        equal((await engine.reply())["id"], 1, "the id")
        engine.end()

    served = await stage.play(script)
    equal((served.text.strip(), len(stage.seen())), (b"", 1), "client's text and calls made")


@case("events/byte-order-mark", SSE)
async def byte_order_mark(stage: Stage) -> None:
    got = await stage.one(b"\xef\xbb\xbf" + event(stage.call()))
    equal(got["id"], 1, "the id")


def _passes(name: str, raw: bytes) -> None:
    """What is no message goes to the client, byte for byte."""

    async def run(stage: Stage) -> None:
        for size in (1, 7, len(raw)):

            async def script(engine: Engine, size: int = size) -> None:
                await engine.pieces(raw, size)
                engine.end()

            served = await stage.play(script)
            equal((served.body, served.whole), (BEFORE + raw + END, True), f"in pieces of {size}")
        equal(len(stage.seen()), 0, "calls made")

    add(f"passes/{name}", HIDDEN, run)


for _name, _raw in {
    "plain-events": b'data: {"choices":[{"delta":{"content":"x"}}]}\n\n' * 3,
    "text-that-quotes-a-call": b'data: {"content":"{\\"jsonrpc\\":\\"2.0\\",\\"id\\":1}"}\n\n',
    "escapes-in-text": b'data: {"content":"\\u4f60\\u0022jsonrpc\\u0022"}\n\n',
    "nested-member": b'data: {"choices":[{"jsonrpc":"2.0","id":1,"method":"ping"}]}\n\n',
    "done-mark": b"data: [DONE]\n\n",
    "comments-and-empty-lines": b": jsonrpc\n\n\n\n\r\n\r\r: x\n\n",
    "not-utf-8": b"data: \xff\xfe\n\n",
    "no-data": b"event: jsonrpc\nid: 1\n\n",
    "plain-text": b"data: about jsonrpc\n\n",
}.items():
    _passes(_name, _raw)


@case("passes/event-without-end", "PROTOCOL: a stream that is not whole ends without the last chunk")
async def event_without_end(stage: Stage) -> None:
    async def script(engine: Engine) -> None:
        engine.send(b"data: rest")
        engine._asked.end()

    served = await stage.play(script)
    equal((served.body, served.whole), (BEFORE + b"data: rest", False), "the body, and no end in order")


@case("events/oversized", "README: an event of a stream has a limit of 256 KiB")
async def oversized(stage: Stage) -> None:
    async def script(engine: Engine) -> None:
        engine.send(b"data: ")
        for _ in range(9):
            engine.send(b"x" * 32768)
        await engine.closed()

    served = await stage.play(script)
    equal((served.whole, served.body), (False, BEFORE), "the stream ends without its last chunk")


# --- ids ------------------------------------------------------------------------------------------------

for _name, _ident, _back in (
    ("text", "a-1", "a-1"), ("empty-text", "", ""), ("unicode-text", "\u4f60 \u00e9", "\u4f60 \u00e9"),
    ("text-of-128", "x" * 128, "x" * 128), ("zero", 0, 0), ("negative", -7, -7), ("fraction", 1.5, 1.5),
    ("whole-with-point", 3.0, 3), ("largest-exact", 2**53 - 1, 2**53 - 1), ("quoted-number", "1", "1"),
):  # fmt: skip

    async def _ident_back(stage: Stage, ident: Any = _ident, back: Any = _back) -> None:
        got = await stage.one(stage.call(ident))
        equal((type(got["id"]), got["id"], "result" in got), (type(back), back, True), "the id")

    add(f"ids/{_name}", "JSON-RPC 2.0, 4: id is a text, a number or null", _ident_back)

_odd_ids: tuple[tuple[str, Any], ...] = (
    ("null", None), ("true", True), ("array", [1]), ("object", {"a": 1}), ("text-of-129", "x" * 129),
    ("beyond-2-53", 2**53),
)  # fmt: skip
for _name, _odd in _odd_ids:

    async def _no_ident(stage: Stage, ident: Any = _odd) -> None:
        got = await stage.one(stage.call(ident))
        equal((got["id"], code(got)), (None, -32600), "an error without an id")
        equal(len(stage.seen()), 0, "calls made")

    add(f"ids/{_name}", "JSON-RPC 2.0, 5: where the id can't be told, it is null", _no_ident)


@case("ids/number-and-text-are-two", RPC)
async def number_and_text(stage: Stage) -> None:
    served = await stage.ask(stage.call(1), stage.call("1"), posts=2)
    equal(sorted(str(type(m["id"])) for m in served.posts), ["<class 'int'>", "<class 'str'>"], "ids")


@case("ids/one-and-one-point-zero-are-one", RPC)
async def one_point_zero(stage: Stage) -> None:
    await stage.one(stage.call(1, "unsafe"), stage.call(1.0, "unsafe"), cls="order")
    equal(len(stage.seen()), 1, "calls made")


@case("ids/repeated-is-answered-once", "README: each id in a request gets exactly one reply")
async def repeated_id(stage: Stage) -> None:
    await stage.one(stage.call(1, "unsafe"), stage.call(1, "unsafe"), cls="order")
    equal(len(stage.seen()), 1, "calls made")


@case("ids/repeated-after-its-reply", "README: each id in a request gets exactly one reply")
async def repeated_later(stage: Stage) -> None:
    async def script(engine: Engine) -> None:
        engine.send(stage.call(1, "unsafe"))
        await engine.reply()
        engine.send(stage.call(1, "unsafe"), stage.call(2))
        equal((await engine.reply())["id"], 2, "the next reply")
        engine.end()

    served = await stage.play(script, "order")
    equal((len(served.posts), len(stage.seen())), (2, 2), "replies and calls")


@case("ids/same-in-two-streams", "README: ids are unique only within a stream")
async def two_streams(stage: Stage) -> None:
    first, second = await stage.one(stage.call(1)), await stage.one(stage.call(1))
    equal((first["id"], second["id"], len(stage.seen())), (1, 1, 2), "each is answered")
    keys = {asked.headers["idempotency-key"] for asked in stage.seen()}
    equal(len(keys), 2, "idempotency keys")


# --- requests -------------------------------------------------------------------------------------------


def _refused(name: str, clause: str, wanted: int, build: Any, ident: Any = 1) -> None:
    """Gets this error, and no tool server sees anything of it."""

    async def run(stage: Stage) -> None:
        raw = build(stage)
        got = await stage.one(raw if isinstance(raw, (bytes, dict, list)) else raw.encode())
        equal((code(got), got["id"]), (wanted, ident), "error and id")
        check(isinstance(got["error"]["message"], str), "an error has a message")
        equal(len(stage.seen(method="")), 0, "messages at the tool server")

    add(f"refused/{name}", clause, run)


def _text(edit: Any) -> Any:
    """The text of a good call, edited, as an event."""
    return lambda stage: b"data: " + edit(json.dumps(stage.call())).encode("utf-8", "surrogatepass") + b"\n\n"


def _params(stage: Stage, **change: Any) -> dict[str, Any]:
    return {"params": {**stage.call()["params"], **change}}


for _name, _code, _build in (
    ("version-1", -32600, lambda s: s.call(jsonrpc="1.0")),
    ("version-number", -32600, lambda s: s.call(jsonrpc=2.0)),
    ("no-method", -32600, lambda s: s.call(method=...)),
    ("method-a-number", -32600, lambda s: s.call(method=5)),
    ("method-unknown", -32601, lambda s: s.call(method="tools/sell")),
    ("method-reserved", -32601, lambda s: s.call(method="rpc.discover")),
    ("method-in-capitals", -32601, lambda s: s.call(method="TOOLS/CALL")),
    ("params-missing", -32602, lambda s: s.call(params=...)),
    ("params-array", -32602, lambda s: s.call(params=[1])),
    ("params-text", -32602, lambda s: s.call(params="x")),
    ("name-missing", -32602, lambda s: s.call(params={"arguments": {}})),
    ("name-empty", -32602, lambda s: s.call(params={"name": ""})),
    ("name-a-number", -32602, lambda s: s.call(params={"name": 1})),
    ("arguments-array", -32602, lambda s: s.call(**_params(s, arguments=[1]))),
    ("tool-without-route", -32602, lambda s: s.call(params={"name": "nobody"}, )),
    ("list-with-a-cursor", -32602, lambda s: s.call(method="tools/list", params={"cursor": "x"})),
    ("unsafe-in-a-safe-class", -32004, lambda s: s.call(1, "unsafe")),
):  # fmt: skip
    if _name == "tool-without-route":
        continue
    _refused(_name, "JSON-RPC 2.0, 5.1 Error object" if _code < -32100 else "README, codes", _code, _build)

for _name, _edit in {
    "member-twice": lambda t: t.replace('"method"', '"method": "ping", "method"', 1),
    "name-twice": lambda t: t.replace('"name"', '"name": "x", "name"', 1),
    "name-twice-by-escape": lambda t: t.replace('"name"', '"n\\u0061me": "x", "name"', 1),
    "member-twice-deep": lambda t: t.replace('"sku"', '"sku": [{"a": 1, "a": 2}], "x"', 1),
    "surrogate-alone": lambda t: t.replace('"4711"', '"\\ud800"', 1),
    "surrogate-in-a-name": lambda t: t.replace('"sku"', '"\\udfff"', 1),
    "number-beyond-2-53": lambda t: t.replace('"4711"', "9007199254740993", 1),
    "number-of-a-thousand-digits": lambda t: t.replace('"4711"', "1" * 1000, 1),
    "number-1e400": lambda t: t.replace('"4711"', "1e400", 1),
    "not-a-number": lambda t: t.replace('"4711"', "NaN", 1),
    "infinity": lambda t: t.replace('"4711"', "-Infinity", 1),
    "depth-65": lambda t: t.replace('"4711"', "[" * 65 + "]" * 65, 1),
}.items():
    _refused(_name, STRICT, -32600, _text(_edit))

for _name, _edit in {
    "id-twice": lambda t: t.replace('"id": 1', '"id": 1, "id": 2', 1),
    "id-twice-alike": lambda t: t.replace('"id": 1', '"id": 1, "id": 1', 1),
}.items():
    _refused(_name, STRICT, -32600, _text(_edit), None)

for _name, _edit in {
    "cut-short": lambda t: t[:-1],
    "comma-at-the-end": lambda t: t[:-1] + ",}",
    "single-quotes": lambda t: t.replace('"id"', "'id'", 1),
    "two-values": lambda t: t + t,
    "control-character": lambda t: t.replace("4711", "47\x0111", 1),
    "nested-100000": lambda t: t.replace('"4711"', "[" * 100_000 + "]" * 100_000, 1),
}.items():
    _refused(f"parse/{_name}", "JSON-RPC 2.0, 5.1: -32700 Parse error", -32700, _text(_edit), None)


@case("refused/parse/not-utf-8", "RFC 8259, 8.1")
async def not_utf8(stage: Stage) -> None:
    raw = b"data: " + json.dumps(stage.call()).encode().replace(b"4711", b"\xff\xfe") + b"\n\n"
    got = await stage.one(raw)
    check("result" in got or code(got) == -32700, "answered, whatever it was taken for")


@case("requests/escaped-member-name", "RFC 8259, 7: an escaped name is the same name")
async def escaped_name(stage: Stage) -> None:
    got = await stage.one(
        b"data: " + json.dumps(stage.call()).encode().replace(b"jsonrpc", b"json\\u0072pc") + b"\n\n"
    )
    equal((got["id"], "result" in got), (1, True), "answered")


@case("requests/all-letters-escaped", "RFC 8259, 7: an escaped name is the same name")
async def all_escaped(stage: Stage) -> None:
    name = "".join(f"\\u{ord(c):04X}" for c in "jsonrpc").encode()
    got = await stage.one(b"data: " + json.dumps(stage.call()).encode().replace(b"jsonrpc", name) + b"\n\n")
    equal((got["id"], "result" in got), (1, True), "answered")


@case("requests/written-anew", "README: what is written is what was judged, encoded anew")
async def written_anew(stage: Stage) -> None:
    message = stage.call(7)
    raw = json.dumps(message)[:-1].encode() + b', "extra": {"x": 1}, "also": [2]}'
    await stage.one(b"data:   " + raw + b"\n\n")
    (asked,) = stage.seen()
    equal(json.loads(asked.body), message, "what the tool server gets")
    check(b" " not in asked.body and b"extra" not in asked.body, "encoded anew, of known members alone")


@case("requests/values-are-kept", "RFC 8259: values mean the same after a reading and a writing")
async def values_kept(stage: Stage) -> None:
    arguments = {
        "u": "\u4f60 \U0001f600 \u2028",
        "n": [0, -1, 1.5, 1e-7, 2**53 - 1, True, False, None],
        "o": {"": {}},
    }
    got = await stage.one(stage.call(**_params(stage, arguments=arguments)))
    equal(got["result"]["got"]["arguments"], arguments, "arguments at the tool server")


@case("requests/depth-within-limit", STRICT)
async def depth_within(stage: Stage) -> None:
    deep: Any = 1
    for _ in range(40):
        deep = [deep]
    got = await stage.one(stage.call(**_params(stage, arguments={"d": deep})))
    equal(got["result"]["got"]["arguments"], {"d": deep}, "arguments")


@case("requests/tool-without-a-route", "MCP, Tools: an unknown tool is -32602")
async def no_route(stage: Stage) -> None:
    got = await stage.one(stage.call(params={"name": "nobody_listed_it"}), cls="order")
    equal((code(got), got["error"]["data"]["fault"]), (-32602, "no_route"), "the error")


@case("requests/unlisted-is-unsafe", "README: a tool that is not listed is unsafe")
async def unlisted(stage: Stage) -> None:
    name = f"c{stage.slot}_other"
    equal(code(await stage.one(stage.call(params={"name": name}))), -32004, "in a safe class")
    got = await stage.one(stage.call(params={"name": name}), cls="order")
    equal(("result" in got, len(stage.seen())), (True, 1), "in an unsafe one")


@case("requests/unsafe-in-a-resumed-stream", "README, codes: -32004")
async def resumed(stage: Stage) -> None:
    got = await stage.one(stage.call(1, "unsafe"), cls="order", X_Repeat="again")
    equal((code(got), len(stage.seen())), (-32004, 0), "error and calls")


@case("requests/seventeen-open", "README, codes: -32005 more than 16 calls open in one request")
async def seventeen(stage: Stage) -> None:
    import asyncio

    go_on = asyncio.Event()

    async def hold(asked: Any) -> None:
        await go_on.wait()
        asked.json({"jsonrpc": "2.0", "id": asked.message["id"], "result": 1})

    stage.on(hold)

    async def script(engine: Engine) -> None:
        engine.send(*(stage.call(i) for i in range(17)))
        equal(code(await engine.reply()), -32005, "the seventeenth")
        go_on.set()
        for _ in range(16):
            check("result" in await engine.reply(), "the others are answered")
        engine.end()

    equal(len((await stage.play(script)).posts), 17, "replies")


# --- notifications and responses ------------------------------------------------------------------------


def _silent(name: str, clause: str, build: Any) -> None:
    """Gets no answer, and the client sees nothing of it; the next call is answered as ever."""

    async def run(stage: Stage) -> None:
        got = await stage.one(build(stage), stage.call(9))
        equal(got["id"], 9, "the one reply")
        equal(len(stage.seen(method="")), 1, "messages at the tool server")

    add(f"silent/{name}", clause, run)


for _name, _build in {
    "call-without-id": lambda s: s.call(...),
    "initialized": lambda s: {"jsonrpc": "2.0", "method": "notifications/initialized"},
    "unknown-notification": lambda s: {"jsonrpc": "2.0", "method": "notifications/x", "params": []},
    "cancel-of-nothing": lambda s: {
        "jsonrpc": "2.0", "method": "notifications/cancelled", "params": {"requestId": 5},
    },
    "cancel-without-id": lambda s: {"jsonrpc": "2.0", "method": "notifications/cancelled", "params": {}},
    "response": lambda s: {"jsonrpc": "2.0", "id": 3, "result": {}},
    "error-response": lambda s: {"jsonrpc": "2.0", "id": None, "error": {"code": 1, "message": "x"}},
    "batch-of-notifications": lambda s: [s.call(...), {"jsonrpc": "2.0", "method": "x"}],
}.items():  # fmt: skip
    _silent(_name, "JSON-RPC 2.0, 4.1 Notification", _build)


@case("answered-here/ping", "MCP, Ping")
async def ping(stage: Stage) -> None:
    got = await stage.one({"jsonrpc": "2.0", "id": "p", "method": "ping"})
    equal((got, len(stage.seen(method=""))), ({"jsonrpc": "2.0", "id": "p", "result": {}}, 0), "pong")


@case("answered-here/initialize", "MCP, Lifecycle: version negotiation")
async def initialize(stage: Stage) -> None:
    for wants, gets in (("2025-03-26", "2025-03-26"), ("1999-01-01", "2025-06-18")):
        params = {"protocolVersion": wants, "capabilities": {}, "clientInfo": {"name": "e", "version": "1"}}
        got = await stage.one({"jsonrpc": "2.0", "id": 1, "method": "initialize", "params": params})
        equal(got["result"]["protocolVersion"], gets, "the version")
        check("tools" in got["result"]["capabilities"], "tools are offered")


# --- batches --------------------------------------------------------------------------------------------


def _by_id(messages: Any) -> dict[Any, Any]:
    check(isinstance(messages, list), f"a batch is answered by an array, not {messages!r:.100}")
    return {m["id"]: m for m in messages}


@case("batch/two-calls", BATCH)
async def batch_two(stage: Stage) -> None:
    got = _by_id(await stage.one([stage.call(1), stage.call(2)]))
    equal((set(got), len(stage.seen())), ({1, 2}, 2), "ids and calls")


@case("batch/of-one", BATCH)
async def batch_one(stage: Stage) -> None:
    equal(list(_by_id(await stage.one([stage.call(1)]))), [1], "ids")


@case("batch/mixed", BATCH)
async def batch_mixed(stage: Stage) -> None:
    got = await stage.one([
        stage.call(1), stage.call(...), {"foo": "boo"}, stage.call(2, method="no"), 1,
        {"jsonrpc": "2.0", "id": 3, "method": "ping"}, {"jsonrpc": "2.0", "id": 4, "result": {}},
    ])  # fmt: skip
    found = _by_id(got)
    equal(
        (len(got), code(found[2]), found[3]["result"]),
        (5, -32601, {}),
        "one answer for each but notifications",
    )
    equal(sorted(code(m) or 0 for m in got if m["id"] is None), [-32600, -32600], "what has no id")


@case("batch/empty", BATCH)
async def batch_empty(stage: Stage) -> None:
    got = await stage.one(b"data: []\n\n")
    equal((code(got), got["id"]), (-32600, None), "one error, no array")


@case("batch/invalid-alone", BATCH)
async def batch_invalid(stage: Stage) -> None:
    got = await stage.one(b"data: [1,2,3]\n\n")
    equal([(code(m), m["id"]) for m in got], [(-32600, None)] * 3, "an error for each")


@case("batch/unparsable", BATCH)
async def batch_unparsable(stage: Stage) -> None:
    got = await stage.one(b'data: [{"jsonrpc":"2.0","method":"x","id":1},{"jsonrpc"]\n\n')
    equal((code(got), got["id"]), (-32700, None), "one error")


@case("batch/nested", BATCH)
async def batch_nested(stage: Stage) -> None:
    equal([code(m) for m in await stage.one([[stage.call(1)]])], [-32600], "no batch within a batch")


@case("batch/too-many", "README: a batch holds 64 messages")
async def batch_many(stage: Stage) -> None:
    got = await stage.one([stage.call(i) for i in range(65)])
    equal((code(got), len(stage.seen())), (-32600, 0), "one error, no call")


@case("batch/one-unsafe-and-one-repeated-id", "README: written at most once; each id one reply")
async def batch_repeated(stage: Stage) -> None:
    async def script(engine: Engine) -> None:
        engine.send(stage.call(1, "unsafe"))
        await engine.reply()
        engine.send([stage.call(1, "unsafe"), stage.call(2, "unsafe"), stage.call(3), stage.call(3)])
        equal(sorted(_by_id(await engine.reply())), [2, 3], "what is answered")
        engine.end()

    await stage.play(script, "order")
    equal(len(stage.seen()), 3, "calls made")


@case("batch/only-repeated-ids", "README: each id one reply")
async def batch_all_repeated(stage: Stage) -> None:
    async def script(engine: Engine) -> None:
        engine.send(stage.call(1), [stage.call(1), stage.call(1)], stage.call(2))
        equal(sorted([(await engine.reply())["id"], (await engine.reply())["id"]]), [1, 2], "ids")
        engine.end()

    equal(len((await stage.play(script)).posts), 2, "replies")


@case("batch/one-flawed", STRICT)
async def batch_flawed(stage: Stage) -> None:
    raw = json.dumps([stage.call(1), stage.call(2)]).replace('"id": 2', '"id": 2, "jsonrpc": "2.0"')
    got = _by_id(await stage.one(b"data: " + raw.encode() + b"\n\n"))
    equal(
        (code(got[2]), "result" in got[1], len(stage.seen())), (-32600, True, 1), "only the flawed one fails"
    )


@case("batch/waits-for-its-slowest", BATCH)
async def batch_slow(stage: Stage) -> None:
    import asyncio

    go_on = asyncio.Event()

    async def hold(asked: Any) -> None:
        if asked.message["id"] == 1:
            await go_on.wait()
        asked.json({"jsonrpc": "2.0", "id": asked.message["id"], "result": asked.message["id"]})

    stage.on(hold)

    async def script(engine: Engine) -> None:
        engine.send([stage.call(1), stage.call(2)], stage.call(3))
        equal((await engine.reply())["id"], 3, "a call beside the batch is not held up")
        go_on.set()
        equal({m["id"]: m["result"] for m in await engine.reply()}, {1: 1, 2: 2}, "both at once")
        engine.end()

    equal(len((await stage.play(script)).posts), 2, "messages")


@case("batch/unsafe-in-a-safe-class", "README, codes: -32004")
async def batch_unsafe(stage: Stage) -> None:
    got = _by_id(await stage.one([stage.call(1, "unsafe"), stage.call(2)]))
    equal(
        (code(got[1]), "result" in got[2], len(stage.seen())), (-32004, True, 1), "only the safe one is made"
    )


@case("batch/cut-at-every-byte", SSE)
async def batch_cut(stage: Stage) -> None:
    raw = event([stage.call(1), stage.call(2)])

    async def script(engine: Engine) -> None:
        await engine.pieces(raw, 1)
        equal(sorted(_by_id(await engine.reply())), [1, 2], "ids")
        engine.end()

    served: Served = await stage.play(script)
    equal(served.text, b"", "the client sees nothing of it")
