"""The command line, its exit codes, and the log's forms."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from basaltspread.cli import COMMANDS, main

ROOT = Path(__file__).resolve().parent.parent
WRITE = ["config", "write", "--application", "shop", "--tool", "look=safe", "--tool", "buy"]


def test_every_command_has_help() -> None:
    for words in ([], *([name] for name in COMMANDS), ["config", "write"], ["config", "check"]):
        ran = CliRunner().invoke(main, [*words, "--help"])
        assert ran.exit_code == 0 and "Usage" in ran.output, words
    assert CliRunner().invoke(main, ["nonsense"]).exit_code == 2


def test_a_file_is_written_and_checked(tmp_path: Path) -> None:
    runner, file = CliRunner(), tmp_path / "shop.toml"
    written = runner.invoke(main, WRITE)
    assert written.exit_code == 0
    file.write_text(written.output)
    good = runner.invoke(main, ["config", "check", str(file)])
    assert (good.exit_code, good.output) == (0, f"{file}: ok\n")
    file.write_text(written.output.replace('path = "/rpc"', 'path = "rpc"'))
    bad = runner.invoke(main, ["config", "check", "--json", str(file)])
    assert bad.exit_code == 1 and json.loads(bad.stdout)[0]["key"] == "tools.path"
    assert runner.invoke(main, ["config", "write", "--application", "a b"]).exit_code == 2


SERVERS = """
[tools.servers.a]
address = "127.0.0.1:1"
[tools.servers.b]
address = "127.0.0.1:2"
protocol = "mcp"
weight = 2
zone = "local"
[tools.routes]
"order_*" = ["b"]
"*" = ["a", "b"]
"""


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("", "", ""),
        ('protocol = "mcp"', 'protocol = "soap"', "tools.servers.b.protocol"),
        ("weight = 2", "weight = 0", "tools.servers.b.weight"),
        ('zone = "local"', 'zone = "moon"', "tools.servers.b.zone"),
        ('zone = "local"', "zone = 3", "tools.servers.b.zone"),
        ('["b"]', '["c"]', 'tools.routes."order_*"'),
        ('["b"]', "[]", 'tools.routes."order_*"'),
        ('["b"]', '"b"', 'tools.routes."order_*"'),
        ('"order_*"', '"or*er"', 'tools.routes."or*er"'),
        ("[tools.servers.b]", '[tools.servers."b c"]', "tools.servers.'b c'"),
        ('"127.0.0.1:1"', '"nowhere"', "tools.servers.a.address"),
        ("[tools.routes]", "[tools.limits]\nqueue = 0\n[tools.routes]", "tools.limits.queue"),
        ("[tools.routes]", "[tools.limits]\nhedge = 1\n[tools.routes]", "tools.limits.hedge"),
        ("[tools.routes]", "[tools.limits]\nretry_share = 2\n[tools.routes]", "tools.limits.retry_share"),
        ("[tools.routes]", "[tools.limits]\nretries = 2\n[tools.routes]", "tools.limits.retries"),
        ("weight = 2", "wieght = 2", "tools.servers.b.wieght"),
    ],
)
def test_servers_and_routes_are_checked(tmp_path: Path, old: str, new: str, key: str) -> None:
    runner, file = CliRunner(), tmp_path / "shop.toml"
    text = runner.invoke(main, WRITE).output
    before, after = text.split('address = "127.0.0.1:9000"\npath = "/rpc"\n')
    assert old in SERVERS
    file.write_text(before + SERVERS.replace(old, new, 1) + after)
    found = runner.invoke(main, ["config", "check", "--json", str(file)])
    keys = [fault["key"] for fault in json.loads(found.stdout)]
    assert found.exit_code == (1 if key else 0)
    assert (key in keys) if key else keys == []
    file.write_text(before + 'address = "127.0.0.1:9000"\n' + SERVERS + after)
    both = json.loads(runner.invoke(main, ["config", "check", "--json", str(file)]).stdout)
    assert [fault["key"] for fault in both] == ["tools.address"]


def test_the_log_in_each_form() -> None:
    code = (
        "import logging, sys; from basaltspread import logs; logs.set_up(sys.argv[1]);"
        "logging.getLogger('basaltspread').warning('tool %s', 'x', extra={'request': 'q', 'other': 1})"
    )
    lines = {}
    for form in ("plain", "console", "json"):
        words = [sys.executable, "-c", code, form]
        ran = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=True)
        lines[form] = ran.stderr.strip()
    assert lines["plain"].endswith(" WARNING tool x")
    assert "tool x" in lines["console"] and "request" in lines["console"]
    found = json.loads(lines["json"])
    assert (found["event"], found["level"], found["request"]) == ("tool x", "warning", "q")
    assert "other" not in found


def test_the_platforms_line_loads_neither_the_commands_libraries_nor_the_tools() -> None:
    code = "import sys, basaltspread.__main__; print(*sys.modules)"
    ran = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = set(ran.stdout.split())
    assert not loaded & {"click", "structlog", "hypothesis", "hdrh"}
    wanted = {"basaltspread.net.toolcalls", "basaltspread.control.dispatch", "basaltspread.conformance"}
    assert not loaded & wanted


CLIENT = """
[client]
gateways = ["127.0.0.1:1 a", "127.0.0.1:2"]
account = "acme"
zone = "a"
subset = 20
spread_s = 4
idle_s = 20
resume = true
"""


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("", "", ""),
        ('"127.0.0.1:2"', '"nowhere"', "client.gateways"),
        ('["127.0.0.1:1 a", "127.0.0.1:2"]', "[]", "client.gateways"),
        ("subset = 20", "subset = -1", "client.subset"),
        ("idle_s = 20", "idle_s = 30", "client.idle_s"),  # the gateway closes its own by then
        ("resume = true", "resume = 1", "client.resume"),
        ("resume = true", "most_tries = 0", "client.most_tries"),
        ("resume = true", "retries = 9", "client.retries"),
        ("[client]", "listen = 1\n[client]", "listen"),
    ],
)
def test_a_partners_file_is_checked(tmp_path: Path, old: str, new: str, key: str) -> None:
    file = tmp_path / "partner.toml"
    file.write_text(CLIENT.replace(old, new, 1) if old else CLIENT)
    found = CliRunner().invoke(main, ["config", "check", "--json", str(file)])
    assert [fault["key"] for fault in json.loads(found.stdout)] == ([key] if key else [])
    asked = CliRunner().invoke(main, ["ask", "x", "--settings", str(file), "--timeout", "0.2"])
    assert asked.exit_code == (2 if key else 1), asked.stderr  # nobody listens there


def test_the_partners_page_runs_as_printed() -> None:
    """Its examples, one after the other, against a stand-in gateway."""
    page = (ROOT / "docs" / "partners.md").read_text()
    examples = re.findall(r"```python\n(.*?)```", page, re.S)
    assert len(examples) >= 2
    harness = (
        "import asyncio, sys, threading\n"
        "from basaltspread.conformance.peers import Peer\n"
        "async def serve(asked):\n"
        "    asked.begin()\n"
        "    asked.event({'choices': [{'index': 0, 'delta': {'content': 'two pairs'}}]})\n"
        "    asked.finish()\n"
        "loop = asyncio.new_event_loop()\n"
        "threading.Thread(target=loop.run_forever, daemon=True).start()\n"
        "peer = asyncio.run_coroutine_threadsafe(Peer().start(), loop).result()\n"
        "peer.handlers['/v1/chat/completions'] = serve\n"
    )
    for example in examples:
        code = harness + re.sub(r'"10\.0\.0\.\d:8080"', "peer.address", example)
        words = [sys.executable, "-c", code]
        ran = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, timeout=60)
        assert ran.returncode == 0 and "two pairs" in ran.stdout, ran.stderr
