"""An open watch is reset while idle clients fill the descriptors: drains that follow are learnt late."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "peers2"))
import lib

SOCKETS = 256
BUSY = SOCKETS // 3  # connections that clients hold for requests
CROWD = 200  # idle connections that others try to hold
EACH = 6  # readers, and as many writers
TOKENS, GAP = 200, 0.06  # of an answer
READ_S = 0.3  # s that a read takes
AGAIN = 0.02  # s within which a client that got its answer, or was refused, asks again
ROUNDS = 5
WARM = 13.0  # s until the first reset
STEPS, STEP = 4, 2.0  # s from a reset to the first drains, and from each to the next
LASTS = 12.0  # s from a reset until the drains are called off
GRACE = 0.25 + 0.05 + 0.15  # s: the limit on drains, the slack on sockets, and how long a process may stand


async def reset_and_drain(discovery: lib.Discovery, drained: list[tuple[float, str, float]]) -> None:
    """The open watch is reset; in the seconds after that, engines begin to drain in steps. The drains of the
    round before have been called off by then."""
    back = [name for name, entry in discovery.entries.items() if entry["lifecycle"] != "up"]
    if back:
        await discovery.change_many(back, "up")
        await asyncio.sleep(1.0)
    if lib.TROUBLE:
        discovery.record.say("discovery: the open watch is reset")
        for conn in list(discovery.server.open):
            conn.writer.transport.abort()
    began = discovery.record.now()
    for step in range(STEPS):
        await asyncio.sleep(STEP)
        names = [f"reader-{step}", f"writer-{step}"]
        await discovery.change_many(names, "draining")
        drained += [(discovery.record.now(), name, began + LASTS) for name in names]
    await asyncio.sleep(began + LASTS - discovery.record.now())


async def case(record: lib.Record, scratch: Path) -> int:
    lots = random.Random(8)

    readers = [lib.Reader(record, f"reader-{i}", READ_S) for i in range(EACH)]
    writers = [lib.Writer(record, f"writer-{i}") for i in range(EACH)]
    discovery = await lib.Discovery(record).start()
    for engine, kind in [(r, "prefill") for r in readers] + [(w, "decode") for w in writers]:
        if kind == "decode":
            engine.tokens, engine.gap = TOKENS, GAP
        await engine.server.start()
        discovery.add(engine.name, engine.server.address, kind)
    gateway = lib.Gateway(record, scratch)
    config = lib.config_for(discovery.address, lib.SETTINGS, discovery.whole())
    config["limits"]["sockets"] = SOCKETS
    statuses: dict[int, int] = {}
    over = False

    async def busy(number: int) -> None:
        await asyncio.sleep(lots.uniform(0, 3))
        sent = 0
        while not over:
            sent += 1
            with contextlib.suppress(OSError):
                client = await lib.Client(gateway.address, record).open()
                got = await client.ask(f"q{number}x{sent}", "ask" if number % 4 else "order")
                statuses[got.status] = statuses.get(got.status, 0) + 1
                client.close()
            await asyncio.sleep(lots.uniform(0.0, AGAIN))

    async def crowd() -> None:
        held: list[asyncio.StreamWriter] = []
        host, _, port = gateway.address.rpartition(":")
        while not over:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(host, int(port))
                held.append(writer)
                if len(held) > CROWD:
                    held.pop(0).close()
            await asyncio.sleep(0.02)
        for writer in held:
            writer.close()

    drained: list[tuple[float, str, float]] = []
    try:
        await gateway.start(config)
        await gateway.until_ready()
        tasks = [asyncio.get_running_loop().create_task(busy(n)) for n in range(BUSY)]
        tasks.append(asyncio.get_running_loop().create_task(crowd()))
        await asyncio.sleep(WARM)
        for _ in range(ROUNDS):
            await reset_and_drain(discovery, drained)
        over = True
        await asyncio.wait(tasks, timeout=16)
        for task in tasks:
            task.cancel()
    finally:
        await gateway.kill()
        for server in [e.server for e in (*readers, *writers)] + [discovery.server]:
            await server.stop()
    sends = {e.name: e.reads for e in readers} | {e.name: e.writes for e in writers}
    late = [
        f"{rid} was sent to {name}, which drains, {at - told:.2f} s after that was told"
        for told, name, until in drained
        for at, rid in sends[name]
        if told + GRACE < at < until
    ]
    for line in late:
        record.say(f"late: {line}")
    if statuses.get(200, 0) < BUSY:
        raise lib.CouldNotRun(f"too few were served: {statuses}")
    record.say(f"answers by status: {statuses}; {len(late)} sends late")
    return lib.BROKEN if late else lib.HELD


if __name__ == "__main__":
    lib.main(__file__, case)
