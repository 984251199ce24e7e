"""JSON-RPC 2.0 messages: one strict reading of a text, and its writing anew.

It owns what counts as a message and every way in which one can be wrong. It must never let two readers take a
text in two ways: a member that is written twice, a number that a peer may round, a surrogate on its own or
nesting without end makes a message flawed, and what is passed on is encoded anew from what was judged.

Sources: the JSON-RPC 2.0 specification (2013-01-04), RFC 8259, and RFC 7493 (I-JSON) for names, numbers and
surrogates.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from dataclasses import dataclass
from typing import Any

from basaltspread.endings import ToolFault

DEPTH_LIMIT = 64
SIZE_LIMIT = 256 * 1024  # characters of one text
BATCH_LIMIT = 64  # messages in one batch
ID_LIMIT = 128  # characters of an id
EXACT = 2**53 - 1  # whole numbers beyond it are read differently by different peers
Ident = str | int | float


@dataclass(frozen=True, slots=True)
class Request:
    """Expects a reply. `key` is its id as JSON text, so that 1 and "1" stay apart, and 1 and 1.0 do not."""

    key: str
    ident: Ident
    method: str
    params: Any  # an object, an array, or None where it has none
    fault: ToolFault | None = None
    why: str = ""


@dataclass(frozen=True, slots=True)
class Notification:
    method: str
    params: Any
    fault: ToolFault | None = None


@dataclass(frozen=True, slots=True)
class Response:
    """`message` holds jsonrpc, id, and one of result and error."""

    key: str | None  # None where the id is null
    message: dict[str, Any]
    fault: ToolFault | None = None
    why: str = ""


@dataclass(frozen=True, slots=True)
class Broken:
    """Can only be answered without an id."""

    fault: ToolFault
    why: str


Message = Request | Notification | Response | Broken


@dataclass(frozen=True, slots=True)
class Text:
    """What one text held; `batch` where it was an array."""

    messages: tuple[Message, ...]
    batch: bool = False


class _Doubled(dict[str, Any]):
    """An object in which a name stands more than once; `names` are those."""

    names: frozenset[str] = frozenset()


class _Flaw:
    """Stands for a value that peers may read differently."""

    def __init__(self, why: str) -> None:
        self.why = why


def _pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) == len(pairs):
        return found
    doubled = _Doubled(found)
    doubled.names = frozenset(name for name, count in Counter(n for n, _ in pairs).items() if count > 1)
    return doubled


def _whole(text: str) -> Any:
    if len(text) <= 17 and abs(number := int(text)) <= EXACT:
        return number if number or text != "-0" else 0
    return _Flaw("a whole number beyond 2^53 - 1")


def _fraction(text: str) -> Any:
    number = float(text)
    return number if math.isfinite(number) else _Flaw("a number beyond range")


def _constant(text: str) -> Any:
    return _Flaw(f"{text} is no JSON")


_DECODER = json.JSONDecoder(
    object_pairs_hook=_pairs, parse_int=_whole, parse_float=_fraction, parse_constant=_constant
)


_ENCODER = json.JSONEncoder(ensure_ascii=False, separators=(",", ":"), allow_nan=False)


def load(text: str, limit: int = SIZE_LIMIT) -> Any:
    """The value of a text of at most so many characters, with flawed parts marked. Raises ValueError for what
    is no JSON at all."""
    if len(text) > limit:
        raise ValueError(f"over {limit} characters")
    try:
        return _DECODER.decode(text.strip(" \t\r\n"))
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def flaw(value: Any) -> str:
    """What in a loaded value peers may read differently; nothing if all is well. Costs O(its size)."""
    level: list[Any] = [value]
    for _ in range(DEPTH_LIMIT + 1):
        below: list[Any] = []
        for item in level:
            if isinstance(item, str):
                if not item.isascii() and any("\ud800" <= c <= "\udfff" for c in item):
                    return "a surrogate on its own"
            elif isinstance(item, dict):
                if isinstance(item, _Doubled):
                    return f"the member {sorted(item.names)[0]!r} stands twice"
                below += item.keys()
                below += item.values()
            elif isinstance(item, list):
                below += item
            elif isinstance(item, _Flaw):
                return item.why
        if not below:
            return ""
        level = below
    return f"nested more than {DEPTH_LIMIT} deep"


def encode(value: Any) -> bytes:
    """One text for one value: what was judged, and nothing else."""
    return _ENCODER.encode(value).encode()


def ident_of(value: Any) -> Ident | None:
    """An id that can be answered: a text of up to 128 characters, or a number. Numbers without a fraction
    are one whatever they are written as."""
    if isinstance(value, str):
        return value if len(value) <= ID_LIMIT and not flaw(value) else None
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    return int(value) if value == int(value) and abs(value) <= EXACT else value


def key_of(ident: Ident) -> str:
    return str(ident) if type(ident) is int else json.dumps(ident)


def is_message(value: Any) -> bool:
    """Whether a loaded value was meant as JSON-RPC: an object that says so, or any array."""
    return isinstance(value, list) or (isinstance(value, dict) and "jsonrpc" in value)


def read(value: Any) -> Text:
    """The messages of a loaded value for which `is_message` holds."""
    if not isinstance(value, list):
        return Text((_read_one(value),))
    if not value:
        return Text((Broken(ToolFault.INVALID, "an empty batch"),))
    if len(value) > BATCH_LIMIT:
        return Text((Broken(ToolFault.INVALID, f"a batch of more than {BATCH_LIMIT}"),))
    return Text(tuple(_read_one(item) for item in value), batch=True)


def _read_one(item: Any) -> Message:
    if not isinstance(item, dict):
        return Broken(ToolFault.INVALID, "no object")
    doubled = item.names if isinstance(item, _Doubled) else frozenset()
    ident = None if "id" in doubled else ident_of(item.get("id"))
    why = flaw(item)
    if why == "" and item.get("jsonrpc") != "2.0":
        why = "jsonrpc is not 2.0"
    method = item.get("method")
    if "method" not in item and ({"result", "error"} & item.keys()):
        return _response(item, ident, why)
    if "id" in item and ident is None:
        return Broken(ToolFault.INVALID, why or "an id that can't be answered")
    if ident is None:
        fault = ToolFault.INVALID if why or not isinstance(method, str) else None
        if fault is not None and "method" not in item:  # neither request nor notification nor response
            return Broken(fault, why or "no method")
        return Notification(str(method), item.get("params"), fault)
    fault = None
    params = item.get("params")
    if why or not isinstance(method, str):
        fault, why = ToolFault.INVALID, why or "the method is no text"
    elif params is not None and not isinstance(params, (dict, list)):
        fault, why = ToolFault.PARAMS, "params are neither object nor array"
    return Request(key_of(ident), ident, method if isinstance(method, str) else "", params, fault, why)


def _response(item: dict[str, Any], ident: Ident | None, why: str) -> Message:
    error = item.get("error")
    if why == "" and ("result" in item) == ("error" in item):
        why = "both result and error"
    if why == "" and "error" in item:
        code = error.get("code") if isinstance(error, dict) else None
        text = error.get("message") if isinstance(error, dict) else None
        if isinstance(code, bool) or not isinstance(code, int) or not isinstance(text, str):
            why = "an error without a whole code and a message"
    key = key_of(ident) if ident is not None else None
    if why:
        return Response(key, {}, ToolFault.INVALID, why)
    what = "result" if "result" in item else "error"
    return Response(key, {"jsonrpc": "2.0", "id": ident, what: item[what]})


def request(ident: Ident, method: str, params: Any = None) -> dict[str, Any]:
    message: dict[str, Any] = {"jsonrpc": "2.0", "id": ident, "method": method}
    return message if params is None else {**message, "params": params}


def notification(method: str, params: Any) -> dict[str, Any]:
    return {"jsonrpc": "2.0", "method": method, "params": params}


def result(ident: Ident, value: Any) -> dict[str, Any]:
    return {"jsonrpc": "2.0", "id": ident, "result": value}


def error(ident: Ident | None, code: int, message: str, data: Any = None) -> dict[str, Any]:
    what: dict[str, Any] = {"code": code, "message": message}
    return {"jsonrpc": "2.0", "id": ident, "error": what if data is None else {**what, "data": data}}
