"""A heap of keys by rank, from which any key can be taken out: what a queue ordered by deadline needs when
its entries are also called off from the side.

It owns nothing but the order. It must never read a clock: ranks are given, and mean nothing here.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class Ranked(Generic[K]):
    """Keys with an integer rank each; equal ranks come out in the order in which they went in.

    `push`, `pop` and `remove` cost O(log n), `first` and `in` O(1). An entry takes one list slot, one tuple
    and one dictionary entry, about 200 bytes. Against `heapq` with entries marked as dead, `remove` gives the
    memory back at once: a tenant that opens and cancels calls for ever leaves nothing behind.
    """

    __slots__ = ("_at", "_count", "_heap")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, K]] = []
        self._at: dict[K, int] = {}  # where in the heap
        self._count = 0

    def __len__(self) -> int:
        return len(self._heap)

    def __contains__(self, key: object) -> bool:
        return key in self._at

    def __iter__(self) -> Iterator[K]:
        """In no order."""
        return iter(self._at)

    def push(self, key: K, rank: int) -> None:
        """Raises ValueError if the key is there already."""
        if key in self._at:
            raise ValueError(f"{key!r} is in the heap already")
        self._count += 1
        self._heap.append((rank, self._count, key))
        self._at[key] = len(self._heap) - 1
        self._up(len(self._heap) - 1)

    def first(self) -> tuple[K, int]:
        """The key with the least rank, and that rank. Raises IndexError if there is none."""
        rank, _, key = self._heap[0]
        return key, rank

    def pop(self) -> tuple[K, int]:
        """The same, taken out."""
        key, rank = self.first()
        self.remove(key)
        return key, rank

    def remove(self, key: K) -> None:
        """Raises KeyError if the key is not there."""
        hole = self._at.pop(key)
        last = self._heap.pop()
        if hole < len(self._heap):
            self._heap[hole] = last
            self._at[last[2]] = hole
            self._down(hole)
            self._up(hole)

    def last(self) -> tuple[K, int]:
        """The key with the greatest rank: O(n), for the rare case of a full queue."""
        rank, _, key = max(self._heap[len(self._heap) // 2 :])
        return key, rank

    def _up(self, at: int) -> None:
        heap, place = self._heap, self._at
        entry = heap[at]
        while at and entry < heap[above := (at - 1) // 2]:
            heap[at] = heap[above]
            place[heap[at][2]] = at
            at = above
        heap[at] = entry
        place[entry[2]] = at

    def _down(self, at: int) -> None:
        heap, place = self._heap, self._at
        entry, size = heap[at], len(heap)
        while (below := 2 * at + 1) < size:
            if below + 1 < size and heap[below + 1] < heap[below]:
                below += 1
            if not heap[below] < entry:
                break
            heap[at] = heap[below]
            place[heap[at][2]] = at
            at = below
        heap[at] = entry
        place[entry[2]] = at
