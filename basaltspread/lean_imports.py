"""Keeps libraries out of the gateway's process that its imports would load and that it never uses.

A gateway speaks no TLS, and all its hashes are those that Python brings itself. asyncio and hashlib look for
OpenSSL and go on without it; it would take a sixth of the least memory that a gateway is given. This has to
be called before both are imported.
"""

from __future__ import annotations

import sys
from typing import Any

UNUSED = ("ssl", "_hashlib")


def keep_out() -> None:
    """An import of one of them fails from now on, as where Python was built without it."""
    modules: dict[str, Any] = sys.modules
    for name in UNUSED:
        modules.setdefault(name, None)
