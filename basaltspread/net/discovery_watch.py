"""Discovery's list of engines, as the platform's protocol words it on HTTP/1.1: watched, fetched, moved.

It must never judge an entry: that is the core's part.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import random
import time
from dataclasses import replace

from basaltspread import core
from basaltspread import interface as api
from basaltspread.config import Gateway
from basaltspread.control.asking import BRIEF_MS, LIST_LIMIT, LIST_WAIT, TURN, next_call, retry_pause
from basaltspread.control.descriptor_budget import DescriptorUse
from basaltspread.endings import Ending
from basaltspread.net.links import LinkError, failure_name, load_json
from basaltspread.net.parsing import NoRoom, parse_list
from basaltspread.net.runtime import Runtime

log = logging.getLogger("basaltspread")
MOST_REASONS = 8  # log lines about one row of failures


class DiscoveryWatch:
    """Learns of the engines, and goes on learning."""

    def __init__(self, runtime: Runtime, config: Gateway) -> None:
        self._runtime, self._config = runtime, config
        self._watching: dict[str, asyncio.Task[None]] = {}  # by discovery's address; two while it moves
        self._told_by: str | None = None  # whose answer came last
        self._answered = asyncio.Event()  # set by discovery's first answer
        self._answered_at = time.monotonic()  # the last answer; the start, before the first
        runtime.gauges.append(self._figures)
        runtime.carry[core.FetchWholeList] = self._fetch_list

    def _figures(self) -> dict[str, int]:
        """How long ago discovery last answered, in ms; nothing where it is not watched."""
        if not self._watching:
            return {}
        return {"discovery_silent_ms": round((time.monotonic() - self._answered_at) * 1000)}

    async def first_answer(self) -> None:
        """Returns at once where nothing is watched."""
        if self._watching:
            await self._answered.wait()

    def begin(self) -> None:
        """Learn of the engines."""
        version: int | None = None
        if self._config.known:
            try:
                told = parse_list(self._config.known, self._config.settings, api.ListKind.CACHED)
                version = told.version
                self._runtime.feed(replace(told, wall_shifts=self._runtime.clock.wall_shifts()))
            except ValueError as error:
                self._runtime.count("known_unusable")
                log.warning("known list unusable: %s", error)
        self.watch(self._config.discovery, version)

    def reconfigure(self, config: Gateway) -> None:
        """Discovery moves. Its version numbers need not go on at the new address, so the whole list comes
        first; until then, and for all else that is known of the engines, what was told before holds."""
        old, new = self._config.discovery, config.discovery
        if new == old:
            return
        self._config = replace(self._config, discovery=new)
        # Where discovery was goes on being watched until the new place has answered once. Guards against a
        # change that is on its way as discovery moves: it is told, and would be read by nobody.
        self._end_watches(*({old, self._told_by} - {new} if new is not None else ()))
        self.watch(new, None)
        log.info("discovery moves from %s to %s", old, new)

    def watch(self, discovery: str | None, version: int | None) -> None:
        if discovery is not None:
            watch = functools.partial(self._watch, discovery, version)
            self._watching[discovery] = self._runtime.spawn_lasting(watch, f"watch {discovery}")

    def _end_watches(self, *but: str | None) -> None:
        for discovery in [d for d in self._watching if d not in but]:
            self._watching.pop(discovery).cancel()
            self._runtime.pool.drop(discovery)

    async def _watch(self, discovery: str, version: int | None) -> None:
        failures, begins = 0, True
        said = set[str]()  # the reasons of a row of failures that are in the log
        while True:
            try:
                version = await self._fetch(discovery, version, *next_call(begins))
                self._told_by, self._answered_at = discovery, time.monotonic()
                if discovery == self._config.discovery:
                    self._end_watches(discovery)
                self._answered.set()
                begins = False
                if failures:
                    log.info("discovery answers again at version %d", version)
                failures = 0
                said.clear()
            except (LinkError, ValueError) as error:
                begins = True
                self._note_failure(error)
                if str(error) not in said and len(said) < MOST_REASONS:
                    log.warning("discovery: %s", error)
                    said.add(str(error))
                failures += 1
                await asyncio.sleep(self._pause(failures, error))

    def _pause(self, failures: int, error: LinkError | ValueError) -> float:
        """The s until the next call. A pushed list is asked for again well within a drain's time, unless
        asking at once is of no use: discovery has no room, or its list can't be taken in."""
        settings = self._config.settings
        of_no_use = isinstance(error, NoRoom)
        if isinstance(error, LinkError):
            of_no_use = error.ending is Ending.TOO_LARGE
        pushed = not settings.list_must_be_asked and not of_no_use
        return retry_pause(failures, random.random(), settings.routers, pushed)

    def _note_failure(self, error: LinkError | ValueError) -> None:
        self._runtime.count("discovery_failures")
        self._runtime.count(f"discovery_failures_{failure_name(error)}")
        if isinstance(error, NoRoom):
            self._runtime.count("discovery_full")

    def _fetch_list(self, effect: core.FetchWholeList) -> None:
        if self._config.discovery is not None:
            self._runtime.spawn(self._fetch_once(self._config.discovery), "fetch")

    async def _fetch_once(self, discovery: str) -> None:
        try:
            await self._fetch(discovery, None)
        except (LinkError, ValueError) as error:
            self._note_failure(error)
            log.warning("discovery: the whole list was asked for: %s", error)
            self._runtime.feed(core.ListTold(api.ListKind.FAILED, 0, ()))

    async def _fetch(
        self, discovery: str, version: int | None, hold: int = BRIEF_MS, slack: float = TURN
    ) -> int:
        """One call; a watch if a version is held, of so many ms."""
        target = "/registry/instances"
        wait = slack
        if version is not None:
            target += f"?from={version}&hold_ms={hold}"
            wait += hold / 1000
        reply = await self._runtime.pool.call(
            discovery, "GET", target, wait=wait, use=DescriptorUse.REGISTRY, limit=LIST_LIMIT,
            body_wait=LIST_WAIT,
        )  # fmt: skip
        if reply.status == 503:
            raise NoRoom("status 503")
        if reply.status != 200:
            raise ValueError(f"status {reply.status}")
        told = parse_list(load_json(reply.body), self._config.settings)
        if told.entries or told.kind is api.ListKind.FULL:
            self._runtime.feed(replace(told, wall_shifts=self._runtime.clock.wall_shifts()))
        return told.version
