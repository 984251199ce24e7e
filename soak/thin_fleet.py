"""Many real gateways with little traffic each, beside engines that queue, as most engines start anew.

`python -m soak.thin_fleet --gateways 100` plays one day and prints what was served, by thirds. Half of the
engines, or more, start cold in the second third, and seven in ten gateways are killed.
"""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import socket
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import click

from soak.clients import Clients, Connection
from soak.discovery import Discovery
from soak.engines import Fleet, Role
from soak.gateways import ROOT, GatewayProcess
from soak.observations import ClientKind, ClientRequest, Observations
from soak.queueing_engines import QueueingEngine, clock
from soak.runner import SETTINGS, STARTED_AT_ONCE, ZONES, free_addresses, own_host

AIM, AIM_PER_TOKEN = 1.2, 0.04 / 1000  # s in which a first token is wanted
TIME_LEFT = 3.0  # s
LATE_WORTH = 0.3
PROMPT_TOKENS, ANSWER_TOKENS = (800, 4000), (50, 350)
COLD_START, WARM_WITHIN = 0.26, 14.0
RESTART_STEP = 0.25  # s between two engines that start anew
KILLED = 0.7  # share of gateways
BACK_AFTER = (0.3, 1.0)  # s after a kill
TOLD_AFTER = (0.05, 0.3)  # s after which a start is listed
ENGINE_GONE = 0.1  # s for which an engine's address is shut
LAST_ANSWERS = 4.0  # s


@dataclass(frozen=True)
class Plan:
    """One day."""

    seed: int
    gateways: int = 100
    engines: int = 24  # half of them for prompts
    rate: float = 120.0  # requests a second of the whole fleet
    load: float = 0.5  # of what warm engines can do
    seconds: float = 18.0
    restarted: float = 0.8  # share of the engines that start anew


class ThinClients(Clients):
    """The clients of one gateway: they come by chance, each on a connection of its own."""

    async def ask_once(self) -> None:
        """One request, to its end."""
        connection = await self._connect()
        self._number += 1
        asked = ClientRequest(
            f"g{self._gateway}-{self._number}", self._gateway, ClientKind.PLAIN, "ask", TIME_LEFT, True,
            time.monotonic(),
        )  # fmt: skip
        self._seen.requests.append(asked)
        if connection is None:
            return
        try:
            await self._play(asked, connection)
        except (OSError, asyncio.IncompleteReadError):
            self._ended(asked)
        finally:
            connection.close()

    async def _play(self, asked: ClientRequest, connection: Connection) -> bool:
        prompt, answer = self._lot.randrange(*PROMPT_TOKENS), self._lot.randrange(*ANSWER_TOKENS)
        self.prompts[asked.id] = prompt
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {asked.id}\r\n"
            f"X-Service-Class: ask\r\nX-Account: acme\r\nX-Session-Key: s{asked.id}\r\n"
            f"X-Time-Left-Ms: {int(asked.time_left * 1000)}\r\n"
            f"X-Facts: prompt_len={prompt},max_out={answer}\r\nContent-Length: 2\r\n\r\n{{}}"
        )
        connection.writer.write(head.encode())
        await connection.writer.drain()
        asked.sent_at = time.monotonic()
        return await self._answer(asked, connection.reader, TIME_LEFT + 1.0)

    prompts: dict[str, int]


class ThinFleet:
    """One day of real processes. `folder` keeps their logs; with none, they go with the day."""

    def __init__(self, plan: Plan, program: Path = ROOT, folder: Path | None = None) -> None:
        self.plan, self.seen, self._program = plan, Observations(plan.seed), program
        self._keep, self._folder = folder, folder or Path(tempfile.mkdtemp(prefix="thin-"))
        self._lot, self._host = random.Random(plan.seed), own_host()
        self._fleet, self._discovery = Fleet(self.seen), Discovery(self.seen)
        self.engines: list[QueueingEngine] = []
        self._gateways: list[GatewayProcess] = []
        self._prompts: dict[str, int] = {}

    async def play(self) -> dict[str, Any]:
        """What was served. All that it started has ended when this returns."""
        self._folder.mkdir(parents=True, exist_ok=True)
        try:
            await self._begin()
            began = time.monotonic()
            faults = asyncio.create_task(self._faults())
            await self._load()
            await faults
            return self._judge(began)
        finally:
            await asyncio.gather(*(gateway.end() for gateway in self._gateways))
            for engine in self.engines:
                engine.die()
            if self._keep is None:
                shutil.rmtree(self._folder, ignore_errors=True)

    async def _begin(self) -> None:
        plan = self.plan
        capacity = plan.rate / plan.load / (plan.engines / 2)
        for number in range(plan.engines):
            role = (Role.READER, Role.WRITER)[number % 2]
            engine = QueueingEngine(
                self._fleet, f"e{number}", role, ZONES[number // 2 % 2], plan.seed, self._host, capacity,
                COLD_START, WARM_WITHIN,
            )  # fmt: skip
            await engine.start()
            self.engines.append(engine)
            await self._discovery.tell(engine)
        peers = free_addresses(self._host, plan.gateways, socket.SOCK_DGRAM)
        listen = free_addresses(self._host, plan.gateways, socket.SOCK_STREAM)
        for number in range(plan.gateways):
            self._gateways.append(await self._gateway(number, listen[number], peers))
        starting = asyncio.Semaphore(STARTED_AT_ONCE)

        async def start(gateway: GatewayProcess) -> None:
            async with starting:
                await gateway.start()

        await asyncio.gather(*(start(gateway) for gateway in self._gateways))

    async def _gateway(self, number: int, listen: str, peers: list[str]) -> GatewayProcess:
        settings = {
            **SETTINGS, "balancers": self.plan.gateways, "me": number, "zone": number % len(ZONES),
            "telemetry": {"fields": ["x0", "x1"]}, "limits": {**SETTINGS["limits"], "probes": True},
        }  # fmt: skip
        config = {
            "name": f"n{number}", "listen": listen, "seed": f"{self.plan.seed + number:x}",
            "discovery": await self._discovery.address_for(number), "known": self._discovery.whole(),
            "settings": settings, "limits": {"sockets": 512, "memory_mb": 128},
            "management": "127.0.0.1:0", "peers": peers, "peer_listen": peers[number],
        }  # fmt: skip
        return GatewayProcess(self.seen, number, self._folder / f"n{number}", config, self._program)

    async def _load(self) -> None:
        clients = [
            ThinClients(self.seen, gateway.number, lambda gateway=gateway: gateway.address, self.plan.seed)  # type: ignore[misc]
            for gateway in self._gateways
        ]
        for one in clients:
            one.prompts = self._prompts
        until, asking = time.monotonic() + self.plan.seconds, set[asyncio.Task[None]]()
        while time.monotonic() < until:
            await asyncio.sleep(self._lot.expovariate(self.plan.rate))
            task = asyncio.create_task(self._lot.choice(clients).ask_once())
            asking.add(task)
            task.add_done_callback(asking.discard)
        if asking:
            await asyncio.wait(set(asking), timeout=LAST_ANSWERS)

    async def _faults(self) -> None:
        await asyncio.sleep(self.plan.seconds / 3)
        count = int(self.plan.restarted * len(self.engines))
        kills = [asyncio.create_task(self._kill(g)) for g in self._gateways if self._lot.random() < KILLED]
        for engine in self.engines[:count]:
            await self._restart(engine)
            await asyncio.sleep(RESTART_STEP)
        await asyncio.gather(*kills)

    async def _kill(self, gateway: GatewayProcess) -> None:
        if gateway.process is not None and gateway.life is not None:
            await gateway.kill(gateway.process, gateway.life)
        await asyncio.sleep(self._lot.uniform(*BACK_AFTER))
        await gateway.start()

    async def _restart(self, engine: QueueingEngine) -> None:
        engine.die()
        await asyncio.sleep(ENGINE_GONE)
        engine.restart_cold()
        engine.started_ms = int(time.time() * 1000)
        await engine.start()
        await asyncio.sleep(self._lot.uniform(*TOLD_AFTER))
        await self._discovery.tell(engine)

    def _judge(self, began: float) -> dict[str, Any]:
        """Worth by thirds, of which requests to a gateway that is down are no part."""
        asked, served = [0.0] * 3, [0.0] * 3
        refused = unheard = 0
        for request in self.seen.requests:
            third = min(2, int((request.began_at - began) / self.plan.seconds * 3))
            if request.sent_at is None or (request.status == 0 and request.before_answer):
                unheard += 1
                continue
            prompt = self._prompts[request.id]
            asked[third] += prompt
            refused += request.status in (429, 503)
            if request.status == 200 and request.whole and request.answered_at is not None:
                waited = request.answered_at - request.began_at
                served[third] += prompt * (1.0 if waited <= AIM + AIM_PER_TOKEN * prompt else LATE_WORTH)
        readers = [e for e in self.engines if e.role is Role.READER and e.started_at]
        return {
            "plan": asdict(self.plan), "requests": len(self.seen.requests), "refused": refused,
            "gateway_down": unheard,
            "worth_by_third": [round(s / a, 3) if a else 1.0 for s, a in zip(served, asked, strict=True)],
            "could_last_third": round(self._could(), 3),
            "cold_reads": sum(e.figures.cold_reads for e in readers),
            "cold_writes": sum(e.figures.cold_writes for e in self.engines),
            "turned_away": sum(e.figures.turned_away for e in self.engines),
        }  # fmt: skip

    def _could(self) -> float:
        """What the readers can do at the end over what is asked, at most 1."""
        readers = [e for e in self.engines if e.role is Role.READER]
        return min(1.0, sum(e.warmth(clock()) for e in readers) / len(readers) / self.plan.load)


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--gateways", type=click.IntRange(1, 200), default=100, show_default=True)
@click.option("--rate", type=float, default=120.0, show_default=True, help="Requests a second of all.")
@click.option("--engines", type=click.IntRange(4, 200), default=24, show_default=True)
@click.option("--load", type=float, default=0.5, show_default=True, help="Of what warm engines can do.")
@click.option("--seconds", type=float, default=18.0, show_default=True)
@click.option("--program", type=click.Path(exists=True, path_type=Path), default=ROOT,
              help="A checkout whose gateway is played in place of this one.")  # fmt: skip
def main(
    seed: int, gateways: int, rate: float, engines: int, load: float, seconds: float, program: Path
) -> None:
    """Play one day of real processes and print what was served."""
    plan = Plan(seed, gateways, engines, rate, load, seconds)
    click.echo(json.dumps(asyncio.run(ThinFleet(plan, program).play())))


if __name__ == "__main__":
    main()
