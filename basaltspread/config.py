"""Typed configuration of a gateway, and the tool that writes and checks it for an application.

It owns what a configuration may hold and how each fault is worded; it must never open a socket or start
anything.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from basaltspread import interface as api
from basaltspread.adapter import settings_from


class ConfigError(Exception):
    """A configuration that can't be used: the key, what is wrong with it, and what would be right."""

    def __init__(self, key: str, fault: str, remedy: str) -> None:
        super().__init__(f"{key}: {fault}; {remedy}")
        self.key, self.fault, self.remedy = key, fault, remedy


@dataclass(frozen=True, slots=True)
class Platform:
    """What a gateway is told by the platform."""

    name: str
    listen: str
    discovery: str
    seed: int
    memory_mb: int
    sockets: int
    idle_close: int  # us after which engines close an idle connection
    settings: api.Settings
    known: Mapping[str, Any] = field(default_factory=dict)


def split_address(key: str, value: Any) -> tuple[str, int]:
    """`host:port` taken apart."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(key, f"{value!r} is not an address", "write it as host:port")
    return host, int(port)


def load_platform(environment: Mapping[str, str]) -> Platform:
    """The configuration that RELAY_CONFIG names; the other RELAY_* variables go before what it says."""
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise ConfigError("RELAY_CONFIG", "not set", "name the gateway's JSON configuration file")
    try:
        raw = json.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError("RELAY_CONFIG", f"can't be read: {error}", "give a readable JSON file") from error
    if not isinstance(raw, dict):
        raise ConfigError("RELAY_CONFIG", "does not hold a JSON object", "write one object")
    conf = raw.get("settings")
    if not isinstance(conf, dict):
        raise ConfigError("settings", "missing or not an object", "give the settings object")
    try:
        settings = settings_from(conf)
        idle = int((conf.get("limits") or {}).get("idle_close") or 30_000_000)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ConfigError("settings", f"can't be read: {error!r}", "give it as the platform does") from error
    listen = environment.get("RELAY_LISTEN") or raw.get("listen")
    discovery = environment.get("RELAY_DISCOVERY") or raw.get("discovery")
    split_address("listen", listen)
    split_address("discovery", discovery)
    limits = raw.get("limits") or {}
    seed = str(raw.get("seed") or "0")
    try:
        return Platform(
            name=str(environment.get("RELAY_NAME") or raw.get("name") or "gateway"),
            listen=str(listen),
            discovery=str(discovery),
            seed=int(seed, 16),
            memory_mb=int(limits.get("memory_mb") or 192),
            sockets=int(limits.get("sockets") or 1024),
            idle_close=idle,
            settings=settings,
            known=raw.get("known") or {},
        )
    except (AttributeError, TypeError, ValueError) as error:
        remedy = "give whole numbers, and the seed in hex"
        raise ConfigError("limits or seed", f"can't be read: {error!r}", remedy) from error
