"""A stream is whole if its final event and its framing have come, in whatever pieces; anything less breaks
the client's connection without a last chunk."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basaltspread.structures.events import ends_whole, tail_of
from tests.standins import DONE, Asked, FleetTest, reading, writing

EVENT = b'data: {"choices":[{"delta":{"content":"hello"}}]}\n\n'
REPORT = b": X-Backend-Load: TEXT inflight=7, queue=2, util=0.61\n\n"
WHOLE = {
    "plain": EVENT + DONE, "report behind": EVENT + DONE + REPORT, "report before": EVENT + REPORT + DONE,
    "report in the event": EVENT + b"data: [DONE]\n: X-Backend-Load: TEXT queue=2\n\n", "done alone": DONE,
    "carriage returns": b"data: 1\r\rdata: [DONE]\r\r", "both": b"data: 1\r\n\r\ndata: [DONE]\r\n\r\n",
    "no space": EVENT + b"data:[DONE]\n\n", "named": EVENT + b"event: done\ndata: [DONE]\n\n",
    "report cut off": EVENT + DONE + REPORT[:20], "noise behind": EVENT + DONE + b": \x00\xff{{{\n",
}  # fmt: skip
BROKEN = {
    "no final event": EVENT, "nothing": b"", "in the final event": EVENT + b"data: [DONE]",
    "before its empty line": EVENT + b"data: [DONE]\n", "in a text": b'data: {"content":"data: [DONE]"}\n\n',
    "text like it": b"data: x\ndata: [DONE]x\n\n", "an event behind": EVENT + DONE + EVENT,
    "in an event": DONE + EVENT[:-10], "half a mark": EVENT + b"data: [DO",
}  # fmt: skip


@pytest.mark.parametrize("stream", WHOLE.values(), ids=list(WHOLE))
def test_each_form_of_a_whole_answer_is_taken_for_one(stream: bytes) -> None:
    assert ends_whole(tail_of(b"", stream))


@pytest.mark.parametrize("stream", BROKEN.values(), ids=list(BROKEN))
def test_what_ends_early_is_taken_for_no_whole_answer(stream: bytes) -> None:
    assert not ends_whole(tail_of(b"", stream))


@settings(deadline=None)
@given(st.integers(0, 20), st.lists(st.integers(1, 400), min_size=1, max_size=30), st.booleans())
def test_pieces_change_nothing_and_each_early_end_is_seen(
    events: int, sizes: list[int], report: bool
) -> None:
    stream = EVENT * events + DONE + (REPORT if report else b"")
    last = EVENT * events + DONE
    tail, at = b"", 0
    while at < len(stream):
        size = sizes[at % len(sizes)]
        tail = tail_of(tail, stream[at : at + size])
        at = min(len(stream), at + size)
        assert ends_whole(tail) == (at >= len(last))


class WholeStreamTest(FleetTest):
    async def served(self, *chunks: bytes) -> tuple[bytes, bool, dict[str, int]]:
        async def answer(asked: Asked) -> None:
            asked.begin()
            for chunk in chunks:
                asked.chunk(chunk)
            asked.end()

        reader, writer = await self.standin(reading()), await self.standin(writing(answer))
        gateway = await self.fleet(r1=reader, w1=writer)
        client = await self.client(gateway)
        _, _, body, in_order = await client.ask("q1")
        await gateway.until_counter("ended_served" if in_order else "ended_incomplete")
        return body, in_order, await gateway.counters()

    async def test_a_last_chunk_without_the_final_event_was_passed_on_as_the_end_of_the_answer(self) -> None:
        body, in_order, counters = await self.served(EVENT, EVENT)
        self.assertEqual((body, in_order), (EVENT * 2, False))
        self.assertEqual(counters["clients_closed_stream_broken"], 1)

    async def test_a_load_report_behind_the_final_event_is_passed_on_and_the_answer_is_whole(self) -> None:
        body, in_order, _ = await self.served(EVENT, DONE[:7], DONE[7:], REPORT)
        self.assertEqual((body, in_order), (EVENT + DONE + REPORT, True))
