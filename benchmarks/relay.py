"""The real program on loopback at a fixed open-loop rate: `python -m benchmarks.relay [--json FILE]`.

Peers (engines' streams, tool servers, registry, clients) run in this process, the gateway in one of its own.
Calls are drawn ahead (Poisson, from a seed) and each counts from when it should have left its engine, so that
a gateway or a machine that falls behind shows. Latency added is the time to the reply's arrival at the
engine, less the tool server's own time. `--package DIR` measures an earlier checkout beside this one.

Parts: `added` (latency and CPU per call), `memory` (per open call), `stop` (tool servers reset all calls, or
four in ten, for 2 s: sends over first tries, with and without the adaptive limit and the budget), `streams`
(CPU of whole requests without a tool call, a connection each), `process` (CPU of a gateway's start, of its
order to end, and of the interpreter's end). All are bounded in count and time.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import resource
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from basaltspread.config import write_sidecar
from basaltspread.conformance.peers import Asked, Eureka, Peer, event
from basaltspread.conformance.world import ROOT, Client, Gateway
from benchmarks.table import keep, show

TICKS = os.sysconf("SC_CLK_TCK")
SERVICE = 0.005  # s that a tool server takes
STREAMS = 40
SEED = 11
PIECES, PIECE_STEP = 12, 0.06  # of a plain stream, and s between two


def config(registry: str, tools: str, limits: str = "", servers: int = 1, classes: str = "") -> str:
    """An operator's file. With one server and no limits, in the words of version 0.1.0."""
    text = write_sidecar(argparse.Namespace(
        application="bench", listen="127.0.0.1:0", management="127.0.0.1:0", registry=registry,
        engines="MODEL-ENGINES", tools=tools, tool=["look=safe"], request_class=None,
    ))  # fmt: skip
    text = text.replace("fetch_s = 5", "fetch_s = 0.5").replace("deadline = 6000000", "deadline = 30000000")
    text = text.replace("promise = 1200000", "promise = 25000000")
    if limits or servers > 1:
        parts = "".join(
            f'[tools.servers.s{i}]\naddress = "{tools}"\npath = "/s{i}/rpc"\n' for i in range(servers)
        )
        text = text.replace(f'address = "{tools}"\npath = "/rpc"\n', f"[tools.limits]\n{limits}\n{parts}", 1)
    return text


class Bench:
    """Peers round one gateway. Each stream is one request whose engine emits calls until told to end."""

    def __init__(self, package: Path, text: Any, service: float = SERVICE) -> None:
        self._package, self._text, self._service = package, text, service
        self.engines, self.readers, self.tools = Peer(), Peer(), Peer()
        self.streams: dict[str, Asked] = {}
        self.sent: dict[tuple[str, int], float] = {}  # when each call should have left
        self.took: list[float] = []
        self.errors: Counter[int] = Counter()
        self.sends = self.calls = 0
        self.clients: list[Client] = []
        self.gone = 0.0  # this share of what comes, the tool servers reset
        self._numbers = 0
        self.hold = False  # or say nothing
        self.replied = asyncio.Condition()

    async def start(self) -> Bench:
        for peer in (self.engines, self.readers, self.tools):
            await peer.start()
        registry = Eureka(self.engines)
        registry.add("reader", self.readers.address, "prefill")
        registry.add("writer", self.engines.address, "decode")
        self.engines.handlers |= {
            "/v1/chat/completions": self._stream, "/v1/toolcalls": self._reply, "/state": self._state,
        }  # fmt: skip
        self.readers.handlers |= {"/v1/chat/completions": self._read, "/state": self._state}
        for path in ("/rpc", *(f"/s{i}" for i in range(8))):
            self.tools.handlers[path] = self._tool
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
            file.write(self._text(self.engines.address, self.tools.address))
        self.gateway = await Gateway(file.name, self._package).start()
        return self

    async def _read(self, asked: Asked) -> None:
        asked.reply(202, b'{"cached_tokens":0}')

    async def _state(self, asked: Asked) -> None:
        asked.reply(204 if asked.method == "DELETE" else 200)

    async def _stream(self, asked: Asked) -> None:
        asked.begin()
        asked.chunk(b"data: before\n\n")
        self.streams[asked.headers["x-correlation-id"]] = asked
        await asked.closed()

    async def _tool(self, asked: Asked) -> None:
        del self.tools.seen[:]
        message = asked.message
        if message["method"] != "tools/call":
            if self.gone >= 1:
                asked.reset()
            else:
                asked.json({"jsonrpc": "2.0", "id": message["id"], "result": {}})
            return
        self.sends += 1
        self._numbers += 1
        if self._numbers * 7 % 10 < self.gone * 10:
            asked.reset()
        elif self.hold:
            await asked.closed()
        else:
            await asyncio.sleep(self._service)
            asked.json({"jsonrpc": "2.0", "id": message["id"], "result": {"content": []}})

    async def _reply(self, asked: Asked) -> None:
        del self.engines.seen[:]
        now = time.perf_counter()
        asked.reply(202)
        message = asked.message
        begun = self.sent.pop((asked.target.rpartition("/")[2], message["id"]), None)
        if begun is not None and "result" in message:
            self.took.append(now - begun)
        elif begun is not None:
            self.errors[message["error"]["code"]] += 1
        async with self.replied:
            self.replied.notify_all()

    async def open(self, count: int, start: int = 0) -> None:
        """So many streams, a few at a time."""
        for i in range(start, start + count):
            client = Client(self.gateway.address)
            self.clients.append(client)
            await client.open(f"q{i}", "ask", X_Time_Left_Ms="29000")
            while f"q{i}" not in self.streams:
                await asyncio.sleep(0.001)

    async def _plain(self, asked: Asked) -> None:
        asked.begin()
        for i in range(PIECES):
            asked.chunk(b'data: {"choices":[{"index":0,"delta":{"content":"word %d "}}]}\n\n' % i)
            await asyncio.sleep(PIECE_STEP)
        asked.end()

    async def plain(self, rate: float, seconds: float) -> tuple[int, list[float]]:
        """Whole requests at this rate, whatever becomes of them: how many, and what the served ones took."""
        self.engines.handlers["/v1/chat/completions"] = self._plain
        rng, took = random.Random(SEED), list[float]()

        async def one(number: int, due: float) -> None:
            client = await Client(self.gateway.address).open(f"p{number}", "ask", X_Time_Left_Ms="12000")
            status, whole = await client.rest()
            client.close()
            if (status, whole) == (200, True):
                took.append(time.perf_counter() - due)

        tasks = []
        due = time.perf_counter()
        end = due + seconds
        while due < end:
            due += rng.expovariate(rate)
            await asyncio.sleep(due - time.perf_counter())
            self._numbers += 1
            tasks.append(asyncio.create_task(one(self._numbers, due)))
        await asyncio.gather(*tasks)
        return len(tasks), took

    def call(self, stream: str, ident: int, due: float) -> None:
        params = {"name": "look", "arguments": {"sku": "4711"}}
        message = {"jsonrpc": "2.0", "id": ident, "method": "tools/call", "params": params}
        self.sent[stream, ident] = due
        self.streams[stream].chunk(event(message))

    async def offer(self, rate: float, seconds: float, at: dict[float, Any] | None = None) -> int:
        """Calls at this rate, whatever becomes of them, and their count; `at`: what is done at which time."""
        rng, due, first = random.Random(SEED), 0.0, self.calls
        began = time.perf_counter()
        todo = sorted((at or {}).items(), key=lambda item: item[0])
        while due < seconds:
            due += rng.expovariate(rate)
            while (now := time.perf_counter() - began) < due:
                await asyncio.sleep(due - now)
            while todo and todo[0][0] <= due:
                todo.pop(0)[1]()
            self.calls += 1
            self.call(f"q{self.calls % len(self.streams)}", self.calls, began + due)
        return self.calls - first

    async def drained(self, patience: float = 12.0) -> None:
        async with asyncio.timeout(patience), self.replied:
            await self.replied.wait_for(lambda: not self.sent)

    def cpu(self) -> float:
        """Seconds of the gateway so far."""
        fields = Path(f"/proc/{self.gateway.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def spent(self) -> float:
        """The same to the nanosecond, of its one thread."""
        return int(Path(f"/proc/{self.gateway.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def memory(self) -> float:
        """MB that the gateway holds."""
        pages = int(Path(f"/proc/{self.gateway.process.pid}/statm").read_text().split()[1])
        return pages * resource.getpagesize() / 1e6

    async def stop(self) -> None:
        for client in self.clients:
            client.close()
        await self.gateway.kill()
        for peer in (self.engines, self.readers, self.tools):
            await peer.stop()
        Path(self.gateway.file).unlink()


def _percentiles(seconds: list[float], less: float) -> dict[str, float]:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for took in seconds:
        histogram.record_value(max(1, int((took - less) * 1e6)))
    return {f"p{p:g} ms": histogram.get_value_at_percentile(p) / 1e3 for p in (50, 99, 99.9)}


async def added(package: Path, rate: float, seconds: float) -> dict[str, Any]:
    bench = await Bench(package, lambda registry, tools: config(registry, tools)).start()
    try:
        await bench.open(STREAMS)
        await bench.offer(rate, 2.0)  # so that imports, pools and limits are warm
        await bench.drained()
        bench.took.clear()
        before = bench.cpu()
        count = await bench.offer(rate, seconds)
        await bench.drained()
        spent = bench.cpu() - before
        lost = sum(bench.errors.values())
        return {
            "calls": count, **_percentiles(bench.took, SERVICE), "CPU us a call": spent / count * 1e6,
            "errors": lost, "MB": bench.memory(),
        }  # fmt: skip
    finally:
        await bench.stop()


async def streams(package: Path, rate: float, seconds: float) -> dict[str, Any]:
    bench = await Bench(package, lambda registry, tools: config(registry, tools)).start()
    try:
        await bench.plain(rate, 2.0)
        before = bench.cpu()
        count, took = await bench.plain(rate, seconds)
        spent = bench.cpu() - before
        return {
            "requests": count, "served": len(took), **_percentiles(took, PIECES * PIECE_STEP),
            "CPU us a request": spent / count * 1e6, "MB": bench.memory(),
        }  # fmt: skip
    finally:
        await bench.stop()


async def process(package: Path, requests: int) -> dict[str, Any]:
    """One gateway's first and last moments, by its own accounts; with so many requests between them."""
    bench = await Bench(package, lambda registry, tools: config(registry, tools)).start()
    try:
        begun = bench.spent()
        _, took = await bench.plain(requests / 4, 4.0)
        told = bench.spent()
        ended = resource.getrusage(resource.RUSAGE_CHILDREN)
        since = len(bench.gateway.lines)
        bench.gateway.process.send_signal(signal.SIGTERM)
        await bench.gateway.until("counters ", since)
        counted = bench.spent()
        await bench.gateway.process.wait()
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        whole = after.ru_utime + after.ru_stime - ended.ru_utime - ended.ru_stime
        return {
            "served": len(took), "start ms": begun * 1e3, "in order to end ms": (counted - told) * 1e3,
            "interpreter's end ms": (whole - counted) * 1e3,
        }  # fmt: skip
    finally:
        await bench.stop()


async def memory(package: Path, calls: int) -> dict[str, Any]:
    """Calls that wait or are out while the tool server says nothing; 16 a stream."""
    streams = -(-calls // 16)
    limits = "queue = 100000\nadaptive = true"
    bench = await Bench(package, lambda registry, tools: config(registry, tools, limits)).start()
    bench.hold = True
    try:
        text = Path(bench.gateway.file).read_text().replace("deadline_ms = 5000", "deadline_ms = 600000")
        await bench.gateway.reload(lambda _: text)
        await bench.open(streams)
        before = bench.memory()
        for i in range(calls):
            bench.call(f"q{i % streams}", i, 0.0)
            if i % 200 == 0:
                await asyncio.sleep(0.02)
        async with asyncio.timeout(20):
            while (await bench.gateway.counters()).get("tool_calls", 0) < calls:
                await asyncio.sleep(0.05)
        counters = await bench.gateway.counters()
        held = bench.memory()
        return {
            "open calls": calls, "streams": streams, "MB before": before, "MB": held,
            "bytes a call": (held - before) * 1e6 / calls, "descriptors": counters["most_descriptors"],
            "refused": sum(bench.errors.values()),
        }  # fmt: skip
    finally:
        await bench.stop()


async def stop(
    package: Path, name: str, limits: str, rate: float, share: float, servers: int = 3
) -> dict[str, Any]:
    """One second of calls, two in which this share of all calls is reset, five after."""
    bench = await Bench(package, lambda registry, tools: config(registry, tools, limits, servers)).start()
    try:
        await bench.open(2 * STREAMS)
        await bench.offer(rate / 4, 1.0)
        await bench.drained()
        bench.took.clear()
        bench.errors.clear()
        sends, marks = bench.sends, dict[str, int]()

        def gone() -> None:
            bench.gone, marks["gone"] = share, bench.sends

        def back() -> None:
            bench.gone, marks["back"] = 0.0, bench.sends

        count = await bench.offer(rate, 8.0, {1.0: gone, 3.0: back})
        await bench.drained()
        return {
            "reset": f"{share:.0%}", "variant": name, "calls": count, "sends": bench.sends - sends,
            "sends a call": (bench.sends - sends) / count,
            "sends in the stop": marks["back"] - marks["gone"], "served": len(bench.took) / count,
            "errors": dict(bench.errors), **_percentiles(bench.took, SERVICE),
        }  # fmt: skip
    finally:
        await bench.stop()


VARIANTS = {
    "adaptive limit and budget": "adaptive = true",
    "no adaptive limit": "adaptive = false",
    "no budget": "adaptive = true\nretry_share = 1\nretry_reserve = 1000",
    "neither": "adaptive = false\nretry_share = 1\nretry_reserve = 1000",
}


async def run(options: argparse.Namespace) -> dict[str, Any]:
    found: dict[str, Any] = {}
    packages = {"now": ROOT}
    if options.package:
        packages = {"earlier": Path(options.package).resolve(), **packages}
    if "added" in options.parts:
        found["added"] = []
        for round_ in range(options.rounds):
            for name, package in packages.items():
                row = await added(package, options.rate, options.seconds)
                found["added"].append({"build": name, "round": round_ + 1, **row})
        show(f"latency added by the relay at {options.rate:g} calls a second, open loop", found["added"])
    if "streams" in options.parts:
        found["streams"] = [
            {"build": name, "round": i + 1, **await streams(package, options.stream_rate, options.seconds)}
            for i in range(options.rounds)
            for name, package in packages.items()
        ]
        show(f"plain streams at {options.stream_rate:g} requests a second, open loop", found["streams"])
    if "process" in options.parts:
        found["process"] = [
            {"build": name, "round": i + 1, **await process(package, 200)}
            for i in range(options.rounds)
            for name, package in packages.items()
        ]
        show("processor time of one gateway's start and end", found["process"])
    if "memory" in options.parts:
        found["memory"] = [await memory(ROOT, count) for count in (500, 2_000, 5_000)]
        show("memory of open calls (192 MB and 1,024 descriptors configured)", found["memory"])
    if "stop" in options.parts:
        found["stop"] = [
            await stop(ROOT, name, limits, options.rate, share)
            for share in (1.0, 0.4)
            for name, limits in VARIANTS.items()
        ]
        show("three tool servers reset calls for 2 s", found["stop"])
    return found


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.relay", description=__doc__)
    parser.add_argument("parts", nargs="*", default=["added", "memory", "stop", "streams", "process"])
    parser.add_argument("--rate", type=float, default=120.0, help="calls a second")
    parser.add_argument("--stream-rate", type=float, default=30.0, help="plain requests a second")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--package", help="the folder of an earlier checkout, measured in turn")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    keep(options.json, asyncio.run(run(options)))


if __name__ == "__main__":
    main()
