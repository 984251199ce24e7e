"""Every way in which a request can end without its answer, as a partner's program meets it.

It owns the exceptions and what each says of the request: whether it may have run. It must never be raised for
a request that goes on.
"""

from __future__ import annotations

from typing import Any


class ClientError(Exception):
    """A request has ended without its answer. `tries` is how often it was sent, `ids` the correlation id of
    each, by which the operators find it."""

    def __init__(self, why: str, ids: tuple[str, ...] = ()) -> None:
        super().__init__(why)
        self.why, self.ids = why, ids
        self.attempts: tuple[Any, ...] = ()  # aio.Attempt, one for each try

    @property
    def tries(self) -> int:
        return len(self.ids)


class Refused(ClientError):
    """Certainly not run; trying again after `retry_after` seconds is harmless. `local`: it was not even sent,
    as the gateways take too little of what is asked, or its budget for repeats is spent."""

    def __init__(
        self, why: str, ids: tuple[str, ...] = (), retry_after: float = 0.0, local: bool = False
    ) -> None:
        super().__init__(why, ids)
        self.retry_after, self.local = retry_after, local


class Rejected(ClientError):
    """Certainly not run: the gateway found the request itself wrong (`status` 4xx). Sent again unchanged, it
    would be again."""

    def __init__(self, why: str, ids: tuple[str, ...] = (), status: int = 0) -> None:
        super().__init__(why, ids)
        self.status = status


class DeadlinePassed(ClientError):
    """No answer began in time. A safe request: it may have run, and may be asked again."""


class Failed(ClientError):
    """A safe request failed at every try there was time for."""


class OutcomeUnknown(ClientError):
    """An unsafe request may have run, or may yet. Never send it again: ask the operators, or your own
    records, by `ids`."""


class StreamBroken(ClientError):
    """The answer broke off and its rest could not be had; `text` is what came."""

    def __init__(self, why: str, ids: tuple[str, ...] = (), text: str = "") -> None:
        super().__init__(why, ids)
        self.text = text
