"""The engines that a registry's news took work away from, in a file for a process that follows.

It knows the file's form, and must never know which news counts (`control/registry_order.py`).
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from pathlib import Path

from basaltspread.control.registry_order import InstanceId, Stamps, Withdrawal
from basaltspread.net.links import load_json
from basaltspread.net.shared_files import boot_id, plain, replace_file

log = logging.getLogger("basaltspread")


class WithdrawalFile:
    """What the process that follows a stop or a kill has to know: a replica that lags may answer it first.
    The registry's own stamps are kept, as they outlive a process; numbers that it counts itself do not."""

    def __init__(self, folder: str, name: str) -> None:
        self._path = Path(folder) / f"basaltspread-{plain(name)}-withdrawals.json"

    def load(self, clock_offset: int) -> dict[InstanceId, Withdrawal]:
        """What was kept; empty if nothing was, or it can't be read. `clock_offset` us is this process's clock
        ahead of the system's monotonic one."""
        try:
            raw = load_json(self._path.read_bytes())
            if raw["boot"] != boot_id():
                return {}
            return {
                InstanceId(str(application), str(instance)): Withdrawal(
                    Stamps(int(dirty), int(updated)), int(at) + clock_offset
                )
                for application, instance, dirty, updated, at in raw["withdrawals"]
            }
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
            log.error("%s can't be read and does not count: %r", self._path.name, error)
            return {}

    def keep(self, withdrawals: Mapping[InstanceId, Withdrawal], clock_offset: int) -> None:
        """Write them. Raises OSError."""
        told = [
            (
                ident.application,
                ident.instance,
                one.stamps.dirty,
                one.stamps.updated,
                one.taken_at - clock_offset,
            )
            for ident, one in withdrawals.items()
        ]
        replace_file(self._path, {"boot": boot_id(), "withdrawals": told}, durable=False)
