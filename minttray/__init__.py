"""minttray: the decisions of a request router before separate readers and writers."""

from minttray.rules import Router

__all__ = ["Router"]
