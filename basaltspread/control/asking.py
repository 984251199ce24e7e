"""How a gateway asks discovery: how long a call may wait, how large a list may be, and how long discovery is
left alone after a call failed.

Discovery has a fixed room. To begin a watch takes a place in its queue, to go on with one takes nothing; what
waits too long is turned away, and its place was spent in vain. So once more calls come than it can serve,
hardly any is served: gateways that start together and ask again at once keep each other out for good. What
all of them ask together has to come down far below what one alone would ask.

And whatever becomes of calls, what discovery has counts as told 6 s after it could be asked for: a call that
falls silent is given up well before, and so is a pause.

It does no I/O and reads no clock. It must never decide what a list means.
"""

from __future__ import annotations

from basaltspread.control.budget import pause

MICRO = 1_000_000
TOLD_WITHIN = 6.0  # s after discovery has a change and can be reached, it counts as told
HOLD_MS = 2000  # of one call that goes on with a watch, which costs nothing; the next follows at once
BRIEF_MS = 1  # of the first, and after a failure: its answer is wanted at once, news or not
TURN = 2.5  # s of silence past that to give one up that begins a watch: it may wait 2 s for its turn
GOING_ON = 1.0  # s past that of one that goes on with a watch, which waits for no turn
RETRY_PAUSE = 0.05  # s before the first new try of one gateway; well within the 200 ms that a watch may pause
SHARE = 0.025  # s of that for each gateway where there are many: 40 new tries a second of them all
LONGEST_PAUSE = 1.0  # s for one gateway, and at least
LONGEST_PUSHED = 0.2  # s where lists are pushed; within the time that a drain allows
LONGEST_FACTOR = 8.0  # times the first pause of one of many, up to
MOST_ENGINES = 3200  # of a fleet
ENTRY_SIZE = 1024  # bytes of one engine's entry, indented and with long names
LIST_LIMIT = MOST_ENGINES * ENTRY_SIZE  # bytes of a whole list
LIST_WAIT = 30.0  # s for a list whose head has come and that goes on arriving
LONGEST_OF_MANY = TOLD_WITHIN - TURN - 0.5  # s; one more call then has to bring what is known


def next_call(begins: bool) -> tuple[int, float]:
    """The ms for which a call may wait for news, and the s of silence past them until it is given up."""
    return (BRIEF_MS, TURN) if begins else (HOLD_MS, GOING_ON)


def retry_pause(failures: int, lot: float, gateways: int = 1, pushed: bool = False) -> float:
    """After so many failures in a row; `lot` in [0, 1) keeps gateways that failed together apart. Where lists
    are pushed, an agent beside the gateway has them at once as discovery is back, and that counts as told."""
    if pushed:
        return pause(failures, int(RETRY_PAUSE * MICRO), int(LONGEST_PUSHED * MICRO), lot) / MICRO
    first = max(RETRY_PAUSE, min(LONGEST_PAUSE, SHARE * gateways))
    longest = max(LONGEST_PAUSE, min(LONGEST_OF_MANY, LONGEST_FACTOR * SHARE * gateways))
    return pause(failures, int(first * MICRO), int(longest * MICRO), lot) / MICRO
