"""Stand-ins on loopback for what a gateway meets (engines, discovery, a registry, a tool server, clients),
and the gateway itself as a process of its own. They wait for what must happen, never for time to pass."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import h11

ROOT = Path(__file__).resolve().parent.parent
PATIENCE = 30.0  # s until a test that waits for something gives up
SETTINGS: dict[str, Any] = {
    "azs": ["a"], "balancers": 1, "me": 0, "zone": 0, "registry_mode": "push", "round": 2000,
    "classes": [
        {"name": "ask", "effect": "safe", "key_scope": "all", "deadline": 20000000, "promise": 15000000,
         "points": 2.0, "late_value": 0.3, "streaming": True, "window": 5000000},
        {"name": "order", "effect": "unsafe", "key_scope": "all", "deadline": 20000000, "promise": 15000000,
         "points": 5.0, "late_value": 0.2, "streaming": True, "window": 5000000},
    ],
    "limits": {"cancel": True, "max_attempts": 5, "retry_after": True, "max_retry_after": 1000000,
               "connect_timeout": 250000, "idle_close": 30000000},
    "machine_types": ["prefill", "decode"],
    "orgs": [{"name": "acme", "quota_rps": 100.0, "share": 1.0}],
    "rules": {"answer_slack": 8000, "fall": 1000000, "start_capacity": 0.26, "stop_sending_within": 250000,
              "tip_multiple": 2.5, "warm_within": 14000000},
    "specifics": {"role_by_kind": ["read", "write"], "early_pairing": True, "release": 500000,
                  "resume": False, "token_aim": [60000.0, 70000.0]},
}  # fmt: skip
DONE = b"data: [DONE]\n\n"


class Asked:
    """One request that a stand-in got, and the means to answer it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes,
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
    ) -> None:  # fmt: skip
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self._reader, self._writer = reader, writer
        self.rid = headers.get("x-correlation-id", target.rpartition("/")[2])
        self.sent = 0  # bytes of the answer

    def reply(self, status: int, body: bytes = b"", **headers: str) -> None:
        fields = {"Content-Length": str(len(body)), **{k.replace("_", "-"): v for k, v in headers.items()}}
        self._writer.write(f"HTTP/1.1 {status} X\r\n".encode())
        self._writer.write("".join(f"{k}: {v}\r\n" for k, v in fields.items()).encode() + b"\r\n" + body)

    def raw(self, data: bytes) -> None:
        self._writer.write(data)
        self.sent += len(data)

    async def flushed(self) -> None:
        await _flushed(self._writer)

    def begin(self) -> None:
        self.raw(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")

    def chunk(self, data: bytes) -> None:
        self.raw(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end(self) -> None:
        self.raw(b"0\r\n\r\n")

    def finish(self) -> None:
        """The end of a whole answer."""
        self.chunk(DONE)
        self.end()

    def stream(self, *events: bytes) -> None:
        self.begin()
        for event in events:
            self.chunk(event)
        self.finish()

    def close(self) -> None:
        self._writer.close()

    async def closed(self) -> None:
        """Until the other side has closed this connection."""
        with contextlib.suppress(ConnectionError):
            await self._reader.read()

    def reset(self) -> None:
        self._writer.transport.abort()


async def _flushed(writer: asyncio.StreamWriter) -> None:
    """Until all that was written is at the other side: on loopback, as soon as the kernel has taken it."""
    writer.transport.set_write_buffer_limits(high=0)
    await writer.drain()


Handler = Callable[[Asked], Awaitable[None]]


class Standin:
    """An HTTP/1.1 server that shows each request to one coroutine and keeps what it saw."""

    def __init__(self, handler: Handler) -> None:
        self.handler, self.seen = handler, list[Asked]()
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Standin:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    def close_door(self) -> None:
        """New connections are refused from now on; open ones stay."""
        self._server.close()

    async def open_door(self) -> None:
        """New connections come again, at the same address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                first, *lines = head.decode().rstrip().split("\r\n")
                method, target, _ = first.split(" ")
                headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                asked = Asked(method, target, headers, body, reader, writer)
                self.seen.append(asked)
                async with self._changed:
                    self._changed.notify_all()
                await self.handler(asked)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.transport.abort()

    async def until(self, method: str, count: int = 1, target: str = "") -> Asked:
        """The count-th request of this method, waited for."""

        def found() -> list[Asked]:
            return [a for a in self.seen if a.method == method and a.target.startswith(target)]

        async with asyncio.timeout(PATIENCE), self._changed:
            await self._changed.wait_for(lambda: len(found()) >= count)
        return found()[count - 1]

    def count(self, method: str, target: str = "/") -> int:
        return sum(a.method == method and a.target.startswith(target) for a in self.seen)

    async def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()


def reading() -> Handler:
    async def handle(asked: Asked) -> None:
        if asked.target.startswith("/state"):
            asked.reply(204)
        else:
            asked.reply(202, b'{"cached_tokens":16}')

    return handle


def writing(answer: Handler, place: int = 200) -> Handler:
    async def handle(asked: Asked) -> None:
        if asked.target.startswith("/state"):
            asked.reply(place if asked.method == "POST" else 204)
        else:
            await answer(asked)

    return handle


async def answer_plainly(asked: Asked) -> None:
    asked.stream(b'data: {"choices":[{"delta":{"content":"hello"}}]}\n\n')


async def exchange(address: str, *pieces: bytes) -> tuple[int, bytes, bytes]:
    """Write these pieces to a new connection; status, head and body of what comes until its end, 0 for
    nothing."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        async with asyncio.timeout(PATIENCE):
            head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
        return int(head.split()[1]) if head else 0, head, body
    finally:
        writer.close()


class Gateway:
    """The real program in a process of its own."""

    def __init__(
        self, *arguments: str, config: dict[str, Any] | None = None, door: int | None = None,
        scratch: str = "",
    ) -> None:  # fmt: skip
        self._arguments, self._config, self.file = arguments, config, arguments[-1] if arguments else ""
        self._door, self._scratch = door, scratch
        self.lines: list[str] = []

    async def start(self) -> Gateway:
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        environment.pop("TMPDIR", None)  # what one gateway keeps there is no other's, nor of an earlier test
        if self._config is not None:
            with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
                json.dump(self._config, file)
            environment["RELAY_CONFIG"] = self.file = file.name
            environment["RELAY_DISCOVERY"] = self._config["discovery"]
        if self._door is not None:
            environment["RELAY_FD"] = str(self._door)
        if self._scratch:
            environment["TMPDIR"] = self._scratch
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "basaltspread", *self._arguments, cwd=ROOT, env=environment,
            stderr=asyncio.subprocess.PIPE, limit=1 << 20,
            pass_fds=() if self._door is None else (self._door,),
        )  # fmt: skip
        if self._config is not None and "management" in self._config:
            self.management = (await self.until(" operators call ")).split()[-1]
        line = await self.until(" serving ")
        self.address = line.split()[-1]
        return self

    async def until(self, word: str) -> str:
        """The next log line with this word."""
        assert self.process.stderr is not None
        async with asyncio.timeout(PATIENCE):
            while raw := await self.process.stderr.readline():
                self.lines.append(raw.decode().rstrip())
                if word in self.lines[-1]:
                    return self.lines[-1]
        raise AssertionError(f"no {word!r} in {self.lines}")

    async def counters(self) -> dict[str, int]:
        self.process.send_signal(signal.SIGUSR1)
        return self._parsed(await self.until("counters "))

    async def operate(self, method: str, path: str) -> tuple[int, Any]:
        """One operator's call: its status, and what the answer holds."""
        call = f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        status, _, body = await exchange(self.management, call)
        return status, json.loads(body)

    async def until_counter(self, name: str, least: int = 1) -> None:
        await self.until_true(lambda counters: counters.get(name, 0) >= least)

    async def until_true(self, holds: Callable[[dict[str, int]], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not holds(await self.counters()):
                pass

    @staticmethod
    def _parsed(line: str) -> dict[str, int]:
        pairs = (pair.split("=") for pair in line.split("counters ")[1].split())
        return {name: int(value) for name, value in pairs}

    async def stop(self) -> dict[str, int]:
        """SIGTERM; its counters at exit, which must be in order."""
        self.process.send_signal(signal.SIGTERM)
        return await self.ended()

    async def ended(self) -> dict[str, int]:
        """Its counters at exit, once it has been told to end."""
        counters = self._parsed(await self.until("counters "))
        async with asyncio.timeout(PATIENCE):
            assert await self.process.wait() == 0, self.lines
        return counters

    async def reload(self, text: str | dict[str, Any], word: str) -> None:
        """Replace the file, then SIGHUP; until the log has this word."""
        self.replace_file(text)
        self.process.send_signal(signal.SIGHUP)
        await self.until(word)

    def replace_file(self, text: str | dict[str, Any]) -> None:
        if isinstance(text, dict):
            text = json.dumps({**(self._config or {}), **text})
        Path(self.file + ".new").write_text(text)
        os.replace(self.file + ".new", self.file)

    async def kill(self) -> None:
        self.process.kill()
        await self.process.wait()

    @contextlib.asynccontextmanager
    async def held(self) -> AsyncIterator[None]:
        """Stands still meanwhile: all that is sent to it, signals too, is there at once as it goes on."""
        self.process.send_signal(signal.SIGSTOP)
        async with asyncio.timeout(PATIENCE):
            while Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
                await asyncio.sleep(0)
        yield
        self.process.send_signal(signal.SIGCONT)


class Client:
    """One client connection. Each answer is (status, headers, body, whether it ended in order)."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port, self._http = int(port), h11.Connection(h11.CLIENT)

    async def open(self) -> Client:
        self._reader, self._writer = await asyncio.open_connection(self._host, self._port)
        return self

    def send(self, rid: str, cls: str = "ask", left: int = 20000, body: bytes = b"{}", **more: str) -> None:
        fields = {
            "Host": "backend.local", "X-Correlation-Id": rid, "X-Service-Class": cls, "X-Account": "acme",
            "X-Session-Key": "s" + rid, "X-Time-Left-Ms": str(left),
            "X-Facts": f"prefix=p{rid},prompt_len=512,prefix_len=256",
            "Content-Length": str(len(body)), **{k.replace("_", "-"): v for k, v in more.items()},
        }  # fmt: skip
        request = h11.Request(method="POST", target="/v1/chat/completions?x=1", headers=list(fields.items()))
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            self._writer.write(self._http.send(event) or b"")

    async def event(self) -> Any:
        while (event := self._http.next_event()) is h11.NEED_DATA:
            self._http.receive_data(await self._reader.read(65536))
        return event

    async def head(self) -> h11.Response:
        async with asyncio.timeout(PATIENCE):
            event = await self.event()
        assert isinstance(event, h11.Response), event
        return event

    async def answer(self) -> tuple[int, dict[bytes, bytes], bytes, bool]:
        return await self.rest(await self.head())

    async def rest(self, head: h11.Response) -> tuple[int, dict[bytes, bytes], bytes, bool]:
        body = b""
        async with asyncio.timeout(PATIENCE):
            while True:
                try:
                    event = await self.event()
                except (h11.RemoteProtocolError, ConnectionError):
                    return head.status_code, dict(head.headers), body, False
                if isinstance(event, h11.EndOfMessage):
                    if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
                        self._http.start_next_cycle()
                    return head.status_code, dict(head.headers), body, True
                body += event.data

    async def ask(self, rid: str, **options: Any) -> tuple[int, dict[bytes, bytes], bytes, bool]:
        self.send(rid, **options)
        return await self.answer()

    def raw(self, data: bytes) -> None:
        self._writer.write(data)

    async def flushed(self) -> None:
        await _flushed(self._writer)

    def as_asked(self) -> None:
        """The next answer is to a request that was written as bytes."""
        request = h11.Request(method="GET", target="/", headers=[("Host", "-")])
        for event in (request, h11.EndOfMessage()):
            self._http.send(event)

    async def answer_to_raw(self) -> tuple[int, dict[bytes, bytes], bytes, bool]:
        self.as_asked()
        return await self.answer()

    async def to_the_end(self) -> bytes:
        """All that comes until the gateway closes the connection, in whatever way."""
        got = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE):
                while data := await self._reader.read(65536):
                    got += data
        return got

    def write_end(self) -> None:
        self._writer.write_eof()

    async def gone(self) -> None:
        """Once closed, until the connection is."""
        with contextlib.suppress(ConnectionError):
            await self._writer.wait_closed()

    async def closed(self) -> None:
        """Until the gateway has closed this connection."""
        async with asyncio.timeout(PATIENCE):
            assert await self._reader.read() == b""

    def close(self) -> None:
        self._writer.close()


class LoopbackTest(unittest.IsolatedAsyncioTestCase):
    """Starts stand-ins and gateways, and ends them all with the test."""

    async def standin(self, handler: Handler) -> Standin:
        server = await Standin(handler).start()
        self.addAsyncCleanup(server.stop)
        return server

    async def started(self, gateway: Gateway) -> Gateway:
        await gateway.start()
        self.addAsyncCleanup(self._end, gateway)
        return gateway

    @staticmethod
    async def _end(gateway: Gateway) -> None:
        if gateway.process.returncode is None:
            await gateway.kill()

    async def client(self, gateway: Gateway) -> Client:
        client = await Client(gateway.address).open()
        self.addCleanup(client.close)
        return client


class FleetTest(LoopbackTest):
    """A gateway between stand-ins, r* readers and w* writers."""

    async def fleet(
        self, sockets: int = 1024, memory_mb: int = 192, more: dict[str, Any] | None = None,
        door: int | None = None, scratch: str = "", **engines: Standin | str,
    ) -> Gateway:  # fmt: skip
        self.entries = {
            name: {"instanceId": name, "hostPort": e if isinstance(e, str) else e.address, "zone": "a",
                   "machineType": "prefill" if name[0] == "r" else "decode", "lifecycle": "up"}
            for name, e in engines.items()
        }  # fmt: skip
        self.news: asyncio.Queue[bytes] = asyncio.Queue()
        self.discovery = await self.standin(self._discover)
        listed = {"generation": 41, "reset": True, "instances": list(self.entries.values())}
        self.config = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "1f",
            "known": listed, "settings": SETTINGS, "limits": {"sockets": sockets, "memory_mb": memory_mb},
            **(more or {}),
        }  # fmt: skip
        return await self.started(Gateway(config=self.config, door=door, scratch=scratch))

    async def _discover(self, asked: Asked) -> None:
        asked.reply(200, await self.news.get())

    def tell(self, version: int, name: str, state: str) -> None:
        changed = [{**self.entries[name], "lifecycle": state}]
        change = {"generation": version, "reset": False, "instances": changed}
        self.news.put_nowait(json.dumps(change).encode())
