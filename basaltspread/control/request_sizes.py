"""How large a request is beside the others that this router gets.

It owns the estimate alone, in units of a typical request. It must never decide what a size is allowed to do.
"""

from __future__ import annotations

from collections import deque

from basaltspread import interface as api
from basaltspread.interface import Role
from basaltspread.structures.averages import Usual

PROMPTS_KEPT = 25
LEAST_PROMPTS = 5  # with fewer, nothing is known of a prompt's size


class RequestSizes:
    """The typical prompt is the median of the latest ones: one swollen prompt among few would make a mean so
    large that the next one looks small. Each call costs O(1), `size` the sorting of 25 numbers."""

    def __init__(self, classes: int) -> None:
        self.prompts: deque[int] = deque(maxlen=PROMPTS_KEPT)  # tokens
        self.answer_time = [Usual() for _ in range(classes)]
        self.any_answer_time = Usual()

    def arrived(self, arrival: api.Arrival) -> None:
        self.prompts.append(max(1, arrival.prompt_tokens))

    def answered(self, arrival: api.Arrival, elapsed: int) -> None:
        self.answer_time[arrival.request_class].add(elapsed, 1)
        self.any_answer_time.add(elapsed, 1)

    def typical_prompt(self) -> int | None:
        """Tokens; None as long as too few are known."""
        if len(self.prompts) < LEAST_PROMPTS:
            return None
        return sorted(self.prompts)[len(self.prompts) // 2]

    def size(self, arrival: api.Arrival, role: Role, typical: float) -> float:
        """A request's work at a worker of this role, where a typical prompt has so many tokens. A writer's
        grows with the prompt that it takes in and with the answer that it writes, of which only the class
        tells: the larger counts."""
        prompt = max(1, arrival.prompt_tokens) / typical
        if role is Role.READER:
            return prompt
        own, mean = self.answer_time[arrival.request_class].time, self.any_answer_time.time
        return max(prompt, own / mean if own > 0 and mean > 0 else 1.0)
