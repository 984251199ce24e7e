"""What a registry with Eureka's API has told of its instances, kept as one view.

It takes news (a whole list, or changes with the hash code of the whole) and gives the engines that follow
from them. What was read is applied also where the hash code does not agree: a mismatch asks for the whole
list, which may be long in coming, and throws nothing away. Which word of an engine counts is decided by
`registry_order.py`, engine by engine. It does no I/O and reads no clock; times are in us. Taking a whole list
costs a step for each instance, changes one for each that they name, that is listed, or that is in doubt.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from basaltspread.control.registry_order import (
    InstanceId,
    InstanceNews,
    Standing,
    Withdrawal,
    newest_of_each,
)


def hash_code(statuses: Iterable[str]) -> str:
    """Eureka's: each status with its count, by name, as in DOWN_1_UP_8_."""
    return "".join(f"{status}_{count}_" for status, count in sorted(Counter(statuses).items()))


class RegistryView:
    """The instances as the registry's last answers have them, and what each engine's words make of it."""

    def __init__(self) -> None:
        self._told: dict[InstanceId, InstanceNews] = {}  # as the registry lists them, be it an old copy
        self._standings: dict[InstanceId, Standing] = {}  # of the engines
        self._answers = 0  # taken so far
        self._changed_in: dict[InstanceId, int] = {}  # which answer told the last change of each

    def answers(self) -> int:
        """How many answers have been taken; a whole list is asked for after so many."""
        return self._answers

    def take_whole(self, now: int, news: Iterable[InstanceNews], asked_after: int) -> None:
        """A whole list. What changes told since it was asked for is newer, and stays."""
        self._answers += 1
        since = {ident for ident, answer in self._changed_in.items() if answer > asked_after}
        told = {ident: one for ident, one in newest_of_each(news).items() if ident not in since}
        for one in told.values():
            self._hear(now, one)
        told.update({ident: self._told[ident] for ident in since if ident in self._told})
        for ident, standing in self._standings.items():
            if ident not in told:
                standing.leaves(now)
        self._told = told
        self._changed_in = {ident: self._changed_in[ident] for ident in since}
        self._forget_the_gone(now)

    def take_changes(self, now: int, news: Iterable[InstanceNews], code: str) -> bool:
        """Changes, and the hash code of the whole; whether they add up. Else the whole list is wanted."""
        self._answers += 1
        changes = newest_of_each(news)
        for one in changes.values():
            self._take_change(now, one)
        adds_up = code == self.hash_code()
        if adds_up:  # so the registry says of each of the others what it said before
            for ident in [i for i, standing in self._standings.items() if standing.doubted]:
                if ident not in changes and ident in self._told:
                    self._hear(now, self._told[ident])
        self._forget_the_gone(now)
        return adds_up

    def _take_change(self, now: int, one: InstanceNews) -> None:
        """A registry repeats its changes for minutes: what is known already is no change."""
        known = self._told.get(one.id)
        if one != known and not (one.deleted and known is None):
            self._changed_in[one.id] = self._answers
        if one.deleted:
            self._told.pop(one.id, None)
        else:
            self._told[one.id] = one
        self._hear(now, one)

    def _hear(self, now: int, one: InstanceNews) -> None:
        standing = self._standings.get(one.id)
        if standing is not None:
            standing.hear(now, one)
        elif one.engine is not None and not one.deleted:
            self._standings[one.id] = Standing(now, one)

    def _forget_the_gone(self, now: int) -> None:
        """Older copies may list them again for a while, and not for ever."""
        over = [ident for ident, standing in self._standings.items() if standing.is_over(now)]
        for ident in over:
            del self._standings[ident]

    def hash_code(self) -> str:
        return hash_code(one.status for one in self._told.values())

    def engines(self) -> dict[str, InstanceNews]:
        """The engines by name, those that drain among them."""
        found = (standing.listed() for standing in self._standings.values())
        return {one.id.instance: one for one in found if one is not None and one.engine is not None}

    def awaits_answer(self) -> bool:
        """Whether a second answer decides on an engine's return: it is worth asking for soon."""
        return any(standing.awaits_answer() for standing in self._standings.values())

    def withdrawals(self) -> dict[InstanceId, Withdrawal]:
        """The engines whose work was taken away, for a process that follows this one."""
        found = {ident: standing.withdrawal() for ident, standing in self._standings.items()}
        return {ident: one for ident, one in found.items() if one is not None}

    def recall(self, now: int, withdrawals: Mapping[InstanceId, Withdrawal]) -> None:
        """What an earlier process knew; what is known here already counts before it."""
        for ident, withdrawal in withdrawals.items():
            self._standings.setdefault(ident, Standing.recalled(ident, withdrawal))
        self._forget_the_gone(now)

    def doubted(self) -> set[str]:
        """The engines that the registry lists for new work by a word that does not count yet."""
        return {ident.instance for ident, standing in self._standings.items() if standing.doubted}
