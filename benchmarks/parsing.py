"""Splitting a stream and reading its messages: `python -m benchmarks.parsing [--json FILE]`.

Beside each figure of the present code stands the one of the code that it replaced, kept below as it was, in
the same run. Ratios are what counts: the machines differ.
"""

from __future__ import annotations

import argparse
import json
import re
import statistics
import time
from collections.abc import Callable
from typing import Any

from basaltspread.net import jsonrpc, sse
from benchmarks.table import keep, show

PLAIN = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh abcd efgh"},"finish_reason":null}]}\n\n'
CHINESE = b'data: {"choices":[{"index":0,"delta":{"content":"\\u4f60\\u597d"},"finish_reason":null}]}\n\n'
CALL = (
    b'data: {"jsonrpc":"2.0","id":7,"method":"tools/call",'
    b'"params":{"name":"stock_lookup","arguments":{"sku":"4711"}}}\n\n'
)
ROUNDS = 7


class Earlier:
    """The splitter of version 0.1.0."""

    END = re.compile(rb"\r\n\r\n|\n\n|\r\r")

    def __init__(self) -> None:
        self._held = b""

    def feed(self, data: bytes) -> bytes:
        self._held += data
        out, start = [], 0
        for end in self.END.finditer(self._held):
            raw = self._held[start : end.end()]
            start = end.end()
            if b'"jsonrpc"' not in raw or not self._take(raw):
                out.append(raw)
        self._held = self._held[start:]
        return b"".join(out)

    @staticmethod
    def _take(raw: bytes) -> bool:
        data = raw[6:].decode()
        message = json.loads(data)
        return isinstance(message, dict) and message.get("jsonrpc") == "2.0"


def _take(raw: bytes) -> bool:
    data = sse.data_of(raw)
    value = jsonrpc.load(data or "null")
    return jsonrpc.is_message(value) and bool(jsonrpc.read(value).messages)


def _time(make: Callable[[], Any], pieces: list[bytes]) -> float:
    """Seconds for all the pieces."""
    splitter = make()
    began = time.perf_counter()
    for piece in pieces:
        splitter.feed(piece)
    return time.perf_counter() - began


def compare(name: str, pieces: list[bytes], rounds: int = ROUNDS) -> dict[str, Any]:
    """In turn, so that both meet the same machine."""
    size = sum(map(len, pieces))
    before, now = [], []
    for _ in range(rounds):
        before.append(_time(Earlier, pieces))
        now.append(_time(lambda: sse.Splitter(_take), pieces))
    ratios = sorted(b / n for b, n in zip(before, now, strict=True))
    return {
        "stream": name, "earlier MB/s": size / statistics.median(before) / 1e6,
        "now MB/s": size / statistics.median(now) / 1e6, "now ms": statistics.median(now) * 1e3,
        "times": statistics.median(ratios), "least": ratios[0], "most": ratios[-1],
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.parsing", description=__doc__)
    parser.add_argument("--json", metavar="FILE")
    options = parser.parse_args()
    long = b"data: " + b"x" * (256 * 1024 - 64) + b"\n\n"
    mixed = PLAIN * 50 + CALL
    rows = [
        compare("plain events, 64 KiB pieces", [PLAIN * 700] * 100),
        compare("plain events, 6 KiB pieces", [PLAIN * 64] * 1000),
        compare("plain events, one a piece", [PLAIN] * 50_000),
        compare("plain events with escapes, 64 KiB pieces", [CHINESE * 700] * 100),
        compare("one call in 51 events, 6 KiB pieces", [mixed] * 1000),
        compare("calls alone, one a piece", [CALL] * 10_000),
        compare("one event of 64 KiB in 64-byte pieces", _cut(long[-65536:], 64), 3),
        compare("one event of 256 KiB in 64-byte pieces", _cut(long, 64), 3),
    ]
    show("splitting (median of runs in turn; `times` is earlier over now, pair by pair)", rows)
    keep(options.json, {"splitting": rows})


def _cut(data: bytes, size: int) -> list[bytes]:
    return [data[i : i + size] for i in range(0, len(data), size)]


if __name__ == "__main__":
    main()
