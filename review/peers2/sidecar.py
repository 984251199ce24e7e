"""Stand-ins for the second front: Eureka, engines that call tools in the middle of a stream, a tool server,
and the operator's file, which the project's own tool writes."""

from __future__ import annotations

import asyncio
import json
import re
import sys
import time
from pathlib import Path
from typing import Any
from urllib.parse import unquote

import lib


class Eureka:
    """A registry as Netflix's REST operations word it: leases, statuses, the whole list and its changes.

    `forget` is what a restart without peers does: all is forgotten until each instance renews its lease, is
    told 404 and registers again. Who renews is known here as `engines`; the gateway renews by itself."""

    def __init__(self, record: lib.Record) -> None:
        self.record = record
        self.server = lib.Server(self._handle)
        self.apps: dict[str, dict[str, dict[str, Any]]] = {}
        self.changed: dict[str, dict[str, Any]] = {}  # engines of which the changes tell
        self.told: dict[str, float] = {}  # when it was first written that an engine is out of service
        self._copy: dict[str, dict[str, dict[str, Any]]] = {}  # what a replica has that lags
        self._lags = False
        self.calls: list[tuple[float, str, str]] = []

    def add(self, name: str, address: str, kind: str) -> None:
        host, _, port = address.rpartition(":")
        self.apps.setdefault("MODEL-ENGINES", {})[name] = {
            "instanceId": name, "app": "MODEL-ENGINES", "hostName": host, "ipAddr": host, "status": "UP",
            "port": {"$": int(port), "@enabled": "true"}, "actionType": "ADDED",
            "leaseInfo": {"renewalIntervalInSecs": 3, "durationInSecs": 9, "serviceUpTimestamp": 0},
            "lastUpdatedTimestamp": str(now_ms()), "lastDirtyTimestamp": str(now_ms()),
            "metadata": {"machineType": kind, "zone": "local", "cell": "0"},
        }  # fmt: skip

    def forget(self) -> None:
        self.apps.clear()

    def status(self, name: str, status: str) -> None:
        """An operator, or the engine itself, sets its status."""
        was = self.apps["MODEL-ENGINES"][name]
        at = str(now_ms())
        self.apps["MODEL-ENGINES"][name] = self.changed[name] = {
            **was, "status": status, "actionType": "MODIFIED", "lastUpdatedTimestamp": at,
            "lastDirtyTimestamp": at,
        }  # fmt: skip
        self.record.say(f"registry: {name} is {status}")

    def copy(self) -> None:
        """A replica has all up to now, and gets no more for a while."""
        self._copy = {app: dict(instances) for app, instances in self.apps.items()}

    def lags(self, on: bool) -> None:
        """Whether that replica answers the reading calls."""
        self._lags = on
        self.record.say(f"registry: {'a replica that lags answers' if on else 'all replicas have all'}")

    def listed(self, app: str) -> list[str]:
        """The instances of an application that are UP."""
        return [name for name, one in self.apps.get(app, {}).items() if one["status"] == "UP"]

    def _hash(self, apps: dict[str, dict[str, dict[str, Any]]]) -> str:
        counts: dict[str, int] = {}
        for app in apps.values():
            for instance in app.values():
                counts[instance["status"]] = counts.get(instance["status"], 0) + 1
        return "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))

    def _answer(self, changes: bool) -> dict[str, Any]:
        """The whole list, or the changes of the last three minutes; its hash code is that of the whole."""
        apps = self._copy if self._lags else self.apps
        shown = {"MODEL-ENGINES": self.changed if not self._lags else {}} if changes else apps
        for name, one in shown.get("MODEL-ENGINES", {}).items():
            if one["status"] == "OUT_OF_SERVICE":
                self.told.setdefault(name, self.record.now())
        found = [{"name": n, "instance": list(a.values())} for n, a in shown.items() if a]
        about = {"versions__delta": "1", "apps__hashcode": self._hash(apps)}
        return {"applications": {**about, "application": found}}

    async def _handle(self, call: lib.Call) -> None:
        parts = [unquote(part) for part in call.path.strip("/").split("/")]  # eureka, apps, APP, ID
        app, ident = parts[2] if len(parts) > 2 else "", parts[3] if len(parts) > 3 else ""
        if call.method != "GET":
            self.calls.append((self.record.now(), call.method, "/".join(parts[2:])))
            self.record.say(f"registry: {call.method} {'/'.join(parts[2:])}")
        if call.method == "GET" and app == "delta":
            call.json(self._answer(True))
        elif call.method == "GET" and not app:
            call.json(self._answer(False))
        elif call.method == "POST":
            instance = json.loads(call.body)["instance"]
            self.apps.setdefault(app, {})[instance["instanceId"]] = {**instance, "actionType": "ADDED"}
            call.reply(204)
        elif ident not in self.apps.get(app, {}):
            call.reply(404)
        elif call.method == "PUT":
            call.reply(200)
        elif call.method == "DELETE":
            del self.apps[app][ident]
            call.reply(200)
        else:
            call.json({"application": {"name": app, "instance": list(self.apps[app].values())}})


class ToolEngine(lib.Writer):
    """Streams an answer; in its middle it may call tools, and goes on once each has had its reply."""

    def __init__(self, record: lib.Record, name: str) -> None:
        super().__init__(record, name)
        self.before_s = 0.2  # from the first token to the call
        self.calls: dict[str, list[dict[str, Any]]] = {}  # by request: what it calls
        self.replies: dict[str, list[Any]] = {}
        self._came: dict[str, asyncio.Event] = {}

    async def handle(self, call: lib.Call) -> None:
        if not call.path.startswith("/v1/toolcalls/"):
            await super().handle(call)
            return
        rid = call.path.rpartition("/")[2]
        message = json.loads(call.body)
        self.replies.setdefault(rid, []).append(message)
        self.record.say(f"{self.name}: a reply for {rid}: {json.dumps(message)[:160]}")
        call.reply(202)
        self._came.setdefault(rid, asyncio.Event()).set()

    async def stream(self, call: lib.Call) -> None:
        call.begin()
        call.token(f"{call.rid}.0 ")
        await call.flush()
        await asyncio.sleep(self.before_s)
        for message in self.calls.get(call.rid, []):
            self._came[call.rid] = asyncio.Event()
            self.record.say(f"{self.name}: {call.rid} calls {json.dumps(message)[:160]}")
            call.chunk(b"data: " + json.dumps(message).encode() + b"\n\n")
            await call.flush()
            while not self._came[call.rid].is_set():
                if call.gone():
                    self.record.say(f"{self.name}: the stream of {call.rid} was ended by the gateway")
                    return
                await asyncio.sleep(0.01)
        for number in range(1, self.tokens):
            call.token(f"{call.rid}.{number} ")
            await call.flush()
            await asyncio.sleep(self.gap)
        call.finish()
        self.record.say(f"{self.name}: stream of {call.rid} is whole")


def now_ms() -> int:
    return time.time_ns() // 1_000_000


def call_of(ident: Any, tool: str, **arguments: Any) -> dict[str, Any]:
    params = {"name": tool, "arguments": arguments}
    return {"jsonrpc": "2.0", "id": ident, "method": "tools/call", "params": params}


class ToolServer:
    """Places orders and answers; an order of an idempotency key that it knows gets the first one's answer."""

    def __init__(self, record: lib.Record) -> None:
        self.record = record
        self.server = lib.Server(self._handle)
        self.takes_s = 0.05
        self.placed: list[tuple[str, Any]] = []  # idempotency key, arguments
        self._known: dict[str, Any] = {}

    async def _handle(self, call: lib.Call) -> None:
        message = json.loads(call.body)
        if message.get("method") != "tools/call":
            call.json({"jsonrpc": "2.0", "id": message.get("id"), "result": {}})
            return
        key = call.headers.get("idempotency-key", "")
        await asyncio.sleep(self.takes_s)
        if key not in self._known:
            self.placed.append((key, message["params"]["arguments"]))
            self._known[key] = {"order": len(self.placed), "of": message["params"]["arguments"]}
            self.record.say(f"tool server: {key} is placed: {json.dumps(message['params'])[:120]}")
        else:
            self.record.say(f"tool server: {key} is known, and answered as before")
        call.json({"jsonrpc": "2.0", "id": message["id"], "result": self._known[key]})


async def operators_file(scratch: Path, registry: str, tools: str, listen: str, management: str) -> Path:
    """As `basaltspread.config write` gives it."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "basaltspread.config", "write", "--application", "shop",
        "--listen", listen, "--management", management, "--registry", registry, "--tools", tools,
        "--tool", "place_order=unsafe", "--tool", "stock_lookup=safe",
        cwd=lib.ROOT, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    out, _ = await process.communicate()
    if process.returncode != 0:
        raise lib.CouldNotRun("the operator's file could not be written")
    file = scratch / "shop.toml"
    file.write_bytes(out)
    return file


def changed(file: Path, **values: str) -> None:
    """Other values for some keys."""
    text = file.read_text("utf-8")
    for key, value in values.items():
        text, count = re.subn(rf"(?m)^{key} = \S+", f"{key} = {value}", text)
        if not count:
            raise lib.CouldNotRun(f"no {key} in the operator's file")
    file.write_text(text, "utf-8")
