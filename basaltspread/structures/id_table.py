"""Which ids are known, each for its time: a table of fixed size over any block of bytes, shared memory too.

An id is a 64-bit hash of its text; two texts share one with a chance of one in 2^64 for each pair. Each slot
holds a hash and the time until which it is known, in us of a clock that all users of the block read. A slot
is one of PROBES that follow each other, so that a look costs O(PROBES) at the most and a table is full for an
id whose slots are all in use. 16 bytes a slot.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import Enum

from basaltspread.structures.hashing import hashed

PROBES = 48
_SLOT = struct.Struct("<QQ")
SLOT_SIZE = _SLOT.size


class Claim(Enum):
    """What a claim of an id has found."""

    NEW = "new"
    KNOWN = "known"
    FULL = "full"  # it is not known, and there is no slot for it: what is known stays


class IdTable:
    """Whoever shares the block has to hold a lock around each call."""

    __slots__ = ("_block", "slots")

    def __init__(self, block: memoryview) -> None:
        """`block` holds zeros, or what another user has written there."""
        self._block = block
        self.slots = len(block) // SLOT_SIZE

    def claim(self, text: str, until: int, now: int) -> Claim:
        """The id is known from now until then, if it was not known."""
        key, free = _key(text), -1
        for slot in self._probes(key):
            held, known_until = _SLOT.unpack_from(self._block, slot)
            if known_until > now and held == key:
                return Claim.KNOWN
            if known_until <= now and free < 0:
                free = slot
            if known_until == 0:
                break
        if free < 0:
            return Claim.FULL
        _SLOT.pack_into(self._block, free, key, until)
        return Claim.NEW

    def forget_at(self, text: str, until: int, now: int) -> None:
        """An id that is known stays so until then."""
        key = _key(text)
        for slot in self._probes(key):
            held, known_until = _SLOT.unpack_from(self._block, slot)
            if held == key and known_until > now:
                _SLOT.pack_into(self._block, slot, key, until)
                return
            if known_until == 0:
                return

    def known(self, now: int) -> int:
        """How many; costs a look at each slot."""
        return sum(until > now for _, until in _SLOT.iter_unpack(self._block[: self.slots * SLOT_SIZE]))

    def _probes(self, key: int) -> Iterator[int]:
        first, slots = key % self.slots, self.slots
        return ((first + step) % slots * SLOT_SIZE for step in range(min(PROBES, slots)))


def _key(text: str) -> int:
    return hashed(text) or 1
