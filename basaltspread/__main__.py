"""Wires the parts of one gateway together and runs it; decides nothing.

Without arguments it is the platform's gateway (RELAY_* variables); `--sidecar FILE` starts the second front.
"""

from __future__ import annotations

import sys

from basaltspread.lean_imports import keep_out

if __name__ == "__main__":
    keep_out()

import argparse
import asyncio
import logging
import os
from collections.abc import Callable
from typing import TYPE_CHECKING

from basaltspread import core, logs
from basaltspread.config import ConfigError, Gateway, Tools, load_platform, load_sidecar, needs_restart
from basaltspread.control import picture
from basaltspread.net.clock import ClockFile
from basaltspread.net.management import Management
from basaltspread.net.platform import Front
from basaltspread.net.runtime import Runtime
from basaltspread.net.shared_files import BanFile, DepartureFile, Overlap
from basaltspread.rules import Router

if TYPE_CHECKING:
    from basaltspread.control.dispatch import Dispatcher

TOOL_SHARE = 0.15  # of the descriptors, for tries at tool servers
SHARE_STEP = 1.0  # s between two tries for the address at which other gateways are heard
TRACE = "BASALTSPREAD_TRACE"  # set to anything: each request's state changes are logged as it ends
IDLE_SHARE = 0.6  # of the time after which engines close an idle connection: ours are closed by then
log = logging.getLogger("basaltspread")
Load = Callable[[bool], tuple[Gateway | None, list[ConfigError]]]


def dispatcher(config: Gateway, tools: Tools) -> Dispatcher:
    """Imported where it is used: the platform's gateway has no tools."""
    from basaltspread.control.dispatch import Dispatcher

    shares = {i: tenant.share for i, tenant in enumerate(config.settings.tenants)}
    return Dispatcher(tools.table, shares, config.seed, max(4, int(config.sockets * TOOL_SHARE)))


async def share(runtime: Runtime, config: Gateway) -> None:
    """Join the picture that many gateways keep together, once the address for it is free: an old version of
    this gateway may hold it. Imported where it is used."""
    from basaltspread.net.peers import Peers

    try:
        peers = Peers(runtime, config)
    except ConfigError as error:
        runtime.count("peers_unbound")
        log.warning("other gateways can't be heard: %s", error)
        return
    while not await peers.start():
        await asyncio.sleep(SHARE_STEP)
    runtime.state.picture = joined = picture.Picture(config.settings)
    joined.listed(w.entry for w in runtime.state.workers.values())


def overlap_in(folder: str, name: str) -> Overlap | None:
    """None where the folder fails: a gateway serves without it, and hands nothing on."""
    try:
        return Overlap(folder, name)
    except OSError as error:
        log.error("nothing can be shared with another process of this gateway: %s", error)
        return None


async def serve(config: Gateway, load: Load) -> None:
    inherited = config.door is not None
    state = core.State(config.settings, Router(config.settings, config.seed), inherited=inherited)
    state.traces = bool(os.environ.get(TRACE))
    if config.tools is not None:
        state.tools = dispatcher(config, config.tools)
    timeout = config.settings.limits.connect_timeout or 250_000
    idle = config.idle_close / 1e6 * IDLE_SHARE
    scratch = config.scratch
    # Numbers of lists tell the next process something only where discovery counts them; a registry's news are
    # kept by their own stamps.
    numbered = config.registry is None
    runtime = Runtime(
        state, config.sockets, config.memory_mb, connect_timeout=timeout / 1e6, idle=idle,
        bans=BanFile(scratch, config.name) if scratch is not None and config.management is not None else None,
        overlap=overlap_in(scratch, config.name) if scratch is not None and inherited else None,
        clock_file=ClockFile(scratch, config.name) if scratch is not None else None,
        departures=DepartureFile(scratch, config.name) if scratch is not None and numbered else None,
    )  # fmt: skip
    relay = None
    if config.tools is not None:
        from basaltspread.net.toolcalls import Relay

        relay = Relay(runtime, config.tools)
    front = Front(runtime, config, relay)
    eureka = None
    if config.registry is not None:
        from basaltspread.net.eureka import Eureka

        eureka = Eureka(runtime, config, config.registry)
    management = Management(runtime, config.management) if config.management is not None else None

    def reload() -> None:
        """The whole file is read and checked before any of it counts."""
        new, faults = load(True)
        if new is None:
            runtime.count("reloads_refused")
            for fault in faults:
                log.error("reload refused, the old configuration stays: %s", fault)
            return
        runtime.count("reloads")
        runtime.reconfigure(new.sockets, new.memory_mb)
        front.discovery.reconfigure(new)
        if relay is not None and new.tools is not None:
            relay.reconfigure(new.tools)
        if eureka is not None and new.registry is not None:
            eureka.reconfigure(new.registry)
        later = needs_restart(config, new)
        log.info("reloaded%s", f"; only a restart changes {', '.join(later)}" if later else "")

    if config.peer_listen is not None and picture.talks(config.settings):
        runtime.spawn_lasting(lambda: share(runtime, config), "share")
    runtime.watch_signals(reload)
    runtime.look_at_other()  # before a list can name an engine that was left out
    runtime.spawn_lasting(runtime.watch_other, "other")
    if management is not None:
        await management.start()  # first: operators may ask before clients can come
    front.discovery.begin()
    await runtime.take_over()
    await front.start()
    if eureka is not None:
        eureka.start(front.address)
    runtime.spawn_lasting(runtime.sweep, "sweep")
    await runtime.over.wait()
    await front.stop()
    if eureka is not None:
        await eureka.stop()
    if relay is not None:
        await relay.stop()
    runtime.look_at_other(tell=False)  # orders that could not be written yet get one more try
    runtime.hold_signals()
    runtime.print_counters()


def start(sidecar: str | None, form: str) -> int:
    """Runs a gateway to its end: a sidecar by its file, or the platform's. Exit code 2 if it can't start."""
    logs.set_up(form)

    def load(again: bool) -> tuple[Gateway | None, list[ConfigError]]:
        try:
            if sidecar:
                return load_sidecar(sidecar)
            return load_platform(os.environ, again), []
        except ConfigError as error:
            return None, [error]

    config, faults = load(False)
    for fault in faults:
        print(f"basaltspread: {fault}", file=sys.stderr)
    if config is None:
        return 2
    asyncio.run(serve(config, load))
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m basaltspread")
    parser.add_argument(
        "--sidecar", metavar="FILE", help="an operator's file, as basaltspread.config writes it"
    )
    parser.add_argument("--log", choices=("plain", "console", "json"), default="plain")
    options = parser.parse_args()
    return start(options.sidecar, options.log)


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)  # all is told and closed: taking the heap apart would take time from a successor
