"""Wires the parts of one gateway together and runs it; decides nothing.

Without arguments it is the platform's gateway (RELAY_* variables); `--sidecar FILE` starts the second front.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import sys

from basaltspread import core
from basaltspread.config import ConfigError, Gateway, load_platform, load_sidecar
from basaltspread.net.eureka import Eureka
from basaltspread.net.platform import Front
from basaltspread.net.runtime import Runtime
from basaltspread.net.toolcalls import Relay
from basaltspread.rules import Router

IDLE_SHARE = 0.6  # of the time after which engines close an idle connection: ours are closed by then


async def serve(config: Gateway) -> None:
    state = core.State(config.settings, Router(config.settings, config.seed))
    timeout = config.settings.limits.connect_timeout or 250_000
    idle = config.idle_close / 1e6 * IDLE_SHARE
    runtime = Runtime(state, config.sockets, config.memory_mb, connect_timeout=timeout / 1e6, idle=idle)
    relay = Relay(runtime, config.tools) if config.tools is not None else None
    front = Front(runtime, config, relay)
    eureka = Eureka(runtime, config, config.registry) if config.registry is not None else None
    runtime.watch_signals()
    await front.start()
    if eureka is not None:
        eureka.start(front.address)
    runtime.spawn(runtime.sweep(), "sweep")
    await runtime.over.wait()
    await front.stop()
    if eureka is not None:
        await eureka.stop()
    runtime.print_counters()


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m basaltspread")
    parser.add_argument(
        "--sidecar", metavar="FILE", help="an operator's file, as basaltspread.config writes it"
    )
    options = parser.parse_args()
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    faults: list[ConfigError] = []
    config: Gateway | None = None
    try:
        if options.sidecar:
            config, faults = load_sidecar(options.sidecar)
        else:
            config = load_platform(os.environ)
    except ConfigError as error:
        faults = [error]
    for fault in faults:
        print(f"basaltspread: {fault}", file=sys.stderr)
    if config is None:
        return 2
    asyncio.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
