"""Which of a registry's words on an engine counts: news is of one engine, and ordered by its source.

Eureka stamps a word twice. `lastDirtyTimestamp` is the instance's own clock, the same at each replica of the
registry; it is compared first. `lastUpdatedTimestamp` is the clock of the replica that answers; it decides
where the first is equal or missing, and is trusted less, as replicas' clocks may differ.

Doubt is not symmetric. A word that takes new work away (a drain, a departure):

| it is | it counts |
| --- | --- |
| older than the word in force by the instance's stamp, and not newer by the replica's | not |
| by neither stamp newer than one that newer news have overtaken | not |
| any other: newer, equal, unstamped, or older by a replica's clock alone | at once |

A word that gives it back, after one that took it away:

| it is | the engine serves |
| --- | --- |
| newer, and not heard before that one | at once |
| equal, unstamped, or heard before though newer by its stamps | by the second answer in a row |
| older by the instance's stamp, newer by the replica's (registered anew, its clock set back) | the same |
| older | DOUBT_KEPT after the word that took it away was heard last |

An absence from a whole list takes work away too. It has the stamps of the word that was in force.

It does no I/O and reads no clock; times are in us, each step costs O(1).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum

from basaltspread import interface as api
from basaltspread.records import record

DOUBT_KEPT = 60_000_000  # us for which an older word can't give work back
WORDS_KEPT = 4  # stamps of words that gave work, kept for each engine
ANSWERS_TO_RETURN = 2  # in a row that give work back, where stamps don't tell the order


@record
class InstanceId:
    """What an instance is called in a registry."""

    application: str  # in capitals
    instance: str


@record
class Stamps:
    """When a word was written; 0 where it is not told."""

    dirty: int = 0  # ms of the instance's clock
    updated: int = 0  # ms of the clock of the registry's replica


@record
class InstanceNews:
    """What one answer says of one instance."""

    id: InstanceId
    status: str  # as the registry names it, for its hash code
    deleted: bool = False  # it is not registered any more
    stamps: Stamps = Stamps()
    engine: api.WorkerEntry | None = None  # if it is one of the engines, and can be read
    address: str = ""  # of the engine

    def gives_work(self) -> bool:
        up = self.engine is not None and self.engine.state is api.WorkerState.UP
        return up and not self.deleted


@record
class Withdrawal:
    """That an engine's work was taken away: the stamps that a word has to be newer than to give it back."""

    stamps: Stamps
    taken_at: int  # us


class Order(Enum):
    """How one word stands to another by their stamps."""

    NEWER = "newer"
    OLDER = "older"
    UNKNOWN = "unknown"


def _order_of(one: int, other: int) -> Order:
    if not one or not other or one == other:
        return Order.UNKNOWN
    return Order.NEWER if one > other else Order.OLDER


def order_of(one: Stamps, other: Stamps) -> Order:
    """By the instance's clock, then by the replica's."""
    by_instance = _order_of(one.dirty, other.dirty)
    return by_instance if by_instance is not Order.UNKNOWN else _order_of(one.updated, other.updated)


def is_newer_by_replica(one: Stamps, other: Stamps) -> bool:
    return _order_of(one.updated, other.updated) is Order.NEWER


def is_surely_older(one: Stamps, other: Stamps) -> bool:
    """Whether neither clock speaks for it."""
    return order_of(one, other) is Order.OLDER and not is_newer_by_replica(one, other)


def newest_of_each(news: Iterable[InstanceNews]) -> dict[InstanceId, InstanceNews]:
    """One word of each instance that an answer names: the newest, or the last where stamps don't tell."""
    found: dict[InstanceId, InstanceNews] = {}
    for one in news:
        known = found.get(one.id)
        if known is None or order_of(one.stamps, known.stamps) is not Order.OLDER:
            found[one.id] = one
    return found


class Standing:
    """One engine: the word in force, and what may change it."""

    def __init__(self, now: int, word: InstanceNews) -> None:
        self.doubted = False  # its last word gives work, and does not count yet
        self._word = word  # in force
        self._stamps = word.stamps  # that a word which gives work back has to be newer than
        self._serves = word.gives_work()
        self._listed = True  # in the last answer that told of it
        self._taken_at = now  # when a word was heard last that takes its work away
        self._overtaken: Stamps | None = None  # of the last such word that newer news have overtaken
        self._gave_work: deque[Stamps] = deque(maxlen=WORDS_KEPT)
        self._answers = 0  # in a row that give work back
        self._note_given(word)

    @staticmethod
    def recalled(ident: InstanceId, withdrawal: Withdrawal) -> Standing:
        """Of an engine of which an earlier process was told that it leaves; nothing more is known."""
        word = InstanceNews(ident, "", deleted=True, stamps=withdrawal.stamps)
        standing = Standing(withdrawal.taken_at, word)
        standing._listed = False
        return standing

    def awaits_answer(self) -> bool:
        """Whether one more answer like the last gives it work."""
        return self.doubted and self._answers > 0

    def withdrawal(self) -> Withdrawal | None:
        """None while it serves."""
        return None if self._serves else Withdrawal(self._stamps, self._taken_at)

    def hear(self, now: int, word: InstanceNews) -> None:
        """The word of one answer."""
        if not word.gives_work():
            self._hear_taking(now, word)
        elif self._serves:
            if not is_surely_older(word.stamps, self._word.stamps):
                self._word = word
                self._note_given(word)
        elif self._counts(now, word):
            newer = order_of(word.stamps, self._stamps) is Order.NEWER
            self._overtaken = self._stamps if newer else None
            self._word, self._serves, self._listed, self.doubted = word, True, True, False
            self._note_given(word)
        else:
            self.doubted = True

    def leaves(self, now: int) -> None:
        """A whole list does not name it. That has no stamp: what was known last has to be newer to return."""
        if self._serves:
            self._stamps = self._word.stamps
        if self._listed:
            self._take_away(now, self._word)
        self._listed = self.doubted = False
        self._answers = 0

    def is_over(self, now: int) -> bool:
        """Whether it has been gone for so long that nothing of it matters."""
        return not self._listed and now >= self._taken_at + DOUBT_KEPT

    def listed(self) -> InstanceNews | None:
        """The word by which it is to be listed; None if it is not."""
        return self._word if self._listed else None

    def _note_given(self, word: InstanceNews) -> None:
        if self._serves and word.stamps not in self._gave_work:
            self._gave_work.append(word.stamps)

    def _hear_taking(self, now: int, word: InstanceNews) -> None:
        if self._serves and self._is_old(word):
            return
        if self._serves or order_of(word.stamps, self._stamps) is not Order.OLDER:
            self._stamps = word.stamps
        self._take_away(now, word)
        self._listed = word.engine is not None and not word.deleted

    def _is_old(self, word: InstanceNews) -> bool:
        """Whether a word that takes work away is surely no news."""
        stamps, overtaken = word.stamps, self._overtaken
        older = _order_of(stamps.dirty, self._word.stamps.dirty) is Order.OLDER
        if older and not is_newer_by_replica(stamps, self._word.stamps):
            return True
        if overtaken is None or is_newer_by_replica(stamps, overtaken):
            return False
        return order_of(stamps, overtaken) is not Order.NEWER

    def _take_away(self, now: int, word: InstanceNews) -> None:
        self._word, self._serves, self.doubted = word, False, False
        self._taken_at, self._answers = now, 0

    def _counts(self, now: int, word: InstanceNews) -> bool:
        """Whether a word gives work back now."""
        newer = order_of(word.stamps, self._stamps) is Order.NEWER
        if newer and word.stamps not in self._gave_work:
            return True
        if is_surely_older(word.stamps, self._stamps):
            return now >= self._taken_at + DOUBT_KEPT
        self._answers += 1
        return self._answers >= ANSWERS_TO_RETURN
