"""Plays one gateway under clients that cost it memory or time, beside an honest client.

`python -m soak.pressure_play --kinds stopped_body --memory 64` prints the largest resident size, how the
process ended and what the honest client got. Engines and discovery are stand-ins in this process; the gateway
and all clients are processes of their own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import click

from soak.gateways import ROOT, resident_peak
from soak.pressure import PressureKind
from soak.runner import SETTINGS

ENGINES = (("r0", "prefill"), ("r1", "prefill"), ("w0", "decode"), ("w1", "decode"))
READY_PATIENCE = 30.0  # s
RESIDENT_STEP = 0.02  # s between two looks at the resident size
END_PATIENCE = 10.0  # s
IN_TIME = 1.0  # s in which an honest client wants its answer


@dataclass(frozen=True)
class PressurePlan:
    """One play."""

    kinds: tuple[PressureKind, ...]
    clients: int = 560  # of all kinds together
    memory_mb: int = 64
    sockets: int = 1024
    seconds: float = 8.0
    honest: int = 1


@dataclass
class PressureResult:
    """What was seen."""

    idle_kb: int
    peak_kb: int
    end: int | None  # the exit status, where the process ended without being told to
    honest: list[tuple[int, float]]  # status, or 0 for none, and s
    sent: int
    counters: dict[str, int]

    def served_in_time(self) -> float:
        """Share of the honest client's requests."""
        good = [status == 200 and seconds <= IN_TIME for status, seconds in self.honest]
        return sum(good) / len(good) if good else 0.0

    def worst(self) -> float:
        return max((seconds for _, seconds in self.honest), default=0.0)


class StandIns:
    """Engines that answer at once, and a discovery that lists them."""

    def __init__(self) -> None:
        self.ran: list[tuple[str, str]] = []  # engine and request
        self._servers: list[asyncio.Server] = []
        self.instances: list[dict[str, Any]] = []
        self.discovery = ""

    async def start(self) -> None:
        for name, kind in ENGINES:

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str = name, kind: str = kind
            ) -> None:
                await self._serve(name, kind == "prefill", reader, writer)

            address = await self._listen(serve)
            self.instances.append({
                "instanceId": name, "hostPort": address, "zone": "a", "cell": 0, "machineType": kind,
                "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
            })  # fmt: skip
        self.discovery = await self._listen(self._discover)

    async def _listen(self, serve: Any) -> str:
        server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=512)
        self._servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def whole(self) -> dict[str, Any]:
        return {"generation": 1, "reset": True, "instances": self.instances}

    async def _discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"from=1" in head:
                    await reader.read(1)  # nothing changes
                    return
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def _serve(
        self, name: str, reads: bool, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = re.search(rb"(?i)content-length: (\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                if b" /state/" in head:
                    writer.write(b"HTTP/1.1 204 X\r\n\r\n")
                    continue
                found = re.search(rb"(?i)x-correlation-id: (\S+)", head)
                self.ran.append((name, found[1].decode() if found else ""))
                if reads:
                    writer.write(b'HTTP/1.1 202 X\r\nContent-Length: 19\r\n\r\n{"cached_tokens":0}')
                else:
                    await self._stream(json.loads(body) if len(body) > 2 else {}, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    @staticmethod
    async def _stream(asked: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        event = b"data: " + b"e" * asked.get("size", 100) + b"\n\n"
        for _ in range(asked.get("events", 3)):
            if writer.is_closing():
                return
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
        await writer.drain()

    def stop(self) -> None:
        for server in self._servers:
            server.close()


class PressuredGateway:
    """The gateway's process, and its resident size."""

    def __init__(self, plan: PressurePlan, stand_ins: StandIns, folder: Path, program: Path) -> None:
        self._plan, self._stand_ins, self._folder, self._program = plan, stand_ins, folder, program
        self.idle_kb = self.peak_kb = 0
        self.address = ""
        self.counters: dict[str, int] = {}

    async def start(self) -> None:
        limits = {"sockets": self._plan.sockets, "memory_mb": self._plan.memory_mb}
        settings = {**SETTINGS, "balancers": 1, "me": 0, "zone": 0}
        config = {
            "name": "n0", "listen": "127.0.0.1:0", "seed": "1", "discovery": self._stand_ins.discovery,
            "known": self._stand_ins.whole(), "settings": settings, "limits": limits,
        }  # fmt: skip
        file = self._folder / "config.json"
        file.write_text(json.dumps(config))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        environment |= {"RELAY_CONFIG": str(file), "TMPDIR": str(self._folder)}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "basaltspread", cwd=self._program, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE, limit=1 << 20,
        )  # fmt: skip
        ready = asyncio.Event()
        self._reading = asyncio.create_task(self._read(ready))
        async with asyncio.timeout(READY_PATIENCE):
            await ready.wait()
        self._look()
        self.idle_kb = self.peak_kb
        self._watching = asyncio.create_task(self._watch())

    async def _read(self, ready: asyncio.Event) -> None:
        assert self.process.stderr is not None
        with (self._folder / "log").open("wb") as log:
            while line := await self.process.stderr.readline():
                log.write(line)
                if b" serving " in line:
                    self.address = line.split()[-1].decode()
                    ready.set()
                if line.startswith(b"counters "):
                    pairs = (pair.split("=") for pair in line.decode().split()[1:])
                    self.counters = {name: int(value) for name, value in pairs}

    def _look(self) -> None:
        """The system's own high-water mark: no peak is missed between two looks."""
        self.peak_kb = resident_peak(self.process.pid) or self.peak_kb

    async def _watch(self) -> None:
        while True:
            self._look()
            await asyncio.sleep(RESIDENT_STEP)

    async def stop(self) -> int | None:
        """Tells it to end; its exit status if it had ended before."""
        self._look()
        self._watching.cancel()
        end = self.process.returncode
        if end is None:
            self.process.send_signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(END_PATIENCE):
                    await self.process.wait()
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self._reading
        return end


async def _clients(address: str, kind: PressureKind, count: int, seconds: float) -> dict[str, Any]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "soak.pressure", address, kind.value, str(count), str(seconds), cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    out, _ = await process.communicate()
    found: dict[str, Any] = json.loads(out)
    return found


async def play(plan: PressurePlan, program: Path = ROOT, folder: Path | None = None) -> PressureResult:
    """The whole play. All that it started has ended when this returns."""
    stand_ins = StandIns()
    await stand_ins.start()
    with tempfile.TemporaryDirectory(prefix="pressure-") as made:
        gateway = PressuredGateway(plan, stand_ins, folder or Path(made), program)
        await gateway.start()
        try:
            each = max(1, plan.clients // len(plan.kinds))
            honest = _clients(gateway.address, PressureKind.HONEST, plan.honest, plan.seconds)
            others = [_clients(gateway.address, kind, each, plan.seconds) for kind in plan.kinds]
            found, *pressed = await asyncio.gather(honest, *others)
        finally:
            end = await gateway.stop()
            stand_ins.stop()
        answers = [(int(status), float(seconds)) for status, seconds in found["answers"]]
        sent = sum(result["sent"] for result in pressed)
        return PressureResult(gateway.idle_kb, gateway.peak_kb, end, answers, sent, gateway.counters)


@click.command()
@click.option("--kinds", default="stopped_body", show_default=True, help="Of clients, with commas.")
@click.option("--clients", type=click.IntRange(1, 900), default=560, show_default=True)
@click.option("--memory", type=int, default=64, show_default=True, help="MB.")
@click.option("--sockets", type=int, default=1024, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0, 60.0), default=8.0, show_default=True)
@click.option("--program", type=click.Path(exists=True, path_type=Path), default=ROOT, help="A checkout.")
@click.option("--logs", type=click.Path(path_type=Path), help="A folder that keeps the gateway's log.")
def main(
    kinds: str, clients: int, memory: int, sockets: int, seconds: float, program: Path, logs: Path | None
) -> None:
    """Play one gateway under pressure and print what was seen, as JSON."""
    drawn: Sequence[PressureKind] = [PressureKind(kind) for kind in kinds.split(",")]
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
    result = asyncio.run(play(PressurePlan(tuple(drawn), clients, memory, sockets, seconds), program, logs))
    shown = {
        "kinds": kinds, "memory_mb": memory, "idle_mb": round(result.idle_kb / 1024, 1),
        "peak_mb": round(result.peak_kb / 1024, 1), "end": result.end, "honest": len(result.honest),
        "in_time": round(result.served_in_time(), 3), "worst_s": round(result.worst(), 3),
        "sent": result.sent, "statuses": sorted({status for status, _ in result.honest}),
    }  # fmt: skip
    click.echo(json.dumps(shown))
    if os.environ.get("PRESSURE_COUNTERS"):
        click.echo(json.dumps(asdict(result)["counters"]))


if __name__ == "__main__":
    main()
