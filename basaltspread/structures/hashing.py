"""Hashing that is the same in every process, and the order that many parties agree on without talking.

It owns the arithmetic alone, and must never use Python's own hash, which differs from process to process.
"""

from __future__ import annotations

from hashlib import blake2b

HASH_MASK = (1 << 64) - 1


def hashed(text: str) -> int:
    """64 bits of a text; about a microsecond."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def point(text: str) -> float:
    """Evenly in [0, 1), by a text."""
    return hashed(text) / (HASH_MASK + 1)


def rank(key: int, other: int) -> int:
    """Rendezvous hashing of two hashed texts: who ranks the same things for a key ranks them alike. A few
    multiplications: a digest for each pair would cost too much."""
    mixed = (key ^ other) * 0x9E3779B97F4A7C15 & HASH_MASK
    return (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & HASH_MASK
