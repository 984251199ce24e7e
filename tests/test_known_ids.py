"""An id is begun once: known for its time and not for a number of others, by all processes of a gateway."""

from __future__ import annotations

import socket
import tempfile
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from basaltspread.net.known_ids import HEADER, LEAST_SLOTS, KnownIds
from basaltspread.structures.id_table import PROBES, SLOT_SIZE, Claim, IdTable
from tests.standins import FleetTest, Gateway, answer_plainly, reading, writing

FORMER_TABLE = 20_000  # ids that one process knew at the most
STEPS = st.lists(
    st.tuples(st.booleans(), st.integers(0, 30), st.integers(0, 50), st.integers(0, 9)), max_size=200
)  # fmt: skip


@given(STEPS, st.integers(PROBES, 90))
def test_the_table_knows_what_a_plain_map_knows(steps: list[tuple[bool, int, int, int]], slots: int) -> None:
    """30 ids in a table in which no run of slots is full."""
    table, known, now = IdTable(memoryview(bytearray(slots * SLOT_SIZE))), dict[str, int](), 1
    for claims, ident, span, passed in steps:
        now, text = now + passed, f"id{ident}"
        is_known = known.get(text, 0) > now
        if claims:
            assert table.claim(text, now + span + 1, now) is (Claim.KNOWN if is_known else Claim.NEW)
            known[text] = known[text] if is_known else now + span + 1
        else:
            table.forget_at(text, now + span + 1, now)
            known[text] = now + span + 1 if is_known else known.get(text, 0)
        assert table.known(now) == sum(until > now for until in known.values())


def test_a_full_table_refuses_the_new_and_forgets_nothing() -> None:
    table = IdTable(memoryview(bytearray(PROBES * SLOT_SIZE)))
    for number in range(PROBES):
        assert table.claim(f"id{number}", 100, 1) is Claim.NEW
    assert table.claim("one more", 100, 1) is Claim.FULL
    assert all(table.claim(f"id{number}", 100, 99) is Claim.KNOWN for number in range(PROBES))
    assert table.claim("one more", 200, 100) is Claim.NEW


def test_an_id_was_forgotten_after_twenty_thousand_others() -> None:
    ids = KnownIds(None, "n0", 64, known_for=60_000_000)
    assert ids.claim("first") is Claim.NEW
    ids.ended("first")
    for number in range(FORMER_TABLE + 2_000):
        assert ids.claim(f"q{number}") is Claim.NEW
        ids.ended(f"q{number}")
    assert ids.claim("first") is Claim.KNOWN


def test_a_table_of_another_boot_is_emptied_and_one_without_a_folder_is_kept_in_the_process() -> None:
    with tempfile.TemporaryDirectory() as folder:
        one = KnownIds(folder, "n0", 1, 1_000_000)
        assert one.claim("a") is Claim.NEW
        path = f"{folder}/basaltspread-n0-ids-{LEAST_SLOTS}"
        with open(path, "r+b") as file:
            assert len(file.read()) == HEADER + LEAST_SLOTS * SLOT_SIZE
            file.seek(0)
            file.write(b"12345678")
        assert KnownIds(folder, "n0", 1, 1_000_000).claim("a") is Claim.NEW
    assert KnownIds("/nowhere", "n0", 1, 1_000_000).claim("a") is Claim.NEW


class SharedIdsTest(FleetTest):
    async def setup_fleet(self, **shared: Any) -> Gateway:
        self.reader = await self.standin(reading())
        self.writer = await self.standin(writing(answer_plainly))
        return await self.fleet(r1=self.reader, w1=self.writer, **shared)

    def runs(self, rid: str) -> int:
        return sum(asked.rid == rid and asked.target.startswith("/v1") for asked in self.writer.seen)

    async def test_an_id_ran_twice_when_it_came_again_at_the_next_process_of_an_upgrade(self) -> None:
        """Both ways, while both run: the next process knows what the old one has had, and the other way."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        door = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(door.close)
        shared: dict[str, Any] = {"door": door.fileno(), "scratch": folder.name}
        old = await self.setup_fleet(**shared)
        client = await self.client(old)
        self.assertEqual((await client.ask("q1"))[0], 200)
        async with old.held():  # it hangs: the next one accepts, and needs no answer of it
            new = await self.started(Gateway(config=self.config, **shared))
            fresh = await self.client(new)
            self.assertEqual((await fresh.ask("q1"))[0], 409)
            other = await self.client(new)
            self.assertEqual((await other.ask("q2"))[0], 200)
        self.assertEqual((await client.ask("q2"))[0], 409)
        self.assertEqual((self.runs("q1"), self.runs("q2")), (1, 1))
        await old.stop()
        await new.stop()

    async def test_an_id_whose_client_has_left_is_not_begun_again(self) -> None:
        gateway = await self.setup_fleet()
        client = await self.client(gateway)
        client.send("q1")
        await client.flushed()
        client.close()
        await gateway.until_true(lambda c: c.get("requests_taken", 0) + c.get("clients_gone_before", 0) > 0)
        taken = (await gateway.counters()).get("requests_taken", 0)
        await gateway.until_true(lambda c: c["now_requests"] == 0 and c["ids_known"] == taken)
        status = (await (await self.client(gateway)).ask("q1"))[0]
        self.assertEqual(status, 409 if taken else 200)
        self.assertLessEqual(self.runs("q1"), 1)
