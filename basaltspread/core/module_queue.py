"""What the decision module has still to be told, in the order in which it is told.

Outcomes go before arrivals: they let go, free engines and answer, while an arrival only adds work. It decides
nothing else. Each operation costs O(1).
"""

from __future__ import annotations

from collections import Counter, deque

from basaltspread import interface as api


class ModuleQueue:
    """Bounded by what waits: each request has one arrival, and a few outcomes for each attempt."""

    def __init__(self) -> None:
        self._outcomes: deque[api.Event] = deque()
        self._arrivals: deque[api.Event] = deque()
        self._of_request: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._outcomes) + len(self._arrivals)

    def add(self, event: api.Event) -> None:
        queue = self._arrivals if isinstance(event, api.Arrival) else self._outcomes
        queue.append(event)
        self._of_request[getattr(event, "request", "")] += 1

    def take(self) -> api.Event:
        """The next one. Raises IndexError where there is none."""
        event = (self._outcomes or self._arrivals).popleft()
        request = getattr(event, "request", "")
        self._of_request[request] -= 1
        if not self._of_request[request]:
            del self._of_request[request]
        return event

    def holds(self, request: str) -> bool:
        """Whether something about this request has not been told."""
        return request in self._of_request
