"""The configuration: what is read, how each fault is worded, and the tool as an operator meets it."""

from __future__ import annotations

import io
import json
import subprocess
import sys
import tempfile
import tomllib
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from typing import Any

from basaltspread import config
from basaltspread import interface as api
from basaltspread.config import ConfigError
from tests.standins import ROOT, SETTINGS

PLATFORM: dict[str, Any] = {
    "name": "n3", "listen": "10.0.0.4:5000", "discovery": "10.2.0.1:8500", "seed": "8c1f",
    "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512}, "settings": SETTINGS,
    "known": {"generation": 4, "instances": []},
}  # fmt: skip


def run(*arguments: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with redirect_stdout(out), redirect_stderr(err):
        code = config.main(arguments)
    return code, out.getvalue(), err.getvalue()


class PlatformTest(unittest.TestCase):
    def load(self, raw: Any, **environment: str) -> config.Gateway:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
            return config.load_platform({"RELAY_CONFIG": str(path), **environment})

    def test_what_the_platform_gives(self) -> None:
        found = self.load(PLATFORM, RELAY_NAME="n4", RELAY_LISTEN="10.0.0.5:1")
        self.assertEqual((found.name, found.listen, found.discovery), ("n4", "10.0.0.5:1", "10.2.0.1:8500"))
        self.assertEqual((found.seed, found.memory_mb, found.sockets), (0x8C1F, 128, 512))
        self.assertEqual((found.tools, found.registry), (None, None))
        self.assertEqual((found.management, found.door), (None, None))
        given = {**PLATFORM, "management": "10.0.0.4:9"}
        self.assertEqual(self.load(given).management, "10.0.0.4:9")
        found = self.load(given, RELAY_MANAGEMENT="10.0.0.5:9", RELAY_FD="4", TMPDIR="/scratch")
        self.assertEqual((found.management, found.door, found.scratch), ("10.0.0.5:9", 4, "/scratch"))
        for fault in ({"RELAY_FD": "four"}, {"RELAY_FD": "-1"}, {"RELAY_MANAGEMENT": "here"}):
            with self.assertRaises(ConfigError):
                self.load(PLATFORM, **fault)

    def test_each_fault_names_its_key(self) -> None:
        for raw, key in (
            ("[", "RELAY_CONFIG"), ([], "RELAY_CONFIG"), ({**PLATFORM, "listen": "here"}, "listen"),
            ({**PLATFORM, "discovery": None}, "discovery"), ({**PLATFORM, "settings": 1}, "settings"),
            ({**PLATFORM, "settings": {"classes": [{"effect": "odd"}]}}, "settings"),
            ({**PLATFORM, "settings": {}}, "settings.classes"),
            ({**PLATFORM, "seed": "xyz"}, "limits or seed"),
            ({**PLATFORM, "limits": {"sockets": "many"}}, "limits or seed"),
        ):  # fmt: skip
            with self.assertRaises(ConfigError, msg=str(raw)[:80]) as caught:
                self.load(raw)
            self.assertEqual(caught.exception.key, key)
        with self.assertRaises(ConfigError):
            config.load_platform({})


class SlowStartSettingsTest(unittest.TestCase):
    def load(self, **rules: Any) -> None:
        settings = {**PLATFORM["settings"], "rules": {**PLATFORM["settings"]["rules"], **rules}}
        config._settings(settings)

    def test_figures_of_slow_start_without_which_its_budget_has_no_bound_are_named(self) -> None:
        for key, odd in (
            ("fall", 0), ("fall", -1), ("start_capacity", 0), ("start_capacity", -0.1), ("tip_multiple", 0),
            ("start_capacity", 1.2), ("start_capacity", float("nan")), ("tip_multiple", float("inf")),
            ("warm_within", 0), ("warm_within", -5), ("warm_within", None),
        ):  # fmt: skip
            with self.assertRaises(ConfigError, msg=f"{key} {odd}") as caught:
                self.load(**{key: odd})
            self.assertEqual(caught.exception.key, f"settings.rules.{key}")
        with self.assertRaises(ConfigError) as caught:
            self.load(fall=float("inf"))
        self.assertEqual(caught.exception.key, "settings")

    def test_a_deployment_whose_engines_need_no_slow_start_gives_none_of_them(self) -> None:
        self.load()
        self.load(fall=0, start_capacity=0, tip_multiple=0, warm_within=0)
        self.load(fall=None, start_capacity=None, tip_multiple=None, warm_within=None)


class SidecarTest(unittest.TestCase):
    def setUp(self) -> None:
        tools = ("--tool", "look_up=safe", "--tool", "place_order")
        code, self.text, _ = run("write", "--application", "duty-free", *tools)
        self.assertEqual(code, 0)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "duty-free.toml"

    def test_what_is_written_is_read_and_checks(self) -> None:
        self.path.write_text(self.text)
        self.assertEqual(run("check", str(self.path)), (0, f"{self.path}: ok\n", ""))
        found, _ = config.load_sidecar(str(self.path))
        assert found is not None and found.tools is not None and found.registry is not None
        self.assertEqual(found.tools.tool("look_up").effect, api.Effect.SAFE)
        for name in ("place_order", "nobody_listed_it"):
            self.assertEqual(found.tools.tool(name).effect, api.Effect.UNSAFE)
        self.assertEqual([c.effect for c in found.settings.classes], [api.Effect.SAFE, api.Effect.UNSAFE])
        self.assertEqual((found.name, found.registry.engines), ("duty-free", "MODEL-ENGINES"))

    def test_each_fault_names_key_fault_and_remedy(self) -> None:
        for old, new, key in (
            ('application = "duty-free"', "", "application"),
            ('application = "duty-free"', 'application = "duty free"', "application"),
            ('listen = "127.0.0.1:8080"', 'listen = "8080"', "listen"),
            ('listen = "127.0.0.1:8080"', "listen = 8080", "listen"),
            ("sockets = 1024", "sockets = 1", "limits.sockets"),
            ("sockets = 1024", "files = 1024", "limits.files"),
            ("fetch_s = 5", 'fetch_s = "often"', "registry.fetch_s"),
            ('path = "/rpc"', 'path = "rpc"', "tools.path"),
            ('effect = "safe"\ndeadline_ms', 'effect = "keyed"\ndeadline_ms', "tools.listed.look_up.effect"),
            ("deadline_ms = 5000", "deadline_ms = 0", "tools.listed.look_up.deadline_ms"),
            ('role_by_kind = ["read", "write"]', 'role_by_kind = ["read", "read"]',
             "settings.specifics.role_by_kind"),
            ('effect = "unsafe"\nkey_scope', 'effect = "safe"\nkey_scope', "settings.classes"),
            ('[limits]\nmemory_mb = 192\nsockets = 1024', "limits = 5", "limits"),
        ):  # fmt: skip
            self.assertIn(old, self.text)
            self.path.write_text(self.text.replace(old, new))
            code, out, err = run("check", str(self.path))
            self.assertEqual((code, out), (1, ""), new)
            self.assertIn(f"{self.path}: {key}: ", err)
            self.assertGreaterEqual(err.split(f"{key}: ", 1)[1].splitlines()[0].count("; "), 1, err)

    def test_all_faults_are_shown_at_once(self) -> None:
        self.path.write_text(self.text.replace("127.0.0.1:8080", "x").replace("fetch_s = 5", "fetch_s = 0"))
        self.assertEqual(len(run("check", str(self.path))[2].splitlines()), 2)

    def test_no_traceback_whatever_the_file(self) -> None:
        for content in (b"[[[", b"\xff", b"", b"application = 1", None):
            if content is not None:
                self.path.write_bytes(content)
            else:
                self.path.unlink()
            command = [sys.executable, "-m", "basaltspread.config", "check", str(self.path)]
            ran = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
            self.assertEqual(ran.returncode, 1)
            self.assertTrue(ran.stderr)
            self.assertNotIn("Traceback", ran.stderr)

    def test_write_refuses_what_makes_no_file(self) -> None:
        for arguments in (("--application", "a b"), ("--application", "a", "--tool", "t=maybe"),
                          ("--application", "a", "--tools", "nowhere")):  # fmt: skip
            code, out, err = run("write", *arguments)
            self.assertEqual((code, out), (2, ""))
            self.assertIn("; ", err)

    def test_the_example_in_deploy_checks(self) -> None:
        _, faults = config.load_sidecar(str(ROOT / "deploy" / "sidecar.toml"))
        self.assertEqual(faults, [])
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.assertNotIn("sidecar", tomllib.load(file)["run"])  # the second front is off on the platform
