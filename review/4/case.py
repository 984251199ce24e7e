"""Case 4: the registry's list is briefly empty while orders wait for the replies of their tool calls."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import sidecar, world

SEED = 4
ORDERS = 60
PACE = 0.2  # s between two orders
TOOL_TAKES = 1.0  # s that the tool server works on a call; its deadline in the operator's file is 5 s
EMPTY_AT = 4.0  # s after the first order
EMPTY_FOR = 2.0  # s
READERS, WRITERS = 3, 2


async def case(record: world.Record, scratch: Path) -> int:
    runs: dict[str, list[str]] = {}
    fleet = world.Fleet(record, random.Random(SEED))
    for i in range(READERS):
        world.Engine(fleet, f"r{i}", "prefill", "local")
    writers = [sidecar.ToolWriter(fleet, f"w{i}", runs) for i in range(WRITERS)]
    for engine in fleet.engines:
        await engine.server.start()
    registry, tools = sidecar.Registry(record), sidecar.ToolServer(record, TOOL_TAKES)
    await registry.server.start()
    await tools.server.start()
    for engine in fleet.engines:
        registry.put(engine, "UP")
    gateway = world.Gateway("duty-free", scratch, record)
    answers: dict[str, world.Answer] = {}
    try:
        file = sidecar.operators_file(
            scratch, "duty-free", registry.server.address, tools.server.address, fetch_s=1
        )
        file.write_text(file.read_text("utf-8").replace("resume = true", "resume = false"), "utf-8")
        await gateway.start(sidecar=file)
        await asyncio.sleep(1.5)
        front = world.Clients(gateway.address)
        blip = asyncio.create_task(empty(record, registry))

        async def one(number: int) -> None:
            rid = f"order{number:03d}-{fleet.lot.getrandbits(32):08x}"
            answers[rid] = answer = await front.ask(rid, "order", 5500, words=f"Place order-{number}.")
            how = "whole" if answer.whole else "cut"
            record.say(f"client {rid} got {answer.status}, {how}: {''.join(answer.texts())}")

        async with asyncio.TaskGroup() as group:
            for number in range(ORDERS):
                group.create_task(one(number))
                await asyncio.sleep(PACE)
        await blip
        front.close()
    finally:
        await gateway.end()
        for line in gateway.lines:
            if "tool" in line or "read" in line:
                record.say(f"gateway: {line[:300]}")
        registry.server.stop()
        tools.server.stop()
        fleet.stop()
    return judge(record, answers, writers, tools)


async def empty(record: world.Record, registry: sidecar.Registry) -> None:
    """Nobody is listed for a while, then all are again: none has ended or begun to drain."""
    await asyncio.sleep(EMPTY_AT)
    if not world.trouble():
        return
    listed, registry.listed, registry.changes = registry.listed, {}, []
    record.say("registry: its list is empty")
    await asyncio.sleep(EMPTY_FOR)
    registry.listed = listed
    record.say("registry: its list is as before")


def judge(
    record: world.Record, answers: dict[str, world.Answer], writers: list[sidecar.ToolWriter],
    tools: sidecar.ToolServer,
) -> int:  # fmt: skip
    """Each call of a running stream gets its one reply, and no stream is cut whose engine runs."""
    replies = {rid: reply for writer in writers for rid, reply in writer.replies.items()}
    replied = {rid for rid, reply in replies.items() if reply.done() and not reply.cancelled()}
    made = {key.partition("/")[0] for _, _, key in tools.calls}
    lost = [rid for rid, a in answers.items() if rid in made and rid not in replied and not a.whole]
    for rid in lost:
        record.say(f"LOST: {rid}: its call was made and answered, its engine never got the reply, and its "
                   f"client's stream was cut (status {answers[rid].status})")  # fmt: skip
    whole = sum(a.whole and a.status == 200 for a in answers.values())
    refused = sum(a.status == 503 for a in answers.values())
    text = f"{len(answers)} orders: {whole} answered whole, {refused} refused, {len(lost)} lost"
    record.say(text)
    print(text)
    return world.BROKEN if lost else world.HELD


world.play(Path(__file__).resolve().parent, case)
