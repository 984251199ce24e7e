"""Stand-ins for the cases review/6 to review/10, written from the operators' pages: HTTP servers on loopback,
discovery, engines, clients, and the start of the real program with the command of the deploy file.

It must never be unkinder than the pages allow: what they don't name is answered as by a sound peer.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_WAIT = 30.0  # s; a gateway may take so long to be ready
SETTINGS: dict[str, Any] = {
    "azs": ["a"], "balancers": 1, "me": 0, "zone": 0, "registry_mode": "push", "round": 2000,
    "weights": "nominal", "over_share_worth": 0.2, "domain_type": "twostage", "worth_by": "work",
    "classes": [
        {"name": "ask", "effect": "safe", "key_scope": "all", "deadline": 6000000, "promise": 1200000,
         "points": 2.0, "late_value": 0.3, "streaming": True, "window": 5000000},
        {"name": "order", "effect": "unsafe", "key_scope": "all", "deadline": 8000000, "promise": 2000000,
         "points": 5.0, "late_value": 0.2, "streaming": True, "window": 5000000},
    ],
    "clients": {"marks_retry": True},
    "limits": {"cancel": True, "connect_timeout": 250000, "idle_close": 30000000, "max_attempts": 5,
               "max_retry_after": 1000000, "may_duplicate": True, "may_tell": False, "open_cap": 20000,
               "probes": False, "retry_after": True, "streams_per_conn": 100},
    "machine_types": ["prefill", "decode"],
    "orgs": [{"name": "acme", "quota_rps": 100.0, "share": 1.0}],
    "rules": {"answer_slack": 8000, "ask_within": 10000000, "fall": 1000000, "start_capacity": 0.26,
              "stop_sending_within": 250000, "tip_multiple": 2.5, "warm_within": 14000000},
    "specifics": {"aim_us_per_1000_prompt_tokens": [40000.0, 40000.0], "early_pairing": True,
                  "kind_memory_tokens": [200000, 200000], "release": 500000, "resume": False,
                  "role_by_kind": ["read", "write"], "token_aim": [60000.0, 70000.0],
                  "writers_read": False},
    "telemetry": {"fields": [], "how": "off"},
}  # fmt: skip
DONE = b"data: [DONE]\n\n"
DELTA = 'data: {"choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}\n\n'
STOP = b'data: {"choices":[{"index":0,"delta":{"content":""},"finish_reason":"stop"}]}\n\n'
USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":512,"completion_tokens":8,'
    b'"prompt_tokens_details":{"cached_tokens":0}}}\n\n'
)


class CouldNotRun(Exception):
    """The case itself failed: exit code 2."""


class Record:
    """What was sent, answered and run, in seconds since the script began."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.say(f"TROUBLE={int(TROUBLE)}")

    def now(self) -> float:
        return time.monotonic() - self.began

    def say(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


# --- servers --------------------------------------------------------------------------------------------


class Call:
    """One request that a stand-in got, and the means to answer it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes, conn: Conn) -> None:
        self.method, self.target, self.headers, self.body, self.conn = method, target, headers, body, conn
        self.path = target.partition("?")[0]
        self.rid = headers.get("x-correlation-id", self.path.rpartition("/")[2])

    def write(self, data: bytes) -> None:
        self.conn.writer.write(data)

    async def flush(self) -> None:
        with contextlib.suppress(ConnectionError):
            await self.conn.writer.drain()

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        fields = {"Content-Length": str(len(body)), **{k.replace("_", "-"): v for k, v in headers.items()}}
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        self.write(f"HTTP/1.1 {status} X\r\n{head}\r\n".encode() + body)

    def json(self, value: Any, status: int = 200) -> None:
        self.reply(status, json.dumps(value).encode(), Content_Type="application/json")

    def begin(self) -> None:
        self.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )

    def chunk(self, data: bytes) -> None:
        self.write(b"%x\r\n%s\r\n" % (len(data), data))

    def token(self, text: str) -> None:
        self.chunk((DELTA % json.dumps(text)).encode())

    def finish(self) -> None:
        for event in (STOP, USAGE, DONE):
            self.chunk(event)
        self.write(b"0\r\n\r\n")

    def gone(self) -> bool:
        """Whether the other side has closed this connection."""
        return self.conn.reader.at_eof() or self.conn.writer.transport.is_closing()


class Conn:
    """One connection to a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.over = False  # it came when as many were open as the server holds


Handler = Callable[[Call], Awaitable[None]]


class Server:
    """An HTTP/1.1 server that shows each request to one coroutine, one at a time on a connection."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.tasks: set[asyncio.Task[Any]] = set()
        self.open: set[Conn] = set()
        self.most: int | None = None  # connections that it holds; what comes on others is turned away
        self.turned_away = 0
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Server:
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512, limit=1 << 20)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        conn = Conn(reader, writer)
        conn.over = self.most is not None and len(self.open) >= self.most
        self.open.add(conn)
        try:
            while True:
                call = await read_call(conn)
                if conn.over:
                    self.turned_away += 1
                    call.reply(503, X_Unprocessed="1", Connection="close")
                    await writer.drain()
                    writer.close()
                    await writer.wait_closed()
                    return
                await self.handler(call)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.tasks.discard(task)
            self.open.discard(conn)
            writer.transport.abort()

    async def stop_accepting(self) -> None:
        """New connections are refused from now on; open ones stay."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        await self.stop_accepting()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)


async def read_call(conn: Conn) -> Call:
    head = (await conn.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *lines = head.rstrip().split("\r\n")
    method, target, _ = line.split(" ")
    headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines)}
    body = await conn.reader.readexactly(int(headers.get("content-length", 0)))
    return Call(method, target, headers, body, conn)


class Discovery:
    """The agent beside the gateway: it has each change at once and answers watches with it."""

    def __init__(self, record: Record, indent: int | None = None) -> None:
        self.record, self.indent = record, indent
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._news = asyncio.Condition()
        self.server = Server(self._handle)
        self.told: list[tuple[float, str, str]] = []  # when an entry was written to the gateway
        self.answered = 0
        self.first_sizes: list[int] = []

    async def start(self) -> Discovery:
        await self.server.start()
        return self

    @property
    def address(self) -> str:
        return self.server.address

    def entry(self, name: str, address: str, kind: str, lifecycle: str = "up") -> dict[str, Any]:
        return {
            "instanceId": name, "hostPort": address, "zone": "a", "machineType": kind, "cell": 0,
            "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
        }  # fmt: skip

    def add(self, name: str, address: str, kind: str) -> None:
        """Before the gateway starts."""
        self.entries[name] = self.entry(name, address, kind)

    async def change(self, name: str, lifecycle: str) -> None:
        await self.change_many([name], lifecycle)

    async def change_many(self, names: list[str], lifecycle: str) -> None:
        self.version += 1
        for name in names:
            entry = self.entries[name] = {**self.entries[name], "lifecycle": lifecycle}
            self._changes.append((self.version, entry))
        shown = ", ".join(names[:4]) + (f" and {len(names) - 4} more" if len(names) > 4 else "")
        self.record.say(f"discovery: {shown}: {lifecycle} at generation {self.version}")
        async with self._news:
            self._news.notify_all()

    def whole(self) -> dict[str, Any]:
        return {"generation": self.version, "reset": True, "instances": list(self.entries.values())}

    async def _handle(self, call: Call) -> None:
        query = dict(part.split("=") for part in call.target.partition("?")[2].split("&") if part)
        since = int(query["from"]) if "from" in query else None
        if since is not None and since >= self.version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("hold_ms", "0")) / 1000), self._news:
                    await self._news.wait_for(lambda: self.version > since)
        if since is None:
            answer = self.whole()
        else:
            changed = [entry for version, entry in self._changes if version > since]
            answer = {"generation": self.version, "reset": False, "instances": changed}
        body = json.dumps(answer, indent=self.indent).encode()
        call.reply(200, body, Content_Type="application/json")
        now = self.record.now()
        self.answered += 1
        if since is None:
            self.record.say(f"discovery: whole list, {len(body)} bytes, generation {self.version}")
        leaving = [entry for entry in answer["instances"] if entry["lifecycle"] != "up"]
        self.told += [(now, entry["instanceId"], entry["lifecycle"]) for entry in leaving]
        if leaving:
            self.record.say(f"discovery: wrote {len(leaving)} entries that are not up to the gateway")


class Reader:
    """A reader: it answers 202 once it has read the prompt."""

    def __init__(self, record: Record, name: str, read_s: float = 0.02) -> None:
        self.record, self.name, self.read_s = record, name, read_s
        self.server = Server(self.handle)
        self.reads: list[tuple[float, str]] = []

    async def handle(self, call: Call) -> None:
        if call.path.startswith("/state/"):
            self.record.say(f"{self.name}: {call.method} {call.path}")
            call.reply(204)
        elif call.path != "/v1/chat/completions":
            call.reply(404)
        else:
            self.reads.append((self.record.now(), call.rid))
            self.record.say(f"{self.name}: read {call.rid}")
            await asyncio.sleep(self.read_s)
            call.reply(202, b'{"cached_tokens":0}')


class Writer:
    """A writer: it keeps places and streams an answer, which names the request that it was made for."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.server = Server(self.handle)
        self.writes: list[tuple[float, str]] = []
        self.tokens, self.gap = 4, 0.02
        self.first_token_s = 0.02

    async def handle(self, call: Call) -> None:
        if call.path.startswith("/state/"):
            self.record.say(f"{self.name}: {call.method} {call.path}")
            call.reply(200 if call.method == "POST" else 204)
        elif call.path != "/v1/chat/completions":
            call.reply(404)
        else:
            self.writes.append((self.record.now(), call.rid))
            self.record.say(f"{self.name}: write {call.rid}")
            await asyncio.sleep(self.first_token_s)
            await self.stream(call)

    async def stream(self, call: Call) -> None:
        call.begin()
        for number in range(self.tokens):
            call.token(f"{call.rid}.{number} ")
            await call.flush()
            await asyncio.sleep(self.gap)
            if call.gone():
                self.record.say(f"{self.name}: nobody reads {call.rid} any more")
                return
        call.finish()
        self.record.say(f"{self.name}: stream of {call.rid} is whole")


# --- clients --------------------------------------------------------------------------------------------


class Answer:
    """What a client got: its status, body, and whether it came to its last chunk; status 0 for nothing."""

    def __init__(self) -> None:
        self.status, self.headers, self.body, self.whole = 0, dict[str, str](), b"", False
        self.at = 0.0  # when its last byte came

    def text(self) -> str:
        """The contents of its events, one after the other."""
        found = []
        for line in self.body.decode("utf-8", "replace").split("\n"):
            if line.startswith("data: {"):
                with contextlib.suppress(ValueError, KeyError, IndexError, TypeError):
                    found.append(json.loads(line[6:])["choices"][0]["delta"]["content"])
        return "".join(found)

    def __str__(self) -> str:
        return f"{self.status}, {len(self.body)} bytes, {'whole' if self.whole else 'not whole'}"


def request_bytes(rid: str, cls: str, left_ms: int, body: bytes = b"", **more: str) -> bytes:
    body = body or json.dumps({
        "model": "chat", "stream": True, "max_tokens": 64,
        "messages": [{"role": "user", "content": "Is 4711 in stock?"}],
    }).encode()  # fmt: skip
    fields = {
        "Host": "backend.local", "X-Correlation-Id": rid, "X-Service-Class": cls, "X-Account": "acme",
        "X-Session-Key": f"s{rid}", "X-Time-Left-Ms": str(left_ms),
        "X-Facts": f"prefix=p{rid},prompt_len=512,prefix_len=256,max_out=64",
        "Content-Type": "application/json", "Content-Length": str(len(body)),
        **{k.replace("_", "-"): v for k, v in more.items()},
    }  # fmt: skip
    head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return f"POST /v1/chat/completions HTTP/1.1\r\n{head}\r\n".encode() + body


class Client:
    """One client connection, one request at a time."""

    def __init__(self, address: str, record: Record) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port, self.record = host, int(port), record

    async def open(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection(self._host, self._port, limit=1 << 20)
        return self

    def close(self) -> None:
        self.writer.close()

    async def ask(
        self, rid: str, cls: str = "ask", left_ms: int = 6000, patience: float = 30.0, **more: str
    ) -> Answer:
        self.record.say(f"client: sends {rid} ({cls})")
        self.writer.write(request_bytes(rid, cls, left_ms, **more))
        return await self.answer(rid, patience)

    async def answer(self, rid: str, patience: float = 30.0) -> Answer:
        got = Answer()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, TimeoutError, ValueError):
            async with asyncio.timeout(patience):
                await self._read(got)
        got.at = self.record.now()
        self.record.say(f"client: {rid} got {got}")
        return got

    async def _read(self, got: Answer) -> None:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *lines = head.rstrip().split("\r\n")
        got.status = int(line.split(" ")[1])
        got.headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines)}
        if got.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    got.whole = True
                    return
                got.body += data[:-2]
        got.body = await self.reader.readexactly(int(got.headers.get("content-length", "0")))
        got.whole = True


# --- the real program -----------------------------------------------------------------------------------


def run_line() -> str:
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))["run"])


class Gateway:
    """The real program, started as the deploy file says, in a process of its own."""

    def __init__(self, record: Record, folder: Path, name: str = "n1") -> None:
        self.record, self.folder, self.name = record, folder, name
        self.scratch = folder / f"tmp-{name}"
        self.scratch.mkdir(exist_ok=True)
        self.file = folder / f"{name}.json"
        self.address = ""
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / f"{name}.log"

    def write(self, config: dict[str, Any]) -> None:
        draft = self.file.with_suffix(".new")
        draft.write_text(json.dumps(config))
        os.replace(draft, self.file)

    async def start(
        self, config: dict[str, Any] | None = None, sidecar: str = "", door: int | None = None,
        log: str = "",
    ) -> Gateway:  # fmt: skip
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        environment["TMPDIR"] = str(self.scratch)
        command = run_line()
        if config is not None:
            self.write(config)
            environment.update({
                "RELAY_NAME": self.name, "RELAY_LISTEN": config["listen"],
                "RELAY_DISCOVERY": config["discovery"], "RELAY_CONFIG": str(self.file),
            })  # fmt: skip
            self.address = config["listen"]
        if sidecar:
            command += f" --sidecar {sidecar}"
        if door is not None:
            environment["RELAY_FD"] = str(door)
        out = (self.folder / (log or self.log.name)).open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=out, stderr=out,
            stdin=asyncio.subprocess.DEVNULL, pass_fds=() if door is None else (door,),
        )  # fmt: skip
        out.close()
        self.record.say(f"gateway {self.name} starts: process {self.process.pid}")
        return self

    async def until_ready(self, address: str = "", path: str = "/health/ready") -> None:
        until = time.monotonic() + READY_WAIT
        while time.monotonic() < until:
            if await get(address or self.address, path) == 200:
                self.record.say(f"gateway {self.name} is ready")
                return
            if self.process is not None and self.process.returncode is not None:
                raise CouldNotRun(f"the gateway ended with {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise CouldNotRun("the gateway did not get ready")

    def signal(self, which: signal.Signals) -> None:
        assert self.process is not None
        self.record.say(f"gateway {self.name}: {which.name}")
        self.process.send_signal(which)

    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


async def get(address: str, path: str) -> int:
    """The status of one GET; 0 for nothing."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                return int((await reader.readuntil(b"\r\n")).split(b" ")[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0


def free_port() -> int:
    """Below those that the system gives to outgoing connections, so that nobody takes it meanwhile."""
    lots = random.SystemRandom()
    for _ in range(200):
        port = lots.randrange(15000, 30000)
        with socket.socket() as found, contextlib.suppress(OSError):
            found.bind(("127.0.0.1", port))
            return port
    raise CouldNotRun("no free port")


def config_for(discovery: str, settings: dict[str, Any], listed: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": "n1", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery,
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listed, "settings": settings,
    }  # fmt: skip


Case = Callable[[Record, Path], Awaitable[int]]


def main(folder: str, case: Case, seconds: float = 110.0) -> None:
    """Plays one case in a temporary folder; exits with 1 if the rule was broken, 0 if it held, 2 if the case
    could not run."""
    record = Record(Path(folder).resolve().parent)

    async def play() -> int:
        # Whoever ends the script early ends what it started too.
        task = asyncio.current_task()
        assert task is not None
        for which in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(which, task.cancel)
        with tempfile.TemporaryDirectory() as scratch:
            try:
                async with asyncio.timeout(seconds):
                    return await case(record, Path(scratch))
            except (CouldNotRun, TimeoutError, OSError) as error:
                record.say(f"the case could not run: {error!r}")
                return NOT_RUN

    try:
        verdict = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        record.say(f"the case could not run: {error!r}")
        raise SystemExit(NOT_RUN) from error
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[verdict])
    sys.exit(verdict)
