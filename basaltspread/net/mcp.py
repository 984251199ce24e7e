"""What the Model Context Protocol asks of a client of tool servers beyond JSON-RPC over POST: sessions, and
the merged list of tools.

It owns one session for each server that wants one, and the list of tools with its age. It must never carry a
tool call itself, and it must never hold one up for a list: only who asks for the list waits for it.

Source: the protocol's published revision 2025-06-18 (lifecycle, streamable HTTP, tools, utilities).
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import h11

from basaltspread import __version__
from basaltspread.control.descriptor_budget import DescriptorUse
from basaltspread.control.routes import MCP, RouteTable, Server
from basaltspread.endings import Ending
from basaltspread.net import jsonrpc, sse
from basaltspread.net.links import Headers, Link, LinkError
from basaltspread.net.runtime import Runtime

log = logging.getLogger("basaltspread")
VERSIONS = ("2025-06-18", "2025-03-26", "2024-11-05")  # the newest first
JSON_TYPE = (b"Content-Type", b"application/json")
ACCEPT = (b"Accept", b"application/json, text/event-stream")
SESSION_WAIT = 2.0  # s for a session to come up
PING_WAIT = 1.0
LIST_WAIT = 3.0  # s for one page of a server's list
MOST_PAGES = 32
MOST_TOOLS = 2048  # in the merged list
STALE = 10.0  # times its age limit, for which an old list still serves where a server is silent
SESSION_ID_LIMIT = 256
REPLY_LIMIT = 1024 * 1024  # bytes of one answer, its notifications included
NAME = "basaltspread"


async def texts(link: Link, head: h11.Response, limit: int = jsonrpc.SIZE_LIMIT) -> AsyncIterator[str]:
    """The texts in an answer that may be messages, as they come: its body of at most `limit` bytes, or the
    data of its events. Raises LinkError."""
    kind = dict(head.headers).get(b"content-type", b"")
    if not kind.startswith(b"text/event-stream"):
        body = await link.rest(limit)
        if body.strip():
            yield body.decode("utf-8", "replace")
        return
    events, size = sse.Events(limit), 0
    while True:
        event = await link.event()
        if not isinstance(event, h11.Data):
            return
        size += len(event.data)
        if size > REPLY_LIMIT:
            raise LinkError(Ending.MALFORMED)
        try:
            whole = events.feed(bytes(event.data))
        except sse.TooLong as error:
            raise LinkError(Ending.MALFORMED) from error
        for raw in sse.each(whole):
            data = sse.data_of(raw)
            if data:
                yield data


def messages(text: str, limit: int = jsonrpc.SIZE_LIMIT) -> tuple[jsonrpc.Message, ...]:
    """The messages of one text of at most so many characters; none if it is no JSON-RPC."""
    try:
        value = jsonrpc.load(text, limit)
    except ValueError:
        return ()
    return jsonrpc.read(value).messages if jsonrpc.is_message(value) else ()


@dataclass(slots=True)
class Session:
    ident: str  # empty where the server wants none
    version: str

    def headers(self) -> Headers:
        own: Headers = [(b"MCP-Protocol-Version", self.version.encode())]
        return [*own, (b"Mcp-Session-Id", self.ident.encode())] if self.ident else own


class Sessions:
    """Brings sessions up when they are first needed, one try at a time for a server."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._open: dict[Server, Session] = {}
        self._coming: dict[Server, asyncio.Task[Session]] = {}
        self._numbers = itertools.count(1)

    async def headers(self, server: Server) -> Headers:
        """What each request to this server carries. Raises LinkError with an ending that says that nothing of
        the request itself has been sent."""
        if server.protocol != MCP:
            return []
        session = self._open.get(server)
        if session is None:
            session = await self._come(server)
        return session.headers()

    async def _come(self, server: Server) -> Session:
        task = self._coming.get(server)
        if task is None:
            task = self._coming[server] = asyncio.get_running_loop().create_task(self._begin(server))
            task.add_done_callback(lambda _: self._coming.pop(server, None))
        try:
            return await asyncio.shield(task)
        except LinkError as error:
            self._runtime.count("tool_sessions_failed")
            late = error.ending in (Ending.TIMED_OUT, Ending.CONNECT_TIMED_OUT)
            raise LinkError(Ending.CONNECT_TIMED_OUT if late else Ending.REFUSED) from error

    async def _begin(self, server: Server) -> Session:
        ident = f"initialize-{next(self._numbers)}"
        params = {
            "protocolVersion": VERSIONS[0], "capabilities": {},
            "clientInfo": {"name": NAME, "version": __version__},
        }  # fmt: skip
        found, fields = await ask(self._runtime, server, [], jsonrpc.request(ident, "initialize", params))
        about = found.get("result")
        version = about.get("protocolVersion") if isinstance(about, dict) else None
        if version not in VERSIONS:
            log.warning("tool server %s: no common protocol version (%r)", server.name, version)
            raise LinkError(Ending.MALFORMED)
        name = fields.get(b"mcp-session-id", b"")
        if len(name) > SESSION_ID_LIMIT or not all(0x21 <= c <= 0x7E for c in name):
            raise LinkError(Ending.MALFORMED)
        session = Session(name.decode(), str(version))
        ready = jsonrpc.encode({"jsonrpc": "2.0", "method": "notifications/initialized"})
        reply = await self._runtime.pool.call(
            server.address, "POST", server.path, [JSON_TYPE, ACCEPT, *session.headers()], ready,
            wait=SESSION_WAIT,
        )  # fmt: skip
        if reply.status >= 300:
            raise LinkError(Ending.STRANGE_STATUS)
        self._open[server] = session
        self._runtime.count("tool_sessions")
        return session

    def lost(self, server: Server) -> None:
        """The server does not know the session any more."""
        if self._open.pop(server, None) is not None:
            self._runtime.count("tool_sessions_lost")

    def known(self, server: Server) -> Headers | None:
        """What a request carries if the session is up already."""
        session = self._open.get(server)
        return session.headers() if session is not None else None

    async def close(self) -> None:
        """Gives all sessions back."""
        for server, session in list(self._open.items()):
            if session.ident:
                try:
                    await self._runtime.pool.call(
                        server.address,
                        "DELETE",
                        server.path,
                        session.headers(),
                        wait=SESSION_WAIT,
                        use=DescriptorUse.RELEASE,
                    )
                except LinkError as error:
                    log.info("tool server %s: its session runs out by itself: %s", server.name, error)
        self._open.clear()


async def ask(
    runtime: Runtime, server: Server, headers: Headers, message: dict[str, Any], wait: float = SESSION_WAIT,
    limit: int = jsonrpc.SIZE_LIMIT,
) -> tuple[dict[str, Any], dict[bytes, bytes]]:  # fmt: skip
    """One request of the gateway's own: the response to it, of at most `limit` bytes, and the answer's
    headers. Raises LinkError."""
    key = jsonrpc.key_of(message["id"])
    async with runtime.pool.using(server.address, wait) as link:
        await link.send("POST", server.path, [JSON_TYPE, ACCEPT, *headers], jsonrpc.encode(message))
        head = await link.event(chunk=limit)
        if not isinstance(head, h11.Response):
            raise LinkError(Ending.MALFORMED)
        async for text in texts(link, head, limit):
            for found in messages(text, limit):
                if isinstance(found, jsonrpc.Response) and found.key == key and found.fault is None:
                    return found.message, dict(head.headers)
        raise LinkError(Ending.SERVER_ERROR if head.status_code >= 500 else Ending.MALFORMED)


@dataclass(slots=True)
class _Listed:
    tools: list[dict[str, Any]] = field(default_factory=list)
    at: float = 0.0


class Listing:
    """The tools of all servers as one list: each under the servers that its route names, the first of them by
    name where several have it."""

    def __init__(self, runtime: Runtime, sessions: Sessions, table: RouteTable) -> None:
        self._runtime, self._sessions, self._table = runtime, sessions, table
        self._listed: dict[Server, _Listed] = {}
        self._coming: dict[Server, asyncio.Task[list[dict[str, Any]]]] = {}
        self._numbers = itertools.count(1)

    def reconfigure(self, table: RouteTable) -> None:
        self._table = table
        servers = set(table.servers.values())
        self._listed = {server: listed for server, listed in self._listed.items() if server in servers}

    def changed(self, server: Server) -> None:
        """The server said that its list is another now."""
        self._listed.pop(server, None)

    async def merged(self) -> list[dict[str, Any]]:
        """Raises LinkError if no server says what tools it has, nor has said so lately."""
        servers = [self._table.servers[name] for name in sorted(self._table.servers)]
        found = await asyncio.gather(*(self._of(server) for server in servers), return_exceptions=True)
        tools: dict[str, dict[str, Any]] = {}
        failed = 0
        for server, listed in zip(servers, found, strict=True):
            if isinstance(listed, BaseException):
                if not isinstance(listed, LinkError):
                    raise listed
                failed += 1
                continue
            for tool in listed:
                if server.name in self._table.find(tool["name"]) and len(tools) < MOST_TOOLS:
                    tools.setdefault(tool["name"], tool)
        if failed:
            self._runtime.count("tool_lists_partial")
        if failed == len(servers):
            raise LinkError(Ending.SERVER_ERROR)
        return list(tools.values())

    async def _of(self, server: Server) -> list[dict[str, Any]]:
        held, ttl = self._listed.get(server), self._table.policy.list_ttl
        now = time.monotonic()
        if held is not None and now - held.at < ttl:
            self._runtime.count("tool_lists_cached")
            return held.tools
        task = self._coming.get(server)
        if task is None:
            task = self._coming[server] = asyncio.get_running_loop().create_task(self._fetch(server))
            task.add_done_callback(lambda _: self._coming.pop(server, None))
        try:
            return await asyncio.shield(task)
        except LinkError as error:
            log.warning("tool server %s: its list of tools: %s", server.name, error)
            if held is not None and now - held.at < ttl * STALE:
                self._runtime.count("tool_lists_stale")
                return held.tools
            raise

    async def _fetch(self, server: Server) -> list[dict[str, Any]]:
        tools: list[dict[str, Any]] = []
        cursor: str | None = None
        for _ in range(MOST_PAGES):
            headers = await self._sessions.headers(server)
            params = {"cursor": cursor} if cursor is not None else {}
            message = jsonrpc.request(f"list-{next(self._numbers)}", "tools/list", params)
            found, _ = await ask(self._runtime, server, headers, message, LIST_WAIT, REPLY_LIMIT)
            page = found.get("result")
            listed = page.get("tools") if isinstance(page, dict) else None
            if not isinstance(listed, list):
                raise LinkError(Ending.MALFORMED)
            tools += [tool for tool in listed if isinstance(tool, dict) and isinstance(tool.get("name"), str)]
            cursor = page.get("nextCursor") if isinstance(page, dict) else None
            if not isinstance(cursor, str) or len(tools) > MOST_TOOLS:
                break
        self._runtime.count("tool_lists_fetched")
        self._listed[server] = _Listed(tools, time.monotonic())
        return tools
