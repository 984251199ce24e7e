"""Stand-ins for clients, engines and discovery, and gateways as processes of their own.

They follow the protocol page: one request at a time on a connection, engines that keep states and places,
a discovery agent that answers at once, clients that keep their connections. Nothing here knows what a gateway
thinks; a case judges by what these saw.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2  # how a case exits
DONE = b"data: [DONE]\n\n"
SETTINGS: dict[str, Any] = {
    "azs": ["a"], "balancers": 2, "me": 0, "zone": 0, "registry_mode": "push", "round": 2000,
    "weights": "nominal", "worth_by": "work", "over_share_worth": 0.2, "domain_type": "twostage",
    "layer": 0, "layers": ["model-fleet"], "clients": {"marks_retry": True},
    "classes": [
        {"name": "ask", "effect": "safe", "key_scope": "all", "deadline": 6000000, "promise": 1200000,
         "points": 2.0, "late_value": 0.3, "streaming": True, "window": 5000000},
        {"name": "order", "effect": "unsafe", "key_scope": "all", "deadline": 8000000, "promise": 2000000,
         "points": 5.0, "late_value": 0.2, "streaming": True, "window": 5000000},
    ],
    "limits": {"cancel": True, "connect_timeout": 250000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
               "idle_close": 30000000, "max_attempts": 5, "max_retry_after": 1000000, "may_duplicate": True,
               "may_tell": False, "open_cap": 20000, "probes": True, "retry_after": True,
               "streams_per_conn": 100},
    "machine_types": ["prefill", "decode"],
    "orgs": [{"name": "acme", "quota_rps": 1000.0, "share": 1.0}],
    "telemetry": {"fields": ["x0", "x1"], "how": "on_probe"},
    "rules": {"answer_slack": 8000, "ask_within": 10000000, "fall": 1000000, "start_capacity": 0.26,
              "stop_sending_within": 250000, "tip_multiple": 2.5, "warm_within": 14000000},
    "specifics": {"aim_us_per_1000_prompt_tokens": [40000.0, 40000.0], "early_pairing": True,
                  "kind_memory_tokens": [172414, 153214], "release": 500000, "resume": True,
                  "report_x0": "share of memory that is held",
                  "report_x1": "thousands of prompt tokens waiting to be read or fetched",
                  "role_by_kind": ["read", "write"], "token_aim": [60000.0, 70000.0],
                  "transfer_price": 0.03, "writers_read": False},
}  # fmt: skip


def trouble() -> bool:
    """Whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def say(self, text: str) -> None:
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()


class Asked:
    """One request that a stand-in got, and the means to answer it."""

    def __init__(
        self, line: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter, peer: str
    ) -> None:
        self.method, self.target, _ = line.split(" ", 2)
        self.headers, self.body, self.peer, self._writer = headers, body, peer, writer
        self.rid = headers.get("x-correlation-id") or self.target.rpartition("/")[2]
        self.at = time.monotonic()

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        fields = {"Content-Length": str(len(body)), **{k.replace("_", "-"): v for k, v in headers.items()}}
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        self.raw(f"HTTP/1.1 {status} X\r\n{head}\r\n".encode() + body)

    def raw(self, data: bytes) -> None:
        self._writer.write(data)

    def begin(self) -> None:
        self.raw(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")

    def chunk(self, data: bytes) -> None:
        self.raw(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end(self) -> None:
        self.raw(b"0\r\n\r\n")

    def gone(self) -> bool:
        return self._writer.is_closing()

    async def drain(self) -> None:
        await self._writer.drain()


Handler = Callable[[Asked], Awaitable[None]]


class Server:
    """An HTTP/1.1 server on loopback that shows each whole request to one coroutine, one at a time on a
    connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        peer = "{}:{}".format(*writer.get_extra_info("peername")[:2])
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *lines = head.decode("latin-1").rstrip().split("\r\n")
                headers = {k.strip().lower(): v.strip() for k, _, v in (one.partition(":") for one in lines)}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._handler(Asked(line, headers, body, writer, peer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    def stop(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()


def event(text: str, **more: Any) -> bytes:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None, **more}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def usage(prompt: int, out: int) -> bytes:
    told = {"prompt_tokens": prompt, "completion_tokens": out, "prompt_tokens_details": {"cached_tokens": 0}}
    return b"data: " + json.dumps({"choices": [], "usage": told}).encode() + b"\n\n"


class Fleet:
    """The engines of one deployment: what waits where, and what was run."""

    def __init__(self, record: Record, lot: random.Random) -> None:
        self.record, self.lot = record, lot
        self.states: dict[str, str] = {}  # request: the reader that holds what was read
        self.places: dict[str, str] = {}  # request: the writer that holds a place
        self.reading: set[str] = set()
        self.engines: list[Engine] = []
        self.reads: list[tuple[float, str, str]] = []  # time, engine, request
        self.writes: list[tuple[float, str, str]] = []
        self.asked_places: list[tuple[float, str, str]] = []

    def release(self, rid: str) -> None:
        self.states.pop(rid, None)
        self.places.pop(rid, None)

    def stop(self) -> None:
        for engine in self.engines:
            engine.server.stop()


class Engine:
    """A reader or a writer that runs well. A case may give a writer another `stream`."""

    read_time = (0.01, 0.03)
    event_time = (0.004, 0.012)
    events = (4, 10)

    def __init__(self, fleet: Fleet, name: str, kind: str, zone: str = "a", cell: int = 0) -> None:
        self.fleet, self.name, self.kind, self.zone, self.cell = fleet, name, kind, zone, cell
        self.started_ms, self.lifecycle = 0, "up"
        self.running = 0
        self.server = Server(self.handle)
        fleet.engines.append(self)

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.name, "hostPort": self.server.address, "zone": self.zone,
            "machineType": self.kind, "cell": self.cell, "lifecycle": self.lifecycle, "weight": 1.0,
            "startedAtMs": self.started_ms,
        }  # fmt: skip

    async def handle(self, asked: Asked) -> None:
        if asked.target == "/stats":
            load = f"TEXT x0={min(1.0, 0.01 * self.running):.2f}, x1=0.0"
            asked.reply(200, load.encode(), Content_Type="text/plain")
        elif asked.target == "/health/live":
            asked.reply(200)
        elif asked.target.startswith("/state/"):
            await self._state(asked)
        elif asked.method == "POST" and asked.target.startswith("/v1/chat/completions"):
            await (self.read(asked) if self.kind == "prefill" else self.write(asked))
        else:
            asked.reply(404)

    async def _state(self, asked: Asked) -> None:
        fleet, rid = self.fleet, asked.rid
        if asked.method == "DELETE":
            fleet.release(rid)
            asked.reply(204)
        elif asked.method == "POST" and self.kind != "prefill":
            fleet.asked_places.append((asked.at, self.name, rid))
            if rid in fleet.reading:
                fleet.places[rid] = self.name
                asked.reply(200)
            else:
                await asyncio.sleep(0.3)
                asked.reply(204)
        else:
            asked.reply(404)

    async def read(self, asked: Asked) -> None:
        fleet, rid = self.fleet, asked.rid
        fleet.reads.append((asked.at, self.name, rid))
        fleet.record.say(f"engine {self.name} reads {rid}")
        fleet.reading.add(rid)
        await asyncio.sleep(fleet.lot.uniform(*self.read_time))
        fleet.reading.discard(rid)
        fleet.states[rid] = self.name
        asked.reply(202, b'{"cached_tokens":0}', Content_Type="application/json")

    async def write(self, asked: Asked) -> None:
        fleet, rid = self.fleet, asked.rid
        if rid not in fleet.states:
            asked.reply(410, b"{}", X_Unprocessed="1")
            return
        fleet.release(rid)
        fleet.writes.append((asked.at, self.name, rid))
        fleet.record.say(f"engine {self.name} runs {rid} for {asked.peer}")
        self.running += 1
        try:
            await asyncio.sleep(fleet.lot.uniform(*self.event_time))
            await self.stream(asked)
        finally:
            self.running -= 1

    async def stream(self, asked: Asked) -> None:
        """Each event names the request for which it was made."""
        asked.begin()
        number = self.fleet.lot.randint(*self.events)
        for i in range(number):
            asked.chunk(event(f"{asked.rid}/{i} "))
            await asked.drain()
            await asyncio.sleep(self.fleet.lot.uniform(*self.event_time))
        asked.chunk(event("", finish_reason="stop"))
        asked.chunk(usage(512, number))
        asked.chunk(DONE)
        asked.end()
        await asked.drain()


class Discovery:
    """The agent on a gateway's machine: answers at once with what it has."""

    def __init__(self, entries: Callable[[], list[dict[str, Any]]]) -> None:
        self._entries = entries
        self.generation = 41
        self._log: list[tuple[int, dict[str, Any]]] = []
        self._news = asyncio.Condition()
        self.server = Server(self._handle)

    async def tell(self, entry: dict[str, Any]) -> None:
        self.generation += 1
        self._log.append((self.generation, entry))
        async with self._news:
            self._news.notify_all()

    async def _handle(self, asked: Asked) -> None:
        query = dict(part.split("=") for part in asked.target.partition("?")[2].split("&") if part)
        if "from" not in query:
            whole = {"generation": self.generation, "reset": True, "instances": self._entries()}
            asked.reply(200, json.dumps(whole).encode())
            return
        since, hold = int(query["from"]), min(60000, int(query.get("hold_ms", "0"))) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(hold), self._news:
                await self._news.wait_for(lambda: self.generation > since)
        changed = {e["instanceId"]: e for version, e in self._log if version > since}
        told = {"generation": self.generation, "reset": False, "instances": list(changed.values())}
        asked.reply(200, json.dumps(told).encode())


class Gateway:
    """The program, started as the deploy file has it."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name, self._folder, self._record = name, folder, record
        self.address = self.management = ""
        self.lines: list[str] = []
        self._readers: list[asyncio.Task[None]] = []
        self._serving = asyncio.Event()

    async def start(
        self, config: dict[str, Any] | None = None, sidecar: Path | None = None, door: int | None = None,
        **environment: str,
    ) -> Gateway:  # fmt: skip
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        scratch = self._folder / f"tmp-{self.name}"
        scratch.mkdir(exist_ok=True)
        env.update({"TMPDIR": str(scratch), **environment})
        command = "exec .venv/bin/python -B -m basaltspread"
        if config is not None:
            file = self._folder / f"{self.name}.json"
            file.write_text(json.dumps(config))
            env.update({
                "RELAY_NAME": self.name, "RELAY_LISTEN": config["listen"],
                "RELAY_DISCOVERY": config["discovery"], "RELAY_CONFIG": str(file),
            })  # fmt: skip
        if sidecar is not None:
            command += f" --sidecar {sidecar}"
        if door is not None:
            env["RELAY_FD"] = str(door)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE, limit=1 << 20,
            pass_fds=() if door is None else (door,),
        )  # fmt: skip
        self._readers.append(asyncio.create_task(self._read()))
        async with asyncio.timeout(30):
            await self._serving.wait()
        self._record.say(f"gateway {self.name} (process {self.process.pid}) serves {self.address}")
        return self

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while raw := await self.process.stderr.readline():
            line = raw.decode("utf-8", "replace").rstrip()
            self.lines.append(line)
            if " operators call " in line:
                self.management = line.split()[-1]
            if " serving " in line:
                self.address = line.split()[-1]
                self._serving.set()

    def signal(self, number: signal.Signals) -> None:
        self._record.say(f"gateway {self.name} gets {number.name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Ends it whatever it does."""
        if self.process.returncode is None:
            self.process.terminate()
            try:
                async with asyncio.timeout(5):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for task in self._readers:
            task.cancel()

    def counters(self) -> dict[str, int]:
        """Of its exit; for the record alone."""
        for line in reversed(self.lines):
            if line.startswith("counters "):
                return {k: int(v) for k, v in (pair.split("=") for pair in line.split()[1:])}
        return {}


def config(name: str, number: int, gateways: int, discovery: str, known: list[dict[str, Any]],
           **settings: Any) -> dict[str, Any]:  # fmt: skip
    conf = copy.deepcopy(SETTINGS)
    conf.update({"me": number, "balancers": gateways, **settings})
    return {
        "name": name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": f"{number + 1:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 41, "reset": True, "instances": known}, "settings": conf,
    }  # fmt: skip


class Answer:
    """What a client got for one request."""

    def __init__(self, rid: str) -> None:
        self.rid = rid
        self.status = 0  # 0: the connection ended before a head
        self.body = b""
        self.whole = False

    def texts(self) -> list[str]:
        """The pieces of text, in order."""
        found = []
        for line in self.body.split(b"\n"):
            if line.startswith(b"data: {"):
                choices = json.loads(line[6:])["choices"]
                found += [c["delta"]["content"] for c in choices if c["delta"].get("content")]
        return found


async def asked_ready(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """One small exchange on a connection, which rests from then on."""
    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
    await read_answer(reader, Answer(""))


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> bool:
    """Reads one answer; whether its connection may be kept. Raises as the connection ends before that."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *lines = head.rstrip().split("\r\n")
    fields = {k.strip().lower(): v.strip() for k, _, v in (one.partition(":") for one in lines)}
    answer.status = int(line.split()[1])
    if "content-length" in fields:
        answer.body = await reader.readexactly(int(fields["content-length"]))
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        if await reader.readexactly(2) != b"\r\n":
            return False
    answer.whole = True
    return fields.get("connection", "").lower() != "close"


class Clients:
    """Clients that keep their connections to one gateway, and open more when all are busy."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, rid: str, cls: str = "ask", left: int = 5000, session: str = "",
                  again: bool = True, words: str = "", **more: str) -> Answer:  # fmt: skip
        answer = Answer(rid)
        kept = bool(self._idle)
        if kept:
            reader, writer = self._idle.pop()
        else:
            host, _, port = self.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
        content = json.dumps({"model": "chat", "stream": True, "max_tokens": 100, "messages": [
            {"role": "user", "content": (words or rid) + " " + "x" * 1500}]}).encode()  # fmt: skip
        fields = {
            "Host": "backend.local", "X-Correlation-Id": rid, "X-Service-Class": cls, "X-Account": "acme",
            "X-Session-Key": session or f"s-{rid}", "X-Time-Left-Ms": str(left),
            "X-Facts": "prompt_len=512,max_out=100", "Content-Length": str(len(content)),
            **{k.replace("_", "-"): v for k, v in more.items()},
        }  # fmt: skip
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        try:
            writer.write(f"POST /v1/chat/completions HTTP/1.1\r\n{head}\r\n".encode() + content)
            async with asyncio.timeout(left / 1000 + 30):
                keep = await read_answer(reader, answer)
        except (OSError, asyncio.IncompleteReadError):
            keep = False
        if keep:
            self._idle.append((reader, writer))
        else:
            writer.transport.abort()
        if kept and again and not answer.status:  # its close crossed the request: once more, on a new one
            self.close()
            return await self.ask(rid, cls, left, session, again=False, words=words, **more)
        return answer

    def close(self) -> None:
        for _, writer in self._idle:
            writer.transport.abort()
        self._idle.clear()


def play(folder: Path, case: Callable[[Record, Path], Awaitable[int]], limit: float = 115.0) -> None:
    """Plays one case in a temporary folder and exits as it says."""
    record = Record(folder)
    record.say(f"{'with' if trouble() else 'without'} the disruption")
    scratch = Path(tempfile.mkdtemp(prefix="review-"))

    async def bounded() -> int:
        async with asyncio.timeout(limit):
            return await case(record, scratch)

    status = NOT_RUN
    try:
        status = asyncio.run(bounded())
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    record.say({BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "not run"}[status])
    sys.exit(status)
