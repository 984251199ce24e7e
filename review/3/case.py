"""Case 3: a new version under load, while some clients write their requests slowly."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import world

SEED = 3
RATE = 15.0  # ordinary requests a second
SLOW = 6  # clients that write slowly, beside them
BEGIN = (-0.4, -0.05)  # s after SIGTERM at which these begin to write
WRITES = (1.1, 1.9)  # s that they take for a request
PIECES = 8
QUIET = 4.0  # s of load until the new version is started
GRACE = 3.0 + 0.7  # s from SIGTERM to SIGKILL: 3 s for a longest deadline of over 3 s, and 0.7 s
READERS, WRITERS = 4, 3


# What differs at whk-sorting from the settings that the other cases play.
CLASSES = [
    {"name": "address-check", "effect": "safe", "key_scope": "all", "deadline": 10000000,
     "promise": 2000000, "points": 3.0, "late_value": 0.1, "streaming": True, "window": 5000000},
    {"name": "bag-assign", "effect": "unsafe", "key_scope": "all", "deadline": 12000000,
     "promise": 2500000, "points": 5.0, "late_value": 0.2, "streaming": True, "window": 5000000},
]  # fmt: skip
LIMITS = {"max_attempts": 4, "may_duplicate": False, "retry_after": False, "max_retry_after": 2000000}
RULES = {"start_capacity": 0.29, "tip_multiple": 4}
SPECIFICS = {"release": 300000, "resume": False, "writers_read": True}


class Writer(world.Engine):
    """Streams of 2 to 4 s."""

    event_time = (0.05, 0.07)
    events = (36, 60)


class Slow:
    """A client that writes one request in pieces, on a connection that it opened before."""

    def __init__(self, rid: str) -> None:
        self.answer = world.Answer(rid)
        self.written_at = 0.0  # when its last byte was handed to the system
        self.ended_at = 0.0

    async def ask(self, address: str, term_at: asyncio.Future[float], after: float, takes: float) -> None:
        """Begins to write so long after SIGTERM, or before it."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps({"model": "chat", "stream": True, "max_tokens": 100, "messages": [
            {"role": "user", "content": self.answer.rid + " " + "x" * 3000}]}).encode()  # fmt: skip
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Account: acme\r\n"
            f"X-Correlation-Id: {self.answer.rid}\r\nX-Service-Class: bag-assign\r\n"
            f"X-Session-Key: s-{self.answer.rid}\r\nX-Time-Left-Ms: 10000\r\n"
            f"X-Facts: prompt_len=800,max_out=100\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        raw = head.encode() + body
        try:
            await world.asked_ready(reader, writer)
            await asyncio.sleep(max(0.0, await asyncio.shield(term_at) + after - time.monotonic()))
            for piece in range(PIECES):
                writer.write(raw[len(raw) * piece // PIECES : len(raw) * (piece + 1) // PIECES])
                await writer.drain()
                if piece < PIECES - 1:
                    await asyncio.sleep(takes / (PIECES - 1))
                    if reader.at_eof():
                        return  # closed before its last byte: it has not been taken
            self.written_at = time.monotonic()
            await world.read_answer(reader, self.answer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended_at = time.monotonic()
            writer.transport.abort()


async def case(record: world.Record, scratch: Path) -> int:
    lot = random.Random(SEED)
    fleet = world.Fleet(record, lot)
    for i in range(READERS):
        world.Engine(fleet, f"r{i}", "prefill")
    for i in range(WRITERS):
        Writer(fleet, f"w{i}", "decode")
    for engine in fleet.engines:
        await engine.server.start()
    entries = [engine.entry() for engine in fleet.engines]
    agent = world.Discovery(lambda: entries)
    await agent.server.start()
    door = socket.create_server(("127.0.0.1", 0), backlog=512)
    os.set_inheritable(door.fileno(), True)
    address = f"127.0.0.1:{door.getsockname()[1]}"
    conf = world.config("n0", 0, 2, agent.server.address, entries)
    conf["settings"].update({"classes": CLASSES, "telemetry": {"fields": [], "how": "off"}})
    for key, own in (("limits", LIMITS), ("rules", RULES), ("specifics", SPECIFICS)):
        conf["settings"][key].update(own)
    conf.update({"listen": address, "management": "127.0.0.1:0"})
    gateways = [world.Gateway("n0", scratch, record), world.Gateway("n0", scratch, record)]
    slow = [Slow(f"slow{i:02d}-{lot.getrandbits(32):08x}") for i in range(SLOW)]
    answers: list[world.Answer] = []
    front = world.Clients(address)
    load = asyncio.create_task(ask_on(record, lot, front, answers))
    try:
        await gateways[0].start(conf, door=door.fileno())
        await asyncio.sleep(QUIET)
        told: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        tasks = [
            asyncio.create_task(one.ask(address, told, lot.uniform(*BEGIN), lot.uniform(*WRITES)))
            for one in slow
        ]
        await asyncio.sleep(0.5)
        if world.trouble():
            await gateways[1].start(conf, door=door.fileno())
        term_at = time.monotonic() + 1.0
        told.set_result(term_at)
        await asyncio.sleep(max(0.0, term_at - time.monotonic()))
        killed = world.trouble() and not await ended_in_order(record, gateways[0], term_at)
        await asyncio.wait_for(asyncio.gather(*tasks), 30)
        load.cancel()
        await asyncio.sleep(5.0)
        front.close()
    finally:
        load.cancel()
        for gateway in gateways:
            if gateway.address:
                await gateway.end()
        door.close()
        agent.server.stop()
        fleet.stop()
    return judge(record, slow, answers, term_at, killed)


async def ended_in_order(record: world.Record, gateway: world.Gateway, term_at: float) -> bool:
    gateway.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE):
            await gateway.process.wait()
    except TimeoutError:
        gateway.signal(signal.SIGKILL)
        return False
    record.say(f"the old process has ended {time.monotonic() - term_at:.2f} s after SIGTERM")
    return True


async def ask_on(
    record: world.Record, lot: random.Random, front: world.Clients, answers: list[world.Answer]
) -> None:
    async def one(rid: str, cls: str) -> None:
        answer = await front.ask(rid, cls)
        how = "whole" if answer.whole else "cut"
        record.say(f"client {rid} ({cls}) got {answer.status}, {how}")
        answers.append(answer)

    tasks = []
    try:
        for number in itertools.count():
            await asyncio.sleep(lot.expovariate(RATE))
            cls = "bag-assign" if lot.random() < 0.47 else "address-check"
            tasks.append(asyncio.create_task(one(f"{lot.getrandbits(40):010x}{number:06x}", cls)))
    finally:
        await asyncio.shield(asyncio.gather(*tasks))


def judge(
    record: world.Record, slow: list[Slow], answers: list[world.Answer], term_at: float, killed: bool
) -> int:
    """A request whose last byte was written gets a whole answer, a refusal or a failure. What a kill finds
    is excused if it came within 0.7 s of SIGTERM."""
    lost = untaken = 0
    for one in slow:
        answer = one.answer
        if not one.written_at:
            untaken += 1
            continue
        came, ended = one.written_at - term_at, one.ended_at - term_at
        how = "whole" if answer.whole else "cut" if answer.status else "closed without an answer"
        record.say(f"slow client {answer.rid}: last byte {came:.2f} s after SIGTERM, {answer.status} {how}, "
                   f"{len(answer.texts())} events, ended {ended:.2f} s after it")  # fmt: skip
        if not answer.whole and not (killed and came <= 0.7):
            lost += 1
            record.say(f"LOST: {answer.rid}")
    cut = sum(not a.whole for a in answers)
    text = (f"{len(slow)} slow clients: {untaken} closed before their last byte, {lost} requests lost; "
            f"{len(answers)} others, {cut} of them lost")  # fmt: skip
    record.say(text)
    print(text)
    return world.BROKEN if lost else world.HELD


world.play(Path(__file__).resolve().parent, case)
