"""Policies that a day is judged beside: they send the same requests to the same engines, without gateways.

The informed policy sees the true state of all engines a little late and as a whole. The random policy sees
only which engines are up. Neither keeps more than one attempt of a request out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from basaltspread import core
from basaltspread.core import Ending
from basaltspread.lab.engine_side import CONNECT
from basaltspread.lab.entities import READER, WRITER, Ask, Engine, Gateway
from basaltspread.lab.prefix_cache import Prompt
from basaltspread.lab.queues import ReadQueue, WriteSlots
from basaltspread.lab.settings import MS, SECOND
from basaltspread.lab.world import World

SEEN_LATE = 250 * MS  # how old the state is that the informed policy sees, at the least
SEEN_STEP = 100 * MS  # between two looks at the state
MOST_TRIES = 5
LOST_NOTICED = 500 * MS  # after which a policy tries elsewhere what nobody answers
SAFE_PART = 0.8  # of what a cold engine survives in a window that it is sent


class Policy(Enum):
    """How an engine is chosen."""

    INFORMED = "informed"
    RANDOM = "random"


@dataclass
class Seen:
    """One engine, as the policy knows it."""

    alive: bool = True
    cost: float = 0.0  # us until a mean request would be done, as it was
    sent: list[tuple[int, float]] = field(default_factory=list)  # since then: when, and us of work


class Reference(World):
    """The same day under such a policy. What happens to gateways does not concern it."""

    policy = Policy.INFORMED

    def start(self, g: Gateway) -> None:
        g.state, g.life = None, 1

    def kill(self, g: Gateway, back_after: int) -> None:
        pass

    def hand_over(self, g: Gateway) -> None:
        pass

    def feed(self, g: Gateway, event: core.Input) -> None:
        match event:
            case core.Ended():
                self._attempt_over(event.request, event.ending)
            case _:
                pass

    def live_gateways(self) -> list[Gateway]:
        return self.gateways

    def _lives(self, q: Ask) -> bool:
        return True

    def watch_loads(self) -> None:
        self.seen: dict[str, Seen] = {}
        self.reader_of: dict[str, str] = {}  # request -> where its state waits
        self.tries: dict[str, int] = {}
        self.cold_sent: dict[str, list[tuple[int, float]]] = {}
        self._look()

    def _look(self) -> None:
        """The state as it is now is seen later."""
        sees_silence = self.policy is not Policy.RANDOM
        now = {
            name: (engine.alive and not (engine.silent and sees_silence), self._cost(engine))
            for name, engine in self.engines.items()
        }
        at = self.now

        def known() -> None:
            for name, (alive, cost) in now.items():
                seen = self.seen.setdefault(name, Seen())
                seen.alive, seen.cost = alive, cost
                seen.sent = [(when, work) for when, work in seen.sent if when > at]

        self.after(SEEN_LATE, known) if self.seen else known()
        if self.now < self.began + 60 * SECOND:
            self.after(SEEN_STEP, self._look)

    def _cost(self, engine: Engine) -> float:
        match engine.work:
            case ReadQueue():
                return float(engine.work.time_to_read(self.now, 0))
            case WriteSlots():
                return engine.work.load(self.now)
            case _:
                return 0.0

    # --- a request's way

    def take(self, g: Gateway, name: str, time_left: int) -> None:
        self.tries[name] = 0
        self._send(name)

    def _send(self, name: str) -> None:
        q, tried = self.asks[name], self.tries[name]
        if self.now >= q.deadline or tried >= MOST_TRIES or (q.unsafe and q.may_have_run):
            self.answered(name, "refused" if not (q.unsafe and q.may_have_run) else "failed")
            return
        reading = name not in self.reader_of
        chosen = self._choose(q, READER if reading else WRITER)
        if chosen is None:
            self.answered(name, "refused")
            return
        self.tries[name] = tried + 1
        effect = core.StartAttempt(name, tried, chosen, "", reading, q.deadline - self.now)
        q.out.add(tried)
        q.workers[tried] = chosen
        self.after(1 * MS, lambda: self._reach(q.gateway, effect))

    def _reach(self, g: Gateway, effect: core.StartAttempt) -> None:
        engine = self.engines[effect.worker]
        if not engine.alive or not self.reaches(g, effect.worker):
            self._unreached(g, effect, engine)
        elif self._connects_late():
            self._end_later(g, effect, CONNECT, Ending.CONNECT_TIMED_OUT)
        elif engine.loses and self.noise.random() < engine.loses:
            self.asks[effect.request].may_have_run |= not effect.reading
            self._end_later(g, effect, LOST_NOTICED, Ending.TIMED_OUT)
        else:
            self._arrived(g, effect, engine, g.life)

    def _unreached(self, g: Gateway, effect: core.StartAttempt, engine: Engine) -> None:
        """The informed policy soon knows who is silent, the random one only who refuses."""
        wait, ending = 1 * MS, Ending.REFUSED
        if engine.alive:
            ending = Ending.CONNECT_TIMED_OUT
            wait = CONNECT if self.policy is Policy.RANDOM else wait
        if self.policy is not Policy.RANDOM or not engine.alive:
            self.seen.setdefault(effect.worker, Seen()).alive = False
        self._end_later(g, effect, wait, ending)

    def _connects_late(self) -> bool:
        late = self.noise.random() < self.late_connects
        return late and self.noise.randrange(SECOND) >= CONNECT

    def _end(self, g: Gateway, effect: core.StartAttempt, ending: Ending, kept: int = 0) -> None:
        if effect.number in self.asks[effect.request].out:
            self._closed(effect.request, effect.number)
            self.feed(g, core.Ended(effect.request, effect.number, ending))

    def _open(self, g: Gateway, effect: core.StartAttempt, life: int) -> bool:
        return effect.number in self.asks[effect.request].out

    def _attempt_over(self, name: str, ending: Ending) -> None:
        q = self.asks[name]
        if ending is Ending.READ:
            self.reader_of[name] = q.workers[self.tries[name] - 1]
            self._send(name)
        elif ending is Ending.SERVED:
            self.answered(name, "served")
        elif q.streams:
            self.answered(name, "broken")
        else:
            if ending is Ending.STATE_GONE:
                self.reader_of.pop(name, None)
            self._send(name)

    # --- the choice

    def _choose(self, q: Ask, role: int) -> str | None:
        names = [
            name
            for name, engine in self.engines.items()
            if engine.entry.kind == role and self.seen.setdefault(name, Seen(engine.alive)).alive
        ]
        if not names:
            return None
        if self.policy is Policy.RANDOM:
            return self.noise.choice(names)
        names = [name for name in names if self._survives(name, q, role)]
        costs = {name: self._expected(name, q, role) for name in names}
        best = min(costs, key=lambda name: costs[name], default=None)
        if best is None or (role == READER and costs[best] > self._aim(q)):
            return None
        work = costs[best] - self._known_cost(best) if role == READER else self._one_more(best)
        self.seen[best].sent.append((self.now, work))
        self.cold_sent.setdefault(best, []).append((self.now, self.work(q, role == READER)))
        return best

    def _aim(self, q: Ask) -> float:
        cls = self.settings.classes[int(q.unsafe)]
        return float(cls.aim + cls.aim_per_1000 * q.prompt_tokens / 1000 - (self.now - q.wanted_at))

    def _known_cost(self, name: str) -> float:
        seen = self.seen[name]
        return seen.cost + sum(work for _, work in seen.sent)

    def _one_more(self, name: str) -> float:
        engine = self.engines[name]
        at_full_pace = engine.work.load(self.now) if isinstance(engine.work, WriteSlots) else 0.0
        count = len(engine.work.keys()) if isinstance(engine.work, WriteSlots) else 0
        return at_full_pace / count if count else 1.0 / (0.4 * self.capacity[WRITER] or 1.0)

    def _expected(self, name: str, q: Ask, role: int) -> float:
        if role == WRITER:
            return self._known_cost(name)
        engine = self.engines[name]
        read = 0
        if isinstance(engine.work, ReadQueue):
            prompt = Prompt(q.prompt_tokens, q.prefix, q.prefix_tokens, q.session)
            read = engine.work.time_to_read(self.now, engine.work.unread(prompt))
        alone = read - self._cost(engine)
        return max(0.0, self._known_cost(name)) + alone

    def _survives(self, name: str, q: Ask, role: int) -> bool:
        """Whether a cold engine gets no more than is safe with this one."""
        engine = self.engines[name]
        started = engine.entry.started
        if not started or self.now > started + self.settings.rules.warm_within:
            return True
        window = self.settings.rules.cold_window
        lately = [work for at, work in self.cold_sent.get(name, []) if at > self.now - window]
        return sum(lately) + self.work(q, role == READER) <= max(
            SAFE_PART * self.allowed(engine, self.now - window), 2.0
        )


class RandomChoice(Reference):
    """The plainest policy."""

    policy = Policy.RANDOM
