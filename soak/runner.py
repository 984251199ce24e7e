"""Plays one soak: starts all, applies the schedule's troubles, and hands back what was seen.

It owns every process and stand-in that it starts, and ends them all. It must never judge.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from soak.clients import Clients
from soak.discovery import Discovery, DiscoveryMood
from soak.engines import Engine, Fleet, Role
from soak.gateways import ROOT, GatewayProcess, Step
from soak.hangs import Hang, Wakes, draw_hang
from soak.observations import ClientKind, Observations, Span
from soak.pressure import PressureKind
from soak.schedule import Trouble, TroubleKind

ZONES = ("a", "b")
READERS, WRITERS = 8, 6
PROXIED = READERS + WRITERS  # engines that troubles single out
SILENT_SHARE = 0.8  # of a role, in the trouble that is about a role
CROWD_SIZE = (100, 250)  # idle connections to one gateway
THROTTLE = (0.02, 0.06)  # s that a throttled process runs, and stands still, in turn
WAKES_APART, LAST_WAKES = 0.03, 1.0  # s, where engines wake up one by one: of two, and of all, at most
BUSY = 3  # processes of a load beside
WORKERS = 3  # clients of one gateway
STARTED_AT_ONCE = 6  # gateways
LONGEST_DEADLINE = 3_000_000  # us: a kill may come so long, and 0.7 s, after SIGTERM
LAG_STEP = 0.02  # s between two looks at how far this runner is held up
LAST_ANSWERS = 6.0  # s for what is under way as the load ends
WARM_WITHIN = 14.0  # s
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPERM, errno.ENETDOWN, errno.EMFILE)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EINTR)
SOCKET_ERRORS = (errno.ENOBUFS, errno.ENFILE, errno.ENOMEM)
RECEIVE_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
FOLDER_ERRORS = (errno.ENOSPC, errno.EIO)
STEPS_MS = (-3_600_000, -7_000, 7_000, 3_600_000)
LIMITS = (  # of one gateway after the other
    {"sockets": 512, "memory_mb": 128}, {"sockets": 1024, "memory_mb": 32},
    {"sockets": 512, "memory_mb": 128}, {"sockets": 768, "memory_mb": 64},
)  # fmt: skip
PRESSURES = (  # of one trouble; the others of their kinds ask for answers under ids that nobody here knows
    PressureKind.STOPPED_BODY, PressureKind.MANY_FIELDS, PressureKind.ONE_BYTE, PressureKind.HEALTH_FLOOD,
    PressureKind.CHUNK_FLOOD, PressureKind.GARBAGE_FLOOD,
)  # fmt: skip
PRESSURE_CLIENTS = 300  # of a kind that holds memory; a flood has a few
FLOODING_CLIENTS = 4
SETTINGS: dict[str, Any] = {
    "azs": list(ZONES), "registry_mode": "push", "round": 2000,
    "classes": [
        {"name": name, "effect": effect, "key_scope": "zone", "deadline": LONGEST_DEADLINE,
         "promise": 1_000_000, "points": 2.0, "late_value": 0.3, "streaming": True, "window": 2_000_000}
        for name, effect in (("ask", "safe"), ("order", "unsafe"), ("draft", "keyed"))
    ],
    "limits": {"cancel": True, "max_attempts": 5, "retry_after": True, "max_retry_after": 1_000_000,
               "connect_timeout": 250_000, "idle_close": 10_000_000, "may_tell": True},
    "machine_types": ["prefill", "decode"],
    "orgs": [{"name": "acme", "quota_rps": 1000.0, "share": 1.0}],
    "rules": {"answer_slack": 8000, "fall": 1_000_000, "start_capacity": 0.26, "stop_sending_within": 250_000,
              "tip_multiple": 2.5, "warm_within": int(WARM_WITHIN * 1_000_000)},
    "specifics": {"role_by_kind": ["read", "write"], "early_pairing": True, "release": 500_000,
                  "resume": False, "token_aim": [60000.0, 70000.0]},
}  # fmt: skip


def own_host() -> str:
    """A loopback address for this runner's gateways alone: elsewhere a stand-in, or another runner, could
    take a gateway's port between two of its processes."""
    number = os.getpid()
    return f"127.{64 + number % 128}.{number // 128 % 256}.1"


def free_addresses(host: str, count: int, kind: socket.SocketKind) -> list[str]:
    """So many different ones that nobody holds now."""
    with contextlib.ExitStack() as held:
        probes = [held.enter_context(socket.socket(socket.AF_INET, kind)) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return ["{}:{}".format(*probe.getsockname()) for probe in probes]


class Soak:
    """One run. `folder` keeps the gateways' logs; with none, they go with the run."""

    def __init__(
        self, seed: int, gateways: int, seconds: float, troubles: Sequence[Trouble], folder: Path | None,
        engines: int = PROXIED, program: Path = ROOT, workers: int = WORKERS,
    ) -> None:  # fmt: skip
        self.seen = Observations(seed)
        self._engine_count, self._program, self._workers = engines, program, workers
        self._seed, self._count, self._seconds, self._troubles = seed, gateways, seconds, troubles
        self._host = own_host()
        self._keep = folder is not None
        self._folder = folder or Path(tempfile.mkdtemp(prefix="soak-"))
        self._fleet = Fleet(self.seen)
        self._discovery = Discovery(self.seen)
        self._gateways = list[GatewayProcess]()
        self._clients = list[Clients]()
        self._beside = set[asyncio.subprocess.Process]()  # busy processes
        self._steps = 0  # ms that all wall clocks have been stepped by
        self._calls: dict[TroubleKind, Callable[[Trouble], Awaitable[None]]] = {
            TroubleKind.RESTART: self._restart, TroubleKind.KILL: self._kill,
            TroubleKind.RELOAD: self._reload, TroubleKind.HAND_OVER: self._hand_over,
            TroubleKind.HELD_UP: self._held_up, TroubleKind.FOLDER_FAILS: self._folder_fails,
            TroubleKind.CLOCK_STEPS: self._clock_steps, TroubleKind.DRAIN: self._drain,
            TroubleKind.COLD_RESTART: self._cold_restart, TroubleKind.RESET: self._reset,
            TroubleKind.SIGNALS: self._signals, TroubleKind.THROTTLED: self._throttled,
            TroubleKind.ROLE_SILENT: self._role_silent, TroubleKind.CROWD: self._crowd,
            TroubleKind.LOAD: self._load_beside, TroubleKind.MANY_HANG: self._many_hang,
            TroubleKind.PRESSURE: self._pressure,
        }  # fmt: skip

    async def play(self) -> Observations:
        """The whole run. All that it started has ended when this returns, however it returns."""
        self._folder.mkdir(parents=True, exist_ok=True)
        lag = asyncio.create_task(self._watch_lag())
        try:
            await self._begin()
            await self._load()
        finally:
            lag.cancel()
            for process in self._beside:
                process.kill()
            await asyncio.gather(*(gateway.end() for gateway in self._gateways))
            for engine in self._fleet.engines:
                engine.die()
            if not self._keep:
                shutil.rmtree(self._folder, ignore_errors=True)
        return self.seen

    async def _watch_lag(self) -> None:
        """How far this process is held up: what it saw may have been so much earlier."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_STEP)
            self.seen.slack = max(self.seen.slack, time.monotonic() - before - LAG_STEP)

    async def _begin(self) -> None:
        self.seen.load.append(os.getloadavg()[0])
        limits = SETTINGS["rules"]
        self.seen.rules = {
            "drain": limits["stop_sending_within"] / 1e6, "release": SETTINGS["specifics"]["release"] / 1e6,
            "warm": WARM_WITHIN, "window": limits["fall"] / 1e6, "multiple": limits["tip_multiple"],
            "start": limits["start_capacity"],
        }  # fmt: skip
        for number in range(self._engine_count):
            await self._start_engine(number)
        peers = free_addresses(self._host, self._count, socket.SOCK_DGRAM)
        listen = free_addresses(self._host, self._count, socket.SOCK_STREAM)
        for number in range(self._count):
            self._gateways.append(await self._gateway(number, listen[number], peers))
        starting = asyncio.Semaphore(STARTED_AT_ONCE)

        async def start(gateway: GatewayProcess) -> None:
            async with starting:
                await gateway.start()

        await asyncio.gather(*(start(gateway) for gateway in self._gateways))

    async def _start_engine(self, number: int) -> None:
        """The first ones stand behind proxies and meet troubles of their own; all further ones are direct."""
        few = [Role.READER] * READERS + [Role.WRITER] * WRITERS
        role = few[number] if number < PROXIED else (Role.READER, Role.WRITER)[number % 2]
        zone, direct = ZONES[number // 2 % len(ZONES)], number >= PROXIED
        if not direct:
            zone = ZONES[number % len(ZONES)]
        self.seen.zones[f"e{number}"] = zone
        engine = Engine(self._fleet, f"e{number}", role, zone, self._seed, self._host, direct)
        await engine.start()
        await self._discovery.tell(engine)

    async def _gateway(self, number: int, listen: str, peers: list[str]) -> GatewayProcess:
        settings = {
            **SETTINGS, "balancers": self._count, "me": number, "zone": number % len(ZONES),
        }  # fmt: skip
        config = {
            "name": f"n{number}", "listen": listen, "seed": f"{self._seed + number:x}",
            "discovery": await self._discovery.address_for(number), "known": self._discovery.whole(),
            "settings": settings, "limits": LIMITS[number % len(LIMITS)],
            "management": "127.0.0.1:0", "peers": peers, "peer_listen": peers[number],
        }  # fmt: skip
        gateway = GatewayProcess(self.seen, number, self._folder / f"n{number}", config, self._program)
        if number % 3 == 0:
            gateway.inherit()
        return gateway

    async def _load(self) -> None:
        self.seen.began_at = time.monotonic()
        workers = list[asyncio.Task[None]]()
        for gateway in self._gateways:
            clients = Clients(self.seen, gateway.number, self._address_of(gateway), self._seed)
            self._clients.append(clients)
            workers += [asyncio.create_task(clients.work()) for _ in range(self._workers)]
        troubles = [asyncio.create_task(self._apply(trouble)) for trouble in self._troubles]
        await asyncio.sleep(self._seconds)
        if troubles:
            await asyncio.wait(troubles)
        for clients in self._clients:
            clients.stopped = True
        await asyncio.wait(workers, timeout=LAST_ANSWERS)
        for worker in workers:
            worker.cancel()
        self.seen.ended_at = time.monotonic()
        await asyncio.gather(*(gateway.stop() for gateway in self._gateways))
        for gateway in self._gateways:
            self.seen.bans_kept[gateway.number] = gateway.kept_bans()
        self.seen.load.append(os.getloadavg()[0])

    @staticmethod
    def _address_of(gateway: GatewayProcess) -> Callable[[], str]:
        return lambda: gateway.address

    # --- troubles ---------------------------------------------------------------------------------------

    async def _apply(self, trouble: Trouble) -> None:
        await asyncio.sleep(trouble.start)
        began = time.monotonic()
        call = self._calls.get(trouble.kind, self._mood)
        await call(trouble)
        for target in trouble.targets:
            name = self._name(trouble, target)
            span = Span(trouble.kind.value, name, began, time.monotonic(), str(trouble))
            self.seen.troubles.append(span)

    def _name(self, trouble: Trouble, target: int) -> str:
        if trouble.kind in (TroubleKind.ROLE_SILENT, TroubleKind.MANY_HANG):
            return "role"  # the engines concerned are noted one by one
        if trouble.kind.target in ("engine", "network"):
            return self._engine(target).name
        return f"n{target}"

    def _engine(self, target: int) -> Engine:
        return self._fleet.engines[target % PROXIED]

    async def _at_each(self, trouble: Trouble, act: Callable[[GatewayProcess], Awaitable[None]]) -> None:
        async def one(gateway: GatewayProcess) -> None:
            async with gateway.lock:
                await act(gateway)

        await asyncio.gather(*(one(self._gateways[target]) for target in trouble.targets))

    async def _restart(self, trouble: Trouble) -> None:
        async def act(gateway: GatewayProcess) -> None:
            await gateway.stop()
            gateway.config["known"], gateway.known_is_new = self._discovery.whole(), True
            await gateway.start()

        await self._at_each(trouble, act)

    async def _kill(self, trouble: Trouble) -> None:
        async def act(gateway: GatewayProcess) -> None:
            if gateway.process is not None and gateway.life is not None:
                await gateway.kill(gateway.process, gateway.life)
            await asyncio.sleep(trouble.length)
            await gateway.start()

        await self._at_each(trouble, act)

    async def _reload(self, trouble: Trouble) -> None:
        async def act(gateway: GatewayProcess) -> None:
            gateway.config["discovery"] = await self._discovery.address_for(gateway.number)
            gateway.write_config()
            gateway.signal(signal.SIGHUP)
            if trouble.figure < 0.5:  # another in quick succession
                await asyncio.sleep(0.02)
                gateway.signal(signal.SIGHUP)

        await self._at_each(trouble, act)

    async def _hand_over(self, trouble: Trouble) -> None:
        async def act(gateway: GatewayProcess) -> None:
            if gateway.door is not None:
                await gateway.hand_over()
            else:
                await gateway.stop()
                await gateway.start()

        await self._at_each(trouble, act)

    async def _signals(self, trouble: Trouble) -> None:
        """SIGTERM twice, SIGHUP then SIGTERM, or a stop and its end round SIGTERM; then a new process."""
        pause = 0.02 + 0.4 * (trouble.figure * 4 % 1)
        series: list[tuple[list[Step], list[Step]]] = [
            ([], [(signal.SIGTERM, 0.0)]),
            ([], [(signal.SIGCONT, pause), (signal.SIGTERM, 0.0)]),
            ([(signal.SIGHUP, 0.0)], []),
            ([(signal.SIGHUP, pause)], [(signal.SIGHUP, 0.0)]),
            ([(signal.SIGSTOP, 0.1)], [(signal.SIGCONT, 0.0)]),
            ([], [(signal.SIGSTOP, 0.15), (signal.SIGCONT, 0.0), (signal.SIGTERM, 0.0)]),
        ]
        before, after = series[int(trouble.figure * len(series))]

        async def act(gateway: GatewayProcess) -> None:
            await gateway.stop(before, after)
            gateway.config["known"], gateway.known_is_new = self._discovery.whole(), True
            await gateway.start()

        await self._at_each(trouble, act)

    async def _throttled(self, trouble: Trouble) -> None:
        runs, stands = THROTTLE

        async def act(gateway: GatewayProcess) -> None:
            until = time.monotonic() + trouble.length
            while time.monotonic() < until:
                await gateway.hold_up(stands)
                await asyncio.sleep(runs)

        await self._at_each(trouble, act)

    async def _role_silent(self, trouble: Trouble) -> None:
        role = Role.READER if trouble.figure < 0.3 else Role.WRITER
        engines = [engine for engine in self._fleet.engines if engine.role is role]
        silent = engines[: int(SILENT_SHARE * len(engines))]
        began = time.monotonic()
        for engine in silent:
            engine.mood.cut = True
        await asyncio.sleep(trouble.length)
        for engine in silent:
            engine.mood.cut = False
            self.seen.troubles.append(Span(trouble.kind.value, engine.name, began, time.monotonic()))

    async def _many_hang(self, trouble: Trouble) -> None:
        """Processes stand still together; how they come back is drawn, too."""
        hang = draw_hang(trouble, ZONES)
        engines = self._hanging(hang)
        began = time.monotonic()
        for engine in engines:
            engine.mood.frozen = True
        await asyncio.sleep(trouble.length)
        apart = min(WAKES_APART, LAST_WAKES / max(1, len(engines)))
        for engine in engines:
            await self._wake_up(engine, hang.wakes, apart)
            self.seen.troubles.append(Span(trouble.kind.value, engine.name, began, time.monotonic()))

    def _hanging(self, hang: Hang) -> list[Engine]:
        """The engines that this is about: the same share of each role and zone concerned."""
        found = list[Engine]()
        for role in hang.roles:
            of_role = [e for e in self._fleet.engines if e.role.value == role and e.zone in hang.zones]
            well = [e for e in of_role if e.lifecycle == "up" and not e.mood.frozen]
            found += well[: int(hang.share * len(of_role))]
        return found

    async def _wake_up(self, engine: Engine, wakes: Wakes, apart: float) -> None:
        if wakes is Wakes.AS_NEW_START and engine.lifecycle == "up":
            engine.lifecycle = "restarting"
            engine.die()
            engine.mood.frozen = False
            await self._comes_back(engine)
            return
        if wakes is Wakes.AFTER_RESETS:
            engine.reset_all()
        engine.mood.frozen = False
        if wakes is Wakes.ONE_BY_ONE:
            await asyncio.sleep(apart)

    async def _crowd(self, trouble: Trouble) -> None:
        """Idle connections, which their gateway may close as it likes."""
        size = int(CROWD_SIZE[0] + trouble.figure * (CROWD_SIZE[1] - CROWD_SIZE[0]))
        host, _, port = self._gateways[trouble.targets[0]].address.rpartition(":")
        writers = list[asyncio.StreamWriter]()
        for _ in range(size):
            with contextlib.suppress(OSError):
                writers.append((await asyncio.open_connection(host, int(port)))[1])
        await asyncio.sleep(trouble.length)
        for writer in writers:
            writer.transport.abort()

    async def _pressure(self, trouble: Trouble) -> None:
        kind = PRESSURES[int(trouble.figure * len(PRESSURES))]
        count = FLOODING_CLIENTS if kind.value.endswith("flood") else PRESSURE_CLIENTS
        clients = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "soak.pressure", self._address_of(self._gateways[trouble.targets[0]])(),
            kind.value, str(count), str(trouble.length), cwd=ROOT, stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        self._beside.add(clients)
        await clients.wait()
        self._beside.discard(clients)

    async def _load_beside(self, trouble: Trouble) -> None:
        busy = [
            await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
            for _ in range(BUSY)
        ]
        self._beside.update(busy)
        await asyncio.sleep(trouble.length)
        for process in busy:
            process.kill()
            await process.wait()
            self._beside.discard(process)

    async def _held_up(self, trouble: Trouble) -> None:
        async def act(gateway: GatewayProcess) -> None:
            until = time.monotonic() + trouble.length
            while time.monotonic() < until:
                await gateway.hold_up()
                await asyncio.sleep(0.2)

        await self._at_each(trouble, act)

    async def _folder_fails(self, trouble: Trouble) -> None:
        code = _one(FOLDER_ERRORS, trouble.figure)

        async def act(gateway: GatewayProcess) -> None:
            gateway.shim.set(files=code)
            engine = f"e{gateway.number % READERS}"
            if await gateway.operate(f"/-/engines/{engine}/disable"):
                self.seen.bans.append((gateway.number, engine, time.monotonic()))
            await asyncio.sleep(trouble.length)
            gateway.shim.set(files=0)

        await self._at_each(trouble, act)

    async def _clock_steps(self, trouble: Trouble) -> None:
        self._steps += _one(STEPS_MS, trouble.figure)
        for gateway in self._gateways:
            gateway.shim.set(step_ms=self._steps)

    def _wall_ms(self) -> int:
        """What every machine's wall clock reads."""
        return int(time.time() * 1000) + self._steps

    async def _drain(self, trouble: Trouble) -> None:
        """Some engines drain, go, and are replaced by a new start."""

        async def one(engine: Engine) -> None:
            engine.lifecycle = "draining"
            await self._discovery.tell(engine)
            await asyncio.sleep(trouble.length * 0.5)
            engine.lifecycle = "removed"
            await self._discovery.tell(engine)
            engine.die()
            await asyncio.sleep(trouble.length * 0.5)
            await self._comes_back(engine)

        await asyncio.gather(*(one(engine) for engine in self._few(trouble)))

    def _few(self, trouble: Trouble) -> list[Engine]:
        """Of one role two at the most: the rest must be able to serve."""
        engines = [self._engine(target) for target in trouble.targets if target % 3 == trouble.targets[0] % 3]
        return [e for e in engines if e.lifecycle == "up"][:2]

    async def _comes_back(self, engine: Engine) -> None:
        await engine.start()
        engine.started_ms, engine.lifecycle = self._wall_ms(), "up"
        await self._discovery.tell(engine)

    async def _cold_restart(self, trouble: Trouble) -> None:
        async def one(engine: Engine) -> None:
            engine.lifecycle = "restarting"
            engine.die()
            await asyncio.sleep(trouble.length)
            await self._comes_back(engine)

        await asyncio.gather(*(one(engine) for engine in self._few(trouble)))

    async def _reset(self, trouble: Trouble) -> None:
        engines = [self._engine(target) for target in trouble.targets]
        until = time.monotonic() + trouble.length
        while time.monotonic() < until:
            for engine in engines:
                engine.reset_all()
            await asyncio.sleep(0.1)

    async def _mood(self, trouble: Trouble) -> None:
        """A state that lasts for the trouble's length and is taken back."""
        await self._set(trouble, True)
        await asyncio.sleep(trouble.length)
        await self._set(trouble, False)

    async def _set(self, trouble: Trouble, on: bool) -> None:
        kind, figure = trouble.kind, trouble.figure
        if kind.target == "gateway":
            figures = {
                TroubleKind.ACCEPT_FAILS: {"accept": _one(ACCEPT_ERRORS, figure)},
                TroubleKind.CONNECT_FAILS: {"connect": _one(CONNECT_ERRORS, figure)},
                TroubleKind.SOCKET_FAILS: {"socket": _one(SOCKET_ERRORS, figure)},
                TroubleKind.RECEIVE_FAILS: {"receive": _one(RECEIVE_ERRORS, figure)},
                TroubleKind.SHORT_IO: {"most_bytes": 1 + int(figure * 40)},
            }[kind]
            for target in trouble.targets:
                self._gateways[target].shim.set(
                    **{name: value if on else 0 for name, value in figures.items()}
                )
        elif kind.target == "discovery":
            mood = {
                TroubleKind.DISCOVERY_DOWN: DiscoveryMood.DOWN,
                TroubleKind.DISCOVERY_SILENT: DiscoveryMood.SILENT,
                TroubleKind.DISCOVERY_CROWDED: DiscoveryMood.CROWDED,
            }[kind]
            await self._discovery.set_mood(mood if on else DiscoveryMood.WELL)
        elif kind.target == "clients":
            behaviour = {
                TroubleKind.CLIENTS_LEAVE: ClientKind.LEAVES,
                TroubleKind.CLIENTS_STOP: ClientKind.STOPS_HALFWAY,
                TroubleKind.CLIENTS_FLOOD: ClientKind.FLOODS,
                TroubleKind.CLIENTS_SLOW: ClientKind.WRITES_SLOWLY,
            }[kind]  # fmt: skip
            for target in trouble.targets:
                self._clients[target].trouble = behaviour if on else None
        else:
            self._set_engines(trouble, on)

    def _set_engines(self, trouble: Trouble, on: bool) -> None:
        for target in trouble.targets:
            mood = self._engine(target).mood
            match trouble.kind:
                case TroubleKind.HANG:
                    mood.frozen = on
                case TroubleKind.TURNS_AWAY:
                    mood.turns_away = on
                case TroubleKind.ENDS_EARLY:
                    mood.ends_early = on
                case TroubleKind.CLOSES_IDLE:
                    mood.closes_idle = on
                case TroubleKind.DELAY:
                    mood.delay = 0.02 + 0.2 * trouble.figure if on else 0.0
                case TroubleKind.CUT:
                    mood.cut = on
                case TroubleKind.FRAGMENT:
                    mood.fragments = on


def _one(values: Sequence[int], figure: float) -> int:
    return values[int(figure * len(values))]


async def play(
    seed: int, gateways: int, seconds: float, troubles: Sequence[Trouble], folder: Path | None = None,
    engines: int = PROXIED, program: Path = ROOT, workers: int = WORKERS,
) -> Observations:  # fmt: skip
    """One run, ended in order also by SIGINT and SIGTERM."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        with contextlib.suppress(NotImplementedError, RuntimeError, ValueError):
            loop.add_signal_handler(number, task.cancel)
    return await Soak(seed, gateways, seconds, troubles, folder, engines, program, workers).play()
