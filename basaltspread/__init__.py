"""basaltspread: the decisions of a request router before separate readers and writers."""

from basaltspread.rules import Router

__all__ = ["Router"]
