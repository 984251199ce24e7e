"""Typed configuration of a gateway, and the tool that writes and checks it for an application.

It owns what a configuration may hold and how each fault is worded; it must never open a socket or start
anything. The platform gives JSON (RELAY_CONFIG); an operator's file for the second front is TOML.

    python -m basaltspread.config write --application NAME --tool stock_lookup=safe ... > deploy/NAME.toml
    python -m basaltspread.config check deploy/NAME.toml
"""

from __future__ import annotations

import argparse
import json
import os
import re
import sys
from collections.abc import Mapping, Sequence
from dataclasses import field
from math import isfinite
from pathlib import Path
from typing import TYPE_CHECKING, Any

from basaltspread import interface as api
from basaltspread.adapter import settings_from
from basaltspread.control.routes import MCP, PLAIN, Policy, RouteTable, Server, single
from basaltspread.records import record

if TYPE_CHECKING:
    from basaltspread.client import core as client

EXIT_FAULTS, EXIT_USAGE = 1, 2
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
PATH = re.compile(r"/[!-~]*\Z")
DEFAULT_DEADLINE_MS = 5000


class ConfigError(ValueError):
    """A configuration that can't be used: the key, what is wrong with it, and what would be right."""

    def __init__(self, key: str, fault: str, remedy: str) -> None:
        super().__init__(f"{key}: {fault}; {remedy}")
        self.key, self.fault, self.remedy = key, fault, remedy


@record
class Tool:
    effect: api.Effect = api.Effect.UNSAFE
    deadline_ms: int = DEFAULT_DEADLINE_MS


@record
class Tools:
    """The application's tool servers with the routes to them, and what its tools do."""

    table: RouteTable
    listed: Mapping[str, Tool]
    default: Tool = field(default_factory=Tool)

    def tool(self, name: str) -> Tool:
        """A tool that nobody listed is taken for the worst: unsafe."""
        return self.listed.get(name, self.default)


@record
class Registry:
    """Eureka, and the application there whose instances are the engines."""

    address: str
    path: str
    engines: str
    fetch_s: float
    renew_s: float


@record
class Gateway:
    """What one gateway is told: by the platform, or in an operator's file."""

    name: str
    listen: str
    seed: int
    memory_mb: int
    sockets: int
    idle_close: int  # us after which engines close an idle connection
    settings: api.Settings
    discovery: str | None = None
    management: str | None = None  # where operators call
    door: int | None = None  # a descriptor on which the clients' address listens already
    scratch: str | None = None  # a folder that this gateway's processes share, an old and a new version
    known: Mapping[str, Any] = field(default_factory=dict)
    peer_listen: str | None = None  # where other gateways' datagrams come in
    peers: tuple[str, ...] = ()  # an address of each gateway, by number
    peers_all: str | None = None  # one for all of them
    tools: Tools | None = None
    registry: Registry | None = None


def split_address(key: str, value: Any) -> tuple[str, int]:
    """`host:port` taken apart."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ConfigError(key, f"{value!r} is not an address", "write it as host:port")
    return host, int(port)


def _settings(conf: Any) -> tuple[api.Settings, int]:
    """The settings object, and the idle time that the module does not need."""
    if not isinstance(conf, dict):
        raise ConfigError("settings", "missing or not an object", "give the settings object")
    try:
        settings = settings_from(conf)
        idle = int((conf.get("limits") or {}).get("idle_close") or 30_000_000)
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
        raise ConfigError("settings", f"can't be read: {error!r}", "give it as the platform does") from error
    if not settings.classes:
        raise ConfigError("settings.classes", "missing or empty", "list at least one request class")
    _check_slow_start(settings.rules)
    return settings, idle


def _check_slow_start(rules: api.RuleFigures) -> None:
    """All figures of slow start are given or none: with one that says nothing its budget would have no bound,
    or be none."""
    figures = {
        "fall": rules.cold_window,
        "start_capacity": rules.cold_start_share,
        "tip_multiple": rules.cold_multiple,
        "warm_within": rules.warm_within,
    }
    if not any(figures.values()):
        return  # engines need no slow start
    for key, value in figures.items():
        if not (isfinite(value) and value > 0):
            raise ConfigError(f"settings.rules.{key}", f"{value!r} is not over 0", "give all four or none")
    if rules.cold_start_share > 1:
        fault = f"{rules.cold_start_share!r} is over 1"
        raise ConfigError("settings.rules.start_capacity", fault, "give a share of 1 at most")


# --- the platform ---------------------------------------------------------------------------------------


def load_platform(environment: Mapping[str, str], again: bool = False) -> Gateway:
    """The configuration that RELAY_CONFIG names. At the start the other RELAY_* variables go before what it
    says; `again`, while the gateway runs, the file is newer, and they hold for what it leaves out."""
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG", "not set", "name the gateway's JSON configuration file")
    try:
        raw = json.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError("RELAY_CONFIG", f"can't be read: {error}", "give a readable JSON file") from error
    if not isinstance(raw, dict):
        raise ConfigError("RELAY_CONFIG", "does not hold a JSON object", "write one object")
    settings, idle = _settings(raw.get("settings"))
    listen, discovery = environment.get("RELAY_LISTEN"), environment.get("RELAY_DISCOVERY")
    if again:
        listen, discovery = raw.get("listen") or listen, raw.get("discovery") or discovery
    else:
        listen, discovery = listen or raw.get("listen"), discovery or raw.get("discovery")
    split_address("listen", listen)
    split_address("discovery", discovery)
    management = environment.get("RELAY_MANAGEMENT") or raw.get("management") or None
    if management is not None:
        split_address("management", management)
    door = _door(environment)
    try:
        limits = raw.get("limits") or {}
        return Gateway(
            name=str(environment.get("RELAY_NAME") or raw.get("name") or "gateway"),
            listen=str(listen),
            seed=int(str(raw.get("seed") or "0"), 16),
            memory_mb=int(limits.get("memory_mb") or 192),
            sockets=int(limits.get("sockets") or 1024),
            idle_close=idle,
            settings=settings,
            discovery=str(discovery),
            management=management,
            door=door,
            scratch=environment.get("TMPDIR") or None,
            known=raw.get("known") or {},
            peer_listen=str(raw["peer_listen"]) if raw.get("peer_listen") else None,
            peers=tuple(str(address) for address in raw.get("peers") or ()),
            peers_all=str(raw["peers_all"]) if raw.get("peers_all") else None,
        )
    except (AttributeError, TypeError, ValueError) as error:
        remedy = "give whole numbers, and the seed in hex"
        raise ConfigError("limits or seed", f"can't be read: {error!r}", remedy) from error


def _door(environment: Mapping[str, str]) -> int | None:
    """The clients' listening socket, where one is inherited."""
    door = environment.get("RELAY_FD") or None
    if door is not None and not (door.isascii() and door.isdigit() and len(door) < 6):
        raise ConfigError("RELAY_FD", f"{door!r} is not a descriptor", "give a listening socket's number")
    return int(door) if door is not None else None


def needs_restart(old: Gateway, new: Gateway) -> list[str]:
    """What differs between two configurations and is only read at the start."""
    fixed = ("name", "listen", "management", "settings")
    return [name for name in fixed if getattr(old, name) != getattr(new, name)]


# --- an operator's file ---------------------------------------------------------------------------------


class _Reader:
    """Reads one TOML document and gathers every fault in it, so that one check shows them all."""

    def __init__(self, raw: Mapping[str, Any]) -> None:
        self.raw, self.faults = raw, list[ConfigError]()

    def fault(self, key: str, fault: str, remedy: str) -> None:
        self.faults.append(ConfigError(key, fault, remedy))

    def table(self, key: str) -> Mapping[str, Any]:
        value: Any = self.raw
        for part in key.split("."):
            value = value.get(part, {}) if isinstance(value, Mapping) else None
        if isinstance(value, Mapping):
            return value
        self.fault(key, "is not a table", f"write it as [{key}]")
        return {}

    def known(self, key: str, allowed: set[str]) -> None:
        table = self.raw if not key else self.table(key)
        for name in sorted(set(table) - allowed):
            where = f"{key}.{name}" if key else name
            self.fault(where, "is not a known key", f"remove it, or use one of {', '.join(sorted(allowed))}")

    def text(self, table: str, name: str, remedy: str, default: str | None = None) -> str:
        value = (self.table(table) if table else self.raw).get(name, default)
        key = f"{table}.{name}" if table else name
        if isinstance(value, str) and value:
            return value
        self.fault(key, "is missing" if value is None else f"{value!r} is not a text", remedy)
        return ""

    def name(self, table: str, name: str) -> str:
        remedy = "give a name of letters, digits, '.', '_' and '-', such as \"duty-free\""
        before = len(self.faults)
        value = self.text(table, name, remedy)
        if len(self.faults) == before and not NAME.match(value):
            self.fault(f"{table}.{name}" if table else name, f"{value!r} is not a plain name", remedy)
        return value

    def address(self, table: str, name: str) -> str:
        before = len(self.faults)
        value = self.text(table, name, "give an address as host:port")
        if len(self.faults) == before:
            try:
                split_address(f"{table}.{name}" if table else name, value)
            except ConfigError as error:
                self.faults.append(error)
        return value

    def path(self, table: str, name: str, default: str) -> str:
        value = self.text(table, name, f'give a path such as "{default}"', default)
        if value and not PATH.match(value):
            self.fault(f"{table}.{name}", f"{value!r} is not a path", f'give a path such as "{default}"')
        return value

    def number(self, table: str, name: str, default: float, least: float, most: float) -> float:
        value = self.table(table).get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value <= most:
            self.fault(
                f"{table}.{name}", f"{value!r} is out of range", f"give a number from {least:g} to {most:g}"
            )
            return default
        return value


def _read_tool(reader: _Reader, key: str) -> Tool:
    reader.known(key, {"effect", "deadline_ms"})
    effect = reader.table(key).get("effect", "unsafe")
    if effect not in ("safe", "unsafe"):
        reader.fault(f"{key}.effect", f"{effect!r} is not an effect", 'write "safe" or "unsafe"')
        effect = "unsafe"
    deadline = reader.number(key, "deadline_ms", DEFAULT_DEADLINE_MS, 1, 600_000)
    return Tool(api.Effect(effect), int(deadline))


def _read_server(reader: _Reader, name: str) -> Server:
    key = f"tools.servers.{name}"
    reader.known(key, {"address", "path", "weight", "zone", "protocol", "max_concurrent", "silence_ms"})
    protocol = reader.table(key).get("protocol", PLAIN)
    if protocol not in (PLAIN, MCP):
        reader.fault(f"{key}.protocol", f"{protocol!r} is no protocol", 'write "plain" or "mcp"')
    zone = reader.table(key).get("zone", "")
    if not isinstance(zone, str):
        reader.fault(f"{key}.zone", f"{zone!r} is not a text", "give one of settings.azs")
    return Server(
        name, reader.address(key, "address"), reader.path(key, "path", "/rpc"),
        float(reader.number(key, "weight", 1, 0.01, 1000)), str(zone), str(protocol),
        int(reader.number(key, "max_concurrent", 64, 1, 10_000)),
        int(reader.number(key, "silence_ms", 0, 0, 600_000)) * 1000,
    )  # fmt: skip


def _read_policy(reader: _Reader) -> Policy:
    key = "tools.limits"
    reader.known(key, {
        "adaptive", "queue", "retry_share", "retry_reserve", "hedge", "hedge_percentile", "list_ttl_s",
    })  # fmt: skip
    for name in ("adaptive", "hedge"):
        if not isinstance(reader.table(key).get(name, True), bool):
            reader.fault(f"{key}.{name}", "is neither true nor false", "write true or false")
    return Policy(
        bool(reader.table(key).get("adaptive", True)), int(reader.number(key, "queue", 1000, 1, 100_000)),
        float(reader.number(key, "retry_share", 0.1, 0, 1)),
        float(reader.number(key, "retry_reserve", 10, 0, 1000)), bool(reader.table(key).get("hedge", True)),
        float(reader.number(key, "hedge_percentile", 0.95, 0.5, 0.999)),
        float(reader.number(key, "list_ttl_s", 30, 0, 86_400)),
    )  # fmt: skip


def _read_routes(reader: _Reader, servers: Mapping[str, Server]) -> dict[str, tuple[str, ...]]:
    """Without any, all servers take all tools."""
    found: dict[str, tuple[str, ...]] = {}
    for route, names in reader.table("tools.routes").items():
        key = f'tools.routes."{route}"'
        if "*" in route[:-1] or not route:
            reader.fault(key, "is no route", "give a tool's name, or its beginning and a last *")
        if not isinstance(names, list) or not names or not all(n in servers for n in map(str, names)):
            remedy = f"list some of {', '.join(sorted(servers)) or 'the tables under tools.servers'}"
            reader.fault(key, f"{names!r} does not name tool servers", remedy)
            continue
        found[route] = tuple(sorted(set(names)))
    return found or ({"*": tuple(sorted(servers))} if servers else {})


def _read_tools(reader: _Reader, zones: Sequence[str], zone: int) -> Tools:
    """One server by its address, or several with routes; not both."""
    reader.known("tools", {"address", "path", "listed", "servers", "routes", "limits"})
    listed = {}
    for tool in reader.table("tools.listed"):
        listed[tool] = _read_tool(reader, f"tools.listed.{tool}") if "." not in tool else Tool()
        if "." in tool:
            reader.fault(f"tools.listed.{tool!r}", "has a dot in its name", "rename the tool without dots")
    policy = _read_policy(reader)
    named = reader.table("tools.servers")
    if not named:
        if "routes" in reader.table("tools"):
            reader.fault("tools.routes", "there are no servers to name", "list them under tools.servers")
        path = reader.path("tools", "path", "/rpc")
        return Tools(single(reader.address("tools", "address"), path, policy), listed)
    for name in ("address", "path"):
        if name in reader.table("tools"):
            reader.fault(f"tools.{name}", "stands beside tools.servers", "keep one of the two")
    servers = {}
    for name in named:
        if NAME.match(name) and "." not in name:
            servers[name] = _read_server(reader, name)
            if servers[name].zone and servers[name].zone not in zones:
                remedy = f"use one of {', '.join(zones)}"
                reader.fault(f"tools.servers.{name}.zone", f"{servers[name].zone!r} is no zone", remedy)
        else:
            reader.fault(f"tools.servers.{name!r}", "is not a plain name", "use letters, digits, '_' and '-'")
    routes = _read_routes(reader, servers)
    own = zones[zone] if 0 <= zone < len(zones) else ""
    return Tools(RouteTable(servers, routes, own, policy), listed)


def read_sidecar(raw: Mapping[str, Any]) -> tuple[Gateway | None, list[ConfigError]]:
    """The gateway that an operator's file describes, or every fault that keeps it from being one."""
    reader = _Reader(raw)
    reader.known("", {"application", "listen", "management", "limits", "registry", "tools", "settings"})
    name, listen = reader.name("", "application"), reader.address("", "listen")
    management = reader.address("", "management") if "management" in raw else None
    reader.known("limits", {"memory_mb", "sockets"})
    reader.known("registry", {"address", "path", "engines", "fetch_s", "renew_s"})
    memory = reader.number("limits", "memory_mb", 192, 64, 65536)
    sockets = reader.number("limits", "sockets", 1024, 128, 1_000_000)
    registry = Registry(
        reader.address("registry", "address"), reader.path("registry", "path", "/eureka"),
        reader.name("registry", "engines"), reader.number("registry", "fetch_s", 5, 0.05, 300),
        reader.number("registry", "renew_s", 10, 0.05, 300),
    )  # fmt: skip
    settings, idle = None, 0
    try:
        settings, idle = _settings(reader.table("settings"))
    except ConfigError as error:
        reader.faults.append(error)
    tools = _read_tools(reader, *((settings.zones, settings.zone) if settings is not None else ((), 0)))
    if settings is not None:
        if not {k.role for k in settings.kinds} & {api.Role.WRITER, api.Role.MIXED}:
            reader.fault(
                "settings.specifics.role_by_kind", "names no writer", 'give one kind the role "write"'
            )
        unsafe = [t for t, tool in tools.listed.items() if tool.effect is not api.Effect.SAFE]
        if unsafe and all(c.effect is not api.Effect.UNSAFE for c in settings.classes):
            reader.fault(
                "settings.classes", f"none is unsafe, so {unsafe[0]!r} can never be called",
                'give the class that may call it effect = "unsafe"',
            )  # fmt: skip
    door = None
    try:
        door = _door(os.environ)
    except ConfigError as error:
        reader.faults.append(error)
    if reader.faults or settings is None:
        return None, reader.faults
    gateway = Gateway(
        name=name, listen=listen, seed=0, memory_mb=int(memory), sockets=int(sockets), idle_close=idle,
        settings=settings, management=management, door=door, scratch=os.environ.get("TMPDIR") or None,
        tools=tools, registry=registry,
    )  # fmt: skip
    return gateway, []


def _toml(text: str) -> dict[str, Any]:
    """Raises ValueError. Imported where it is used: the platform's file is JSON."""
    import tomllib

    return tomllib.loads(text)


def _load(path: str) -> tuple[dict[str, Any], list[ConfigError]]:
    try:
        return _toml(Path(path).read_text("utf-8")), []
    except OSError as error:
        return {}, [ConfigError(path, f"can't be read: {error.strerror}", "name a readable file")]
    except ValueError as error:  # no TOML, or no text
        return {}, [ConfigError(path, f"is not TOML: {error}", "correct it there")]


def load_sidecar(path: str) -> tuple[Gateway | None, list[ConfigError]]:
    raw, faults = _load(path)
    return (None, faults) if faults else read_sidecar(raw)


# --- a partner's file -----------------------------------------------------------------------------------


@record
class ClientSettings:
    """What a partner's file says of its client."""

    gateways: tuple[client.Gateway, ...]
    account: str
    policy: client.Policy


def read_client(raw: Mapping[str, Any]) -> tuple[ClientSettings | None, list[ConfigError]]:
    """The client that a partner's file describes under [client], or every fault in it."""
    from basaltspread.client import core as client  # here: a gateway has no use for it
    from basaltspread.client.discovery import from_text

    reader = _Reader(raw)
    base = client.Policy()
    reader.known("", {"client"})
    reader.known("client", {
        "gateways", "account", "zone", "subset", "most_tries", "retry_share", "retry_reserve", "spread_s",
        "idle_s", "resume",
    })  # fmt: skip
    table = reader.table("client")
    listed = table.get("gateways")
    gateways: tuple[client.Gateway, ...] = ()
    if isinstance(listed, list) and listed and all(isinstance(line, str) for line in listed):
        try:
            gateways = tuple(from_text("\n".join(listed)))
        except ValueError as error:
            reader.fault("client.gateways", str(error), 'write each as "host:port" or "host:port zone"')
    else:
        reader.fault("client.gateways", f"{listed!r} is no list of gateways", 'write ["host:port", ...]')
    account = reader.text("client", "account", "give the tenant's name", " ").strip()
    zone = reader.text("client", "zone", "give the name of a zone", " ").strip()
    resume = table.get("resume", True)
    if not isinstance(resume, bool):
        reader.fault("client.resume", f"{resume!r} is neither true nor false", "write true or false")
    policy = client.Policy(
        most_tries=int(reader.number("client", "most_tries", base.most_tries, 1, 10)),
        retry_share=float(reader.number("client", "retry_share", base.retry_share, 0, 1)),
        retry_reserve=float(reader.number("client", "retry_reserve", base.retry_reserve, 0, 1000)),
        spread=int(reader.number("client", "spread_s", base.spread / 1e6, 1, 60) * 1_000_000),
        # Gateways close a connection that has rested for 30 s: what is written as they do is in doubt.
        idle=int(reader.number("client", "idle_s", base.idle / 1e6, 0, 25) * 1_000_000),
        subset=int(reader.number("client", "subset", 0, 0, 10_000)), zone=zone, resume=bool(resume),
    )  # fmt: skip
    if reader.faults:
        return None, reader.faults
    return ClientSettings(gateways, account, policy), []


def load_client(path: str) -> tuple[ClientSettings | None, list[ConfigError]]:
    raw, faults = _load(path)
    return (None, faults) if faults else read_client(raw)


def check(path: str) -> list[ConfigError]:
    """What is wrong with a file, a sidecar's or a partner's."""
    raw, faults = _load(path)
    return faults or (read_client(raw)[1] if "client" in raw else read_sidecar(raw)[1])


TEMPLATE = """\
# basaltspread as a sidecar of {application}. Check it after a change:
#     python -m basaltspread.config check FILE
application = {application}
listen = {listen}            # where the application's clients connect
management = {management}        # where operators call; without it, nowhere

[limits]
memory_mb = 192
sockets = 1024

[registry]                   # Eureka
address = {registry}
path = "/eureka"
engines = {engines}          # the application whose instances are the engines
fetch_s = 5
renew_s = 10

[tools]                      # the application's tool server, JSON-RPC 2.0 over HTTP POST
address = {tools}
path = "/rpc"

# What each tool does. Only a safe call is ever sent again. A tool that is not listed is unsafe, and an unsafe
# tool is called only in requests of an unsafe class.
{listed}
[settings]                   # times in microseconds, as on the platform
me = 0
balancers = 1
zone = 0
azs = ["local"]
machine_types = ["prefill", "decode"]
registry_mode = "push"
round = 2000
weights = "nominal"
over_share_worth = 0.2

[settings.limits]
cancel = true
connect_timeout = 250000
idle_close = 30000000
max_attempts = 5
max_retry_after = 1000000
may_duplicate = true
retry_after = true

[settings.rules]
answer_slack = 8000
fall = 1000000
start_capacity = 0.26
stop_sending_within = 250000
tip_multiple = 2.5
warm_within = 14000000

[settings.specifics]
aim_us_per_1000_prompt_tokens = {per_1000}
early_pairing = true
release = 500000
resume = true
role_by_kind = ["read", "write"]
token_aim = {token_aim}
writers_read = false
{classes}"""
TOOL_TEMPLATE = """\
[tools.listed.{name}]
effect = "{effect}"
deadline_ms = {deadline}
"""
CLASS_TEMPLATE = """
[[settings.classes]]
name = {name}
effect = "{effect}"
key_scope = "all"
promise = 1200000
deadline = 6000000
points = 1.0
late_value = 0.3
streaming = true
window = 5000000
"""


def _pairs(values: Sequence[str], what: str) -> list[tuple[str, str]]:
    """NAME=EFFECT arguments."""
    pairs = []
    for value in values:
        name, _, effect = value.partition("=")
        effect = effect or "unsafe"
        if not NAME.match(name) or "." in name or effect not in ("safe", "unsafe"):
            raise ConfigError(what, f"{value!r} can't be used", "write NAME=safe or NAME=unsafe")
        pairs.append((name, effect))
    return pairs


def write_sidecar(options: argparse.Namespace) -> str:
    """An operator's file for one application; raises ConfigError if the options make none."""
    classes = _pairs(options.request_class or ["ask=safe", "order=unsafe"], "--class")
    tools = _pairs(options.tool, "--tool")
    text = TEMPLATE.format(
        application=json.dumps(options.application), listen=json.dumps(options.listen),
        management=json.dumps(options.management),
        registry=json.dumps(options.registry), engines=json.dumps(options.engines),
        tools=json.dumps(options.tools),
        listed="\n".join(
            TOOL_TEMPLATE.format(name=n, effect=e, deadline=DEFAULT_DEADLINE_MS) for n, e in tools
        ),
        per_1000=[40000.0] * len(classes), token_aim=[60000.0] * len(classes),
        classes="".join(CLASS_TEMPLATE.format(name=json.dumps(n), effect=e) for n, e in classes),
    )  # fmt: skip
    _, faults = read_sidecar(_toml(text))
    if faults:
        raise faults[0]
    return text


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m basaltspread.config", description="Write or check a sidecar's file."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    write = commands.add_parser("write", help="print a file for one application")
    write.add_argument("--application", required=True, help="its name, also in the registry")
    write.add_argument("--listen", default="127.0.0.1:8080")
    write.add_argument("--management", default="127.0.0.1:9800", help="where operators call")
    write.add_argument("--registry", default="127.0.0.1:8761", help="Eureka's address")
    write.add_argument("--engines", default="MODEL-ENGINES", help="the engines' application in Eureka")
    write.add_argument("--tools", default="127.0.0.1:9000", help="the tool server's address")
    write.add_argument("--tool", action="append", default=[], metavar="NAME=EFFECT")
    write.add_argument("--class", action="append", dest="request_class", metavar="NAME=EFFECT")
    checking = commands.add_parser("check", help="say what is wrong with a file")
    checking.add_argument("file")
    options = parser.parse_args(arguments)
    if options.command == "write":
        try:
            sys.stdout.write(write_sidecar(options))
        except ConfigError as error:
            print(f"basaltspread.config: {error}", file=sys.stderr)
            return EXIT_USAGE
        return 0
    faults = check(options.file)
    for fault in faults:
        print(f"{options.file}: {fault}", file=sys.stderr)
    if not faults:
        print(f"{options.file}: ok")
    return EXIT_FAULTS if faults else 0


if __name__ == "__main__":
    sys.exit(main())
