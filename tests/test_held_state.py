"""What is held for a request at engines is taken or let go in time, whatever becomes of what was written."""

from __future__ import annotations

import asyncio

from tests.fleet import World
from tests.helpers import SECOND
from tests.standins import Asked, FleetTest, Standin, answer_plainly, reading, writing


class SilentWriterTest(FleetTest):
    """A writer whose machine takes bytes on connections that are open, and whose process does nothing."""

    async def silent_writer(self) -> Standin:
        """It answers until its connection has carried one stream."""

        async def answer(asked: Asked) -> None:
            if any(a.target.startswith("/v1") for a in writer.seen[:-1]):
                await asyncio.Event().wait()
            await answer_plainly(asked)

        async def place(asked: Asked) -> None:
            if asked.target.startswith("/state"):
                asked.reply(409 if asked.method == "POST" else 204)
            else:
                await answer(asked)

        writer = await self.standin(place)
        return writer

    async def test_the_state_behind_a_write_that_is_not_answered_is_let_go(self) -> None:
        """The release comes while the write is still out, and for a class whose requests may not run twice
        the write stays out: what is let go has nothing to do with what may be repeated."""
        for service_class in ("ask", "order"):
            reader = await self.standin(reading())
            writer = await self.silent_writer()
            gateway = await self.fleet(r1=reader, w1=writer)
            client = await self.client(gateway)
            await client.ask("a0")
            client.send("a1", cls=service_class)
            write = await writer.until("POST", 2, "/v1")
            ended = asyncio.ensure_future(write.closed())
            released = asyncio.ensure_future(reader.until("DELETE", target="/state/a1"))
            await asyncio.wait({ended, released}, return_when=asyncio.FIRST_COMPLETED)
            self.assertTrue(released.done(), f"{service_class}: the write was given up before the release")
            self.assertFalse(ended.done(), service_class)
            ended.cancel()
            await gateway.kill()


def test_engines_that_fall_silent_on_open_connections_leave_nothing_held() -> None:
    """Many gateways in virtual time; four in five writers take bytes and do nothing for some seconds."""
    for seed in (1, 2, 3):
        world = World(seed, gateways=6, readers=6, writers=10, rate=40.0)
        world.keeps_connections = True
        writers = [name for name, engine in world.engines.items() if engine.entry.kind == 1]

        def silence(on: bool, world: World = world, writers: list[str] = writers) -> None:
            for name in writers[:8]:
                world.engines[name].silent = on

        world.after(2 * SECOND, lambda silence=silence: silence(True))  # type: ignore[misc]
        world.after(6 * SECOND, lambda silence=silence: silence(False))  # type: ignore[misc]
        world.run(9)
        assert world.breaches == [], seed
