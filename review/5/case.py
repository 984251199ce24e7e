"""Case 5: the registry says in its changes that an engine drains, and is slow with the whole list."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import sidecar, world

SEED = 5
RATE = 30.0  # requests a second
QUIET = 6.0  # s until the engine drains
STALL = 8.0  # s for which the registry leaves calls for the whole list waiting
AFTER = 14.0  # s that are played from the drain on
FINISHES = 3.5  # s that the drained engine has for the work it was sent before; then its process ends
GRACE = 0.250 + 0.050  # s: the rule's, and what sockets have more
READERS, WRITERS = 4, 3


class Writer(world.Engine):
    event_time = (0.01, 0.04)
    events = (10, 40)


async def case(record: world.Record, scratch: Path) -> int:
    lot = random.Random(SEED)
    fleet = world.Fleet(record, lot)
    for i in range(READERS):
        world.Engine(fleet, f"r{i}", "prefill", "local", i % 2)
    for i in range(WRITERS):
        Writer(fleet, f"w{i}", "decode", "local", i % 2)
    late = Writer(fleet, "w-new", "decode", "local", 1)
    for engine in fleet.engines:
        await engine.server.start()
    registry, tools = sidecar.Registry(record), sidecar.ToolServer(record, 0.05)
    await registry.server.start()
    await tools.server.start()
    for engine in fleet.engines:
        if engine is not late:
            registry.put(engine, "UP")
    gateway = world.Gateway("duty-free", scratch, record)
    try:
        file = sidecar.operators_file(
            scratch, "duty-free", registry.server.address, tools.server.address, fetch_s=1
        )
        file.write_text(file.read_text("utf-8").replace("resume = true", "resume = false"), "utf-8")
        await gateway.start(sidecar=file)
        answers: list[tuple[str, world.Answer]] = []
        front = world.Clients(gateway.address)
        load = asyncio.create_task(ask_on(record, lot, front, answers))
        await asyncio.sleep(QUIET)
        drained = next(engine for engine in fleet.engines if engine.name == "w0")
        await disrupt(registry, drained, late)
        await asyncio.sleep(FINISHES)
        drained.server.stop()
        record.say(f"engine {drained.name} has had its time and ends")
        await asyncio.sleep(AFTER - FINISHES)
        load.cancel()
        await asyncio.sleep(1.0)
        front.close()
        return judge(record, registry, fleet, drained, answers)
    finally:
        await gateway.end()
        record.say(f"counters: {gateway.counters()}")
        registry.server.stop()
        tools.server.stop()
        fleet.stop()


async def disrupt(registry: sidecar.Registry, drained: world.Engine, late: world.Engine) -> None:
    """One engine came a while ago, longer than changes are kept, and one drains: the hash code counts both,
    the changes tell the drain alone, so that a client has to fetch the whole list. That is slow."""
    until = time.monotonic() + STALL

    async def stall(path: str) -> None:
        if path == "/eureka/apps" and (rest := until - time.monotonic()) > 0:
            await asyncio.sleep(rest)

    if world.trouble():
        registry.before = stall
    registry.changes.clear()
    registry.put(late, "UP", in_changes=False)
    registry.put(drained, "OUT_OF_SERVICE", "MODIFIED")


async def ask_on(
    record: world.Record, lot: random.Random, front: world.Clients, answers: list[tuple[str, world.Answer]]
) -> None:
    async def one(rid: str, cls: str) -> None:
        answer = await front.ask(rid, cls)
        record.say(f"client {rid} ({cls}) got {answer.status}{'' if answer.whole else ', cut'}")
        answers.append((cls, answer))

    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            await asyncio.sleep(lot.expovariate(RATE))
            cls = "order" if lot.random() < 0.27 else "ask"
            group.create_task(one(f"{lot.getrandbits(40):010x}{number:06x}", cls))


def judge(
    record: world.Record, registry: sidecar.Registry, fleet: world.Fleet, drained: world.Engine,
    answers: list[tuple[str, world.Answer]],
) -> int:  # fmt: skip
    """Nothing new reaches the engine later than 250 ms after the registry has written that it drains."""
    told = [at for at, _, statuses in registry.told if statuses.get(drained.name) == "OUT_OF_SERVICE"]
    if not told:
        record.say("the drain was never told")
        return world.NOT_RUN
    sent = [(at, rid) for at, name, rid in (*fleet.writes, *fleet.asked_places) if name == drained.name]
    late = {rid: at - told[0] for at, rid in sent if at > told[0] + GRACE}
    for rid, after in late.items():
        record.say(f"LATE: {rid} reaches {drained.name} {after:.2f} s after its drain was told")
    lost = 0
    for cls, answer in answers:
        if answer.rid in late and (not answer.whole or answer.status not in (200, 503)):
            lost += 1
            record.say(f"LOST: {cls} {answer.rid} got {answer.status}, {'whole' if answer.whole else 'cut'}")
    text = f"{drained.name} was sent nothing too late"
    if late:
        text = f"{drained.name} was sent {len(late)} requests too late, the last {max(late.values()):.2f} s "
        text += f"after it was told to drain; {lost} of them were cut or failed"
    record.say(text)
    print(text)
    return world.BROKEN if late else world.HELD


world.play(Path(__file__).resolve().parent, case)
