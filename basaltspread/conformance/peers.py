"""Stand-ins for what a sidecar meets: engines, tool servers and Eureka, written from their specifications.

It owns raw sockets, so that a case can send any byte at any time. It must never be kinder than a real peer:
nothing is repeated, corrected or waited for here that a case did not ask for.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

DONE = b"data: [DONE]\n\n"

PATIENCE = 20.0  # s until a case that waits for something fails


class Asked:
    """One request that a peer got, and the means to answer it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader, first: bool,
    ) -> None:  # fmt: skip
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.first = first  # on its connection
        self._writer, self._reader = writer, reader

    @property
    def message(self) -> Any:
        return json.loads(self.body)

    def raw(self, data: bytes) -> None:
        self._writer.write(data)

    async def flush(self) -> None:
        """So that the next piece leaves as a piece of its own."""
        with contextlib.suppress(ConnectionError):
            await self._writer.drain()
        await asyncio.sleep(0)

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        fields = {"Content-Length": str(len(body)), **{k.replace("_", "-"): v for k, v in headers.items()}}
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        self.raw(f"HTTP/1.1 {status} X\r\n{head}\r\n".encode() + body)

    def json(self, value: Any, status: int = 200, **headers: str) -> None:
        self.reply(status, json.dumps(value).encode(), Content_Type="application/json", **headers)

    def begin(self, **headers: str) -> None:
        more = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in headers.items())
        self.raw(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + more.encode() + b"\r\n"
        )  # fmt: skip

    def chunk(self, data: bytes) -> None:
        self.raw(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def event(self, message: Any) -> None:
        self.chunk(event(message))

    def end(self) -> None:
        self.raw(b"0\r\n\r\n")

    def finish(self) -> None:
        """The end of a whole answer, as an engine or a gateway gives it."""
        self.chunk(DONE)
        self.end()

    def close(self) -> None:
        self._writer.close()

    def reset(self) -> None:
        self._writer.transport.abort()

    async def closed(self) -> None:
        """Until the other side has closed this connection."""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE):
                await self._reader.read()


Handler = Callable[[Asked], Awaitable[None]]


def event(message: Any, end: bytes = b"\n\n") -> bytes:
    return b"data: " + json.dumps(message).encode() + end


class Peer:
    """An HTTP/1.1 server that shows each request to the handler of its path's first two parts."""

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}
        self.seen: list[Asked] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Condition()

    async def start(self) -> Peer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20, backlog=512)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        first = True
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                line, *lines = head.decode("latin-1").rstrip().split("\r\n")
                method, target, _ = line.split(" ")
                headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                asked = Asked(method, target, headers, body, writer, reader, first)
                first = False
                self.seen.append(asked)
                async with self._changed:
                    self._changed.notify_all()
                await self._handler(target)(asked)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    def _handler(self, target: str) -> Handler:
        parts = target.split("?")[0].split("/")
        for size in range(len(parts), 0, -1):
            found = self.handlers.get("/".join(parts[:size]))
            if found is not None:
                return found
        return _not_found

    def at(self, target: str, method: str = "") -> list[Asked]:
        return [a for a in self.seen if a.target.startswith(target) and method in ("", a.method)]

    async def until(self, holds: Callable[[], bool]) -> None:
        """Asked again with each request that comes."""
        async with asyncio.timeout(PATIENCE), self._changed:
            await self._changed.wait_for(holds)

    async def stop(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()


async def _not_found(asked: Asked) -> None:
    asked.reply(404)


class Eureka:
    """A registry of the engines, and of who registers; its hash code is right, and each call is answered."""

    def __init__(self, peer: Peer) -> None:
        self.instances: list[dict[str, Any]] = []
        self.own: set[str] = set()
        peer.handlers["/eureka"] = self._handle

    def add(self, name: str, address: str, kind: str) -> None:
        host, _, port = address.rpartition(":")
        self.instances.append({
            "instanceId": name, "ipAddr": host, "port": {"$": int(port), "@enabled": "true"}, "status": "UP",
            "leaseInfo": {"serviceUpTimestamp": 0}, "metadata": {"machineType": kind, "zone": "local"},
        })  # fmt: skip

    async def _handle(self, asked: Asked) -> None:
        path = asked.target.split("?")[0]
        if asked.method == "GET":
            listed = [] if path.endswith("/delta") else self.instances
            found = [{"name": "MODEL-ENGINES", "instance": listed}] if listed else []
            code = f"UP_{len(self.instances)}_"
            asked.json({"applications": {"apps__hashcode": code, "application": found}})
        elif asked.method == "PUT":
            asked.reply(200 if path in self.own else 404)
        elif asked.method == "POST":
            self.own.add(f"{path}/{asked.message['instance']['instanceId']}".replace(":", "%3A"))
            asked.reply(204)
        else:
            asked.reply(200)
