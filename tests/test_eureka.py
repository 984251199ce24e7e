"""Eureka's registry: tables for its parsers, and a gateway against a stand-in that keeps the leases."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import tempfile
import unittest
from typing import Any
from urllib.parse import unquote

from basaltspread import interface as api
from basaltspread.adapter import settings_from
from basaltspread.config import write_sidecar
from basaltspread.control.registry_order import InstanceId
from basaltspread.control.registry_view import hash_code
from basaltspread.net import eureka
from tests.standins import SETTINGS, Asked, Gateway, LoopbackTest, answer_plainly, reading, writing

PARSED = settings_from(SETTINGS)


def instance(ident: str, address: str, status: str = "UP", **metadata: str) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    return {
        "instanceId": ident, "hostName": host, "app": "MODEL-ENGINES", "ipAddr": host, "status": status,
        "port": {"$": int(port), "@enabled": "true"}, "leaseInfo": {"serviceUpTimestamp": 7},
        "metadata": {"machineType": "decode", "zone": "a", **metadata},
    }  # fmt: skip


class RegistryStandin:
    """What of Eureka's REST operations a client needs, in memory."""

    def __init__(self) -> None:
        self.engines: dict[str, dict[str, Any]] = {}
        self.own: dict[str, dict[str, Any]] = {}  # by path: what gateways have registered
        self.changes: list[dict[str, Any]] = []
        self.miscount = self.down = False
        self._stamps = itertools.count(1)
        self.whole_may_come = asyncio.Event()  # else calls for the whole list wait
        self.whole_may_come.set()
        self.replica: dict[str, dict[str, Any]] | None = (
            None  # answers in place of this one, with an old copy
        )

    def add(
        self, ident: str, address: str, status: str = "UP", action: str = "ADDED", **metadata: str
    ) -> None:
        stamp = str(next(self._stamps))
        stamps = {"lastDirtyTimestamp": stamp, "lastUpdatedTimestamp": stamp}
        found = self.engines[ident] = {**instance(ident, address, status, **metadata), **stamps}
        self.changes.append({**found, "actionType": action})

    def _listing(self, instances: list[dict[str, Any]]) -> bytes:
        listed = self.engines if self.replica is None else self.replica
        statuses = [engine["status"] for engine in listed.values()]
        code = "UP_99_" if self.miscount else hash_code(statuses)
        # As Eureka does, a list of one is written as the one alone.
        apps = {"name": "MODEL-ENGINES", "instance": instances[0] if len(instances) == 1 else instances}
        listing = {"versions__delta": "1", "apps__hashcode": code, "application": apps}
        return json.dumps({"applications": listing}).encode()

    async def handle(self, asked: Asked) -> None:
        path = unquote(asked.target.partition("?")[0])
        if self.down:
            asked.reset()
        elif path == "/eureka/apps/delta":
            asked.reply(200, self._listing(self.changes if self.replica is None else []))
        elif path == "/eureka/apps":
            await self.whole_may_come.wait()
            listed = self.engines if self.replica is None else self.replica
            asked.reply(200, self._listing(list(listed.values())))
        elif asked.method == "POST":
            found = json.loads(asked.body)["instance"]
            self.own[f"{path}/{found['instanceId']}"] = found
            asked.reply(204)
        elif asked.method == "PUT":
            asked.reply(200 if path in self.own else 404)
        else:
            self.own.pop(path, None)
            asked.reply(200)


class ParserTest(unittest.TestCase):
    def test_lists_and_lists_of_one(self) -> None:
        one = {"instanceId": "i1", "status": "UP"}
        for apps, keys in (
            ([{"name": "a", "instance": [one, {"hostName": "h2"}]}], [("A", "i1"), ("A", "h2")]),
            ({"name": "A", "instance": one}, [("A", "i1")]), (None, []), ([{"name": "A"}], []),
        ):  # fmt: skip
            found, code = eureka.parse_applications(
                {"applications": {"apps__hashcode": "UP_1_", "application": apps}}
            )
            self.assertEqual(([k for k, _ in found], code), ([InstanceId(*k) for k in keys], "UP_1_"))

    def test_nonsense_is_a_value_error(self) -> None:
        nonsense: list[Any] = [None, [], {}, {"applications": 1}]
        apps = (1, {"name": 1}, {"name": "a", "instance": [1]}, {"name": "a", "instance": {"instanceId": 1}})
        nonsense += [{"applications": {"application": app}} for app in apps]
        for raw in nonsense:
            with self.assertRaises(ValueError, msg=str(raw)):
                eureka.parse_applications(raw)

    def test_hash_code_sorts_statuses(self) -> None:
        states = ["UP", "DOWN", "UP", "OUT_OF_SERVICE"]
        self.assertEqual(hash_code(states), "DOWN_1_OUT_OF_SERVICE_1_UP_2_")
        self.assertEqual(hash_code([]), "")

    def test_statuses(self) -> None:
        for status, state in (
            ("UP", api.WorkerState.UP), ("OUT_OF_SERVICE", api.WorkerState.DRAINING),
            ("UNKNOWN", api.WorkerState.DRAINING), ("NEW_ONE", api.WorkerState.DRAINING),
            ("STARTING", api.WorkerState.REMOVED), ("DOWN", api.WorkerState.REMOVED),
        ):  # fmt: skip
            found = eureka.engine_from("i", instance("i", "10.0.0.1:5", status, cell="2"), PARSED)
            self.assertEqual(found.entry, api.WorkerEntry("i", state, 2, 0, 1, 1.0, 7000))
            self.assertEqual(found.address, "10.0.0.1:5")
        odd: tuple[dict[str, Any], ...] = (
            {"port": None}, {"port": {"$": "x"}}, {"metadata": {"cell": "x"}},
            {"leaseInfo": {"serviceUpTimestamp": []}, "metadata": {"weight": "heavy"}},
        )  # fmt: skip
        for change in odd:
            with self.assertRaises(ValueError, msg=str(change)):
                eureka.engine_from("i", {**instance("i", "10.0.0.1:5"), **change}, PARSED)


class RegistryTest(LoopbackTest):
    async def sidecar(self, registry: RegistryStandin) -> Gateway:
        """A gateway with the engines r1, w1 and w2, of which the registry lists the first two."""
        self.one, self.two = [await self.standin(writing(answer_plainly)) for _ in range(2)]
        reader = await self.standin(reading())
        registry.add("r1", reader.address, machineType="prefill")
        registry.add("w1", self.one.address)
        self.server = await self.standin(registry.handle)
        text = write_sidecar(argparse.Namespace(
            application="duty-free", listen="127.0.0.1:0", registry=self.server.address,
            engines="MODEL-ENGINES", tools="127.0.0.1:9", tool=[], management="127.0.0.1:0",
            request_class=None,
        ))  # fmt: skip
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
            self.text = text.replace("fetch_s = 5", "fetch_s = 0.05")
            file.write(self.text.replace("renew_s = 10", "renew_s = 0.05"))
        self.file, folder = file.name, tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.scratch = folder.name
        return await self.again()

    async def again(self) -> Gateway:
        """The same gateway, with what an earlier process of it has kept."""
        return await self.started(Gateway("--sidecar", self.file, scratch=self.scratch))

    async def drain_is_told(self, registry: RegistryStandin, gateway: Gateway) -> tuple[dict[str, Any], int]:
        """With r1, w1 and w2 listed, w1 drains: the list as it was before, and how many lists were told."""
        registry.add("w2", self.two.address)
        await gateway.until_true(lambda counters: counters["now_engines"] == 3)
        copy, told = dict(registry.engines), (await gateway.counters())["lists_full"]
        registry.add("w1", self.one.address, "OUT_OF_SERVICE", "MODIFIED")
        await gateway.until_counter("lists_full", told + 1)
        return copy, told

    async def test_a_restart_serves_engines_that_left_and_came_back(self) -> None:
        """Guards a new process against the numbers that the one before gave its lists: all was refused."""
        registry = RegistryStandin()
        gateway = await self.sidecar(registry)
        await gateway.until_true(lambda counters: counters["now_engines"] == 2)
        for status in ("OUT_OF_SERVICE", "UP"):
            told = (await gateway.counters())["lists_full"]
            registry.add("w1", self.one.address, status, "MODIFIED")
            await gateway.until_counter("lists_full", told + 1)
        engines = dict(registry.engines)
        registry.engines.clear()  # and a list that is briefly empty, as it ends
        registry.changes.clear()
        await gateway.until_true(lambda counters: counters["now_engines"] == 0)
        await gateway.stop()
        registry.engines.update(engines)
        gateway = await self.again()
        await gateway.until_true(lambda counters: counters["now_engines"] == 2)
        client = await self.client(gateway)
        self.assertEqual((await client.ask("q1"))[0], 200)

    async def test_a_restart_does_not_believe_a_replica_that_lags(self) -> None:
        """Guards a drain that the process before was told: its successor starts with an old copy alone."""
        registry = RegistryStandin()
        gateway = await self.sidecar(registry)
        copy, _ = await self.drain_is_told(registry, gateway)
        await gateway.kill()
        registry.replica = copy
        gateway = await self.again()
        await gateway.until_counter("registry_delta_fetches", 3)
        client = await self.client(gateway)
        for i in range(4):
            self.assertEqual((await client.ask(f"q{i}"))[0], 200)
        self.assertEqual((self.one.count("POST", "/v1"), self.two.count("POST", "/v1")), (0, 4))

    async def test_a_drain_in_the_changes_is_learnt_while_the_whole_list_stalls(self) -> None:
        """Guards changes that don't add up against being thrown away: review case 5."""
        registry = RegistryStandin()
        gateway = await self.sidecar(registry)
        registry.add("w2", self.two.address)
        await gateway.until_true(lambda counters: counters["now_engines"] == 3)
        told = (await gateway.counters())["lists_full"]
        registry.whole_may_come.clear()
        registry.changes.clear()
        registry.add("w1", self.one.address, "OUT_OF_SERVICE", "MODIFIED")
        registry.engines["w3"] = instance("w3", self.two.address)  # it came longer ago than changes are kept
        await gateway.until_counter("lists_full", told + 1)
        client = await self.client(gateway)
        for i in range(4):
            self.assertEqual((await client.ask(f"q{i}"))[0], 200)
        self.assertEqual((self.one.count("POST", "/v1"), self.two.count("POST", "/v1")), (0, 4))
        fetched = (await gateway.counters())["registry_delta_fetches"]
        await gateway.until_counter("registry_delta_fetches", fetched + 2)  # changes come beside the list
        registry.add("w1", self.one.address, "UP", "MODIFIED")
        await gateway.until_counter("lists_full", told + 2)
        registry.whole_may_come.set()
        await gateway.until_true(lambda counters: counters["now_engines"] == 4)

    async def test_a_replica_that_lags_does_not_undo_a_drain(self) -> None:
        """Guards a drain that was told against an old copy of the whole list: review case 9."""
        registry = RegistryStandin()
        gateway = await self.sidecar(registry)
        copy, told = await self.drain_is_told(registry, gateway)
        fetched = (await gateway.counters())["registry_full_fetches"]
        registry.replica = copy
        await gateway.until_counter("registry_full_fetches", fetched + 1)
        client = await self.client(gateway)
        for i in range(4):
            self.assertEqual((await client.ask(f"q{i}"))[0], 200)
        self.assertEqual((self.one.count("POST", "/v1"), self.two.count("POST", "/v1")), (0, 4))
        self.assertEqual((await gateway.counters())["registry_words_doubted"], 1)
        registry.replica = None
        registry.add("w1", self.one.address, "UP", "MODIFIED")  # it is back, and has to serve
        registry.add("w2", self.two.address, "OUT_OF_SERVICE", "MODIFIED")
        await gateway.until_counter("lists_full", told + 2)
        self.assertEqual((await client.ask("q5"))[0], 200)
        self.assertEqual((self.one.count("POST", "/v1"), self.two.count("POST", "/v1")), (1, 4))

    async def test_lease_changes_miscount_and_outage(self) -> None:
        registry = RegistryStandin()
        gateway = await self.sidecar(registry)
        one, two, server, text = self.one, self.two, self.server, self.text
        for counter in ("registry_registered", "registry_renewed", "registry_delta_fetches"):
            await gateway.until_counter(counter)
        ((path, own),) = registry.own.items()
        self.assertEqual(path, f"/eureka/apps/DUTY-FREE/duty-free:{gateway.address}")
        self.assertEqual((own["status"], own["port"]["$"]), ("UP", int(gateway.address.rpartition(":")[2])))
        client = await self.client(gateway)
        self.assertEqual((await client.ask("q1"))[0], 200)
        self.assertEqual(one.count("POST", "/v1"), 1)

        told = (await gateway.counters())["lists_full"]
        registry.add("w2", two.address)
        registry.add("w1", one.address, "OUT_OF_SERVICE", "MODIFIED")
        await gateway.until_counter("lists_full", told + 1)
        self.assertEqual((await client.ask("q2"))[0], 200)
        self.assertEqual((one.count("POST", "/v1"), two.count("POST", "/v1")), (1, 1))

        fetched = (await gateway.counters())["registry_full_fetches"]
        registry.miscount = True
        await gateway.until_counter("registry_hash_mismatches")
        await gateway.until_counter("registry_full_fetches", fetched + 1)
        registry.miscount = False
        registry.own.clear()  # a registry that lost its memory is registered with again
        await gateway.until_true(lambda _: bool(registry.own))

        registry.down = True
        await gateway.until_counter("registry_failures")
        self.assertEqual((await client.ask("q3"))[0], 200)
        registry.down = False
        await gateway.until("registry answers again")

        moved = await self.standin(registry.handle)
        await gateway.reload(text.replace("[registry]", "[registers]"), "reload refused")
        await gateway.reload(text.replace(server.address, moved.address), "reloaded")
        await moved.until("GET", target="/eureka/apps")
        await moved.until("PUT")
        self.assertEqual((await client.ask("q4"))[0], 200)
        counters = await gateway.stop()
        self.assertEqual((counters["registry_deregistered"], registry.own), (1, {}))
