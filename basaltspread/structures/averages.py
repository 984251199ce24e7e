"""Averages over time that need a few numbers each: how often something happens, and how long it takes.

It owns the arithmetic alone; times are in microseconds. It must never read a clock: the time is an argument.
Each operation costs a constant few steps, a median the sorting of a few samples.
"""

from __future__ import annotations

from collections import deque
from math import exp2

LEARN = 0.05  # weight of a new sample in a running mean
LEARN_RECENT = 0.3  # the same of a mean of what is recent
LEAST_EVIDENCE = 250_000  # us; a new rate is taken over this time at least


class Usual:
    """Running mean of a time and of the size it belongs to; predicts the time for another size."""

    def __init__(self) -> None:
        self.count, self.time, self.size = 0, 0.0, 0.0

    def add(self, time: float, size: float) -> None:
        self.count += 1
        part = max(LEARN, 1 / self.count)
        self.time += part * (time - self.time)
        self.size += part * (size - self.size)

    def of(self, size: float) -> float:
        return self.time * (0.4 + 0.6 * size / self.size) if self.size > 0 else self.time


class Rate:
    """Events a microsecond, fading with a half-life."""

    def __init__(self, half_life: int) -> None:
        self.half_life, self.value, self.when, self.since = half_life, 0.0, 0, -1

    def add(self, now: int, amount: float) -> None:
        self.since = now if self.since < 0 else self.since
        self.value, self.when = self.at(now) + amount * 0.693 / self.half_life, now

    def at(self, now: int) -> float:
        return self.value * exp2((self.when - now) / self.half_life)

    def young(self, now: int) -> float:
        """The same where counting began less than some half-lives ago: the time before it is no evidence."""
        return self.over(now, LEAST_EVIDENCE)

    def over(self, now: int, least: int) -> float:
        """The mean over the time since counting began, and over `least` at the least."""
        return self.at(now) / (1 - exp2(-max(now - self.since, least) / self.half_life))


class Recent:
    """The last few samples, each for a while, by two figures. Among so few a mean is that of its straggler,
    and a median is not; a mean tells that there are such."""

    def __init__(self, most: int, life: int) -> None:
        self.life, self._samples = life, deque[tuple[int, float]](maxlen=most)
        self._mean, self._when = 0.0, 0

    def add(self, now: int, sample: float) -> None:
        self._samples.append((now, sample))
        faded = self.mean(now)
        self._mean, self._when = faded + LEARN_RECENT * (sample - faded), now

    def median(self, now: int) -> float:
        """What was not sampled yet counts as one 0: a single sample is no median."""
        young = sorted([0.0, *(sample for at, sample in self._samples if now - at < self.life)])
        return young[(len(young) - 1) // 2]

    def mean(self, now: int) -> float:
        """EWMA of all samples, fading with half of their life without news."""
        return self._mean * exp2(2 * (self._when - now) / self.life)
