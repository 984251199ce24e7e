"""What the program's small immutable types are made with: `record`, in place of a frozen dataclass.

It owns how such a type is made, compared and shown. A frozen dataclass compiles six functions for each type
and sets each field by a call; some ninety of them were a third of a gateway's start, and one is made for each
step of a request. Here one function is compiled for a type. That nothing is assigned to later is the type
checker's to see, which takes them as frozen. It must never know what a type is for.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeVar, dataclass_transform

T = TypeVar("T")


def _values(self: Any) -> tuple[Any, ...]:
    return tuple(getattr(self, name) for name in self.__match_args__)


def _equal(self: Any, other: Any) -> bool:
    if other.__class__ is not self.__class__:
        return NotImplemented  # type: ignore[no-any-return]
    return bool(_values(self) == _values(other))


def _hash(self: Any) -> int:
    return hash(_values(self))


def _shown(self: Any) -> str:
    fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__match_args__)
    return f"{self.__class__.__qualname__}({fields})"


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def record(cls: type[T]) -> type[T]:
    """A type with slots whose values are equal where all their fields are."""
    if not cls.__doc__:
        cls.__doc__ = cls.__name__  # else the module would inspect the type to write one
    made: Any = dataclass(slots=True, eq=False, repr=False)(cls)
    made.__eq__, made.__hash__, made.__repr__ = _equal, _hash, _shown
    return made  # type: ignore[no-any-return]
