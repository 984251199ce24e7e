"""Wires the parts of one gateway together and runs it; decides nothing."""

from __future__ import annotations

import asyncio
import logging
import os
import sys

from basaltspread import core
from basaltspread.config import ConfigError, Platform, load_platform
from basaltspread.net.platform import Front
from basaltspread.net.runtime import Runtime
from basaltspread.rules import Router


async def serve(config: Platform) -> None:
    state = core.State(config.settings, Router(config.settings, config.seed))
    runtime = Runtime(
        state, config.sockets, config.memory_mb,
        connect_timeout=(config.settings.limits.connect_timeout or 250_000) / 1e6,
        idle=config.idle_close / 1e6 * 0.6,
    )  # fmt: skip
    front = Front(runtime, config)
    runtime.watch_signals()
    await front.start()
    runtime.spawn(runtime.sweep(), "sweep")
    await runtime.over.wait()
    await front.stop()
    runtime.print_counters()


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    try:
        config = load_platform(os.environ)
    except ConfigError as error:
        print(f"basaltspread: {error}", file=sys.stderr)
        return 2
    asyncio.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
