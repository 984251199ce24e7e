"""basaltspread: the decisions of a request router before separate readers and writers."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from basaltspread.rules import Router

__all__ = ["Router"]
__version__ = "0.2.0"


def __getattr__(name: str) -> Any:
    """The router is loaded when it is asked for: the partners' library has no use for it."""
    if name == "Router":
        from basaltspread.rules import Router

        return Router
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
