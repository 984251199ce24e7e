"""A table of who was sent which beginning of a text, and how long a beginning.

It owns the entries and their cap alone. It must never read a clock, nor know what a holder is.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from itertools import islice

Runs = dict[str, tuple[int, int]]  # holder -> blocks of the beginning, last use


class PrefixTable:
    """Past the cap the keys used longest ago go. Each operation costs O(1), and a trim one for each key that
    goes; a key takes some 300 bytes and 150 for each holder."""

    def __init__(self, most: int, entries: Iterable[tuple[str, Runs]] = ()) -> None:
        """`most` blocks in all; `entries` as `newest` gave them."""
        self.most, self._runs = most, OrderedDict(entries)
        self.blocks = sum(run for runs in self._runs.values() for run, _ in runs.values())

    def record(self, key: str, holder: str, blocks: int, now: int) -> None:
        runs = self._runs.setdefault(key, {})
        self._runs.move_to_end(key)
        self.blocks += blocks - runs.get(holder, (0, 0))[0]
        runs.pop(holder, None)  # the newest stand last
        runs[holder] = (blocks, now)
        while self.blocks > self.most:
            self.blocks -= sum(run for run, _ in self._runs.popitem(last=False)[1].values())

    def run(self, key: str, holder: str) -> tuple[int, int]:
        return self._runs.get(key, {}).get(holder, (0, 0))

    def holders_among(self, key: str, names: Collection[str]) -> list[str]:
        """Those of these names that hold something of a key; costs O(the fewer of both)."""
        runs = self._runs.get(key)
        if not runs:
            return []
        fewer, other = (runs, names) if len(runs) < len(names) else (names, runs)
        return [name for name in fewer if name in other]

    def holders(self, key: str, most: int) -> list[str]:
        """Those that were recorded last for a key, the newest first; costs O(most)."""
        return list(islice(reversed(self._runs.get(key, {})), most))

    def newest(self, most: int) -> list[tuple[str, Runs]]:
        """The keys used last, the newest at the end."""
        return list(self._runs.items())[-most:]
