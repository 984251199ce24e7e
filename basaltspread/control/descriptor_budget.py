"""The budget of file descriptors: what each open one is for, and what is kept back for the gateway itself.

Work that comes from clients shares one common part. What the gateway needs whatever clients do has a reserve
beyond it that nothing else can take. It does no I/O and reads no clock; all operations cost O(1).
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

LEAST_COMMON = 8  # descriptors of the common part, however low the limit is
OPERATOR_RESERVE = 16  # for operators' calls, which keep to it by themselves
PROCESS_RESERVE = 16  # for the interpreter, the event loop, listeners, logs and files


class DescriptorUse(Enum):
    """What a connection is for; the value stands in counters."""

    CLIENT = "client"
    ENGINE = "engine"  # attempts, places and probes
    REGISTRY = "registry"  # discovery and Eureka
    RELEASE = "release"  # of what engines, or sessions of tool servers, hold
    TOOL_REPLY = "tool_reply"  # that an engine waits for in the middle of its stream


# The descriptors that each use may hold while the common part is full. A registry that moves is watched at
# two addresses, while its whole list is asked for and the lease is given back.
RESERVES: dict[DescriptorUse, int] = {
    DescriptorUse.REGISTRY: 4,
    DescriptorUse.RELEASE: 12,
    DescriptorUse.TOOL_REPLY: 4,
}
RESERVED = PROCESS_RESERVE + OPERATOR_RESERVE + sum(RESERVES.values())


class HeldDescriptor:
    """One descriptor that is open, or about to be."""

    __slots__ = ("_budget", "use")

    def __init__(self, budget: DescriptorBudget, use: DescriptorUse) -> None:
        self._budget: DescriptorBudget | None = budget
        self.use = use

    def free(self) -> None:
        """It is closed. May be said twice."""
        if self._budget is not None:
            self._budget.freed(self.use)
            self._budget = None

    def use_for(self, use: DescriptorUse) -> None:
        """The connection is kept, and serves something else now."""
        if self._budget is not None and use is not self.use:
            self._budget.freed(self.use)
            self._budget.opened(use)
            self.use = use


class DescriptorBudget:
    """How many descriptors are open for what, against the limit of the process.

    A use may take one of the common part while all together are fewer than that, and one of its reserve while
    it holds fewer than its reserve itself. So all that this budget grants never exceeds `common` plus all
    reserves, and no use can take another's reserve.
    """

    def __init__(self, limit: int) -> None:
        """`limit` is the process's, its reserves included."""
        self.used = self.most_used = 0
        self.by_use = dict.fromkeys(DescriptorUse, 0)
        self.set_limit(limit)

    def set_limit(self, limit: int) -> None:
        self.common = max(LEAST_COMMON, limit - RESERVED)

    def is_full(self) -> bool:
        """Whether the common part has no room left."""
        return self.used >= self.common

    def is_over(self) -> bool:
        """Whether more is open than the common part: a lower limit came, or reserves are in use."""
        return self.used > self.common

    def take(self, use: DescriptorUse) -> HeldDescriptor | None:
        """One for this use; None where neither the common part nor its reserve has room."""
        if self.is_full() and self.by_use[use] >= RESERVES.get(use, 0):
            return None
        return self.accepted(use)

    def accepted(self, use: DescriptorUse) -> HeldDescriptor:
        """One that is open already, whether there is room or not."""
        self.opened(use)
        return HeldDescriptor(self, use)

    def opened(self, use: DescriptorUse) -> None:
        self.used += 1
        self.by_use[use] += 1
        self.most_used = max(self.most_used, self.used)

    def freed(self, use: DescriptorUse) -> None:
        self.used -= 1
        self.by_use[use] -= 1

    def figures(self) -> dict[str, int]:
        """For counters."""
        return {
            "now_descriptors": self.used,
            "most_descriptors": self.most_used,
            **{f"descriptors_{use.value}": held for use, held in self.by_use.items()},
        }

    def breaches(self) -> Iterator[str]:
        """What does not add up."""
        if sum(self.by_use.values()) != self.used or min(self.by_use.values()) < 0:
            yield f"{self.used} descriptors are used, by use {self.by_use}"
