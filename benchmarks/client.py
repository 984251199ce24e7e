"""What the partners' library costs and spares: `python -m benchmarks.client [--json FILE]`.

`refusals`: goodput and sends per request at 0 to 75% refusals, beside a naive client that tries three times
at once; `reconnects`: a thousand clients lose their connections in one second; `spread`: load over 3, 30 and
300 gateways with and without subsets; `memory`: what a thousand sessions take; these in virtual time, over
seeds, with bootstrap intervals. `overhead`: each front against h11 alone, on loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import resource
import socket
import time
import tracemalloc
from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any

import h11
from hdrh.histogram import HdrHistogram
from scipy import stats

from basaltspread import client as library
from basaltspread.client import core
from basaltspread.client.core import Gateway, How, Policy
from basaltspread.client.virtual import World
from basaltspread.conformance.peers import Asked, Peer
from basaltspread.conformance.world import ROOT, Engine, Needs
from basaltspread.conformance.world import World as World_
from benchmarks.table import keep, show

MS, SECOND = 1000, 1_000_000
SEEDS = range(10)
MESSAGES = [{"role": "user", "content": "one pair, please"}]


def interval(values: Sequence[float]) -> str:
    """The mean and a 95% bootstrap interval of it."""
    mean = sum(values) / len(values)
    if max(values) - min(values) < 1e-12:
        return f"{mean:.3f}"
    found = stats.bootstrap((list(values),), lambda v, axis: v.mean(axis=axis), rng=1).confidence_interval
    return f"{mean:.3f} ({found.low:.3f} to {found.high:.3f})"


# --- refusals -------------------------------------------------------------------------------------------


def _library(share: float, seed: int) -> tuple[float, float]:
    lots = random.Random(seed)

    def answer(gateway: str, now: int) -> tuple[How | None, int, str]:
        return (How.REFUSED, 2 * MS, "0.5") if lots.random() < share else (None, 40 * MS, "")

    world, count = World(answer, keeps=True), 2000
    state = core.State(Policy(), [Gateway("a:1")], seed)
    for i in range(count):
        world.feed(state, core.Asked(i, i % 4 == 0, 5.0 if i % 4 == 0 else 2.0, "", world.now + 6 * SECOND))
        world.run(world.now + 20 * MS)
    world.run(world.now + 10 * SECOND)
    served = sum(isinstance(end, core.Done) for end in world.ends.values())
    return served / count, len(world.sends) / count


def _naive(share: float, seed: int) -> tuple[float, float]:
    """Three tries at once, whatever it is told."""
    lots = random.Random(seed)
    count, served, sends = 2000, 0, 0
    for _ in range(count):
        for _ in range(3):
            sends += 1
            if lots.random() >= share:
                served += 1
                break
    return served / count, sends / count


def refusals() -> list[dict[str, Any]]:
    rows = []
    for share in (0.0, 0.25, 0.5, 0.75):
        for name, play in (("naive", _naive), ("library", _library)):
            runs = [play(share, seed) for seed in SEEDS]
            rows.append({
                "refused": f"{share:.0%}", "client": name, "goodput": interval([r[0] for r in runs]),
                "sends a request": interval([r[1] for r in runs]),
            })  # fmt: skip
    return rows


# --- reconnects -----------------------------------------------------------------------------------------


def reconnects() -> tuple[list[dict[str, Any]], list[int]]:
    fullest, widths, waits = [], [], HdrHistogram(1, 60_000_000, 3)
    bins: Counter[int] = Counter()
    for seed in SEEDS:
        world = World(lambda gateway, now: (None, 5 * MS, ""))
        states = [core.State(Policy(), [Gateway("g:1")], f"{seed}/{i}") for i in range(1000)]
        for state in states:
            world.feed(state, core.Kept("g:1"))
        began, lots = world.now, random.Random(seed)
        for number, state in enumerate(states):
            world.later(state, 500 * MS, core.Lost("g:1", asked=False))
            world.later(state, 500 * MS + int(lots.random() * SECOND),
                        core.Asked(number, False, 1.0, "", world.now + 10 * SECOND))  # fmt: skip
        world.run(began + 14 * SECOND)
        times = [at - began for at, _, _ in world.sends]
        counts = Counter(t // (100 * MS) for t in times)
        fullest.append(max(counts.values()) / (len(times) / 40))
        widths.append((max(times) - min(times)) / SECOND)
        bins.update(counts)
        for took in times:
            waits.record_value(max(1, took - 500 * MS))
    row = {
        "clients": 1000, "fullest 100 ms over an even share of 4 s": interval(fullest),
        "seconds from first to last": interval(widths),
        "wait p50 s": waits.get_value_at_percentile(50) / SECOND,
        "p99 s": waits.get_value_at_percentile(99) / SECOND,
    }  # fmt: skip
    return [row], [bins[i] for i in range(max(bins) + 1)]


async def real(clients: int) -> list[dict[str, Any]]:
    """The real program, killed with a connection of each client at rest and started again 1 s later at the
    same address; each client asks once in the second after the kill."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 3 * clients + 200)), hard))
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"

    async def script(engine: Engine) -> None:
        engine.send({"choices": [{"index": 0, "delta": {"content": "x"}, "finish_reason": None}]})
        engine.end()

    world = _Fixed(ROOT, [Needs()], address, 4 * clients)
    world.scripts = defaultdict(lambda: script)
    await world.start()
    stage = [library.Client([address], seed=i) for i in range(clients)]

    async def ask(client: library.Client, wait: float) -> float | None:
        await asyncio.sleep(wait)
        try:
            await (await client.ask(MESSAGES, request_class="ask", unsafe=False, timeout=14.0)).text()
        except library.ClientError:
            return None
        return time.perf_counter() - killed

    try:
        killed, lots = time.perf_counter(), random.Random(1)
        for i in range(0, clients, 50):
            await asyncio.gather(*(ask(client, 0.0) for client in stage[i : i + 50]))
        await world.gateways[-1].kill()
        killed = time.perf_counter()
        asking = [asyncio.ensure_future(ask(client, lots.random())) for client in stage]
        await asyncio.sleep(1.0)
        await world.gateway()
        up = time.perf_counter() - killed
        times = [took for took in await asyncio.gather(*asking) if took is not None]
        bins = Counter(int(took * 10) for took in times)
        span = max(times) - min(times)
        return [{
            "clients": clients, "served": len(times), "gateway back after s": up,
            "first to last s": span,
            "fullest 100 ms over the even share": max(bins.values()) * span * 10 / len(times),
            "sends a request": sum(c.state.counters["sends"] for c in stage) / clients - 1,
        }]  # fmt: skip
    finally:
        for client in stage:
            await client.close()
        await world.stop()


class _Fixed(World_):
    """A world whose gateway listens at one address, with descriptors for many."""

    def __init__(self, package: Any, slots: Any, address: str, sockets: int) -> None:
        super().__init__(package, slots)
        self._address, self._sockets = address, sockets

    def _text(self) -> str:
        text = super()._text().replace('listen = "127.0.0.1:0"', f'listen = "{self._address}"', 1)
        return text.replace("sockets = 1024", f"sockets = {self._sockets}")


# --- spread and memory ----------------------------------------------------------------------------------


def spread() -> list[dict[str, Any]]:
    rows = []
    for gateways in (3, 30, 300):
        for most in (0, 20):
            if most and most >= gateways:
                continue
            most_over_mean, connections = [], []
            for seed in SEEDS[:3]:
                world = World(lambda gateway, now: (None, 20 * MS, ""))
                listed = [Gateway(f"g{i}:1") for i in range(gateways)]
                states = [core.State(Policy(subset=most), listed, f"{seed}/{c}") for c in range(300)]
                for i in range(20):
                    for state in states:
                        world.feed(state, core.Asked(i, False, 1.0, "", world.now + 5 * SECOND))
                    world.run(world.now + 50 * MS)
                load = Counter(gateway for _, gateway, _ in world.sends)
                most_over_mean.append(max(load.values()) * gateways / sum(load.values()))
                used = [len(state.known) for state in states]
                connections.append(sum(used) / len(used))
            rows.append({
                "gateways": gateways, "subset": most or "all",
                "fullest over the mean": interval(most_over_mean),
                "gateways a client": connections[0],
            })  # fmt: skip
    return rows


def memory() -> list[dict[str, Any]]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    world = World(lambda gateway, now: (None, 20 * MS, ""))
    state = core.State(Policy(), [Gateway(f"g{i}:1") for i in range(30)], 1)
    for i in range(1000):
        world.feed(state, core.Asked(i, False, 1.0, f"session-{i:016x}", world.now + 5 * SECOND))
    open_ = tracemalloc.get_traced_memory()[0] - before
    world.run(world.now + 20 * SECOND)
    world.sends.clear()
    world.ends.clear()
    world.ended_at.clear()
    rest = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return [{"sessions": 1000, "kB with all open": open_ / 1e3, "kB at rest": rest / 1e3}]


# --- overhead -------------------------------------------------------------------------------------------


async def _bare(address: str, count: int) -> list[float]:
    """h11 on one kept connection, and nothing else."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    http, took = h11.Connection(h11.CLIENT), []
    body = json.dumps({"messages": MESSAGES}).encode()
    for i in range(count):
        began = time.perf_counter()
        head = h11.Request(method="POST", target="/v1/chat/completions", headers=[
            ("Host", address), ("X-Correlation-Id", f"b{i}"), ("Content-Length", str(len(body))),
        ])  # fmt: skip
        for part in (head, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(http.send(part) or b"")
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
        http.start_next_cycle()
        took.append(time.perf_counter() - began)
    writer.close()
    return took


async def _front(address: str, count: int) -> list[float]:
    took = []
    async with library.Client([address], seed=1) as client:
        for _ in range(count):
            began = time.perf_counter()
            await (await client.ask(MESSAGES, request_class="ask", unsafe=False)).text()
            took.append(time.perf_counter() - began)
    return took


def _blocking(address: str, count: int) -> list[float]:
    took = []
    with library.BlockingClient([address], seed=1) as client:
        for _ in range(count):
            began = time.perf_counter()
            client.ask(MESSAGES, request_class="ask", unsafe=False).text()
            took.append(time.perf_counter() - began)
    return took


async def overhead(count: int) -> list[dict[str, Any]]:
    peer = await Peer().start()

    async def serve(asked: Asked) -> None:
        del peer.seen[:]
        asked.begin()
        for _ in range(5):
            asked.event({"choices": [{"index": 0, "delta": {"content": "oqvh "}, "finish_reason": None}]})
        asked.end()

    peer.handlers["/v1/chat/completions"] = serve
    rows = []
    for name in ("h11 alone", "Client", "BlockingClient") * 2:
        if name == "BlockingClient":
            took = await asyncio.to_thread(_blocking, peer.address, count)
        else:
            took = await (_bare if name == "h11 alone" else _front)(peer.address, count)
        histogram = HdrHistogram(1, 60_000_000, 3)
        for seconds in took:
            histogram.record_value(max(1, int(seconds * 1e6)))
        rows.append({"front": name, **{
            f"p{p:g} us": histogram.get_value_at_percentile(p) for p in (50, 99, 99.9)
        }})  # fmt: skip
    await peer.stop()
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.client", description=__doc__)
    every = ["refusals", "reconnects", "real", "spread", "memory", "overhead"]
    parser.add_argument("parts", nargs="*", default=every)
    parser.add_argument("--count", type=int, default=1000, help="requests for each front in `overhead`")
    parser.add_argument("--clients", type=int, default=1000, help="clients in `real`")
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    found: dict[str, Any] = {}
    if "refusals" in options.parts:
        found["refusals"] = refusals()
        show("a gateway that refuses (mean over 10 seeds, 95% interval)", found["refusals"])
    if "reconnects" in options.parts:
        found["reconnects"], found["histogram of 100 ms"] = reconnects()
        show("a thousand clients lose their connections at once", found["reconnects"])
        print("new connections for each 100 ms, all seeds:", *found["histogram of 100 ms"])
    if "real" in options.parts:
        found["real"] = asyncio.run(real(options.clients))
        show("the real program killed and started again", found["real"])
    if "spread" in options.parts:
        found["spread"] = spread()
        show("load over gateways, 300 clients", found["spread"])
    if "memory" in options.parts:
        found["memory"] = memory()
        show("memory of the core", found["memory"])
    if "overhead" in options.parts:
        found["overhead"] = asyncio.run(overhead(options.count))
        show("a request on loopback, the stand-in's part included", found["overhead"])
    keep(options.json, found)


if __name__ == "__main__":
    main()
