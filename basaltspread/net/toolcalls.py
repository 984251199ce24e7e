"""The second front's tool calls: finds JSON-RPC messages in an engine's stream, writes calls to the tool
servers, and returns each event's one answer to the engine that holds the stream.

It words the core's effects in JSON-RPC 2.0 and server-sent events and back. It must never decide whether a
call is made, made again or given up, and it must never put a call or its reply into the stream that the
client reads. What it writes to a tool server is encoded anew from what was judged, never the engine's own
bytes.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import re
from dataclasses import dataclass, field
from typing import Any

import h11

from basaltspread import __version__, core
from basaltspread.config import Tools
from basaltspread.control.descriptor_budget import DescriptorUse
from basaltspread.control.routes import MCP, Server
from basaltspread.core import Ending, ToolFault
from basaltspread.endings import NEVER_RAN
from basaltspread.net import jsonrpc, sse
from basaltspread.net.links import Headers, LinkError
from basaltspread.net.mcp import ACCEPT, JSON_TYPE, NAME, PING_WAIT, VERSIONS, Listing, Sessions, ask, texts
from basaltspread.net.runtime import Runtime

log = logging.getLogger("basaltspread")
PROGRESS_WAIT = 2.0  # s for an engine to take a word of progress
PROGRESS_TRIES = 3  # of a word of progress that an engine has certainly not had
NOTE_WAIT = 1.0  # s for a tool server to take a notification or an answer
NOTE_TRIES = 6  # of one that has certainly not arrived
NOTE_RETRY_PAUSE = 0.2  # s between two of them
MOST_NOTES = 32  # notifications to tool servers under way at once; more are dropped
MOST_ASKED = 16  # requests of a tool server, in one reply, that are answered
MEMORY_SHARE = 0.1  # of the memory limit, for calls and replies that are held
DRAIN_LOOK = 1.0  # s between two looks at a server that said that it drains
LONGEST_DRAIN_LOOK = 5.0
METHODS = frozenset(("tools/call", "tools/list", "ping", "initialize"))
# The one table from what can go wrong to JSON-RPC's codes: its own first, then the server-defined range. A
# tool that is not known is, as the Model Context Protocol has it, a wrong parameter.
CODES: dict[ToolFault, int] = {
    ToolFault.PARSE: -32700,
    ToolFault.INVALID: -32600,
    ToolFault.UNKNOWN_METHOD: -32601,
    ToolFault.PARAMS: -32602,
    ToolFault.NO_ROUTE: -32602,
    ToolFault.SERVER_FAULT: -32603,
    ToolFault.OUTCOME_UNKNOWN: -32001,
    ToolFault.DEADLINE: -32002,
    ToolFault.UNAVAILABLE: -32003,
    ToolFault.NOT_PERMITTED: -32004,
    ToolFault.TOO_MANY: -32005,
    ToolFault.OVERLOADED: -32006,
}


@dataclass(slots=True)
class Call:
    """A request found in a stream, and what has come back for it."""

    request: str
    asked: jsonrpc.Request
    tool: str = ""
    token: str | int | None = None  # under which the engine wants to hear of progress
    size: int = 0
    reply: bytes = b""
    tries: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    note: dict[str, Any] | None = None  # the progress to be told
    reached: float = float("-inf")  # the last progress
    telling: asyncio.Task[None] | None = None

    def wire(self, server: Server) -> dict[str, Any]:
        """What this server gets: in a session, an id that is unique there and a progress token of its own."""
        asked = self.asked
        if server.protocol != MCP:
            return jsonrpc.request(asked.ident, asked.method, asked.params)
        params = dict(asked.params)
        meta = params.get("_meta")
        if self.token is not None and isinstance(meta, dict):
            params["_meta"] = {**meta, "progressToken": self.wire_ident(server)}
        return jsonrpc.request(self.wire_ident(server), asked.method, params)

    def wire_ident(self, server: Server) -> jsonrpc.Ident:
        return f"{self.request}/{self.asked.key}" if server.protocol == MCP else self.asked.ident

    def wire_token(self, server: Server) -> Any:
        return self.wire_ident(server) if server.protocol == MCP else self.token


@dataclass(slots=True)
class Bundle:
    """The calls of one event, and what of it is answered without an id."""

    batch: bool
    errors: list[dict[str, Any]]
    task: asyncio.Task[None] | None = None


def fault_message(ident: jsonrpc.Ident | None, fault: ToolFault, why: str = "") -> dict[str, Any]:
    """The error in place of a reply."""
    text = f"{fault.value}: {why}" if why else fault.value
    return jsonrpc.error(ident, CODES[fault], text, {"fault": fault.name.lower()})


def tool_of(asked: jsonrpc.Request) -> tuple[str, ToolFault | None, str]:
    """The tool that a tools/call names, or what is wrong with its parameters."""
    params = asked.params
    if not isinstance(params, dict):
        return "", ToolFault.PARAMS, "params are no object"
    tool = params.get("name")
    if not isinstance(tool, str) or not tool or len(tool) > jsonrpc.ID_LIMIT:
        return "", ToolFault.PARAMS, "params.name is no name of a tool"
    if not isinstance(params.get("arguments", {}), dict):
        return tool, ToolFault.PARAMS, "params.arguments is no object"
    return tool, None, ""


def token_of(params: Any) -> str | int | None:
    meta = params.get("_meta") if isinstance(params, dict) else None
    token = meta.get("progressToken") if isinstance(meta, dict) else None
    if isinstance(token, str):
        return token if len(token) <= jsonrpc.ID_LIMIT else None
    return token if isinstance(token, int) and not isinstance(token, bool) else None


class Relay:
    """Carries out the core's effects on tool calls."""

    def __init__(self, runtime: Runtime, tools: Tools) -> None:
        self.runtime, self._tools = runtime, tools
        self._calls: dict[tuple[str, str], Call] = {}
        self._bundles: dict[tuple[str, int], Bundle] = {}
        self._numbers = itertools.count(1)
        self._held = 0  # bytes of calls and replies
        self._notes = 0
        self._leaving: dict[str, asyncio.Task[None]] = {}  # servers that said that they drain
        self._sessions = Sessions(runtime)
        self._listing = Listing(runtime, self._sessions, tools.table)
        runtime.carry.update({
            core.CallTool: self._call_tool, core.AbandonTool: self._abandon,
            core.TellCancelled: lambda e: self._tell_cancelled(e.request, e.call, e.server),
            core.AnswerLocally: self._answer_locally, core.ReturnReply: self._return_reply,
            core.ReturnProgress: self._return_progress, core.ForgetCall: self._forget_call,
            core.ForgetBundle: self._forget_bundle, core.TryServer: self._try_server,
        })  # fmt: skip

    def reconfigure(self, tools: Tools) -> None:
        """For calls from now on, and those that wait."""
        self._tools = tools
        self._listing.reconfigure(tools.table)
        self.runtime.feed(core.RoutesTold(tools.table))

    async def stop(self) -> None:
        """Sessions are given back before the program ends."""
        await self._sessions.close()

    # --- from an engine's stream ------------------------------------------------------------------------

    def splitter(self, request: str, number: int) -> sse.Splitter:
        return sse.Splitter(lambda raw: self.take(request, number, raw))

    def take(self, request: str, number: int, raw: bytes) -> bool:
        """Whether this event was between the engine and the gateway; what is in it is told to the core."""
        data = sse.data_of(raw)
        if data is None or data.strip() == "[DONE]":
            return False
        try:
            value = jsonrpc.load(data)
        except ValueError as error:
            # A chat event is JSON and has the name only within a text, where its quotes are escaped.
            if sse.may_hold_message(b"data: " + data.replace("\n", " ").encode("utf-8", "replace")):
                self._take(request, number, jsonrpc.Text((jsonrpc.Broken(ToolFault.PARSE, str(error)),)))
                return True
            return False
        if not jsonrpc.is_message(value):
            return False
        self._take(request, number, jsonrpc.read(value), len(raw))
        return True

    def _take(self, request: str, number: int, text: jsonrpc.Text, size: int = 0) -> None:
        wanted: list[core.Wanted] = []
        errors: list[dict[str, Any]] = []
        cancelled: list[str] = []
        fresh: list[tuple[str, str]] = []
        for message in text.messages:
            if isinstance(message, jsonrpc.Request):
                key = (request, message.key)
                call = Call(request, message, size=size)
                wanted.append(self._want(call))
                if key not in self._calls:  # else it is a repeat, and the first one's record stands
                    self._calls[key] = call
                    self._held += call.size
                    fresh.append(key)
            elif isinstance(message, jsonrpc.Broken):
                self.runtime.count("tool_messages_broken")
                fields = {"request": request, "fault": message.fault.name.lower()}
                log.warning("tool message of %s: %s", request, message.why, extra=fields)
                errors.append(fault_message(None, message.fault, message.why))
            elif isinstance(message, jsonrpc.Notification):
                cancelled += self._note(request, message)
            else:
                self.runtime.count("tool_messages_unanswerable")
                log.warning("tool message of %s: a response to nothing that was asked; dropped", request)
        if wanted or errors:
            bundle = (request, next(self._numbers))
            self._bundles[bundle] = Bundle(text.batch, errors)
            self.runtime.feed(core.ToolCalled(request, number, bundle[1], tuple(wanted), len(errors)))
            if bundle not in self.runtime.state.bundles:
                self._bundles.pop(bundle, None)
        for key in fresh:
            if key not in self.runtime.state.calls:
                self._drop(key)
        for ident in cancelled:
            self.runtime.feed(core.ToolCancelled(request, number, ident))

    def _want(self, call: Call) -> core.Wanted:
        asked = call.asked
        fault, why = asked.fault, asked.why
        local = asked.method in METHODS and asked.method != "tools/call"
        answer: Any = None
        if fault is None and asked.method not in METHODS:
            fault, why = ToolFault.UNKNOWN_METHOD, asked.method[:64]
        elif fault is None and asked.method == "tools/call":
            call.tool, fault, why = tool_of(asked)
            call.token = token_of(asked.params)
        elif fault is None and asked.method == "tools/list":
            if isinstance(asked.params, dict) and asked.params.get("cursor") is not None:
                fault, why = ToolFault.PARAMS, "a cursor that was not given out"
        elif fault is None:
            answer = {} if asked.method == "ping" else self._about(asked)
        if fault is None and answer is None:
            if self._held + call.size > self.runtime.memory_mb * 1024 * 1024 * MEMORY_SHARE:
                self.runtime.count("tool_memory_full")
                fault = ToolFault.TOO_MANY
        if fault is not None:
            call.reply = jsonrpc.encode(fault_message(asked.ident, fault, why))
        elif answer is not None:
            call.reply = jsonrpc.encode(jsonrpc.result(asked.ident, answer))
        tool = self._tools.tool(call.tool)
        left = tool.deadline_ms * core.MS
        return core.Wanted(asked.key, call.tool, tool.effect, left, fault, local, answer is not None)

    @staticmethod
    def _about(asked: jsonrpc.Request) -> dict[str, Any]:
        wants = asked.params.get("protocolVersion") if isinstance(asked.params, dict) else None
        return {
            "protocolVersion": wants if wants in VERSIONS else VERSIONS[0],
            "capabilities": {"tools": {"listChanged": False}},
            "serverInfo": {"name": NAME, "version": __version__},
        }

    def _note(self, request: str, message: jsonrpc.Notification) -> list[str]:
        """A notification of the engine's; the ids of calls that it cancels."""
        if message.fault is None and message.method == "notifications/cancelled":
            given = message.params.get("requestId") if isinstance(message.params, dict) else None
            ident = jsonrpc.ident_of(given)
            if ident is not None:
                return [jsonrpc.key_of(ident)]
        if message.fault is None and message.method == "notifications/initialized":
            self.runtime.count("tool_notifications")
            return []
        self.runtime.count("tool_messages_unanswerable")
        log.warning("tool call of %s: a JSON-RPC message that is no request with an id; dropped", request)
        return []

    # --- to and from tool servers -----------------------------------------------------------------------

    def _call_tool(self, effect: core.CallTool) -> None:
        call = self._calls[effect.request, effect.call]
        name = f"tool call {effect.call} of {effect.request}"
        call.tries[effect.number] = self.runtime.spawn(self._call(effect, call), name)

    async def _call(self, effect: core.CallTool, call: Call) -> None:
        ending = Ending.GATEWAY_FAULT
        try:
            ending = await self._exchange(effect, call)
        except LinkError as error:
            ending = error.ending
        finally:
            if not self._is_abandoned():
                call.tries.pop(effect.number, None)
                self.runtime.feed(core.ToolEnded(effect.request, effect.call, effect.number, ending))

    @staticmethod
    def _is_abandoned() -> bool:
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0

    async def _exchange(self, effect: core.CallTool, call: Call) -> Ending:
        server = effect.server
        own = await self._sessions.headers(server)
        # Ids are unique only within a stream: the request's own id keeps two travellers' orders apart.
        idempotency = f"{effect.request}/{call.asked.ident}".encode("ascii", "backslashreplace")
        key = (b"Idempotency-Key", re.sub(rb"[^\x21-\x7e]", b"_", idempotency))
        body = jsonrpc.encode(call.wire(server))
        wait = max(0.001, effect.time_left / 1e6)
        async with self.runtime.pool.using(server.address, wait, fresh=effect.once) as link:
            self.runtime.feed(core.ToolBegun(effect.request, effect.call, effect.number))
            if self._is_abandoned():  # it drained, or the route went, as the connection came up
                raise asyncio.CancelledError
            await link.send("POST", server.path, [JSON_TYPE, ACCEPT, key, *own], body)
            head = await link.event()
            if not isinstance(head, h11.Response):
                raise LinkError(Ending.MALFORMED)
            fields = dict(head.headers)
            if fields.get(b"x-draining") == b"1":
                self._server_drains(server)
            asked = 0
            async for text in texts(link, head):
                found, wants = self._judge(effect, call, text)
                for message in wants:
                    asked += 1
                    if asked <= MOST_ASKED:
                        self._send_note(server, message)
                if found is not None:
                    return found
        if fields.get(b"x-unprocessed") == b"1":
            return Ending.TURNED_AWAY
        if head.status_code == 404 and own:
            self._sessions.lost(server)
        if head.status_code == 200:
            return Ending.MALFORMED
        return Ending.SERVER_ERROR if head.status_code >= 500 else Ending.STRANGE_STATUS

    def _judge(
        self, effect: core.CallTool, call: Call, text: str
    ) -> tuple[Ending | None, list[dict[str, Any]]]:
        """What one text of a tool server says: how the try ends, if it does, and what is answered to it. An
        error object with the call's id is a reply too."""
        server, answers = effect.server, list[dict[str, Any]]()
        try:
            value = jsonrpc.load(text)
        except ValueError:
            self.runtime.count("tool_replies_no_json")
            return None, answers
        if not jsonrpc.is_message(value):
            self.runtime.count("tool_replies_no_message")
            return None, answers
        wire = jsonrpc.key_of(call.wire_ident(server))
        for message in jsonrpc.read(value).messages:
            if isinstance(message, jsonrpc.Response):
                if message.key != wire:
                    self.runtime.count("tool_replies_unknown_id")
                    log.warning(
                        "tool call %s of %s: a reply with an unknown id; dropped",
                        effect.call, effect.request,
                        extra={"request": effect.request, "call": effect.call, "server": server.name},
                    )  # fmt: skip
                elif message.fault is not None:
                    self.runtime.count("tool_replies_broken")
                    log.warning(
                        "tool call %s of %s: reply: %s", effect.call, effect.request, message.why,
                        extra={"request": effect.request, "call": effect.call, "server": server.name},
                    )  # fmt: skip
                    return Ending.MALFORMED, answers
                else:
                    if not call.reply:
                        call.reply = jsonrpc.encode({**message.message, "id": call.asked.ident})
                        call.size += len(call.reply)
                        self._held += len(call.reply)
                    return Ending.SERVED, answers
            elif isinstance(message, jsonrpc.Request):
                answers.append(self._answer_server(message))
            elif isinstance(message, jsonrpc.Notification) and message.fault is None:
                if self._heed(effect, call, message):
                    return Ending.CALLED_OFF, answers
            else:
                self.runtime.count("tool_replies_broken")
        return None, answers

    def _answer_server(self, asked: jsonrpc.Request) -> dict[str, Any]:
        self.runtime.count("tool_server_requests")
        if asked.fault is None and asked.method == "ping":
            return jsonrpc.result(asked.ident, {})
        return fault_message(asked.ident, asked.fault or ToolFault.UNKNOWN_METHOD, asked.method[:64])

    def _heed(self, effect: core.CallTool, call: Call, message: jsonrpc.Notification) -> bool:
        """A tool server's notification; whether it calls the call off."""
        params = message.params if isinstance(message.params, dict) else {}
        if message.method == "notifications/cancelled":
            return bool(params.get("requestId") == call.wire_ident(effect.server))
        if message.method == "notifications/progress":
            self._progress(effect, call, params)
        elif message.method == "notifications/tools/list_changed":
            self._listing.changed(effect.server)
        else:
            self.runtime.count("tool_server_notes")
        return False

    def _progress(self, effect: core.CallTool, call: Call, params: dict[str, Any]) -> None:
        reached, total, text = params.get("progress"), params.get("total"), params.get("message")
        known = call.token is not None and params.get("progressToken") == call.wire_token(effect.server)
        if not known or isinstance(reached, bool) or not isinstance(reached, (int, float)):
            self.runtime.count("tool_progress_strayed")
            return
        grows = reached > call.reached
        if grows and call.telling is None:
            call.note = {"progressToken": call.token, "progress": reached}
            if isinstance(total, (int, float)) and not isinstance(total, bool):
                call.note["total"] = total
            if isinstance(text, str):
                call.note["message"] = text[:1024]
        call.reached = max(call.reached, reached)
        self.runtime.feed(core.ToolProgressed(effect.request, effect.call, effect.number, grows))

    def _abandon(self, effect: core.AbandonTool) -> None:
        call = self._calls.get((effect.request, effect.call))
        if call is None:
            return
        task = call.tries.pop(effect.number, None)
        if task is not None:
            task.cancel()
        if effect.tell:
            self._tell_cancelled(effect.request, effect.call, effect.server)

    def _tell_cancelled(self, request: str, ident: str, server: Server) -> None:
        """A closed connection says nothing to a server with sessions: it has to be told."""
        call = self._calls.get((request, ident))
        if call is None or server.protocol != MCP:
            return
        params = {"requestId": call.wire_ident(server), "reason": "nobody waits for it any more"}
        self.runtime.count("tool_cancels_told")
        self._send_note(server, jsonrpc.notification("notifications/cancelled", params))

    def _send_note(self, server: Server, message: dict[str, Any]) -> None:
        """A message to which no answer is awaited, if there is room for it."""
        own = self._sessions.known(server) if server.protocol == MCP else []
        if own is None or self._notes >= MOST_NOTES:
            self.runtime.count("tool_notes_dropped")
            return
        self._notes += 1
        self.runtime.spawn(self._note_server(server, own, message), f"note to {server.name}")

    async def _note_server(self, server: Server, own: Headers, message: dict[str, Any]) -> None:
        """Written again as long as it has certainly not arrived: a server that pings waits for its answer."""
        try:
            for _ in range(NOTE_TRIES - 1):
                if await self._write_note(server, own, message) not in NEVER_RAN:
                    return
                self.runtime.count("tool_notes_retried")
                await asyncio.sleep(NOTE_RETRY_PAUSE)
            await self._write_note(server, own, message)
        finally:
            self._notes -= 1

    async def _write_note(self, server: Server, own: Headers, message: dict[str, Any]) -> Ending:
        """One try; how the use of its connection ended."""
        try:
            await self.runtime.pool.call(
                server.address, "POST", server.path, [JSON_TYPE, ACCEPT, *own], jsonrpc.encode(message),
                wait=NOTE_WAIT,
            )  # fmt: skip
        except LinkError as error:
            self.runtime.count("tool_notes_failed")
            log.info("note to %s: %s", server.name, error)
            return error.ending
        return Ending.SERVED

    def _try_server(self, effect: core.TryServer) -> None:
        self.runtime.spawn(self._try(effect.server), f"trial of {effect.server.name}")

    async def _try(self, server: Server) -> None:
        ok = False
        try:
            ok = await self._answers(server) is not None
        finally:
            self.runtime.feed(core.ServerTried(server.name, ok))

    async def _answers(self, server: Server) -> dict[bytes, bytes] | None:
        """The headers of its answer to a ping; None if none came. An error is an answer too."""
        message = jsonrpc.request(f"ping-{next(self._numbers)}", "ping")
        try:
            headers = await self._sessions.headers(server)
            _, fields = await ask(self.runtime, server, headers, message, PING_WAIT)
        except LinkError:
            return None
        return fields

    def _server_drains(self, server: Server) -> None:
        if server.name not in self._leaving:
            log.info("tool server %s says that it drains", server.name, extra={"server": server.name})
            self._leaving[server.name] = self.runtime.spawn(self._await_return(server), f"{server.name} back")
            self.runtime.feed(core.ServerDrains(server.name, True))

    async def _await_return(self, server: Server) -> None:
        """A server that drained by its own word is used again by its own word."""
        look = DRAIN_LOOK
        try:
            while self._tools.table.servers.get(server.name) == server:
                await asyncio.sleep(look)
                fields = await self._answers(server)
                if fields is not None and fields.get(b"x-draining") != b"1":
                    self.runtime.feed(core.ServerDrains(server.name, False))
                    return
                look = min(LONGEST_DRAIN_LOOK, look * 1.5)
        finally:
            self._leaving.pop(server.name, None)

    # --- back to the engine -----------------------------------------------------------------------------

    def _answer_locally(self, effect: core.AnswerLocally) -> None:
        call = self._calls[effect.request, effect.call]
        call.tries[0] = self.runtime.spawn(self._list(effect, call), f"tools/list of {effect.request}")

    async def _list(self, effect: core.AnswerLocally, call: Call) -> None:
        ending = Ending.GATEWAY_FAULT
        try:
            tools = await self._listing.merged()
            call.reply = jsonrpc.encode(jsonrpc.result(call.asked.ident, {"tools": tools}))
            ending = Ending.SERVED
        except LinkError as error:
            ending = error.ending
        finally:
            call.tries.pop(0, None)
            if not self._is_abandoned():
                self.runtime.feed(core.ToolEnded(effect.request, effect.call, 0, ending))

    def _return_reply(self, effect: core.ReturnReply) -> None:
        bundle = self._bundles[effect.request, effect.bundle]
        bundle.task = self.runtime.spawn(self._return(effect, bundle), f"tool reply to {effect.request}")

    def _body(self, effect: core.ReturnReply, bundle: Bundle) -> bytes:
        """One message, or one array of them."""
        parts = []
        for ident, fault in effect.replies:
            call = self._calls[effect.request, ident]
            body = call.reply
            if fault is not None and call.asked.fault is None:
                fields = {"request": effect.request, "call": ident, "fault": fault.name.lower()}
                log.info("tool call %s of %s: %s", ident, effect.request, fault.value, extra=fields)
            if fault is not None and not body:
                body = jsonrpc.encode(fault_message(call.asked.ident, fault))
            parts.append(body)
        parts += [jsonrpc.encode(error) for error in bundle.errors]
        return b"[" + b",".join(parts) + b"]" if bundle.batch else parts[0]

    async def _return(self, effect: core.ReturnReply, bundle: Bundle) -> None:
        ending = Ending.GATEWAY_FAULT
        try:
            # What is on its way about progress goes first: after the reply it would be about nothing.
            calls = [self._calls.get((effect.request, ident)) for ident, _ in effect.replies]
            telling = [call.telling for call in calls if call is not None and call.telling is not None]
            if telling:
                await asyncio.wait(telling, timeout=PROGRESS_WAIT)
            body, wait = self._body(effect, bundle), effect.time_left / 1e6
            ending = await self._post(effect.address, effect.request, body, wait)
        finally:
            bundle.task = None
            if not self._is_abandoned():
                self.runtime.feed(core.ReplyEnded(effect.request, effect.bundle, ending))

    async def _post(
        self, address: str, request: str, body: bytes, wait: float = PROGRESS_WAIT,
        use: DescriptorUse = DescriptorUse.TOOL_REPLY,
    ) -> Ending:  # fmt: skip
        """To the engine, which has `wait` s to take it; how that ended."""
        try:
            reply = await self.runtime.pool.call(
                address, "POST", f"/v1/toolcalls/{request}", [JSON_TYPE], body, wait, fresh=True, use=use,
            )  # fmt: skip
        except LinkError as error:
            return error.ending
        if reply.headers.get(b"x-unprocessed") == b"1":
            return Ending.TURNED_AWAY
        return Ending.SERVED if reply.status in (200, 202, 204) else Ending.STRANGE_STATUS

    def _return_progress(self, effect: core.ReturnProgress) -> None:
        call = self._calls[effect.request, effect.call]
        call.telling = self.runtime.spawn(self._tell_progress(effect, call), f"progress to {effect.request}")

    async def _tell_progress(self, effect: core.ReturnProgress, call: Call) -> None:
        body = jsonrpc.encode(jsonrpc.notification("notifications/progress", call.note))
        ending = Ending.NOT_SENT
        try:
            for _ in range(PROGRESS_TRIES):  # a busy machine brings no connection up in time, once
                ending = await self._post(effect.address, effect.request, body, use=DescriptorUse.ENGINE)
                if ending not in NEVER_RAN:
                    break
            if ending is not Ending.SERVED:
                self.runtime.count("tool_progress_lost")
        finally:
            call.telling = None
            self.runtime.feed(core.ProgressEnded(effect.request, effect.call))

    # --- the end of a call ------------------------------------------------------------------------------

    def _forget_call(self, effect: core.ForgetCall) -> None:
        self._drop((effect.request, effect.call))

    def _drop(self, key: tuple[str, str]) -> None:
        call = self._calls.pop(key, None)
        if call is not None:
            self._held -= call.size
            for task in call.tries.values():
                task.cancel()

    def _forget_bundle(self, effect: core.ForgetBundle) -> None:
        bundle = self._bundles.pop((effect.request, effect.bundle), None)
        if bundle is not None and bundle.task is not None and not bundle.task.done():
            bundle.task.cancel()
