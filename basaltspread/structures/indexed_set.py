"""A set of which an even sample can be taken without looking at all of it.

It owns the members and their places in an array alone, and knows nothing of what they are. The same changes
in the same order give the same samples.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from math import gcd
from typing import Generic, TypeVar

Member = TypeVar("Member", bound=Hashable)


class IndexedSet(Generic[Member]):
    """`add`, `discard` and `in` cost O(1), a sample O(its length); a member takes some 100 bytes."""

    def __init__(self) -> None:
        self._members: list[Member] = []
        self._positions: dict[Member, int] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    def __contains__(self, member: Member) -> bool:
        return member in self._positions

    def add(self, member: Member) -> None:
        if member not in self._positions:
            self._positions[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: Member) -> None:
        """The last member takes its place in the array."""
        position = self._positions.pop(member, None)
        if position is None:
            return
        last = self._members.pop()
        if last != member:
            self._members[position] = last
            self._positions[last] = position

    def sample(self, key: int, count: int) -> list[Member]:
        """`count` different members, or all: another choice for another key, each as likely as any other. The
        key is taken for 64 random bits."""
        size = len(self._members)
        if size <= count:
            return list(self._members)
        step = 1 + (key >> 32) % (size - 1)
        while gcd(step, size) != 1:
            step = step % (size - 1) + 1
        return [self._members[(key + i * step) % size] for i in range(count)]
