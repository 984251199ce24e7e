"""Clients of many gateways with little traffic each, in a process of their own.

`python -m soak.thin_load` reads a JSON object, its part of the load, and prints what became of each request.
Arrivals are by chance at a stated rate (open loop): a client that is late to send says so.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from dataclasses import asdict, dataclass, field

from basaltspread.lab.conversations import Conversations, Turn
from soak.clients import Clients, Connection
from soak.observations import ClientKind, ClientRequest, Observations

LAST_ANSWERS = 4.0  # s
SECOND_US = 1_000_000


@dataclass(frozen=True)
class LoadPlan:
    """One process's part of the load."""

    part: int
    seed: int
    addresses: list[str]  # of the gateways
    rate: float  # requests a second of this part
    seconds: float
    begins_at: float  # of the monotonic clock, which all processes of a machine share
    time_left: float  # s that a client waits
    burst_at: float | None = None  # s after the beginning
    burst: float = 1.0  # times the rate from then on
    crowded: list[int] = field(default_factory=list)  # gateways that get most of the traffic from then on


@dataclass
class Outcome:
    """What became of one request. Times are s after the beginning."""

    gateway: int
    prompt_tokens: int
    due_at: float
    sent_at: float | None
    status: int
    whole: bool
    waited: float | None  # s from when it was due to its answer's head


CROWDED_WEIGHT, OTHER_WEIGHT = 6.0, 0.5  # of gateways as traffic shifts


class ThinClient(Clients):
    """One gateway's clients, each request on a connection of its own."""

    async def ask_once(self, turn: Turn, name: str, time_left: float) -> ClientRequest:
        """One request, to its end."""
        asked = ClientRequest(name, self._gateway, ClientKind.PLAIN, "ask", time_left, True, time.monotonic())
        connection = await self._connect()
        if connection is None:
            return asked
        try:
            await self._send(asked, turn, connection)
            await self._answer(asked, connection.reader, time_left + 1.0)
        except (OSError, asyncio.IncompleteReadError):
            self._ended(asked)
        finally:
            connection.close()
        return asked

    @staticmethod
    async def _send(asked: ClientRequest, turn: Turn, connection: Connection) -> None:
        prompt = turn.prompt
        text = f"prefix={prompt.text},prefix_len={prompt.text_tokens}," if prompt.text else ""
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {asked.id}\r\n"
            f"X-Service-Class: ask\r\nX-Account: acme\r\nX-Session-Key: {prompt.conversation}\r\n"
            f"X-Time-Left-Ms: {int(asked.time_left * 1000)}\r\n"
            f"X-Facts: {text}prompt_len={prompt.tokens},max_out={turn.answer_tokens}\r\n"
            "Content-Length: 2\r\n\r\n{}"
        )
        connection.writer.write(head.encode())
        await connection.writer.drain()
        asked.sent_at = time.monotonic()


class Load:
    """This process's clients."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan, self._lot = plan, random.Random(f"{plan.seed} load {plan.part}")
        seen = Observations(plan.seed)
        self._clients = [
            ThinClient(seen, number, lambda address=address: address, plan.seed)  # type: ignore[misc]
            for number, address in enumerate(plan.addresses)
        ]
        self._conversations = Conversations(self._lot, 0)
        self._outcomes: list[Outcome] = []
        self._asking = set[asyncio.Task[None]]()

    async def play(self) -> list[Outcome]:
        """All arrivals, and what became of them."""
        plan, number = self._plan, 0
        at = self._lot.expovariate(plan.rate)
        while at < plan.seconds:
            await asyncio.sleep(max(0.0, plan.begins_at + at - time.monotonic()))
            number += 1
            task = asyncio.create_task(self._ask(number, at))
            self._asking.add(task)
            task.add_done_callback(self._asking.discard)
            at += self._lot.expovariate(plan.rate * (plan.burst if self._is_burst(at) else 1.0))
        if self._asking:
            await asyncio.wait(set(self._asking), timeout=LAST_ANSWERS)
        return self._outcomes

    def _is_burst(self, at: float) -> bool:
        return self._plan.burst_at is not None and at >= self._plan.burst_at

    def _gateway(self, at: float) -> int:
        crowded = set(self._plan.crowded)
        if not crowded or not self._is_burst(at):
            return self._lot.randrange(len(self._clients))
        weights = [CROWDED_WEIGHT if i in crowded else OTHER_WEIGHT for i in range(len(self._clients))]
        return self._lot.choices(range(len(self._clients)), weights)[0]

    async def _ask(self, number: int, at: float) -> None:
        plan, gateway = self._plan, self._gateway(at)
        turn = self._conversations.turn(int(at * SECOND_US))
        prompt = turn.prompt
        outcome = Outcome(gateway, prompt.tokens, at, None, 0, False, None)
        self._outcomes.append(outcome)
        asked = await self._clients[gateway].ask_once(turn, f"p{plan.part}-{number}", plan.time_left)
        due = plan.begins_at + at
        outcome.sent_at = None if asked.sent_at is None else asked.sent_at - plan.begins_at
        outcome.status, outcome.whole = asked.status, asked.whole
        outcome.waited = None if asked.answered_at is None else asked.answered_at - due


async def _main() -> None:
    plan = LoadPlan(**json.loads(sys.stdin.readline()))
    outcomes = await Load(plan).play()
    json.dump([asdict(outcome) for outcome in outcomes], sys.stdout)


if __name__ == "__main__":
    asyncio.run(_main())
