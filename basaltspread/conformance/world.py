"""The gateway under test as a process, with peers around it, and what a case does there.

It owns processes (its own, ended by their ids) and the operator's file that each is started with. It must
never look inside the gateway but through what operators see: log, counters, and the operators' address.

Many cases share one gateway. So that none can tip another's tool server into rest, each has servers, routes
and tools of its own, named after its slot.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11

from basaltspread.config import write_sidecar
from basaltspread.conformance.peers import DONE, PATIENCE, Asked, Eureka, Handler, Peer, event

ROOT = Path(__file__).resolve().parent.parent.parent
BEFORE, AFTER = b"data: before\n\n", b"data: after\n\n"
END = AFTER + DONE  # of a whole answer
DEADLINE_MS = 6000
SHORT_MS = 700  # for cases that wait for a deadline


class Failed(AssertionError):
    """A case does not hold."""


def check(holds: object, what: str) -> None:
    if not holds:
        raise Failed(what)


def equal(found: object, wanted: object, what: str) -> None:
    if found != wanted:
        raise Failed(f"{what}: {found!r:.300}, wanted {wanted!r:.300}")


@dataclass(frozen=True, slots=True)
class Needs:
    """What a case needs of the gateway's configuration, for its own slot."""

    servers: int = 1
    protocol: str = "plain"
    deadline_ms: int = DEADLINE_MS
    server: str = ""  # more lines for each of its servers
    dead: bool = False  # the first server's address takes no connections
    limits: str = ""  # under tools.limits: the gateway is the case's own


@dataclass(slots=True)
class Served:
    """What a client got."""

    status: int
    body: bytes
    whole: bool
    posts: list[Any]  # what the engine got back, in order

    @property
    def text(self) -> bytes:
        """The body without the marks that every stream here has."""
        return self.body.replace(BEFORE, b"").replace(AFTER, b"").removesuffix(DONE)


class Engine:
    """A writer's stream in the hands of a case."""

    def __init__(self, asked: Asked) -> None:
        self._asked = asked
        self.posts: asyncio.Queue[Any] = asyncio.Queue()
        self.got: list[Any] = []
        self.take: Callable[[Asked], Awaitable[None]] = self._take
        asked.begin()
        asked.chunk(BEFORE)

    async def posted(self, asked: Asked) -> None:
        """Something has come to /v1/toolcalls."""
        await self.take(asked)

    async def _take(self, asked: Asked) -> None:
        asked.reply(202)
        self.note(asked)

    def note(self, asked: Asked) -> None:
        message = json.loads(asked.body)
        self.got.append(message)
        self.posts.put_nowait(message)

    def send(self, *messages: Any) -> None:
        """Each as an event in a chunk of its own; bytes as they are."""
        for message in messages:
            self._asked.chunk(message if isinstance(message, bytes) else event(message))

    async def pieces(self, data: bytes, size: int) -> None:
        for i in range(0, len(data), size):
            self._asked.chunk(data[i : i + size])
            await self._asked.flush()

    async def reply(self) -> Any:
        """The next message that comes back."""
        async with asyncio.timeout(PATIENCE):
            return await self.posts.get()

    def end(self) -> None:
        self.send(AFTER)
        self._asked.finish()

    def reset(self) -> None:
        self._asked.reset()

    async def closed(self) -> None:
        await self._asked.closed()


Script = Callable[[Engine], Awaitable[None]]


class Client:
    """One client connection that asks once."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._http = h11.Connection(h11.CLIENT)
        self.body = b""

    async def open(self, rid: str, cls: str, **headers: str) -> Client:
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        fields = {
            "Host": "x", "X-Correlation-Id": rid, "X-Service-Class": cls, "X-Session-Key": rid,
            "X-Time-Left-Ms": "15000", "X-Facts": f"prefix={rid},prompt_len=64,prefix_len=16",
            "Content-Length": "2", **{k.replace("_", "-"): v for k, v in headers.items()},
        }  # fmt: skip
        head = h11.Request(method="POST", target="/v1/chat/completions", headers=list(fields.items()))
        for part in (head, h11.Data(data=b"{}"), h11.EndOfMessage()):
            self._writer.write(self._http.send(part) or b"")
        return self

    async def rest(self) -> tuple[int, bool]:
        """Status, and whether the answer ended in order; `body` grows as it comes."""
        status = 0
        async with asyncio.timeout(PATIENCE):
            while True:
                try:
                    got = self._http.next_event()
                    if got is h11.NEED_DATA:
                        self._http.receive_data(await self._reader.read(65536))
                    elif isinstance(got, h11.Response):
                        status = got.status_code
                    elif isinstance(got, h11.Data):
                        self.body += bytes(got.data)
                    else:
                        return status, isinstance(got, h11.EndOfMessage)
                except (h11.RemoteProtocolError, ConnectionError):
                    return status, False

    def close(self) -> None:
        self._writer.close()


class Gateway:
    """The real program, from `package` (the folder that holds it)."""

    def __init__(self, file: str, package: Path, door: int | None = None, scratch: str = "") -> None:
        self.file, self._package, self._door, self._scratch = file, package, door, scratch
        self.lines: list[str] = []
        self._heard = asyncio.Condition()

    async def start(self) -> Gateway:
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_") and k != "TMPDIR"}
        environment["PYTHONPATH"] = str(self._package)
        if self._door is not None:
            environment["RELAY_FD"] = str(self._door)
        if self._scratch:
            environment["TMPDIR"] = self._scratch
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "basaltspread", "--sidecar", self.file, cwd=self._package, env=environment,
            stderr=asyncio.subprocess.PIPE, limit=1 << 20,
            pass_fds=() if self._door is None else (self._door,),
        )  # fmt: skip
        self._reading = asyncio.get_running_loop().create_task(self._read())
        self.management = (await self.until("operators call ")).split()[-1]
        self.address = (await self.until(" serving ")).split()[-1]
        await self.until_count("lists_full")
        return self

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while raw := await self.process.stderr.readline():
            self.lines.append(raw.decode("utf-8", "replace").rstrip())
            async with self._heard:
                self._heard.notify_all()
        async with self._heard:
            self.lines.append("(end of log)")
            self._heard.notify_all()

    async def until(self, word: str, since: int = 0) -> str:
        """The first log line with this word, from line number `since` on."""

        def found() -> str | None:
            return next((line for line in self.lines[since:] if word in line), None)

        async with asyncio.timeout(PATIENCE), self._heard:
            await self._heard.wait_for(lambda: found() is not None or "(end of log)" in self.lines[since:])
        line = found()
        check(line is not None, f"the gateway ended without {word!r}: {self.lines[-4:]}")
        return str(line)

    async def counters(self) -> dict[str, int]:
        since = len(self.lines)
        self.process.send_signal(signal.SIGUSR1)
        line = await self.until("counters ", since)
        pairs = (pair.split("=") for pair in line.split("counters ")[1].split())
        return {name: int(value) for name, value in pairs}

    async def until_count(self, name: str, least: int = 1) -> int:
        async with asyncio.timeout(PATIENCE):
            while (found := (await self.counters()).get(name, 0)) < least:
                await asyncio.sleep(0.01)
        return found

    async def operate(self, method: str, path: str) -> tuple[int, Any]:
        host, _, port = self.management.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        async with asyncio.timeout(PATIENCE):
            head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), json.loads(body)

    async def reload(self, change: Callable[[str], str]) -> None:
        text = Path(self.file).read_text()
        Path(self.file + ".new").write_text(change(text))
        os.replace(self.file + ".new", self.file)
        since = len(self.lines)
        self.process.send_signal(signal.SIGHUP)
        await self.until("reload", since)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self._reading.cancel()

    async def stop(self) -> dict[str, int]:
        """SIGTERM; its counters at exit."""
        since = len(self.lines)
        self.process.send_signal(signal.SIGTERM)
        line = await self.until("counters ", since)
        async with asyncio.timeout(PATIENCE):
            equal(await self.process.wait(), 0, "exit code")
        return {n: int(v) for n, v in (pair.split("=") for pair in line.split("counters ")[1].split())}


@dataclass
class World:
    """Peers, one operator's file, and the gateways started with it."""

    package: Path
    slots: Sequence[Needs]
    engines: Peer = field(default_factory=Peer)
    tools: Peer = field(default_factory=Peer)
    streams: dict[str, Engine] = field(default_factory=dict)
    scripts: dict[str, Script] = field(default_factory=dict)
    gateways: list[Gateway] = field(default_factory=list)
    faults: dict[str, BaseException] = field(default_factory=dict)
    reader: Peer = field(default_factory=Peer)
    held: list[socket.socket] = field(default_factory=list)  # addresses that take no connections
    file: str = ""

    async def start(self) -> World:
        await self.engines.start()
        await self.tools.start()
        registry = Eureka(self.engines)
        self.engines.handlers.update({
            "/v1/chat/completions": self._complete, "/v1/toolcalls": self._posted, "/state": self._state,
        })  # fmt: skip
        await self.reader.start()
        self.reader.handlers.update({"/v1/chat/completions": self._read, "/state": self._state})
        registry.add("reader", self.reader.address, "prefill")
        registry.add("writer", self.engines.address, "decode")
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
            file.write(self._text())
        self.file = file.name
        await self.gateway()
        return self

    def _text(self) -> str:
        text = write_sidecar(argparse.Namespace(
            application="shop", listen="127.0.0.1:0", management="127.0.0.1:0", registry=self.engines.address,
            engines="MODEL-ENGINES", tools=self.tools.address, tool=[], request_class=None,
        ))  # fmt: skip
        text = re.sub(r'\[tools\][^\[]*?path = "/rpc"\n', "[tools]\n", text)
        text = text.replace("fetch_s = 5", "fetch_s = 0.2").replace("renew_s = 10", "renew_s = 0.5")
        text = text.replace("deadline = 6000000", "deadline = 15000000")
        text = text.replace("promise = 1200000", "promise = 12000000")
        parts, routes = [], []
        limits = "retry_reserve = 1000\nhedge = false\n"
        for number, needs in enumerate(self.slots):
            names = [f"c{number}{letter}" for letter in "abcdef"[: needs.servers]]
            for i, name in enumerate(names):
                address = self._dead_address() if needs.dead and i == 0 else self.tools.address
                parts.append(
                    f'[tools.servers.{name}]\naddress = "{address}"\npath = "/c{number}/{name}"\n'
                    f'protocol = "{needs.protocol}"\n{needs.server}\n'
                )
            routes.append(f'"c{number}_*" = {json.dumps(names)}')
            for effect in ("safe", "unsafe"):
                parts.append(
                    f'[tools.listed.c{number}_{effect}]\neffect = "{effect}"\n'
                    f"deadline_ms = {needs.deadline_ms}\n"
                )
            limits = needs.limits or limits
        block = f"[tools.limits]\n{limits}\n[tools.routes]\n" + "\n".join(routes) + "\n\n" + "".join(parts)
        return text.replace("[settings]  ", block + "\n[settings]  ", 1)

    async def gateway(self, door: int | None = None, scratch: str = "") -> Gateway:
        gateway = Gateway(self.file, self.package, door, scratch)
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    def _dead_address(self) -> str:
        """Bound, so that nobody else gets it, and not listened on."""
        self.held.append(socket.socket())
        self.held[-1].bind(("127.0.0.1", 0))
        return f"127.0.0.1:{self.held[-1].getsockname()[1]}"

    async def stop(self) -> None:
        for gateway in self.gateways:
            await gateway.kill()
        for held in self.held:
            held.close()
        for peer in (self.engines, self.tools, self.reader):
            await peer.stop()
        Path(self.file).unlink(missing_ok=True)

    # --- engines ----------------------------------------------------------------------------------------

    async def _read(self, asked: Asked) -> None:
        asked.reply(202, b'{"cached_tokens":0}')

    async def _state(self, asked: Asked) -> None:
        asked.reply(204 if asked.method == "DELETE" else 200)

    async def _complete(self, asked: Asked) -> None:
        rid = asked.headers["x-correlation-id"]
        engine = self.streams[rid] = Engine(asked)
        try:
            await self.scripts[rid](engine)
        except (Failed, TimeoutError, AssertionError) as error:
            self.faults[rid] = error
            engine.reset()

    async def _posted(self, asked: Asked) -> None:
        engine = self.streams.get(asked.target.rpartition("/")[2])
        if engine is None:
            asked.reply(404)
        else:
            await engine.posted(asked)


class Stage:
    """One case's view of a world: its slot's servers and tools, and requests of its own."""

    def __init__(self, world: World, slot: int) -> None:
        self.world, self.slot, self._requests = world, slot, 0
        for letter in "abcdef"[: world.slots[slot].servers]:
            world.tools.handlers[f"/c{slot}/c{slot}{letter}"] = echo

    @property
    def gateway(self) -> Gateway:
        return self.world.gateways[-1]

    def server(self, letter: str = "a") -> str:
        return f"c{self.slot}{letter}"

    def on(self, handler: Handler, letter: str = "a") -> None:
        """What a server of this case does with calls."""
        self.world.tools.handlers[f"/c{self.slot}/{self.server(letter)}"] = handler

    def call(self, ident: Any = 1, effect: str = "safe", **change: Any) -> dict[str, Any]:
        params = {"name": f"c{self.slot}_{effect}", "arguments": {"sku": "4711"}}
        message = {"jsonrpc": "2.0", "id": ident, "method": "tools/call", "params": params, **change}
        return {name: value for name, value in message.items() if value is not ...}

    def seen(self, letter: str = "", method: str = "tools/call") -> list[Asked]:
        """The calls (or what `method` says) that this case's servers got."""
        found = self.world.tools.at(f"/c{self.slot}/{self.server(letter) if letter else ''}", "POST")
        if not letter:
            found = [a for a in found if a.target.startswith(f"/c{self.slot}/")]
        return [a for a in found if not method or _method(a) == method]

    async def until_seen(self, count: int = 1, letter: str = "", method: str = "tools/call") -> None:
        await self.world.tools.until(lambda: len(self.seen(letter, method)) >= count)

    def rid(self) -> str:
        self._requests += 1
        return f"c{self.slot}-{self._requests}"

    async def begin(
        self, script: Script, cls: str = "ask", rid: str = "", **headers: str
    ) -> tuple[str, Client]:
        rid = rid or self.rid()
        self.world.scripts[rid] = script
        return rid, await Client(self.gateway.address).open(rid, cls, **headers)

    async def play(self, script: Script, cls: str = "ask", rid: str = "", **headers: str) -> Served:
        """One request, from its sending to the end of its answer."""
        rid, client = await self.begin(script, cls, rid, **headers)
        return await self.finish(rid, client)

    async def finish(self, rid: str, client: Client) -> Served:
        status, whole = await client.rest()
        client.close()
        if rid in self.world.faults:
            raise Failed(f"engine: {self.world.faults[rid]!r}")
        engine = self.world.streams.get(rid)
        return Served(status, client.body, whole, engine.got if engine is not None else [])

    async def ask(self, *events: Any, posts: int = 1, cls: str = "ask", **headers: str) -> Served:
        """A stream with these events; it ends once so many messages have come back."""

        async def script(engine: Engine) -> None:
            engine.send(*events)
            for _ in range(posts):
                await engine.reply()
            engine.end()

        return await self.play(script, cls, **headers)

    async def one(self, *events: Any, cls: str = "ask", **headers: str) -> Any:
        """The one message that comes back for these events; the stream must be whole and show nothing."""
        served = await self.ask(*events, posts=1, cls=cls, **headers)
        equal((served.status, served.text, served.whole), (200, b"", True), "the client's stream")
        equal(len(served.posts), 1, "messages that came back")
        return served.posts[0]


def _method(asked: Asked) -> str:
    try:
        return str(asked.message.get("method", ""))
    except (ValueError, AttributeError):
        return ""


async def echo(asked: Asked) -> None:
    """A tool server that answers each call with its arguments, and pings with an empty result."""
    message = asked.message
    if "id" not in message:
        asked.reply(202)
    else:
        result = {"content": [], "got": message.get("params")}
        asked.json({"jsonrpc": "2.0", "id": message["id"], "result": result})


def code(message: Any) -> int | None:
    return message["error"]["code"] if isinstance(message, dict) and "error" in message else None
