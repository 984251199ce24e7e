"""A stream that moves is passed on whole, however slowly; one that is stuck, or that declares a chunk without
end, is broken in time."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basaltspread.structures.chunks import ChunkFraming
from basaltspread.structures.progress import LEAST_PROGRESS, Progress
from tests.standins import DONE, Asked, FleetTest, reading, writing

EVENT = b'data: {"choices":[{"delta":{"content":"hello"}}]}\n\n'
PART_WINDOW = 1.0  # s that a part may take at the least before the first event


def chunked(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class SlowStreamTest(FleetTest):
    async def test_a_stream_whose_pieces_end_inside_chunks_was_cut_after_one_second_of_waits(self) -> None:
        """Three times the window of waits in all, each far shorter than it."""
        whole = chunked(EVENT) + chunked(b"data: " + b"x" * 600 + b"\n\n") + chunked(DONE) + b"0\r\n\r\n"

        async def trickle(asked: Asked) -> None:
            asked.begin()
            size = len(EVENT) + 20  # each piece ends inside a chunk
            pieces = [whole[at : at + size] for at in range(0, len(whole), size)]
            for piece in pieces:
                asked.raw(piece)
                await asyncio.sleep(3 * PART_WINDOW / len(pieces))

        reader, writer = await self.standin(reading()), await self.standin(writing(trickle))
        gateway = await self.fleet(r1=reader, w1=writer)
        status, _, body, in_order = await (await self.client(gateway)).ask("q1", cls="order")
        self.assertEqual((status, in_order), (200, True))
        self.assertTrue(body.endswith(DONE))

    async def test_a_chunk_said_to_hold_gigabytes_is_refused_for_its_size_as_soon_as_it_begins(self) -> None:
        async def pour(asked: Asked) -> None:
            asked.begin()
            asked.chunk(EVENT)
            await asked.flushed()
            asked.raw(b"C0000000\r\nx")
            await asked.closed()
            closed.set()

        closed = asyncio.Event()
        reader, writer = await self.standin(reading()), await self.standin(writing(pour))
        gateway = await self.fleet(r1=reader, w1=writer)
        _, _, body, in_order = await (await self.client(gateway)).ask("q1", cls="order")
        self.assertEqual((body, in_order), (EVENT, False))
        async with asyncio.timeout(30):
            await closed.wait()
        self.assertEqual((await gateway.counters())["ended_malformed"], 1)


@given(st.lists(st.tuples(st.integers(0, 40), st.floats(0.0, 0.9)), max_size=60))
def test_only_who_brings_too_little_in_a_window_is_stuck(steps: list[tuple[int, float]]) -> None:
    progress, waited, came = Progress(), 0.0, 0
    for size, wait in steps:
        waited, came = waited + wait, came + size
        progress.moved(size, wait)
        if came >= LEAST_PROGRESS:
            waited, came = 0.0, 0
        assert progress.time_left(1.0) == pytest.approx(max(0.0, 1.0 - waited))


@given(st.lists(st.binary(min_size=1, max_size=300), max_size=20), st.integers(1, 40), st.booleans())
def test_framing_is_followed_in_whatever_pieces(chunks: list[bytes], size: int, extension: bool) -> None:
    more = b";x=1" if extension else b""
    framing, ends, stream = ChunkFraming(1000), {0}, b""
    for chunk in chunks:
        stream += b"%x%s\r\n%s\r\n" % (len(chunk), more, chunk)
        ends.add(len(stream))
    for at in range(0, len(stream), size):
        framing.feed(stream[at : at + size])
        assert framing.inside == (min(len(stream), at + size) not in ends)
    assert (framing.payload, framing.too_large) == (sum(len(chunk) for chunk in chunks), False)
    framing.feed(b"3e9\r\n")
    assert (framing.payload, framing.too_large) == (sum(len(chunk) for chunk in chunks), True)


def test_a_size_that_is_none_or_has_no_end_is_left_to_the_parser() -> None:
    for noise in (b"zz\r\n", b"-5\r\n", b"1" * 300, b"\r\n"):
        framing = ChunkFraming(1000)
        framing.feed(noise + b"5\r\nhello\r\n")
        assert (framing.inside, framing.payload, framing.too_large) == (True, 0, False)
