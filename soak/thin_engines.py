"""Engines that queue, in a process of their own, and the runner's side of it.

`python -m soak.thin_engines` reads one JSON object a line: first the engines to start, then commands. It
answers each with one line, and ends with its input.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from dataclasses import asdict, dataclass
from typing import Any

from soak.engines import Fleet, Role
from soak.observations import Observations
from soak.queueing_engines import QueueingEngine

ENGINE_GONE = 0.1  # s for which an engine's address is shut as it starts anew
LINE_LIMIT = 1 << 22  # bytes


@dataclass(frozen=True)
class EnginePlan:
    """What the engines' process is told first."""

    seed: int
    host: str
    engines: int
    zones: tuple[str, ...]
    capacity: float  # mean requests a second of each
    cold_start: float
    warm_within: float


@dataclass
class ListedEngine:
    """An engine of the other process, as discovery lists it."""

    name: str
    address: str
    zone: str
    role: Role
    started_ms: int = 0
    lifecycle: str = "up"


class EngineHost:
    """The engines of one process."""

    def __init__(self, plan: EnginePlan) -> None:
        self._plan = plan
        self._fleet = Fleet(Observations(plan.seed))
        self._engines: list[QueueingEngine] = []

    async def start(self) -> list[dict[str, Any]]:
        plan = self._plan
        for number in range(plan.engines):
            role, zone = (Role.READER, Role.WRITER)[number % 2], plan.zones[number // 2 % len(plan.zones)]
            engine = QueueingEngine(
                self._fleet, f"e{number}", role, zone, plan.seed, plan.host, plan.capacity, plan.cold_start,
                plan.warm_within,
            )  # fmt: skip
            await engine.start()
            self._engines.append(engine)
        return [
            {"name": e.name, "address": e.address, "zone": e.zone, "role": e.role.value}
            for e in self._engines
        ]

    async def restart(self, number: int) -> int:
        """One starts anew; its start in ms of Unix time."""
        engine = self._engines[number]
        engine.die()
        await asyncio.sleep(ENGINE_GONE)
        engine.restart_cold()
        engine.started_ms = int(time.time() * 1000)
        await engine.start()
        return engine.started_ms

    def figures(self) -> dict[str, int]:
        """What they did, and what the widest lag of their process was."""
        return {
            "reads": sum(e.figures.reads for e in self._engines),
            "read_tokens": sum(e.figures.read_tokens for e in self._engines),
            "kept_tokens": sum(e.figures.kept_tokens for e in self._engines),
            "cold_reads": sum(e.figures.cold_reads for e in self._engines if e.role is Role.READER),
            "cold_writes": sum(e.figures.cold_writes for e in self._engines),
            "turned_away": sum(e.figures.turned_away for e in self._engines),
        }


async def _host() -> None:
    reader = asyncio.StreamReader(limit=LINE_LIMIT)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    told = json.loads(await reader.readline())
    told["zones"] = tuple(told["zones"])
    host = EngineHost(EnginePlan(**told))
    _say(await host.start())
    while line := await reader.readline():
        command = json.loads(line)
        _say(await host.restart(command["restart"]) if "restart" in command else host.figures())


def _say(answer: object) -> None:
    sys.stdout.write(json.dumps(answer) + "\n")
    sys.stdout.flush()


class RemoteEngines:
    """The runner's side of that process."""

    def __init__(self, plan: EnginePlan) -> None:
        self._plan = plan
        self._process: asyncio.subprocess.Process | None = None
        self._asking = asyncio.Lock()
        self.listed: list[ListedEngine] = []

    async def start(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "soak.thin_engines",
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=LINE_LIMIT,
        )  # fmt: skip
        started = await self._ask(asdict(self._plan))
        self.listed = [ListedEngine(**{**one, "role": Role(one["role"])}) for one in started]

    async def restart(self, number: int) -> ListedEngine:
        self.listed[number].started_ms = await self._ask({"restart": number})
        return self.listed[number]

    async def figures(self) -> dict[str, int]:
        found: dict[str, int] = await self._ask({})
        return found

    async def end(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def _ask(self, what: object) -> Any:
        assert self._process is not None and self._process.stdin and self._process.stdout
        async with self._asking:
            self._process.stdin.write(json.dumps(what).encode() + b"\n")
            return json.loads(await self._process.stdout.readline())


if __name__ == "__main__":
    asyncio.run(_host())
