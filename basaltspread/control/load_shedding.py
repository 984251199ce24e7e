"""Which requests are refused before anything is decided for them, as the loop is too far behind.

A request that is taken needs several decisions, one after the other, and each waits for what is already due.
One that could not get its answer in time only makes all others later: a refusal at the door costs a fraction
of a decision, and tells the client to ask elsewhere. It does no I/O and reads no clock; times are in
microseconds.
"""

from __future__ import annotations

from basaltspread import interface as api
from basaltspread.control.loop_load import LoopLoad
from basaltspread.structures.hashing import HASH_MASK, hashed

MOST_DELAY = 0.25  # of its time, or of its class's aim, that a request may lose to one wait for the loop


def expected_delay(load: LoopLoad, now: int, undecided: int) -> float:
    """For how long the next decision will wait: for those before it, and as the loop was late just now."""
    return load.lag(now) + undecided * load.decision_time


def refusal(
    settings: api.Settings, load: LoopLoad, now: int, undecided: int, arrival: api.Arrival
) -> int | None:
    """The Retry-After with which this arrival is refused, 0 for none; None where it is taken. Spread by the
    request's id: clients that come back all at once would be refused all at once."""
    bearable = MOST_DELAY * min(arrival.time_left, settings.classes[arrival.request_class].aim)
    delay = expected_delay(load, now, undecided)
    if delay <= bearable:
        return None
    if not settings.limits.retry_after:
        return 0
    most = settings.limits.max_retry_after
    least = min(delay, most / 2)
    return int(least + (most - least) * hashed(arrival.request) / HASH_MASK)
