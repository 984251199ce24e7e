"""Many real gateways with little traffic each, beside engines that queue, as most engines start anew or as
more traffic comes and shifts.

`python -m soak.thin_fleet --gateways 200` plays one day and prints what was served, by thirds. Engines and
clients are processes of their own, so that the load is sent in time; `sent_late_s` says how late 99 of 100
requests went.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import click

from basaltspread.lab.fleet_state import PEER_PRICE, PROBE_PRICE
from soak.discovery import Discovery
from soak.gateways import ROOT, GatewayProcess
from soak.observations import Observations
from soak.runner import SETTINGS, STARTED_AT_ONCE, ZONES, free_addresses, own_host
from soak.thin_engines import EnginePlan, RemoteEngines
from soak.thin_load import LoadPlan, Outcome

LOAD_PARTS = 3  # processes that send
LOAD_STARTS = 1.5  # s in which these come up
COUNTERS_WAIT = 1.0  # s in which gateways print their counters
BURST = 1.5
AIM, AIM_PER_TOKEN = 1.2, 0.04 / 1000  # s in which a first token is wanted
TIME_LEFT = 3.0  # s
LATE_WORTH = 0.3
COLD_START, WARM_WITHIN = 0.26, 14.0
RESTART_STEP = 0.25  # s between two engines that start anew
KILLED = 0.7  # share of gateways
BACK_AFTER = (0.3, 1.0)  # s after a kill
TOLD_AFTER = (0.05, 0.3)  # s after which a start is listed


@dataclass(frozen=True)
class Plan:
    """One day. `cold`: engines start anew and gateways are killed in its second third; else it is calm, with
    a burst of half as much again and shifted traffic from then on."""

    seed: int
    gateways: int = 100
    engines: int = 24  # half of them for prompts
    rate: float = 120.0  # requests a second of the whole fleet
    load: float = 0.5  # of what warm engines can do
    seconds: float = 18.0
    restarted: float = 0.8  # share of the engines that start anew
    cold: bool = True
    priced: bool = False  # probes and peers' messages cost what the operators' site says


class ThinFleet:
    """One day of real processes. `folder` keeps their logs; with none, they go with the day."""

    def __init__(self, plan: Plan, program: Path = ROOT, folder: Path | None = None) -> None:
        self.plan, self.seen, self._program = plan, Observations(plan.seed), program
        self._keep, self._folder = folder, folder or Path(tempfile.mkdtemp(prefix="thin-"))
        self._lot, self._host = random.Random(plan.seed), own_host()
        self._discovery = Discovery(self.seen)
        capacity = plan.rate / plan.load / (plan.engines / 2)
        self._engines = RemoteEngines(EnginePlan(
            plan.seed, self._host, plan.engines, tuple(ZONES), capacity, COLD_START, WARM_WITHIN,
        ))  # fmt: skip
        self._gateways: list[GatewayProcess] = []

    async def play(self) -> dict[str, Any]:
        """What was served. All that it started has ended when this returns."""
        self._folder.mkdir(parents=True, exist_ok=True)
        try:
            await self._begin()
            used = self._cpu_used()
            begins_at = time.monotonic() + LOAD_STARTS
            faults = asyncio.create_task(self._faults(begins_at))
            outcomes = await self._load(begins_at)
            await faults
            used = self._cpu_used() - used
            return self._judge(outcomes, await self._engines.figures(), await self._counters(), used)
        finally:
            await asyncio.gather(*(gateway.end() for gateway in self._gateways))
            await self._engines.end()
            if self._keep is None:
                shutil.rmtree(self._folder, ignore_errors=True)

    async def _begin(self) -> None:
        plan = self.plan
        await self._engines.start()
        for engine in self._engines.listed:
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
            "prices": {"probe": PROBE_PRICE, "peer": PEER_PRICE} if self.plan.priced else {},
        }  # fmt: skip
        config = {
            "name": f"n{number}", "listen": listen, "seed": f"{self.plan.seed + number:x}",
            "discovery": await self._discovery.address_for(number), "known": self._discovery.whole(),
            "settings": settings, "limits": {"sockets": 512, "memory_mb": 128},
            "management": "127.0.0.1:0", "peers": peers, "peer_listen": peers[number],
        }  # fmt: skip
        return GatewayProcess(self.seen, number, self._folder / f"n{number}", config, self._program)

    async def _load(self, begins_at: float) -> list[Outcome]:
        """All clients' requests, sent by processes of their own."""
        plan = self.plan
        crowded = [number for number in range(plan.gateways) if number % len(ZONES) == 0]
        parts = [
            LoadPlan(
                part, plan.seed, [gateway.address for gateway in self._gateways], plan.rate / LOAD_PARTS,
                plan.seconds, begins_at, TIME_LEFT,
                *((None, 1.0, []) if plan.cold else (plan.seconds / 3, BURST, crowded)),
            )
            for part in range(LOAD_PARTS)
        ]  # fmt: skip
        found = await asyncio.gather(*(self._load_part(part) for part in parts))
        return [outcome for outcomes in found for outcome in outcomes]

    @staticmethod
    async def _load_part(part: LoadPlan) -> list[Outcome]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "soak.thin_load",
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        told, _ = await process.communicate(json.dumps(asdict(part)).encode() + b"\n")
        return [Outcome(**one) for one in json.loads(told)]

    async def _faults(self, begins_at: float) -> None:
        if not self.plan.cold:
            return
        await asyncio.sleep(begins_at + self.plan.seconds / 3 - time.monotonic())
        count = int(self.plan.restarted * self.plan.engines)
        kills = [asyncio.create_task(self._kill(g)) for g in self._gateways if self._lot.random() < KILLED]
        for number in range(count):
            engine = await self._engines.restart(number)
            await asyncio.sleep(self._lot.uniform(*TOLD_AFTER))
            await self._discovery.tell(engine)
            await asyncio.sleep(RESTART_STEP)
        await asyncio.gather(*kills)

    async def _kill(self, gateway: GatewayProcess) -> None:
        if gateway.process is not None and gateway.life is not None:
            await gateway.kill(gateway.process, gateway.life)
        await asyncio.sleep(self._lot.uniform(*BACK_AFTER))
        await gateway.start()

    def _cpu_used(self) -> float:
        """Processor time in s of the gateways' processes that run now."""
        return sum(_cpu_time(g.process.pid) for g in self._gateways if g.process is not None)

    async def _counters(self) -> Counter[str]:
        """The sum of what all gateways count."""
        for gateway in self._gateways:
            gateway.signal(signal.SIGUSR1)
        await asyncio.sleep(COUNTERS_WAIT)
        total = Counter[str]()
        for gateway in self._gateways:
            if gateway.life is not None:
                total.update(gateway.life.counters)
        return total

    def _judge(
        self, outcomes: list[Outcome], engines: dict[str, int], counters: Counter[str], cpu: float
    ) -> dict[str, Any]:
        """Worth by thirds, of which requests to a gateway that is down are no part."""
        asked, served = [0.0] * 3, [0.0] * 3
        sent = [one for one in outcomes if one.sent_at is not None and one.status]
        for one in sent:
            third = min(2, int(one.due_at / self.plan.seconds * 3))
            asked[third] += one.prompt_tokens
            if one.status == 200 and one.whole and one.waited is not None:
                in_time = one.waited <= AIM + AIM_PER_TOKEN * one.prompt_tokens
                served[third] += one.prompt_tokens * (1.0 if in_time else LATE_WORTH)
        waits = sorted(one.waited for one in sent if one.status == 200 and one.waited is not None)
        late = sorted(one.sent_at - one.due_at for one in sent if one.sent_at is not None)
        return {
            "plan": asdict(self.plan), "requests": len(outcomes), "not_answered": len(outcomes) - len(sent),
            "refused": sum(one.status in (429, 503) for one in sent),
            "worth_by_third": [round(s / a, 3) if a else 1.0 for s, a in zip(served, asked, strict=True)],
            "first_token_s": [_quantile(waits, 0.5), _quantile(waits, 0.95)],
            "sent_late_s": _quantile(late, 0.99),
            "gateways_cpu_s": round(cpu, 1),
            "kept_part": round(engines["kept_tokens"] / max(1, engines["read_tokens"]), 3),
            "heard_a_gateway_and_second": round(
                counters["peers_heard"] / self.plan.gateways / self.plan.seconds, 1
            ),
            "given_up": {k[9:]: v for k, v in sorted(counters.items()) if k.startswith("given_up_")},
            "chosen": {k[7:]: v for k, v in sorted(counters.items()) if k.startswith("chosen_")},
            "ended": {k[6:]: v for k, v in sorted(counters.items()) if k.startswith("ended_")},
            **engines,
        }  # fmt: skip


def _quantile(figures: list[float], part: float) -> float | None:
    """Of sorted figures; None without any."""
    return round(figures[int(len(figures) * part)], 3) if figures else None


def _cpu_time(pid: int) -> float:
    """Processor time of a process so far, in s; 0 where it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--gateways", type=click.IntRange(1, 200), default=100, show_default=True)
@click.option("--rate", type=float, default=120.0, show_default=True, help="Requests a second of all.")
@click.option("--engines", type=click.IntRange(4, 200), default=24, show_default=True)
@click.option("--load", type=float, default=0.5, show_default=True, help="Of what warm engines can do.")
@click.option("--seconds", type=float, default=18.0, show_default=True)
@click.option(
    "--day",
    type=click.Choice(["cold", "calm"]),
    default="cold",
    show_default=True,
    help="Engines start anew and gateways are killed; or a burst and shifted traffic.",
)
@click.option("--priced", is_flag=True, help="Probes and messages cost what the operators' site says.")
@click.option("--program", type=click.Path(exists=True, path_type=Path), default=ROOT,
              help="A checkout whose gateway is played in place of this one.")  # fmt: skip
def main(
    seed: int, gateways: int, rate: float, engines: int, load: float, seconds: float, day: str, priced: bool,
    program: Path,
) -> None:  # fmt: skip
    """Play one day of real processes and print what was served."""
    plan = Plan(seed, gateways, engines, rate, load, seconds, cold=day == "cold", priced=priced)
    click.echo(json.dumps(asyncio.run(ThinFleet(plan, program).play())))


if __name__ == "__main__":
    main()
