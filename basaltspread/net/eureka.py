"""The second front's registry: this gateway's own lease in Eureka, and the engines that Eureka lists.

It speaks Eureka's REST operations and turns applications into the core's list. It must never drop the last
list because the registry is silent or talks nonsense, and it decides nothing about the engines that it names.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
from collections.abc import Callable, Coroutine
from typing import Any
from urllib.parse import quote

from basaltspread import core
from basaltspread import interface as api
from basaltspread.config import Gateway, Registry, split_address
from basaltspread.control.asking import LIST_WAIT
from basaltspread.control.descriptor_budget import DescriptorUse
from basaltspread.control.registry_order import InstanceId, InstanceNews, Stamps, Withdrawal
from basaltspread.control.registry_view import RegistryView
from basaltspread.core import Listed
from basaltspread.net.links import Headers, LinkError, Reply, failure_name, load_json
from basaltspread.net.runtime import Runtime
from basaltspread.net.withdrawal_file import WithdrawalFile

log = logging.getLogger("basaltspread")
CALL_WAIT = 3.0  # s for one call; of a list, until its head has come
BODY_LIMIT = 8 * 1024 * 1024  # of a full list
SECOND_ANSWER_PAUSE = 0.1  # s until the changes are asked for again, where a second answer decides
STAMP_DIGITS = 18  # of a time in ms, at the most
JSON_HEADERS: Headers = [(b"Accept", b"application/json")]
# What Eureka says of an instance, and what that means for sends.
STATES: dict[str, api.WorkerState] = {
    "UP": api.WorkerState.UP,
    "OUT_OF_SERVICE": api.WorkerState.DRAINING,
    "UNKNOWN": api.WorkerState.DRAINING,
    "STARTING": api.WorkerState.REMOVED,
    "DOWN": api.WorkerState.REMOVED,
}
Work = Callable[[], Coroutine[Any, Any, None]]


def _many(value: Any) -> list[Any]:
    """Eureka writes a list of one as the one alone."""
    return value if isinstance(value, list) else [] if value is None else [value]


def parse_applications(raw: Any) -> tuple[list[tuple[InstanceId, dict[str, Any]]], str]:
    """The instances of an answer, in order, and the hash code that came with them; raises ValueError."""
    outer = raw.get("applications") if isinstance(raw, dict) else None
    if not isinstance(outer, dict):
        raise ValueError("no applications object")
    found = []
    for app in _many(outer.get("application")):
        if not isinstance(app, dict) or not isinstance(app.get("name"), str):
            raise ValueError("an application without a name")
        for instance in _many(app.get("instance")):
            if not isinstance(instance, dict):
                raise ValueError("an instance that is no object")
            ident = instance.get("instanceId") or instance.get("hostName")
            if not isinstance(ident, str):
                raise ValueError("an instance without an id")
            found.append((InstanceId(app["name"].upper(), ident), instance))
    return found, str(outer.get("apps__hashcode") or "")


def stamps_of(instance: dict[str, Any]) -> Stamps:
    """When a registry's word on an instance was written; what is no time counts as not told."""

    def stamp(name: str) -> int:
        value = str(instance.get(name) or "")
        return int(value) if value.isascii() and value.isdigit() and len(value) <= STAMP_DIGITS else 0

    return Stamps(stamp("lastDirtyTimestamp"), stamp("lastUpdatedTimestamp"))


def engine_from(ident: str, instance: dict[str, Any], settings: api.Settings) -> Listed:
    """One engine in the core's terms; raises ValueError."""
    port = instance.get("port")
    number = port.get("$") if isinstance(port, dict) else port
    address = f"{instance.get('ipAddr') or instance.get('hostName') or ''}:{number}"
    split_address("port", address)
    found = instance.get("metadata")
    about: dict[str, Any] = found if isinstance(found, dict) else {}
    found = instance.get("leaseInfo")
    lease: dict[str, Any] = found if isinstance(found, dict) else {}
    kinds = {k.name: i for i, k in enumerate(settings.kinds)}
    zones = {z: i for i, z in enumerate(settings.zones)}
    try:
        entry = api.WorkerEntry(
            ident, STATES.get(str(instance.get("status")), api.WorkerState.DRAINING),
            int(about.get("cell") or 0), zones.get(str(about.get("zone")), len(zones)),
            kinds.get(str(about.get("machineType")), len(kinds)), float(about.get("weight") or 1.0),
            int(lease.get("serviceUpTimestamp") or 0) * core.MS,
        )  # fmt: skip
    except (TypeError, ValueError, OverflowError) as error:
        raise ValueError(f"instance {ident!r}: {error}") from error
    return Listed(entry, address)


class Eureka:
    """Keeps this gateway registered, and the core told of the engines."""

    def __init__(self, runtime: Runtime, config: Gateway, registry: Registry) -> None:
        self.runtime, self._config, self._registry = runtime, config, registry
        self._view = RegistryView()
        self._told: dict[str, Listed] = {}
        self._doubted: set[str] = set()  # engines listed as up by a word that does not count yet
        self._fetched = False
        self._failing: set[str] = set()  # kinds of calls of which the last failed
        self._version = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._whole: asyncio.Task[None] | None = None  # a call for the whole list, beside those for changes
        self._leaving: asyncio.Task[None] | None = None
        self._listen = config.listen
        self._answer_wanted = asyncio.Event()  # a second answer decides on an engine's return
        self._withdrawals: dict[InstanceId, Withdrawal] = {}  # as they were kept last
        self._file = WithdrawalFile(config.scratch, config.name) if config.scratch is not None else None
        if self._file is not None:
            known = self._file.load(runtime.clock.from_monotonic(0))
            self._view.recall(runtime.clock.now(), known)

    @property
    def _app(self) -> str:
        return f"{self._registry.path}/apps/{quote(self._config.name.upper(), safe='')}"

    def start(self, listen: str) -> None:
        self._listen = listen
        self._begin()
        self.runtime.on_terminate.append(self._terminate)

    def _begin(self) -> None:
        self._tasks = [
            self.runtime.spawn_lasting(self._keep_lease, "renew"),
            self.runtime.spawn_lasting(self._watch_engines, "fetch"),
        ]

    def _terminate(self) -> None:
        if self._leaving is None:
            self._leaving = self.runtime.spawn(self._leave(), "leave")

    def reconfigure(self, registry: Registry) -> None:
        """Registers and fetches the whole list at the new address at once; the lease at an old one runs out
        by itself, and the last list stays in use until there is a new one."""
        if registry == self._registry or self._leaving is not None:
            return
        self.runtime.pool.drop(self._registry.address)
        self._end_tasks()
        self._registry, self._fetched = registry, False
        self._begin()

    async def stop(self) -> None:
        """The lease is given back before the program ends."""
        if self._leaving is not None:
            await asyncio.wait([self._leaving], timeout=CALL_WAIT)
        self._end_tasks()

    def _end_tasks(self) -> None:
        for task in (*self._tasks, self._whole):
            if task is not None:
                task.cancel()
        self._whole = None

    async def _keep_lease(self) -> None:
        while True:
            await self._noting_failures("lease", self._renew)
            await asyncio.sleep(self._registry.renew_s)

    async def _watch_engines(self) -> None:
        while True:
            self._answer_wanted.clear()  # a call that fails is not made again at once
            await self._noting_failures("engines", self._fetch)
            await self._until_next_fetch()

    async def _until_next_fetch(self) -> None:
        """A pause, which is short where a second answer decides on an engine's return. The whole list may say
        so in the middle of it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._registry.fetch_s):
                await self._answer_wanted.wait()
                await asyncio.sleep(SECOND_ANSWER_PAUSE)

    async def _noting_failures(self, kind: str, work: Work) -> None:
        """A failure is counted each time, logged as it begins and as it is over."""
        try:
            await work()
        except (LinkError, ValueError) as error:
            self.runtime.count("registry_failures")
            self.runtime.count(f"registry_failures_{failure_name(error)}")
            if kind not in self._failing:
                log.warning("registry: %s: %s; the last list stays in use", kind, error)
            self._failing.add(kind)
            return
        if kind in self._failing:
            log.info("registry answers again: %s", kind)
        self._failing.discard(kind)

    async def _call(self, method: str, target: str, body: bytes = b"", body_wait: float = 0.0) -> Reply:
        headers = [*JSON_HEADERS, (b"Content-Type", b"application/json")] if body else JSON_HEADERS
        return await self.runtime.pool.call(
            self._registry.address, method, target, headers, body, wait=CALL_WAIT,
            use=DescriptorUse.REGISTRY, limit=BODY_LIMIT, body_wait=body_wait,
        )  # fmt: skip

    # --- this gateway's lease ---------------------------------------------------------------------------

    def instance_id(self) -> str:
        return f"{self._config.name}:{self._listen}"

    def _instance(self) -> dict[str, Any]:
        host, port = split_address("listen", self._listen)
        return {
            "instanceId": self.instance_id(),
            "hostName": host,
            "app": self._config.name.upper(),
            "ipAddr": host,
            "vipAddress": self._config.name,
            "status": "UP",
            "port": {"$": port, "@enabled": "true"},
            "securePort": {"$": 443, "@enabled": "false"},
            "healthCheckUrl": f"http://{host}:{port}/health/ready",
            "dataCenterInfo": {
                "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn",
            },
            "leaseInfo": {
                "renewalIntervalInSecs": max(1, round(self._registry.renew_s)),
                "durationInSecs": max(3, round(3 * self._registry.renew_s)),
            },
            "metadata": {},
        }  # fmt: skip

    async def _register(self) -> None:
        reply = await self._call("POST", self._app, json.dumps({"instance": self._instance()}).encode())
        if reply.status not in (200, 204):
            raise ValueError(f"register: status {reply.status}")
        self.runtime.count("registry_registered")

    async def _renew(self) -> None:
        """The first renewal finds no lease, and so does one after the registry lost its memory."""
        reply = await self._call("PUT", f"{self._app}/{quote(self.instance_id(), safe='')}?status=UP")
        if reply.status == 404:
            await self._register()
        elif reply.status != 200:
            raise ValueError(f"renew: status {reply.status}")
        else:
            self.runtime.count("registry_renewed")

    async def _leave(self) -> None:
        self._tasks[0].cancel()  # or a renewal would register again
        try:
            await self._call("DELETE", f"{self._app}/{quote(self.instance_id(), safe='')}")
            self.runtime.count("registry_deregistered")
        except LinkError as error:
            log.warning("registry: deregister: %s; the lease runs out by itself", error)

    # --- the engines ------------------------------------------------------------------------------------

    async def _fetch(self) -> None:
        """The whole list first, changes from then on. Where these don't add up to what the registry counts,
        the whole list is asked for once more, and changes are used while it is under way."""
        if not self._fetched:
            await self._fetch_whole()
        elif not await self._fetch_changes() and (self._whole is None or self._whole.done()):
            work = self._noting_failures("whole list", self._fetch_whole)
            self._whole = self.runtime.spawn(work, "fetch whole list")

    async def _fetch_whole(self) -> None:
        asked_after = self._view.answers()
        found, _ = parse_applications(await self._get(f"{self._registry.path}/apps"))
        news = [self._news_from(*one) for one in found]
        self._view.take_whole(self.runtime.clock.now(), news, asked_after)
        self._fetched = True
        self.runtime.count("registry_full_fetches")
        self._tell()

    async def _fetch_changes(self) -> bool:
        """Whether what is known by now adds up to what the registry counts."""
        found, code = parse_applications(await self._get(f"{self._registry.path}/apps/delta"))
        news = [self._news_from(*one) for one in found]
        adds_up = self._view.take_changes(self.runtime.clock.now(), news, code)
        self.runtime.count("registry_delta_fetches")
        self._tell()
        if not adds_up:
            self.runtime.count("registry_hash_mismatches")
            log.info("registry: changes give %s, it counts %s; fetching all", self._view.hash_code(), code)
        return adds_up

    async def _get(self, target: str) -> Any:
        reply = await self._call("GET", target, body_wait=LIST_WAIT)
        if reply.status != 200:
            raise ValueError(f"{target}: status {reply.status}")
        return load_json(reply.body)

    def _news_from(self, ident: InstanceId, instance: dict[str, Any]) -> InstanceNews:
        """What an answer says of one instance. An engine that can't be read is known by its status alone."""
        entry, address = None, ""
        if ident.application == self._registry.engines.upper():
            try:
                engine = engine_from(ident.instance, instance, self._config.settings)
                entry, address = engine.entry, engine.address
            except ValueError as error:
                self.runtime.count("registry_instances_odd")
                log.warning("registry: engine %s left out: %s", ident.instance, error)
        deleted = instance.get("actionType") == "DELETED"
        status = str(instance.get("status"))
        return InstanceNews(ident, status, deleted, stamps_of(instance), entry, address)

    def _note_doubts(self) -> None:
        """Counts and logs each engine that is listed as up by a word that does not count yet."""
        doubted = self._view.doubted()
        for name in sorted(doubted - self._doubted):
            self.runtime.count("registry_words_doubted")
            log.info("registry: %s is listed as up by no newer word than took it away; it gets no work", name)
        self._doubted = doubted

    def _keep_withdrawals(self) -> None:
        """For a process that follows: a replica that lags may be the first to answer it."""
        withdrawals = self._view.withdrawals()
        if self._file is None or withdrawals == self._withdrawals:
            return
        self._withdrawals = withdrawals
        with self.runtime.noting_file_faults("withdrawals"):
            self._file.keep(withdrawals, self.runtime.clock.from_monotonic(0))

    def _engines(self) -> dict[str, Listed]:
        """Those that run, by name."""
        found = {name: (one.engine, one.address) for name, one in self._view.engines().items()}
        return {
            name: Listed(entry, address)
            for name, (entry, address) in found.items()
            if entry is not None and entry.state is not api.WorkerState.REMOVED
        }

    def _tell(self) -> None:
        self._tell_engines()
        self._note_doubts()
        if self._view.awaits_answer():
            self._answer_wanted.set()
        self._keep_withdrawals()

    def _tell_engines(self) -> None:
        engines = self._engines()
        if engines == self._told and self._version:
            return
        self._version += 1
        self._told = engines
        listed = tuple(engines[name] for name in sorted(engines))
        self.runtime.feed(
            core.ListTold(api.ListKind.FULL, self._version, listed, self.runtime.clock.wall_shifts())
        )
