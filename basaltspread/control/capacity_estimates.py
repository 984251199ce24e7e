"""What a warm worker can do, how large a request is and how much is asked for, as this router sees it and as
its peers tell.

A router of many sees so little that it would know none of it for seconds after its start, and what it sees
is mostly chance: each tells the others what it knows, in turn. Times are in microseconds, work is in mean
requests. It must never decide what an estimate is good for.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from math import exp2

from basaltspread import interface as api
from basaltspread.control.allowance import GOLDEN_RATIO
from basaltspread.control.request_sizes import RequestSizes
from basaltspread.interface import Role
from basaltspread.structures.averages import Rate, Usual

MESSAGE_WEIGHT = 0.05  # of a new message in the mean of what is told
LEAST_MESSAGES = 3  # with fewer, what this router knows by itself goes before
SECOND = 1_000_000
TELL_STEP = SECOND // 16  # between two messages of the whole fleet
PEAK_MEMORY = 30 * SECOND  # half-life of the most that was completed
QUICK_RATE_WINDOWS = 2  # half-life, in windows of slow start, of a rate that peers average
DEMAND_MEMORY = 4 * SECOND  # half-life of what is told of the demand
LEAST_DEMAND_TIME = 2 * SECOND  # over which requests are counted, or messages heard, at the least
TOKEN_TIMES_KEPT = 40  # messages
FASTEST_PART = 0.2  # quantile of what is told of a token's time: most have seen no read that did not wait


class PeerMean:
    """The mean of what peers told of one figure; what they do not know is told as 0."""

    def __init__(self) -> None:
        self.count, self.value = 0, 0.0

    def add(self, figure: float) -> None:
        if figure > 0:
            self.count += 1
            self.value += max(MESSAGE_WEIGHT, 1 / self.count) * (figure - self.value)


class TokenTimes:
    """What peers told of the time that a warm reader takes for a token: of those that saw a read which did
    not wait. A message costs the sorting of some numbers."""

    def __init__(self) -> None:
        self._told: deque[float] = deque(maxlen=TOKEN_TIMES_KEPT)
        self.value = 0.0

    def add(self, time: float) -> None:
        if time > 0:
            self._told.append(time)
            self.value = sorted(self._told)[int(FASTEST_PART * len(self._told))]

    @property
    def known(self) -> bool:
        return len(self._told) >= LEAST_MESSAGES


class CapacityEstimates:
    """One router's estimates. Each call costs O(1)."""

    def __init__(self, settings: api.Settings) -> None:
        self._settings, self._routers = settings, max(1, settings.routers)
        self.shares = settings.many and settings.limits.peers
        self.sizes = RequestSizes(len(settings.classes))
        self.token_time = 0.0  # that a warm reader takes for a token, as seen here; 0: not known
        rules = settings.rules
        steady = rules.warm_within // 2
        half_life = min(steady, QUICK_RATE_WINDOWS * rules.cold_window) if self.shares else steady
        # Mean requests a microsecond that a warm worker of weight 1 completed for this router.
        self.completed_rate = {role: Rate(max(1, half_life)) for role in Role}
        self._read_part = Usual()  # of prompts, that had to be read: the rest was kept from others
        self._told_part = PeerMean()
        self._asked, self._told_at = 0, 0  # prompt tokens of this router's clients since it told last
        self._demand = Rate(DEMAND_MEMORY)  # prompt tokens a microsecond, of all routers' clients
        self._token_times, self._prompt = TokenTimes(), PeerMean()
        self._completed = {role: PeerMean() for role in Role}
        self._peak = {role: (0.0, 0) for role in Role}  # the most that was completed, and when
        self._tell_at = 0

    def begin(self, now: int) -> None:
        """This process starts to decide: it counts from now on, and its turn to tell comes within a round."""
        for rate in (*self.completed_rate.values(), self._demand):
            rate.since = now
        self._told_at = now
        turn = self._settings.router * GOLDEN_RATIO % 1.0  # evenly divided among all routers
        self._tell_at = now + int(turn * self._round)

    @property
    def _round(self) -> int:
        """In which each router tells once, in us."""
        return self._routers * TELL_STEP

    def arrived(self, arrival: api.Arrival) -> None:
        """A request has come."""
        self.sizes.arrived(arrival)
        self._asked += arrival.prompt_tokens

    def was_read(self, prompt_tokens: int, read_tokens: int) -> None:
        """Of a prompt so much had to be read."""
        self._read_part.add(read_tokens / max(1, prompt_tokens), 1)

    def to_tell(self, now: int, warm: Mapping[Role, bool]) -> api.PeerEstimates | None:
        """What to tell the peers as a request has come, if it is this router's turn; `warm` says of which
        roles there are workers that are not in slow start."""
        if not self.shares or now < self._tell_at:
            return None
        self._tell_at = now + self._round
        completed = {role: self._routers * self._own_rate(now, role, warm[role]) for role in Role}
        told = api.PeerEstimates(
            self.token_time, self.sizes.typical_prompt() or 0, completed[Role.WRITER],
            completed[Role.MIXED], self._asked_lately(now), self._read_part.time,
        )  # fmt: skip
        self.hear(now, told)
        return told

    def _asked_lately(self, now: int) -> float:
        """Prompt tokens a microsecond since this was asked last; 0 if that was too short ago to tell."""
        time = now - self._told_at
        if time < LEAST_DEMAND_TIME:
            return 0.0
        asked, self._asked, self._told_at = self._asked, 0, now
        return asked / time

    def hear(self, now: int, told: api.PeerEstimates) -> None:
        """A peer's estimates, or this router's own."""
        self._token_times.add(told.token_time)
        self._prompt.add(told.prompt_tokens)
        self._told_part.add(told.read_part)
        self._demand.add(now, told.demand * self._round)  # what its sender gets in a round
        for role, rate in ((Role.WRITER, told.writer_rate), (Role.MIXED, told.mixed_rate)):
            mean = self._completed[role]
            mean.add(rate)
            if mean.count * MESSAGE_WEIGHT >= 1:
                self._peak[role] = (max(mean.value, self._peak_rate(now, role)), now)

    @property
    def agreed(self) -> bool:
        """Whether the figures are those that all routers have, but for what was told last."""
        return self._prompt.count >= LEAST_MESSAGES

    def time_for_token(self) -> float:
        """That a warm reader takes; 0: not known."""
        return self._token_times.value if self._token_times.known else self.token_time

    def typical_prompt(self) -> float | None:
        """Tokens; None as long as too little is known."""
        return self._prompt.value if self.agreed else self.sizes.typical_prompt()

    def demand(self, now: int) -> float | None:
        """Tokens a microsecond that readers would have to read for the clients of all routers; None as long
        as that is not known."""
        asked = self.asked(now)
        return None if asked is None else asked * self._told_part.value

    def asked(self, now: int) -> float | None:
        """Prompt tokens a microsecond that the clients of all routers send; None as long as that is not
        known."""
        if self._told_part.count < LEAST_MESSAGES or now - self._demand.since < LEAST_DEMAND_TIME:
            return None
        return self._demand.young(now)

    def unread_part(self) -> float:
        """Of a prompt that has to be read: the rest is kept from others."""
        return self._told_part.value or self._read_part.time or 1.0

    def size(self, arrival: api.Arrival, role: Role) -> float | None:
        """A request's work at a worker of this role; None as long as too little is known."""
        typical = self.typical_prompt()
        return self.sizes.size(arrival, role, typical) if typical else None

    def fleet_rate(self, now: int, role: Role, warm: bool) -> float:
        """Mean requests a microsecond that a warm worker of weight 1 completes for all routers together: no
        more than it can do. `warm`: whether there is one now."""
        if self._completed[role].count >= LEAST_MESSAGES:
            return max(self._completed[role].value, self._peak_rate(now, role))
        return self._routers * self._own_rate(now, role, warm)

    def _peak_rate(self, now: int, role: Role) -> float:
        rate, at = self._peak[role]
        return rate * exp2((at - now) / PEAK_MEMORY)

    def _own_rate(self, now: int, role: Role, warm: bool) -> float:
        """With no warm worker left nothing can be completed: what was known then goes on to hold."""
        rate = self.completed_rate[role]
        rules = self._settings.rules
        return rate.over(
            now if warm else rate.when, rules.cold_window + self._settings.limits.connect_timeout
        )
