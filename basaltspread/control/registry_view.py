"""What a registry with Eureka's API has told of its instances, kept as one view.

It takes news (a whole list, or changes with the hash code of the whole) and gives the engines that follow
from them. What was read is applied also where the hash code does not agree: a mismatch asks for the whole
list, which may be long in coming, and throws nothing away. It does no I/O and reads no clock. Taking a whole
list costs a step for each instance, changes one for each that they name and one for each that is listed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from basaltspread.core.messages import Listed
from basaltspread.records import record


@record
class InstanceId:
    """What an instance is called in a registry."""

    application: str  # in capitals
    instance: str


@record
class InstanceNews:
    """What one answer says of one instance."""

    id: InstanceId
    status: str  # as the registry names it, for its hash code
    deleted: bool = False  # it is not registered any more
    engine: Listed | None = None  # if it is one of the engines, and can be read


def hash_code(statuses: Iterable[str]) -> str:
    """Eureka's: each status with its count, by name, as in DOWN_1_UP_8_."""
    return "".join(f"{status}_{count}_" for status, count in sorted(Counter(statuses).items()))


class RegistryView:
    """The instances as a registry tells them, by its newest answers."""

    def __init__(self) -> None:
        self._told: dict[InstanceId, InstanceNews] = {}
        self._answers = 0  # taken so far
        self._changed_in: dict[InstanceId, int] = {}  # which answer told the last change of each

    def answers(self) -> int:
        """How many answers have been taken; a whole list is asked for after so many."""
        return self._answers

    def take_whole(self, news: Iterable[InstanceNews], asked_after: int) -> None:
        """A whole list. What changes told since it was asked for is newer, and stays."""
        self._answers += 1
        since = {ident for ident, answer in self._changed_in.items() if answer > asked_after}
        told = {one.id: one for one in news if one.id not in since}
        told.update({ident: self._told[ident] for ident in since if ident in self._told})
        self._told = told
        self._changed_in = {ident: self._changed_in[ident] for ident in since}

    def take_changes(self, news: Iterable[InstanceNews], code: str) -> bool:
        """Changes, and the hash code of the whole; whether they add up. Else the whole list is wanted."""
        self._answers += 1
        for one in news:
            self._take_change(one)
        return code == self.hash_code()

    def _take_change(self, one: InstanceNews) -> None:
        """A registry repeats its changes for minutes: what is known already is no change."""
        known = self._told.get(one.id)
        if one == known or (one.deleted and known is None):
            return
        self._changed_in[one.id] = self._answers
        if one.deleted:
            del self._told[one.id]
        else:
            self._told[one.id] = one

    def hash_code(self) -> str:
        return hash_code(one.status for one in self._told.values())

    def engines(self) -> dict[str, Listed]:
        """The engines by name, those that drain among them."""
        return {one.engine.entry.name: one.engine for one in self._told.values() if one.engine is not None}
