"""The blocking front: the asyncio one on a thread of its own, with the same names and errors.

It owns that thread and the passing of results. It must never decide anything, and never run in the caller's
event loop.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from basaltspread.client.aio import Answer, Attempt, Client, text_of
from basaltspread.client.core import Gateway, Policy


class BlockingAnswer:
    """As `Answer`, without await."""

    def __init__(self, client: BlockingClient, answer: Answer) -> None:
        self._client, self._answer = client, answer

    @property
    def attempts(self) -> Sequence[Attempt]:
        return self._answer.attempts

    def events(self) -> Iterator[dict[str, Any]]:
        stream = self._answer.events()
        while True:
            try:
                yield self._client._run(stream.__anext__())
            except StopAsyncIteration:
                return

    def __iter__(self) -> Iterator[str]:
        return (text for event in self.events() if (text := text_of(event)))

    def text(self) -> str:
        return "".join(self)

    def cancel(self) -> None:
        self._client._call(self._answer.cancel)


class BlockingClient:
    """As `Client`, without await; may be used from several threads."""

    def __init__(
        self, gateways: Sequence[Gateway | str], policy: Policy | None = None, account: str = "",
        seed: int | str | None = None,
    ) -> None:  # fmt: skip
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._client = Client(gateways, policy, account, seed)

    def __enter__(self) -> BlockingClient:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def counters(self) -> Mapping[str, int]:
        return self._client.state.counters

    def ask(self, messages: Sequence[Mapping[str, str]], **options: Any) -> BlockingAnswer:
        """See `Client.ask`."""
        return BlockingAnswer(self, self._run(self._client.ask(messages, **options)))

    def use(self, gateways: Sequence[Gateway | str]) -> None:
        self._call(lambda: self._client.use(gateways))

    def close(self) -> None:
        if not self._loop.is_closed():
            self._run(self._client.close())
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def _run(self, work: Any) -> Any:
        async def carry() -> Any:
            return await work

        return asyncio.run_coroutine_threadsafe(carry(), self._loop).result()

    def _call(self, work: Any) -> None:
        self._loop.call_soon_threadsafe(work)
