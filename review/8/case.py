"""The registry is briefly empty while tool calls are under way: their replies never reach their engines."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "peers2"))
import lib
import sidecar

STREAMS = 4
TOOL_TAKES = 2.5  # s; the operator's file gives a call 5
EMPTY_AT, EMPTY_FOR = 0.8, 3.0  # s after the requests went out; "briefly"


async def case(record: lib.Record, scratch: Path) -> int:
    reader, writer = lib.Reader(record, "reader"), sidecar.ToolEngine(record, "writer")
    registry, tools = sidecar.Eureka(record), sidecar.ToolServer(record)
    tools.takes_s = TOOL_TAKES
    for server in (reader.server, writer.server, registry.server, tools.server):
        await server.start()

    def register() -> None:
        registry.add("reader", reader.server.address, "prefill")
        registry.add("writer", writer.server.address, "decode")

    register()
    listen, management = f"127.0.0.1:{lib.free_port()}", f"127.0.0.1:{lib.free_port()}"
    file = await sidecar.operators_file(
        scratch, registry.server.address, tools.server.address, listen, management
    )
    sidecar.changed(file, fetch_s="1", renew_s="3", resume="false")
    gateway = lib.Gateway(record, scratch, "shop")
    gateway.address = listen
    answers: dict[str, lib.Answer] = {}

    async def order(rid: str) -> None:
        client = await lib.Client(listen, record).open()
        answers[rid] = await client.ask(rid, "order")
        client.close()

    try:
        await gateway.start(sidecar=str(file))
        await gateway.until_ready()
        await asyncio.sleep(1.5)  # it has fetched the list
        for number in range(STREAMS):
            writer.calls[f"q{number}"] = [sidecar.call_of(1, "place_order", sku=f"47{number}")]
        tasks = [asyncio.get_running_loop().create_task(order(rid)) for rid in writer.calls]
        await asyncio.sleep(EMPTY_AT)
        if lib.TROUBLE:
            record.say("registry: restarts, and knows nobody until the engines renew their leases")
            registry.forget()
            await asyncio.sleep(EMPTY_FOR)
            register()
            record.say("registry: the engines have registered again")
        await asyncio.gather(*tasks)
        alive = gateway.alive()
    finally:
        await gateway.kill()
        for server in (reader.server, writer.server, registry.server, tools.server):
            await server.stop()
    if len(tools.placed) < STREAMS:
        raise lib.CouldNotRun(f"only {len(tools.placed)} orders were placed")
    lost = [rid for rid in writer.calls if not writer.replies.get(rid)]
    cut = [rid for rid, got in answers.items() if got.status == 200 and not got.whole]
    record.say(f"{len(tools.placed)} orders placed; without a reply: {lost}; streams cut: {cut}; {alive=}")
    return lib.BROKEN if lost or cut else lib.HELD


if __name__ == "__main__":
    lib.main(__file__, case)
