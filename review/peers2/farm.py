"""Many engines of one kind in one process, each with a port of its own: `farm.py KIND COUNT`. The first line
that it prints holds their addresses, each further one a request that was sent to one of them: when (by the
monotonic clock), to which, and its id."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
import lib


async def main(kind: str, count: int) -> None:
    addresses = []

    def engine(number: int) -> lib.Handler:
        async def handle(call: lib.Call) -> None:
            if call.path.startswith("/state/"):
                call.reply(200 if call.method == "POST" and kind == "decode" else 204)
            elif call.path != "/v1/chat/completions":
                call.reply(404)
            else:
                print(json.dumps([time.monotonic(), number, call.rid]), flush=True)
                await asyncio.sleep(0.02)
                if kind == "prefill":
                    call.reply(202, b'{"cached_tokens":0}')
                else:
                    call.begin()
                    call.token(call.rid)
                    call.finish()

        return handle

    for number in range(count):
        addresses.append((await lib.Server(engine(number)).start()).address)
    print(json.dumps(addresses), flush=True)
    await asyncio.to_thread(sys.stdin.read)  # until whoever started it has ended


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
