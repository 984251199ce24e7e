"""A stand-in for discovery, with an address for each gateway: what it wrote there, that gateway was told.

It must never know what a gateway thinks.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from enum import Enum
from typing import Any, Protocol
from urllib.parse import parse_qs, urlsplit

from soak.engines import Role
from soak.observations import Observations, Told

CROWDED_WAIT = 0.5  # s that a call waits before it is turned away


class Listed(Protocol):
    """What discovery lists: an engine of this process, or of another."""

    name: str
    address: str
    zone: str
    role: Role
    started_ms: int
    lifecycle: str


class DiscoveryMood(Enum):
    WELL = "well"
    DOWN = "down"
    SILENT = "silent"
    CROWDED = "crowded"


class Discovery:
    """The list, its versions, and the calls of all gateways."""

    def __init__(self, seen: Observations) -> None:
        self._seen = seen
        self.mood = DiscoveryMood.WELL
        self.version = 1
        self._entries: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._news = asyncio.Condition()
        self._writers: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []

    async def address_for(self, gateway: int) -> str:
        """One more address at which this gateway may ask."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(gateway, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def whole(self) -> dict[str, Any]:
        """The list as it is now."""
        return {"generation": self.version, "reset": True, "instances": list(self._entries.values())}

    async def tell(self, engine: Listed) -> None:
        """An engine is listed, or its entry has changed."""
        entry = {
            "instanceId": engine.name, "hostPort": engine.address, "zone": engine.zone, "cell": 0,
            "machineType": engine.role.value, "lifecycle": engine.lifecycle, "weight": 1.0,
            "startedAtMs": engine.started_ms,
        }  # fmt: skip
        self.version += 1
        if engine.lifecycle == "removed":
            self._entries.pop(engine.name, None)
        else:
            self._entries[engine.name] = entry
        self._changes.append((self.version, entry))
        self._seen.engine_changes.append(
            Told(-1, engine.name, engine.lifecycle, engine.started_ms, time.monotonic())
        )
        async with self._news:
            self._news.notify_all()

    async def set_mood(self, mood: DiscoveryMood) -> None:
        self.mood = mood
        if mood is DiscoveryMood.DOWN:
            for writer in list(self._writers):
                writer.transport.abort()
        async with self._news:
            self._news.notify_all()

    async def _serve(self, gateway: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while self.mood is not DiscoveryMood.DOWN:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                query = parse_qs(urlsplit(head.split(" ")[1]).query)
                await self._answer(gateway, query, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, gateway: int, query: dict[str, list[str]], writer: asyncio.StreamWriter) -> None:
        self._raise_if_down()
        while self.mood is DiscoveryMood.SILENT:
            await asyncio.sleep(0.05)
        if self.mood is DiscoveryMood.CROWDED:
            await asyncio.sleep(CROWDED_WAIT)
            self._write(writer, 503, {})
            return
        since = int(query["from"][0]) if "from" in query else None
        if since is not None and since >= self.version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("hold_ms", ["0"])[0]) / 1000), self._news:
                    await self._news.wait_for(lambda: self.version > since)
        self._raise_if_down()
        if self.mood is not DiscoveryMood.WELL:
            await self._answer(gateway, query, writer)
            return
        if since is None:
            answer = self.whole()
        else:
            changed = [entry for version, entry in self._changes if version > since]
            answer = {"generation": self.version, "reset": False, "instances": changed}
        self._write(writer, 200, answer)
        now = time.monotonic()
        for entry in answer["instances"]:
            name, lifecycle, started = entry["instanceId"], entry["lifecycle"], entry["startedAtMs"]
            self._seen.told.append(Told(gateway, name, lifecycle, started, now))

    def _raise_if_down(self) -> None:
        if self.mood is DiscoveryMood.DOWN:
            raise ConnectionResetError

    @staticmethod
    def _write(writer: asyncio.StreamWriter, status: int, answer: dict[str, Any]) -> None:
        body = json.dumps(answer).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
