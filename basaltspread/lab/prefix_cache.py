"""What a prefill engine keeps of the prompts that it has read: bounded, least recently used goes first.

An engine's new process begins with an empty one. Sizes are in tokens.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(frozen=True)
class Prompt:
    """A prompt begins with a text that many conversations share, then with its conversation's last one."""

    tokens: int
    text: str = ""
    text_tokens: int = 0
    conversation: str = ""


class PrefixCache:
    """Each call costs O(1), amortized over the entries that go."""

    def __init__(self, capacity: int) -> None:
        self._capacity, self._used = capacity, 0
        self._entries: OrderedDict[str, tuple[int, int]] = OrderedDict()  # tokens it serves, and takes up

    def kept(self, prompt: Prompt) -> int:
        """Tokens of this prompt that need not be read."""
        text = self._serves("text " + prompt.text) if prompt.text else 0
        earlier = self._serves("conversation " + prompt.conversation) if prompt.conversation else 0
        return min(prompt.tokens - 1, max(min(text, prompt.text_tokens), earlier))

    def keep(self, prompt: Prompt) -> None:
        """This prompt has been read here."""
        if prompt.text:
            self._put("text " + prompt.text, prompt.text_tokens, prompt.text_tokens)
        if prompt.conversation:
            own = prompt.tokens - prompt.text_tokens
            self._put("conversation " + prompt.conversation, prompt.tokens, own)

    def _serves(self, key: str) -> int:
        return self._entries.get(key, (0, 0))[0]

    def _put(self, key: str, serves: int, takes: int) -> None:
        self._used += takes - self._entries.pop(key, (0, 0))[1]
        self._entries[key] = serves, takes
        while self._used > self._capacity and self._entries:
            _, (_, freed) = self._entries.popitem(last=False)
            self._used -= freed
