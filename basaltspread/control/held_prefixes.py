"""What each reader is believed to hold of a prompt, from what this router has sent there.

It owns the keys of prompts in the prefix table and how long an entry is believed. It must never choose a
reader.
"""

from __future__ import annotations

from collections.abc import Iterable

from basaltspread import interface as api
from basaltspread.control.load_view import Worker
from basaltspread.structures.prefixes import PrefixTable

BLOCK = 16  # tokens in a prefix block
ENTRY_LIFE = 60_000_000  # us; an entry unused for this long is forgotten


class HeldPrefixes:
    """A prompt begins with a text that many sessions share, and with the earlier prompts of its session."""

    def __init__(self, most_blocks: int) -> None:
        self.table = PrefixTable(most_blocks)

    def sent(self, arrival: api.Arrival, worker: Worker, now: int) -> None:
        """The reader holds this prompt from now on."""
        shared = min(arrival.prefix_tokens, arrival.prompt_tokens)
        self.record("p" + arrival.prefix if arrival.prefix else "", worker, shared, now)
        self.record("s" + arrival.session if arrival.session else "", worker, arrival.prompt_tokens, now)

    def tokens(self, arrival: api.Arrival, worker: Worker, now: int) -> int:
        """Tokens of this prompt that the reader holds."""
        shared = min(arrival.prefix_tokens, arrival.prompt_tokens)
        in_text = self.match("p" + arrival.prefix, worker, shared, now)
        return max(in_text, self.match("s" + arrival.session, worker, arrival.prompt_tokens, now))

    def tokens_by_worker(self, arrival: api.Arrival, workers: Iterable[Worker], now: int) -> dict[str, int]:
        """The same for each of these workers; costs two looks at the table and one for each worker."""
        found = {worker.name: (0, worker) for worker in workers}
        shared = min(arrival.prefix_tokens, arrival.prompt_tokens)
        keys = (("p" + arrival.prefix, shared), ("s" + arrival.session, arrival.prompt_tokens))
        for key, limit in keys:
            for name in self.table.holders_among(key, found):
                tokens, worker = found[name]
                found[name] = max(tokens, self.match(key, worker, limit, now)), worker
        return {name: tokens for name, (tokens, _) in found.items()}

    def conversation_holders(
        self, arrival: api.Arrival, workers: Iterable[Worker], now: int
    ) -> list[tuple[Worker, int]]:
        """Of these workers those that were sent this conversation's last prompt, and its tokens there."""
        if not arrival.session:
            return []
        key, by_name = "s" + arrival.session, {worker.name: worker for worker in workers}
        found = [by_name[name] for name in self.table.holders_among(key, by_name)]
        return [(worker, self.match(key, worker, arrival.prompt_tokens, now)) for worker in found]

    def holders(self, arrival: api.Arrival, count: int) -> list[str]:
        """Workers that were sent this text or session last, so many of each at the most."""
        keys = ["p" + arrival.prefix, "s" + arrival.session]
        return [name for key in keys if len(key) > 1 for name in self.table.holders(key, count)]

    def record(self, key: str, worker: Worker, tokens: int, now: int) -> None:
        if key and tokens >= BLOCK:
            self.table.record(key, worker.name, tokens // BLOCK, now)

    def match(self, key: str, worker: Worker, limit: int, now: int) -> int:
        """Tokens of this key that the reader is believed to hold, `limit` at most."""
        run, used = self.table.run(key, worker.name)
        return min(run * BLOCK, limit) if used >= max(worker.void_before, now - ENTRY_LIFE + 1) else 0
