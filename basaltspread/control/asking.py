"""How long a gateway leaves discovery alone after a call there failed.

Discovery has a fixed room. To begin a watch takes a place in its queue, to go on with one takes nothing; what
waits too long is turned away, and its place was spent in vain. So once more calls come than it can serve,
hardly any is served: gateways that start together and ask again at once keep each other out for good. What
all of them ask together has to come down far below what one alone would ask.

It does no I/O and reads no clock. It must never decide what a list means.
"""

from __future__ import annotations

from basaltspread.control.budget import pause

MICRO = 1_000_000
HOLD_MS = 5000  # of one call; the next follows at once, so that the watch goes on
BRIEF_MS = 1  # of the first, whose answer is wanted at once, news or not
RETRY_PAUSE = 0.05  # s before the first new try of one gateway; well within the 200 ms that a watch may pause
SHARE = 0.025  # s of that for each gateway where there are many: 40 new tries a second of them all
LONGEST_PAUSE = 1.0  # s for one gateway, and at least
LONGEST_FACTOR = 8.0  # times the first pause of one of many, up to
LONGEST_OF_MANY = 10.0  # s


def retry_pause(failures: int, lot: float, gateways: int = 1) -> float:
    """After so many failures in a row; `lot` in [0, 1) keeps gateways that failed together apart."""
    first = max(RETRY_PAUSE, min(LONGEST_PAUSE, SHARE * gateways))
    longest = max(LONGEST_PAUSE, min(LONGEST_OF_MANY, LONGEST_FACTOR * SHARE * gateways))
    return pause(failures, int(first * MICRO), int(longest * MICRO), lot) / MICRO
