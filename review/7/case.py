"""A whole list of a large fleet, after a new configuration has moved discovery: it is never taken in."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "peers2"))
import lib

ENGINES = 2000  # listed; the pages name fleets of up to 3,200
FARMS = 5  # processes that stand in for them
READERS_SHARE = 0.4
RATE = 10.0  # requests a second
MOVED_AT, DRAINED_AT, TOLD_AFTER, LASTS = 4.0, 6.0, 6.0, 24.0  # s
GRACE = 0.25 + 0.05 + 0.15  # s: the limit on drains, the slack on sockets, and how long a process may stand


class Farm:
    """A process that stands in for many engines; see farm.py."""

    def __init__(self, number: int, record: lib.Record) -> None:
        self.number, self.record = number, record
        self.addresses: list[str] = []
        self.sends: list[tuple[float, int, str]] = []  # when, which of its engines, request

    async def start(self, kind: str, count: int) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", str(Path(lib.__file__).parent / "farm.py"), kind, str(count),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 20,
        )  # fmt: skip
        assert self.process.stdout is not None
        self.addresses = json.loads(await self.process.stdout.readline())
        self.task = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while raw := await self.process.stdout.readline():
            at, engine, rid = json.loads(raw)
            self.sends.append((at - self.record.began, engine, rid))

    async def stop(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


async def case(record: lib.Record, scratch: Path) -> int:
    farms = [Farm(number, record) for number in range(FARMS)]
    first = await lib.Discovery(record).start()
    second = await lib.Discovery(record).start()
    gateway = lib.Gateway(record, scratch)
    count = ENGINES // FARMS
    names: dict[tuple[int, int], str] = {}
    statuses: dict[int, int] = {}

    async def one(rid: str) -> None:
        client = await lib.Client(gateway.address, record).open()
        got = await client.ask(rid)
        statuses[got.status] = statuses.get(got.status, 0) + 1
        client.close()

    async def move(config: dict[str, object]) -> None:
        gateway.write({**config, "discovery": second.address})
        gateway.signal(signal.SIGHUP)
        await first.server.stop_accepting()
        await asyncio.sleep(1.5)
        await first.server.stop()

    try:
        for farm in farms:
            kind = "prefill" if farm.number < FARMS * READERS_SHARE else "decode"
            await farm.start(kind, count)
            for number, address in enumerate(farm.addresses):
                name = names[farm.number, number] = f"s-{farm.number}{number:07d}"
                for discovery in (first, second):
                    discovery.add(name, address, kind)
        record.say(f"{len(names)} engines; the whole list takes {len(json.dumps(first.whole()))} bytes")
        second.version = first.version = 41
        config = lib.config_for(first.address, lib.SETTINGS, first.whole())
        await gateway.start(config)
        await gateway.until_ready()
        began = record.now()
        tasks: list[asyncio.Task[None]] = []
        moved = drained = False
        drained_at = 0.0
        leaving = {name for (_, number), name in names.items() if number % 4 == 1}
        while record.now() - began < LASTS:
            tasks.append(asyncio.get_running_loop().create_task(one(f"q{len(tasks):05d}")))
            await asyncio.sleep(1 / RATE)
            if lib.TROUBLE and not moved and record.now() - began >= MOVED_AT:
                moved = True
                tasks.append(asyncio.get_running_loop().create_task(move(config)))
            if not drained and record.now() - began >= DRAINED_AT:
                drained = True
                for discovery in (first, second):
                    await discovery.change_many(sorted(leaving), "draining")
                drained_at = record.now()
        await asyncio.gather(*tasks)
    finally:
        await gateway.kill()
        for farm in farms:
            if hasattr(farm, "process"):
                await farm.stop()
        for discovery in (first, second):
            await discovery.server.stop()
    told = drained_at + TOLD_AFTER  # however it was told
    late = []
    for farm in farms:
        for at, number, rid in farm.sends:
            if names[farm.number, number] in leaving and at > told + GRACE:
                late.append((at, names[farm.number, number], rid))
    sends = sum(len(farm.sends) for farm in farms)
    record.say(f"{sends} sends; answers by status: {statuses}; drains count as told at {told:.3f}")
    for at, name, rid in sorted(late):
        record.say(f"late: {rid} was sent to {name}, which drains, {at - told:.3f} s after that was told")
    if statuses.get(200, 0) < len(tasks) / 2:
        raise lib.CouldNotRun(f"too few were served: {statuses}")
    return lib.BROKEN if late else lib.HELD


if __name__ == "__main__":
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    lib.main(__file__, case)
