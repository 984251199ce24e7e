"""What is kept or told in files outlives a folder that fails for a while."""

from __future__ import annotations

import asyncio
import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from basaltspread import core
from basaltspread import interface as api
from basaltspread.net.runtime import Runtime
from basaltspread.net.shared_files import BanFile, DepartureFile, Overlap
from tests.core_drive import Script
from tests.helpers import FLEET, settings


class FolderFaultTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def files(self) -> list[str]:
        return sorted(path.name for path in Path(self.folder).iterdir() if path.suffix == ".json")

    async def test_a_ban_that_was_taken_is_kept_once_the_folder_is_back(self) -> None:
        """It was answered 200 and never written: a restart forgot it."""
        bans = BanFile(self.folder, "n0")
        runtime = Runtime(core.State(settings(), Script()), 1024, 192, 0.25, 10.0, bans=bans)
        listed = tuple(core.Listed(e, f"{e.name}:1") for e in FLEET)
        runtime.feed(core.ListTold(api.ListKind.FULL, 1, listed))
        runtime.carry[core.OperatorAnswer] = lambda _: None
        for engine, fault in (("r1", "replace"), ("r2", "fsync"), ("r3", "open")):
            error = OSError(errno.ENOSPC, "No space left on device")
            with mock.patch.object(os, fault, mock.Mock(side_effect=error)):
                runtime.feed(core.Operate(1, core.Order.DISABLE, engine))
                for _ in range(3):
                    runtime.look_at_other()  # the older file must not undo what it does not hold yet
                self.assertIn(engine, runtime.state.disabled)
                self.assertEqual([name for name in self.files() if "engines" not in name], [])
            runtime.look_at_other()
            told = BanFile(self.folder, "n0").news()
            assert told is not None
            self.assertIn(engine, told.disabled)

    async def test_departures_outlive_a_process_and_a_spoilt_file_counts_for_nothing(self) -> None:
        told = {"w1": core.Departure(7, 44, 5_000_000)}
        file = DepartureFile(self.folder, "n0")
        self.assertIsNone(file.load(0))
        file.keep(core.KeepDepartures(told), clock_offset=1_000_000)
        found = DepartureFile(self.folder, "n0").load(3_000_000)
        assert found is not None  # the same instant, by another process's clock
        self.assertEqual(found.departures, {"w1": core.Departure(7, 44, 7_000_000)})
        (path,) = Path(self.folder).iterdir()
        for text in ("", "[]", '{"boot": "x"}', '{"boot": "other", "departures": {}}',
                     path.read_text().replace("44", '"v"')):  # fmt: skip
            path.write_text(text)
            self.assertIsNone(file.load(0), text)

    async def test_one_failed_write_does_not_end_the_watch_of_the_other_process(self) -> None:
        other = Overlap(self.folder, "n0")
        runtime = Runtime(core.State(settings(), Script()), 1024, 192, 0.25, 10.0, overlap=other)
        with (
            mock.patch.object(other, "alone", lambda: False),
            mock.patch("basaltspread.net.runtime.OTHER_STEP", 0.0),
        ):
            watch = runtime.spawn(runtime.watch_other(), "other")
            with mock.patch.object(os, "replace", mock.Mock(side_effect=OSError(errno.ENOSPC, "full"))):
                for _ in range(20):
                    await asyncio.sleep(0)
            self.assertFalse(watch.done())
            for _ in range(20):
                await asyncio.sleep(0)
        self.assertEqual(self.files(), ["basaltspread-n0-knowledge.json"])
        watch.cancel()
