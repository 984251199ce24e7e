"""What readers told that they had kept of prompts: it says what affinity is worth.

It must never choose a reader.
"""

from __future__ import annotations

from basaltspread.records import record

SAMPLE_WEIGHT = 0.1
LEAST_SAMPLES = 25  # reads at home until which affinity is taken to pay
LEAST_GAIN = 0.02  # share of a prompt that is kept at home alone, from which it pays


@record
class ReadPlace:
    """What the choice of a reader expected it to keep."""

    at_home: bool = False  # where the router sends all of a conversation, if that costs nothing
    texts_everywhere: bool = True  # no part of the readers is meant for the shared text at the beginning


class MeasuredHits:
    """Exponentially weighted means; a sample costs O(1). Until readers tell, texts are taken to be kept where
    they are sent."""

    def __init__(self) -> None:
        self._samples_at_home = 0
        self._conversation = 0.0  # of what follows the shared text, the part kept at a conversation's home
        self._texts = {  # of shared texts, the part that is kept
            ReadPlace(True, True): 1.0,
            ReadPlace(False, True): 1.0,
            ReadPlace(True, False): 1.0,
            ReadPlace(False, False): 0.0,
        }
        self.promised = 1.0  # of what this router itself had sent there before, the part that was kept

    def kept(self, place: ReadPlace, prompt_tokens: int, text_tokens: int) -> int:
        """Tokens of a prompt that a reader is expected to keep."""
        beyond = self._conversation * (prompt_tokens - text_tokens) if place.at_home else 0.0
        return int(self._texts[place] * text_tokens + beyond)

    def pays(self, texts_everywhere: bool, prompt_tokens: int, text_tokens: int) -> bool:
        """Whether more is kept at home than elsewhere, as far as was told."""
        if self._samples_at_home < LEAST_SAMPLES:
            return True
        home, other = ReadPlace(True, texts_everywhere), ReadPlace(False, texts_everywhere)
        gain = self.kept(home, prompt_tokens, text_tokens) - self.kept(other, prompt_tokens, text_tokens)
        return gain >= LEAST_GAIN * prompt_tokens

    def add(self, place: ReadPlace, prompt_tokens: int, text_tokens: int, kept: int, promised: int) -> None:
        """A reader had `kept` so many tokens, and was `promised` to keep so many by this router's table."""
        if place.at_home:
            self._samples_at_home += 1
            beyond = max(0, kept - text_tokens) / max(1, prompt_tokens - text_tokens)
            self._conversation += SAMPLE_WEIGHT * (beyond - self._conversation)
        if text_tokens > 0:
            self._add_text(place, min(kept, text_tokens) / text_tokens)
        if promised > 0:
            self.promised += SAMPLE_WEIGHT * (min(1.0, kept / promised) - self.promised)

    def _add_text(self, place: ReadPlace, part: float) -> None:
        """A text that is spread over all readers is kept at a conversation's home as anywhere."""
        alike = [ReadPlace(True, True), ReadPlace(False, True)] if place.texts_everywhere else [place]
        for one in alike:
            self._texts[one] += SAMPLE_WEIGHT * (part - self._texts[one])
