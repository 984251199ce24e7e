"""The second front's tool calls: finds JSON-RPC `tools/call` requests in an engine's stream, writes them to
the application's tool server, and returns each call's one reply to the engine that holds the stream.

It words the core's effects in JSON-RPC 2.0 and SSE and back. It must never decide whether a call is made,
made again or given up, and it must never put a call or its reply into the stream that the client reads.
"""

from __future__ import annotations

import asyncio
import json
import logging
import re
from dataclasses import dataclass
from typing import Any

from basaltspread import core
from basaltspread.config import Tools
from basaltspread.core import Ending, ToolFault
from basaltspread.net.runtime import Headers, LinkError, Reply, Runtime, load_json

log = logging.getLogger("basaltspread")
EVENT_LIMIT = 256 * 1024  # bytes of one event that are kept while its end is awaited
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
LINE_END = re.compile(rb"\r\n|\n|\r")
REPLY_WAIT = 2.0  # s for an engine to take a reply
JSON_TYPE = (b"Content-Type", b"application/json")
# The one table from what can go wrong to JSON-RPC's codes: its own first, then the server-defined range.
CODES: dict[ToolFault, int] = {
    ToolFault.INVALID: -32600,
    ToolFault.UNKNOWN_METHOD: -32601,
    ToolFault.SERVER_FAULT: -32603,
    ToolFault.OUTCOME_UNKNOWN: -32001,
    ToolFault.DEADLINE: -32002,
    ToolFault.UNAVAILABLE: -32003,
    ToolFault.NOT_PERMITTED: -32004,
    ToolFault.TOO_MANY: -32005,
}


@dataclass(frozen=True, slots=True)
class Call:
    """A JSON-RPC request found in a stream. `key` is its id as JSON text, so that 1 and "1" stay apart."""

    key: str
    ident: str | int
    tool: str
    body: bytes
    fault: ToolFault | None


def event_data(raw: bytes) -> str | None:
    """The data of one server-sent event; None if it has none or is not text."""
    lines = []
    for line in LINE_END.split(raw):
        if line.startswith(b"data:"):
            lines.append(line[5:].removeprefix(b" "))
    try:
        return b"\n".join(lines).decode() if lines else None
    except UnicodeDecodeError:
        return None


def parse_message(text: str | bytes) -> dict[str, Any] | None:
    """A JSON-RPC 2.0 message, or None for anything else."""
    try:
        message = load_json(text)
    except ValueError:
        return None
    return message if isinstance(message, dict) and message.get("jsonrpc") == "2.0" else None


def parse_call(message: dict[str, Any], text: str) -> Call | None:
    """The call in a JSON-RPC message; None if no answer to it is possible, since it has no proper id."""
    ident, method, params = message.get("id"), message.get("method"), message.get("params")
    if isinstance(ident, bool) or not isinstance(ident, (str, int)) or len(str(ident)) > 128:
        return None
    fault = None
    tool = params.get("name") if isinstance(params, dict) else None
    if method != "tools/call":
        fault = ToolFault.UNKNOWN_METHOD if isinstance(method, str) else ToolFault.INVALID
    elif not isinstance(tool, str) or not tool:
        fault = ToolFault.INVALID
    return Call(json.dumps(ident), ident, str(tool or ""), text.encode(), fault)


def fault_body(call: Call, fault: ToolFault) -> bytes:
    """The error reply to a call."""
    error = {"code": CODES[fault], "message": fault.value, "data": {"fault": fault.name.lower()}}
    return json.dumps({"jsonrpc": "2.0", "id": call.ident, "error": error}).encode()


def reply_messages(reply: Reply) -> list[str]:
    """The texts in a tool server's answer that may be JSON-RPC messages: its body, or its events."""
    if not reply.headers.get(b"content-type", b"").startswith(b"text/event-stream"):
        return [reply.body.decode("utf-8", "replace")]
    found = (event_data(raw) for raw in EVENT_END.split(reply.body))
    return [data for data in found if data is not None]


class Splitter:
    """Takes the events of one stream apart: calls go to the relay, all others on, byte for byte."""

    def __init__(self, relay: Relay, request: str, number: int) -> None:
        self._relay, self._request, self._number = relay, request, number
        self._held = b""

    def feed(self, data: bytes) -> bytes:
        """What of the stream may be passed on now."""
        self._held += data
        out, start = [], 0
        for end in EVENT_END.finditer(self._held):
            raw = self._held[start : end.end()]
            start = end.end()
            if b'"jsonrpc"' not in raw or not self._relay.take(self._request, self._number, raw):
                out.append(raw)
        self._held = self._held[start:]
        if len(self._held) > EVENT_LIMIT:
            self._relay.runtime.count("tool_events_oversized")
            raise LinkError(Ending.MALFORMED)
        return b"".join(out)

    def rest(self) -> bytes:
        """What was left without an end of event when the stream ended."""
        rest, self._held = self._held, b""
        return rest


class Relay:
    """Carries out the core's effects on tool calls."""

    def __init__(self, runtime: Runtime, tools: Tools) -> None:
        self.runtime, self._tools = runtime, tools
        self._calls: dict[tuple[str, str], Call] = {}
        self._replies: dict[tuple[str, str], bytes] = {}
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        runtime.carry.update({
            core.CallTool: self._call_tool, core.AbandonTool: self._abandon,
            core.ReturnReply: self._return_reply, core.ForgetCall: self._forget,
        })  # fmt: skip

    def reconfigure(self, tools: Tools) -> None:
        """For calls from now on."""
        self._tools = tools

    def splitter(self, request: str, number: int) -> Splitter:
        return Splitter(self, request, number)

    def take(self, request: str, number: int, raw: bytes) -> bool:
        """Whether this event was between the engine and the gateway; a call in it is told to the core."""
        text = event_data(raw)
        message = parse_message(text) if text is not None else None
        if text is None or message is None:
            return False
        call = parse_call(message, text) if "method" in message else None
        if call is None:
            self.runtime.count("tool_messages_unanswerable")
            log.warning("tool call of %s: a JSON-RPC message that is no request with an id; dropped", request)
            return True
        key = (request, call.key)
        tool = self._tools.tool(call.tool)
        self._calls.setdefault(key, call)
        left = tool.deadline_ms * core.MS
        self.runtime.feed(core.ToolCalled(request, number, call.key, tool.effect, left, call.fault))
        if key not in self.runtime.state.calls and key not in self._tasks:
            self._calls.pop(key, None)
        return True

    def _call_tool(self, effect: core.CallTool) -> None:
        key = (effect.request, effect.call)
        self._tasks[key] = self.runtime.spawn(self._call(effect, self._calls[key]), f"tool call {key}")

    async def _call(self, effect: core.CallTool, call: Call) -> None:
        ending = Ending.GATEWAY_FAULT
        # Ids are unique only within a stream: the request's own id keeps two travellers' orders apart.
        idempotency = f"{effect.request}/{call.ident}".encode("ascii", "backslashreplace")
        headers: Headers = [
            JSON_TYPE, (b"Accept", b"application/json, text/event-stream"),
            (b"Idempotency-Key", re.sub(rb"[^\x21-\x7e]", b"_", idempotency)),
        ]  # fmt: skip
        try:
            reply = await self.runtime.pool.call(
                self._tools.address, "POST", self._tools.path, headers, call.body,
                wait=max(0.001, effect.time_left / 1e6), fresh=effect.once,
            )  # fmt: skip
            ending = self._judge(effect, call, reply)
        except LinkError as error:
            ending = error.ending
        finally:
            if not self._is_abandoned():
                self.runtime.feed(core.ToolEnded(effect.request, effect.call, ending))

    @staticmethod
    def _is_abandoned() -> bool:
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0

    def _judge(self, effect: core.CallTool, call: Call, reply: Reply) -> Ending:
        """How the exchange ended, by its content first: an error object with the call's id is a reply too."""
        for text in reply_messages(reply):
            message = parse_message(text)
            if message is None or "method" in message or not ({"result", "error"} & message.keys()):
                continue
            ident = message.get("id")
            if type(ident) is type(call.ident) and ident == call.ident:
                self._replies[effect.request, effect.call] = text.encode()
                return Ending.SERVED
            self.runtime.count("tool_replies_unknown_id")
            log.warning("tool call %s of %s: a reply with an unknown id; dropped", call.key, effect.request)
        if reply.headers.get(b"x-unprocessed") == b"1":
            return Ending.TURNED_AWAY
        if reply.status == 200:
            return Ending.MALFORMED
        return Ending.SERVER_ERROR if reply.status >= 500 else Ending.STRANGE_STATUS

    def _abandon(self, effect: core.AbandonTool) -> None:
        task = self._tasks.get((effect.request, effect.call))
        if task is not None:
            task.cancel()

    def _return_reply(self, effect: core.ReturnReply) -> None:
        key = (effect.request, effect.call)
        self._tasks[key] = self.runtime.spawn(self._return(effect, self._calls[key]), f"tool reply {key}")

    async def _return(self, effect: core.ReturnReply, call: Call) -> None:
        ending = Ending.GATEWAY_FAULT
        body = self._replies.get((effect.request, effect.call), b"")
        if effect.fault is not None:
            body = fault_body(call, effect.fault)
            log.info("tool call %s of %s: %s", call.key, effect.request, effect.fault.value)
        target = f"/v1/toolcalls/{effect.request}"
        try:
            reply = await self.runtime.pool.call(
                effect.address, "POST", target, [JSON_TYPE], body, wait=REPLY_WAIT, fresh=True
            )
            ending = Ending.SERVED if reply.status in (200, 202, 204) else Ending.STRANGE_STATUS
            if reply.headers.get(b"x-unprocessed") == b"1":
                ending = Ending.TURNED_AWAY
        except LinkError as error:
            ending = error.ending
        finally:
            if not self._is_abandoned():
                self.runtime.feed(core.ReplyEnded(effect.request, effect.call, ending))

    def _forget(self, effect: core.ForgetCall) -> None:
        key = (effect.request, effect.call)
        self._calls.pop(key, None)
        self._replies.pop(key, None)
        self._tasks.pop(key, None)
