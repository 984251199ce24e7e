"""What clients of the laboratory say: conversations of several turns, whose prompts grow.

The sizes are the middle of those in the operators' site file; the same generator gives the same turns.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

from basaltspread.lab.prefix_cache import Prompt

TEXTS = 16
TEXT_TOKENS = (1100, 3000)
WITH_TEXT = 0.82  # share of conversations that begin with a shared text
NEW_TOKENS = (220, 660)  # of a turn
ANSWER_TOKENS = (120, 230)
GOES_ON = 0.6  # chance that a turn is followed by another: 2.5 in the mean
THINK = (3_900_000, 9_400_000)  # us from one turn to the next
MEAN_UNREAD_PART = 0.4  # of a prompt, if only shared texts are kept
FIRST_AGED = 400  # conversations that are under way as a day begins


@dataclass
class Conversation:
    """One client's turns."""

    name: str
    text: str
    text_tokens: int
    tokens: int  # of the text and all turns and answers so far
    next_at: int = 0  # us


@dataclass(frozen=True)
class Turn:
    """What one request asks."""

    prompt: Prompt
    answer_tokens: int


class Conversations:
    """Draws the next turn that comes. A call costs O(1)."""

    def __init__(self, lot: random.Random, now: int, texts: int = TEXTS) -> None:
        """`texts`: how many conversations may begin with."""
        self._lot, self._count, self._texts = lot, 0, texts
        # Texts differ in how often they are asked for: the first about as often as all the last half.
        self._weights = [1.0 / rank for rank in range(1, texts + 1)]
        self._text_tokens = [lot.randrange(*TEXT_TOKENS) for _ in range(texts)]
        self._thinking: deque[Conversation] = deque()  # by when they go on, roughly
        for _ in range(FIRST_AGED):
            conversation = self._begin()
            conversation.tokens += lot.randrange(*NEW_TOKENS) + lot.randrange(*ANSWER_TOKENS)
            conversation.next_at = now + lot.randrange(THINK[1])
            self._thinking.append(conversation)
        self._thinking = deque(sorted(self._thinking, key=lambda one: one.next_at))

    def turn(self, now: int, times: int = 1) -> Turn:
        """The next request: of a conversation whose client has thought, else of a new one. Its own words are
        so many times as many."""
        due = bool(self._thinking) and self._thinking[0].next_at <= now
        conversation = self._thinking.popleft() if due else self._begin()
        asked = conversation.tokens + times * self._lot.randrange(*NEW_TOKENS)
        answer = self._lot.randrange(*ANSWER_TOKENS)
        prompt = Prompt(asked, conversation.text, conversation.text_tokens, conversation.name)
        if self._lot.random() < GOES_ON:
            conversation.tokens = asked + answer
            conversation.next_at = now + self._lot.randrange(*THINK)
            self._thinking.append(conversation)
        return Turn(prompt, answer)

    def _begin(self) -> Conversation:
        self._count += 1
        name = f"s{self._count}"
        if self._lot.random() >= WITH_TEXT:
            return Conversation(name, "", 0, 0)
        text = self._lot.choices(range(self._texts), self._weights)[0]
        tokens = self._text_tokens[text]
        return Conversation(name, f"p{text}", tokens, tokens)
