"""Stand-ins for the second front: Eureka's registry and a tool server, and the operator's file."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import unquote

from common import world

ENGINES = "MODEL-ENGINES"


def instance(engine: world.Engine, status: str, dirty: int) -> dict[str, Any]:
    """An engine as Eureka lists it."""
    host, _, port = engine.server.address.rpartition(":")
    return {
        "instanceId": engine.name, "hostName": host, "app": ENGINES, "ipAddr": host, "status": status,
        "port": {"$": int(port), "@enabled": "true"}, "leaseInfo": {"serviceUpTimestamp": 1},
        "lastUpdatedTimestamp": str(dirty), "lastDirtyTimestamp": str(dirty),
        "metadata": {"machineType": engine.kind, "zone": "local", "cell": str(engine.cell)},
    }  # fmt: skip


class Registry:
    """What of Eureka's REST operations a client needs: leases, the whole list, and changes with the hash code
    of the whole. A case says what it does out of the ordinary."""

    def __init__(self, record: world.Record) -> None:
        self.record = record
        self.listed: dict[str, dict[str, Any]] = {}
        self.changes: list[dict[str, Any]] = []
        self.own: dict[str, Any] = {}
        self.before: Callable[[str], Awaitable[None]] | None = None  # a call is about to be answered
        self.told: list[tuple[float, str, dict[str, str]]] = []  # what was written: time, call, statuses
        self.server = world.Server(self._handle)

    def put(self, engine: world.Engine, status: str, action: str = "ADDED", in_changes: bool = True) -> None:
        found = self.listed[engine.name] = instance(engine, status, int(time.time() * 1000))
        self.record.say(f"registry: {engine.name} is {status}")
        if in_changes:
            self.changes.append({**found, "actionType": action})

    def whole(self) -> list[dict[str, Any]]:
        return list(self.listed.values())

    def _listing(self, instances: list[dict[str, Any]], of: list[dict[str, Any]]) -> bytes:
        counts = Counter(i["status"] for i in of)
        code = "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))
        apps = [{"name": ENGINES, "instance": instances}] if instances else []
        told = {"versions__delta": "1", "apps__hashcode": code, "application": apps}
        return json.dumps({"applications": told}).encode()

    async def _handle(self, asked: world.Asked) -> None:
        path = unquote(asked.target.partition("?")[0])
        if self.before is not None:
            await self.before(path)
        if path == "/eureka/apps/delta":
            await self._tell(asked, "delta", self.changes, self.whole())
        elif path == "/eureka/apps":
            listed = self.whole()
            await self._tell(asked, "whole list", listed, listed)
        elif asked.method == "POST":
            found = json.loads(asked.body)["instance"]
            self.own[f"{path}/{found['instanceId']}"] = found
            asked.reply(204)
        elif asked.method == "PUT":
            asked.reply(200 if path in self.own else 404)
        else:
            self.own.pop(path, None)
            asked.reply(200)

    async def _tell(
        self, asked: world.Asked, call: str, instances: list[dict[str, Any]], of: list[dict[str, Any]]
    ) -> None:
        statuses = {i["instanceId"]: i["status"] for i in instances}
        asked.reply(200, self._listing(instances, of), Content_Type="application/json")
        await asked.drain()
        if not asked.gone():
            self.told.append((time.monotonic(), call, statuses))
            self.record.say(f"registry tells in a {call}: {statuses}")


class ToolServer:
    """A JSON-RPC tool server. It counts what it is asked for, and answers after `takes` seconds."""

    def __init__(self, record: world.Record, takes: float) -> None:
        self.record, self.takes = record, takes
        self.calls: list[tuple[float, str, str]] = []  # time, tool, idempotency key
        self.called = asyncio.Event()
        self.server = world.Server(self._handle)

    async def _handle(self, asked: world.Asked) -> None:
        message = json.loads(asked.body)
        tool, key = message.get("params", {}).get("name", ""), asked.headers.get("idempotency-key", "")
        self.calls.append((time.monotonic(), tool, key))
        self.record.say(f"tool server: {message['method']} {tool} under {key}")
        self.called.set()
        await asyncio.sleep(self.takes)
        reply = {
            "jsonrpc": "2.0",
            "id": message["id"],
            "result": {"content": [{"type": "text", "text": "ok"}]},
        }
        asked.reply(200, json.dumps(reply).encode(), Content_Type="application/json")


class ToolWriter(world.Engine):
    """A writer that calls a tool before the first word of each order's answer, and waits for the reply."""

    def __init__(self, fleet: world.Fleet, name: str, runs: dict[str, list[str]]) -> None:
        super().__init__(fleet, name, "decode", "local")
        self.runs = runs  # by order: the ids of the requests with which it was run
        self.replies: dict[str, asyncio.Future[dict[str, Any]]] = {}

    async def handle(self, asked: world.Asked) -> None:
        if asked.method == "POST" and asked.target.startswith("/v1/toolcalls/"):
            waiting = self.replies.get(asked.rid)
            asked.reply(204 if waiting is not None else 404)
            if waiting is not None and not waiting.done():
                self.fleet.record.say(f"engine {self.name} gets the reply for {asked.rid}: {asked.body!r}")
                waiting.set_result(json.loads(asked.body))
        else:
            await super().handle(asked)

    async def stream(self, asked: world.Asked) -> None:
        said = json.loads(asked.body)["messages"][0]["content"]
        if not said.startswith("Place "):
            await super().stream(asked)
            return
        order = said.removeprefix("Place ").partition(".")[0]
        repeat = asked.headers.get("x-repeat", "none")
        self.runs.setdefault(order, []).append(asked.rid)
        self.fleet.record.say(f"engine {self.name} runs {order} as {asked.rid}, X-Repeat: {repeat}")
        call = {"jsonrpc": "2.0", "id": 1, "method": "tools/call",
                "params": {"name": "place_order", "arguments": {"order": order}}}  # fmt: skip
        self.replies[asked.rid] = asyncio.get_running_loop().create_future()
        asked.begin()
        asked.chunk(b"data: " + json.dumps(call).encode() + b"\n\n")
        async with asyncio.timeout(20):
            reply = await self.replies[asked.rid]
        done = "placed" if "result" in reply else f"not placed ({reply['error']['code']})"
        asked.chunk(world.event(f"{order} {done}"))
        asked.chunk(world.event("", finish_reason="stop"))
        asked.chunk(world.usage(100, 5))
        asked.chunk(world.DONE)
        asked.end()
        await asked.drain()


def operators_file(folder: Path, name: str, registry: str, tools: str, **numbers: float) -> Path:
    """deploy/sidecar.toml with the addresses of this play, and other numbers where a case says so."""
    text = (world.ROOT / "deploy/sidecar.toml").read_text("utf-8")
    for key, value in (
        ("application", name), ("listen", "127.0.0.1:0"), ("management", "127.0.0.1:0"),
    ):  # fmt: skip
        text = re.sub(rf'(?m)^{key} = "[^"]*"', f'{key} = "{value}"', text, count=1)
    text = text.replace('address = "127.0.0.1:8761"', f'address = "{registry}"')
    text = text.replace('address = "127.0.0.1:9000"', f'address = "{tools}"')
    for key, number in numbers.items():
        text = re.sub(rf"(?m)^{key} = \S+", f"{key} = {number:g}", text, count=1)
    file = folder / f"{name}.toml"
    file.write_text(text, "utf-8")
    return file
