"""A heap of keys by rank, from which any key can be taken out: what a queue ordered by deadline needs when
its entries are also called off from the side.

It owns nothing but the order. It must never read a clock: ranks are given, and mean nothing here.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)
SLACK = 16  # dead entries that are left lying about, beside as many as are alive


class Ranked(Generic[K]):
    """Keys with an integer rank each; equal ranks come out in the order in which they went in.

    A key that is taken out stays in the heap as a dead entry, until those outnumber the living: then the
    heap is built anew. So `push`, `pop` and `remove` cost O(log n) on average, `in` O(1), and memory is
    bounded by the living: a tenant that opens and cancels calls for ever leaves nothing behind. An entry
    takes a tuple, two numbers and a dictionary slot, some 200 bytes. A heap of our own that fills each hole
    at once was 2.3 to 3 times as slow; a sorted list is as fast up to some hundred keys and slower beyond
    (benchmarks/dispatching.py).
    """

    __slots__ = ("_count", "_heap", "_living")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, K]] = []
        self._living: dict[K, int] = {}  # the number under which each went in
        self._count = 0

    def __len__(self) -> int:
        return len(self._living)

    def __contains__(self, key: object) -> bool:
        return key in self._living

    def __iter__(self) -> Iterator[K]:
        """In no order."""
        return iter(self._living)

    def push(self, key: K, rank: int) -> None:
        """Raises ValueError if the key is there already."""
        if key in self._living:
            raise ValueError(f"{key!r} is in the heap already")
        self._count += 1
        self._living[key] = self._count
        heapq.heappush(self._heap, (rank, self._count, key))

    def first(self) -> tuple[K, int]:
        """The key with the least rank, and that rank. Raises IndexError if there is none."""
        while True:
            rank, number, key = self._heap[0]
            if self._living.get(key) == number:
                return key, rank
            heapq.heappop(self._heap)

    def pop(self) -> tuple[K, int]:
        """The same, taken out."""
        key, rank = self.first()
        heapq.heappop(self._heap)
        del self._living[key]
        return key, rank

    def remove(self, key: K) -> None:
        """Raises KeyError if the key is not there."""
        del self._living[key]
        if len(self._heap) > 2 * len(self._living) + SLACK:
            self._heap = [entry for entry in self._heap if self._living.get(entry[2]) == entry[1]]
            heapq.heapify(self._heap)

    def last(self) -> tuple[K, int]:
        """The key with the greatest rank: O(n), for the rare case of a full queue."""
        rank, _, key = max(entry for entry in self._heap if self._living.get(entry[2]) == entry[1])
        return key, rank
