"""Calls that wait for a server: by deadline within a tenant, by fair shares between tenants, bounded.

It owns the order and the bound. It must never hold a call past its deadline without saying so (`overdue`),
and it never lets one tenant's crowd push out another's: who has most waiting for its share gives way.

Shares are kept by start-time fair queueing: each tenant has a tag in the currency of expected service time
over its share; the least tag is served next, and a tenant that comes back from idling starts from the tag
last served, not from its old one. Deficit round robin was the other choice; it needs a quantum, and with
calls between 1 ms and 10 s any quantum is wrong for one of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from basaltspread.control.decisions import Key
from basaltspread.structures.deadlines import Ranked


class FairQueue:
    """`push`, `pop` and `remove` cost O(log n) in a tenant's calls plus O(t) in the tenants that wait (the
    settings name them, so they are few); nothing walks the calls but `push` to a full queue. Ranks and
    deadlines are microseconds."""

    def __init__(self, most: int, shares: Mapping[int, float]) -> None:
        self.most, self._shares = most, dict(shares)
        self._waiting: dict[int, Ranked[Key]] = {}
        self._of: dict[Key, int] = {}
        self._tags: dict[int, float] = {}
        self._served = 0.0  # the tag last served

    def __len__(self) -> int:
        return len(self._of)

    def __contains__(self, key: object) -> bool:
        return key in self._of

    def __iter__(self) -> Iterator[Key]:
        return iter(self._of)

    def share(self, tenant: int) -> float:
        return max(1e-6, self._shares.get(tenant, 1.0))

    def reconfigure(self, most: int) -> None:
        """A lower bound binds who comes next; what waits goes on waiting."""
        self.most = most

    def push(self, key: Key, tenant: int, deadline: int) -> Key | None:
        """Adds a call. Where that is one too many, the call that gives way for it, which may be this one: of
        the tenant that has most waiting for its share, the one with the latest deadline."""
        gives_way = None
        self._add(key, tenant, deadline)
        if len(self._of) > self.most:
            crowd = max(self._waiting, key=lambda t: (len(self._waiting[t]) / self.share(t), t))
            gives_way, _ = self._waiting[crowd].last()
            self.remove(gives_way)
        return gives_way

    def _add(self, key: Key, tenant: int, deadline: int) -> None:
        if tenant not in self._waiting:
            self._waiting[tenant] = Ranked()
            self._tags[tenant] = max(self._tags.get(tenant, 0.0), self._served)
        self._waiting[tenant].push(key, deadline)
        self._of[key] = tenant

    def remove(self, key: Key) -> bool:
        tenant = self._of.pop(key, None)
        if tenant is None:
            return False
        self._waiting[tenant].remove(key)
        if not self._waiting[tenant]:
            del self._waiting[tenant]
        return True

    def peek(self) -> Key | None:
        """Who is next."""
        if not self._waiting:
            return None
        tenant = min(self._waiting, key=lambda t: (self._tags[t], t))
        return self._waiting[tenant].first()[0]

    def pop(self, cost: Callable[[Key], float]) -> Key:
        """Who is next, served at this cost (expected service time). Raises IndexError if nobody waits."""
        key = self.peek()
        if key is None:
            raise IndexError("nobody waits")
        tenant = self._of[key]
        self._served = self._tags[tenant]
        self._tags[tenant] += cost(key) / self.share(tenant)
        self.remove(key)
        if not self._waiting:  # nobody is owed anything: tags start anew, and stay small
            self._tags.clear()
            self._served = 0.0
        return key

    def ahead(self, tenant: int) -> float:
        """How many calls are served before one that this tenant adds now, at most, by their shares."""
        own = len(self._waiting.get(tenant, ()))
        mine = self.share(tenant)
        others = sum(
            min(len(queue), (own + 1) * self.share(t) / mine)
            for t, queue in self._waiting.items()
            if t != tenant
        )
        return own + others
