"""One real gateway by the number of engines: `python -m benchmarks.fleet_size [--json FILE]`.

Clients send at an even rate, each request on a connection of its own, whatever becomes of the earlier ones.
A row says how they ended and what the gateway's process used: processor time, peak memory, descriptors, and
connections to engines. `--program` plays another checkout's gateway with the same load.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.table import keep, show
from soak.discovery import Discovery
from soak.engines import Engine, Fleet, Role
from soak.gateways import ROOT, GatewayProcess
from soak.observations import Observations
from soak.runner import SETTINGS, own_host

SIZES = (12, 200, 3200)
LATE = 0.5  # s past its time after which a request counts as unanswered
TEXTS, SESSIONS = 12, 40
LIMITS = {"sockets": 1024, "memory_mb": 256}


async def ask(address: str, number: int, time_left: float) -> str:
    """How one request ended for its client."""
    host, _, port = address.rpartition(":")
    body = b'{"model":"chat","stream":true}'
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: g0-{number}\r\n"
        f"X-Service-Class: ask\r\nX-Account: acme\r\nX-Session-Key: s{number % SESSIONS}\r\n"
        f"X-Time-Left-Ms: {int(time_left * 1000)}\r\nConnection: close\r\n"
        f"X-Facts: prefix=p{number % TEXTS},prompt_len=512,prefix_len=256\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(time_left + LATE):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(head.encode() + body)
                status = int((await reader.readuntil(b"\r\n")).split(b" ")[1])
                answer = await reader.read()
            finally:
                writer.transport.abort()
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return "unanswered"
    if status != 200:
        return "refused" if status in (429, 503) else "failed"
    return "served" if answer.endswith(b"0\r\n\r\n") else "cut"


def process_figures(pid: int) -> dict[str, float]:
    """Processor seconds, peak memory in MB and open descriptors, as the system counts them."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    status = Path(f"/proc/{pid}/status").read_text()
    peak = int(status.partition("VmHWM:")[2].split()[0]) / 1024
    return {"cpu s": cpu, "peak MB": peak, "descriptors": len(os.listdir(f"/proc/{pid}/fd"))}


class Run:
    """One gateway among so many engines."""

    def __init__(self, engines: int, options: argparse.Namespace) -> None:
        self._engines, self._options = engines, options
        self._folder = Path(tempfile.mkdtemp(prefix="fleet-size-"))
        self._seen, self._host = Observations(0), own_host()

    async def play(self) -> dict[str, Any]:
        fleet, discovery = Fleet(self._seen), Discovery(self._seen)
        for number in range(self._engines):
            role = (Role.READER, Role.WRITER)[number % 2]
            engine = Engine(fleet, f"e{number}", role, "ab"[number // 2 % 2], 0, self._host, direct=True)
            await engine.start()
            await discovery.tell(engine)
        settings = {**SETTINGS, "balancers": self._options.routers, "me": 0, "zone": 0}
        config = {
            "name": "n0", "listen": f"{self._host}:0", "seed": "1f", "settings": settings, "limits": LIMITS,
            "discovery": await discovery.address_for(0), "known": discovery.whole(),
            "management": f"{self._host}:0",
        }  # fmt: skip
        gateway = GatewayProcess(self._seen, 0, self._folder / "n0", config, self._options.program)
        try:
            return await self._load(gateway)
        finally:
            await gateway.end()
            for engine in fleet.engines:
                engine.die()
            shutil.rmtree(self._folder, ignore_errors=True)

    async def _load(self, gateway: GatewayProcess) -> dict[str, Any]:
        await gateway.start()
        assert gateway.process is not None and gateway.life is not None
        before = process_figures(gateway.process.pid)
        rate, count = self._options.rate, int(self._options.rate * self._options.seconds)
        began, asked = time.monotonic(), list[asyncio.Task[str]]()
        for number in range(count):
            await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
            asked.append(asyncio.create_task(ask(gateway.serving, number, self._options.time_left)))
        ends = Counter(await asyncio.gather(*asked))
        used = process_figures(gateway.process.pid)
        await gateway.stop()
        counters = gateway.life.counters
        return {
            "engines": self._engines,
            **{name: ends[name] for name in ("served", "refused", "failed", "cut", "unanswered")},
            "start cpu s": before["cpu s"],
            "load cpu s": used["cpu s"] - before["cpu s"],
            "peak MB": used["peak MB"],
            "descriptors": counters.get("most_descriptors", 0),
            "links opened": counters.get("links_opened", 0),
        }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, nargs="+", default=SIZES)
    parser.add_argument("--rate", type=float, default=40.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=8.0, help="of load")
    parser.add_argument("--time-left", type=float, default=4.0, help="s that a client waits")
    parser.add_argument("--routers", type=int, default=3, help="gateways that the settings name")
    parser.add_argument("--program", type=Path, default=ROOT, help="the checkout whose gateway is played")
    parser.add_argument("--json", help="where the results are kept")
    options = parser.parse_args()
    rows = [asyncio.run(Run(size, options).play()) for size in options.engines]
    show(f"{options.rate:g} requests a second, {options.routers} gateways by the settings", rows)
    keep(options.json, {"fleet_size": rows})
    return 0


if __name__ == "__main__":
    sys.exit(main())
