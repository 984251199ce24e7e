"""A replica of the registry lags for some seconds: an engine that was told to drain gets work again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "peers2"))
import lib
import sidecar

RATE = 20.0  # requests a second
DRAINED_AT, STALE_AT, STALE_FOR, LASTS = 3.0, 6.0, 8.0, 18.0  # s
GRACE = 0.25 + 0.05 + 0.15  # s: the limit on drains, the slack on sockets, and how long a process may stand


async def case(record: lib.Record, scratch: Path) -> int:
    readers = [lib.Reader(record, f"reader-{i}") for i in range(2)]
    writers = [lib.Writer(record, f"writer-{i}") for i in range(3)]
    registry, tools = sidecar.Eureka(record), sidecar.ToolServer(record)
    for server in [e.server for e in (*readers, *writers)] + [registry.server, tools.server]:
        await server.start()
    for engine, kind in [(r, "prefill") for r in readers] + [(w, "decode") for w in writers]:
        registry.add(engine.name, engine.server.address, kind)
    listen, management = f"127.0.0.1:{lib.free_port()}", f"127.0.0.1:{lib.free_port()}"
    file = await sidecar.operators_file(
        scratch, registry.server.address, tools.server.address, listen, management
    )
    sidecar.changed(file, fetch_s="1")
    gateway = lib.Gateway(record, scratch, "shop")
    gateway.address = listen
    statuses: dict[int, int] = {}

    async def one(rid: str) -> None:
        client = await lib.Client(listen, record).open()
        got = await client.ask(rid, "order" if int(rid[1:]) % 4 == 0 else "ask")
        statuses[got.status] = statuses.get(got.status, 0) + 1
        client.close()

    async def troubles() -> None:
        await asyncio.sleep(DRAINED_AT)
        registry.copy()  # the other replica has all up to here
        registry.status("writer-0", "OUT_OF_SERVICE")
        await asyncio.sleep(STALE_AT - DRAINED_AT)
        if lib.TROUBLE:
            registry.lags(True)
            await asyncio.sleep(STALE_FOR)
            registry.lags(False)

    tasks: list[asyncio.Task[None]] = []
    try:
        await gateway.start(sidecar=str(file))
        await gateway.until_ready()
        await asyncio.sleep(1.5)  # it has fetched the list
        began = record.now()
        tasks.append(asyncio.get_running_loop().create_task(troubles()))
        while record.now() - began < LASTS:
            tasks.append(asyncio.get_running_loop().create_task(one(f"q{len(tasks):05d}")))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)
    finally:
        await gateway.kill()
        for server in [e.server for e in (*readers, *writers)] + [registry.server, tools.server]:
            await server.stop()
    told = registry.told.get("writer-0")
    if told is None or statuses.get(200, 0) < len(tasks) / 2:
        raise lib.CouldNotRun(f"told at {told}, answers {statuses}")
    late = [(at, rid) for at, rid in writers[0].writes if at > told + GRACE]
    for at, rid in late:
        record.say(f"late: {rid} was sent to writer-0, which drains, {at - told:.2f} s after that was told")
    record.say(f"answers by status: {statuses}; told at {told:.3f}; {len(late)} sends late")
    return lib.BROKEN if late else lib.HELD


if __name__ == "__main__":
    lib.main(__file__, case)
