"""What one router knows and has learnt: the state that its decisions share.

It owns the shape of that state alone. The modules beside it decide: health, waits, reader_choice,
writer_choice, admission and silence; rules.py leads a request through them.
"""

from __future__ import annotations

from basaltspread import interface as api
from basaltspread.control.capacity_estimates import CapacityEstimates
from basaltspread.control.engine_index import EngineIndex
from basaltspread.control.held_prefixes import ENTRY_LIFE, HeldPrefixes
from basaltspread.control.load_view import Request, Worker
from basaltspread.control.measured_hits import MeasuredHits
from basaltspread.interface import Outcome, Role
from basaltspread.policy.slow_start import SlowStart
from basaltspread.structures.averages import Rate, Recent, Usual
from basaltspread.structures.bucket import Bucket
from basaltspread.structures.shares import KeyShares

SECOND = 1_000_000
TABLE_BLOCKS = 200_000  # blocks the prefix table may hold
HOME_PRIOR = 20  # requests before a text's share is believed
TAUGHT = 10  # samples from which a learnt figure is used
SEEN_WAITS = 9  # waits, over a whole pool, whose median counts: one router of many has hardly more at a time
SEEN_MEMORY = 8 * SECOND  # for which one counts: without news a request is let through to see
RATE_MEMORIES = (SECOND, 4 * SECOND)  # half-lives of measured rates: quick, and steady
SHARE_BURST = 2.0  # seconds of its quota that a tenant may send at once
LEAST_BURST = 8.0  # requests that it may always: with many routers 2 s of one router's part is none
NOTHING_ARRIVED = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class RouterState:
    """Made from the settings; everything else comes by events."""

    def __init__(self, settings: api.Settings) -> None:
        self.s, self.now = settings, 0
        self.out: list[api.Action] = []
        self.many, self.tightest = settings.many, min((c.aim for c in settings.classes), default=SECOND)
        # Workers, and who of them is up.
        self.fleet: dict[str, Worker] = {}
        self.leaving: dict[str, Worker] = {}  # removed from the list, with attempts that are still out
        self.index = EngineIndex(settings.rules.warm_within, settings.weights_mean_size)
        self.estimates = CapacityEstimates(settings)
        self.slow_start = SlowStart(settings, self.index, self.estimates)
        self.dark = dict[int, tuple[int, int]]()  # zone -> left out until, failures in a row
        self.calm = False
        # Requests.
        self.requests: dict[str, Request] = {}
        self.unanswered = dict[str, None]()  # admitted, no first token yet
        self.timer_set = False
        parts = [t.quota_per_s / max(1, settings.routers) for t in settings.tenants]
        self.quotas = [Bucket(p / SECOND, max(LEAST_BURST, SHARE_BURST * p)) for p in parts]
        self.looked_at = api.Candidates()  # by the latest decision on a pool
        self.chosen_for = api.ChoiceReason.LEAST_LOADED  # by the latest choice of a worker
        # What was learnt; times in us.
        self.held = HeldPrefixes(TABLE_BLOCKS)
        self.hits = MeasuredHits()
        self.asked = KeyShares(ENTRY_LIFE, HOME_PRIOR)  # how often each text is asked for
        self.stage_wait = {role: Recent(SEEN_WAITS, SEEN_MEMORY) for role in Role}
        self.read_time, self.first_time, self.answer_times = Usual(), Usual(), Usual()
        self.near_time, self.far_time = 0.0, dict[int, float]()  # to a first token within, out of a cell
        self.latency, self.first_at = 0.0, 0  # to a first token; when the last one came
        self.first_rates = [Rate(memory) for memory in RATE_MEMORIES]

    def _told_lag(self, worker: Worker, prompt_k_waiting: float) -> float:
        """What a reader with so many thousand tokens of prompts lets wait, in us. With many routers these are
        whole prompts, of which a part is kept and not read; few see their own reads."""
        unread = prompt_k_waiting * 1000 * (self.estimates.unread_part() if self.many else 1.0)
        return unread * self.token_time / self.slow_start.warmth(self.now, worker)

    @property
    def token_time(self) -> float:
        """To read one token at best, in us; 0: not known."""
        return self.estimates.time_for_token()
