"""The ledger of memory: the bytes that the process holds for its peers, by class and owner, and may hold.

Each buffer is charged as it is filled and credited as it is emptied. A class is denied once all classes
together hold more than its share, so that what has been taken can still be finished when nothing new is let
in. It does no I/O and reads no clock; sizes are in bytes, times in s of one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

CONNECTION_COST = 12 * 1024  # of an open connection with its parser and task
REQUEST_COST = 24 * 1024  # of a request that has been taken: its state, attempts and connections to engines
LIMIT_SHARE = 0.92  # of the memory limit, the rest for what grows with time: tables and learnt figures
GROWTH = 2 * 1024 * 1024  # bytes that the process itself comes to need as it serves
ALLOCATOR_SHARE = 0.75  # of what is left, for bytes that are counted
STALLED_AFTER = 0.25  # s without a byte, after which a request that is arriving makes room first
LEAST_PART = 64 * 1024  # bytes that an arriving request may hold, however many arrive
SIZE_CLASSES = 40  # powers of two


class MemoryClass(Enum):
    """What bytes are held for; the value stands in figures."""

    CONNECTION = "connections"
    REQUEST = "requests"
    UNREAD = "unread"  # what the system has given and nobody has looked at
    PARSER = "parsers"  # what has come and is not parsed: heads above all
    BODY = "bodies"
    READ_AHEAD = "read_ahead"
    RELAY = "relays"  # of answers that clients take slowly, on their way through
    TOOL_CALL = "tool_calls"
    EVENT = "events"  # of answers, whose end has not come


# The share of the capacity up to which a class may be charged; all classes count against it.
SHARES: dict[MemoryClass, float] = {
    MemoryClass.READ_AHEAD: 0.5,
    MemoryClass.UNREAD: 0.75,
    MemoryClass.PARSER: 0.75,
    MemoryClass.BODY: 0.75,
    MemoryClass.EVENT: 0.75,
    MemoryClass.CONNECTION: 0.8,
    MemoryClass.TOOL_CALL: 0.8,
    MemoryClass.REQUEST: 0.85,
    MemoryClass.RELAY: 1.0,
}


class Level(Enum):
    """How full the ledger is."""

    AMPLE = "ample"
    TIGHT = "tight"


SMALLEST_PIECE, LARGEST_PIECE = 4 * 1024, 16 * 1024  # bytes that are read from a connection at once
MANY = 2048  # such pieces that the capacity has room for, if they are not the smallest
TIGHT_ABOVE, AMPLE_BELOW = 0.6, 0.4  # shares of the capacity


class Account:
    """What one owner holds."""

    __slots__ = ("arriving", "closed", "held", "moved_at", "owner", "total")

    def __init__(self, owner: object) -> None:
        self.owner: object = owner
        self.held: dict[MemoryClass, int] = {}
        self.total = 0
        self.moved_at = 0.0  # when it last grew
        self.arriving = False  # a request of it is arriving and may be given up
        self.closed = False  # nothing is charged to it any more


class MemoryLedger:
    """All accounts of one process. Each operation costs O(1), the choice of a victim O(SIZE_CLASSES)."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = self.most_used = 0
        self.by_class = dict.fromkeys(MemoryClass, 0)
        self.denied = dict.fromkeys(MemoryClass, 0)  # charges, since the start
        self.level = Level.AMPLE
        self._accounts: dict[Account, None] = {}
        # Accounts whose request is arriving, by the size class of what they hold; who moved last comes last.
        self._arriving: list[dict[Account, None]] = [{} for _ in range(SIZE_CLASSES)]
        self._arriving_count = 0

    def open(self, owner: object) -> Account:
        account = Account(owner)
        self._accounts[account] = None
        return account

    def fits(self, cls: MemoryClass, size: int) -> bool:
        return self.used + size <= self.capacity * SHARES[cls]

    def charge(self, account: Account, cls: MemoryClass, size: int, now: float) -> bool:
        """Whether these bytes may be held; if so, they count from now on."""
        if not self.fits(cls, size):
            self.denied[cls] += 1
            return False
        self.force(account, cls, size, now)
        return True

    def force(self, account: Account, cls: MemoryClass, size: int, now: float) -> None:
        """For bytes that are held already, or that finish what has been taken."""
        if account.closed:
            return
        self._unfile(account)
        account.held[cls] = account.held.get(cls, 0) + size
        account.moved_at = now
        self._move(account, cls, size)
        self._file(account)

    def keep(self, account: Account, cls: MemoryClass, size: int, now: float) -> None:
        """This owner holds so many bytes of a class, whether they fit or not."""
        more = size - account.held.get(cls, 0)
        if more > 0:
            self.force(account, cls, more, now)
        else:
            self.credit(account, cls, -more)

    def hold(self, account: Account, cls: MemoryClass, size: int, now: float) -> bool:
        """Whether this owner may hold so many bytes of a class, where it held another number before."""
        more = size - account.held.get(cls, 0)
        if more > 0:
            return self.charge(account, cls, more, now)
        self.credit(account, cls, -more)
        return True

    def credit(self, account: Account, cls: MemoryClass, size: int | None = None) -> None:
        """These bytes are gone; with no size, all of the class."""
        held = account.held.get(cls, 0)
        gone = held if size is None else min(size, held)
        self._unfile(account)
        account.held[cls] = held - gone
        self._move(account, cls, -gone)
        self._file(account)

    def arriving(self, account: Account, arriving: bool) -> None:
        """Whether a request of this owner is arriving; if so, it may have to make room."""
        self._unfile(account)
        account.arriving = arriving and not account.closed
        self._file(account)

    def close(self, account: Account) -> None:
        """The owner has gone, with all that it held. May be said twice."""
        if account.closed:
            return
        self._unfile(account)
        account.arriving, account.closed = False, True
        for cls, held in account.held.items():
            self._move(account, cls, -held)
        account.held.clear()
        account.owner = None  # nothing keeps the owner's buffers alive any more
        del self._accounts[account]

    def stalled(self, asking: Account, now: float) -> Account | None:
        """The largest of those whose request is arriving and has stalled."""
        for row in reversed(self._arriving):
            oldest = next((account for account in row if account is not asking), None)
            if oldest is not None and now - oldest.moved_at >= STALLED_AFTER:
                return oldest
        return None

    def larger(self, asking: Account) -> Account | None:
        """One whose request is arriving and holds far more than this owner does."""
        for row in reversed(self._arriving[_size_class(asking.total) + 1 :]):
            if row:
                return next(iter(row))
        return None

    def never_fits(self, asking: Account) -> bool:
        """Whether an arriving request can't be held even if nothing else is."""
        return asking.total + self.piece() > self.capacity * SHARES[MemoryClass.BODY]

    def may_displace(self, asking: Account) -> bool:
        """Whether this owner holds so little that others make room for it: a fair part of what all requests
        that are arriving may hold, or a usual request."""
        fair = self.capacity * SHARES[MemoryClass.BODY] / max(1, self._arriving_count)
        return asking.total <= max(fair, LEAST_PART)

    def piece(self) -> int:
        """The most to read from a connection at once: many may bring as much in the same turn."""
        if self.level is Level.TIGHT:
            return SMALLEST_PIECE
        return max(SMALLEST_PIECE, min(LARGEST_PIECE, self.capacity // MANY))

    def resize(self, capacity: int) -> None:
        """Under a smaller capacity, what is over it comes down as it ends."""
        self.capacity = capacity
        self._set_level()

    def figures(self) -> dict[str, int]:
        """All of it by name, in bytes and counts."""
        held = {f"memory_{cls.value}": size for cls, size in self.by_class.items()}
        denied = {f"memory_denied_{cls.value}": count for cls, count in self.denied.items()}
        largest = max((account.total for account in self._accounts), default=0)
        return {
            "memory_capacity": self.capacity,
            "memory_used": self.used,
            "memory_most_used": self.most_used,
            "memory_tight": int(self.level is Level.TIGHT),
            "memory_largest_owner": largest,
            **held,
            **denied,
        }

    def breaches(self) -> Iterator[str]:
        """What does not add up; costs a look at each account."""
        if sum(self.by_class.values()) != self.used:
            yield f"classes hold {sum(self.by_class.values())}, {self.used} are used"
        if sum(account.total for account in self._accounts) != self.used:
            yield "accounts do not add up to what is used"
        for account in self._accounts:
            if account.total != sum(account.held.values()) or min(account.held.values(), default=0) < 0:
                yield f"an account holds {account.held}, {account.total} in all"
        filed = [account for row in self._arriving for account in row]
        if sorted(map(id, filed)) != sorted(id(account) for account in self._accounts if account.arriving):
            yield "who is arriving is not who is filed"
        if len(filed) != self._arriving_count:
            yield f"{len(filed)} are filed, {self._arriving_count} counted"

    def _move(self, account: Account, cls: MemoryClass, size: int) -> None:
        account.total += size
        self.by_class[cls] += size
        self.used += size
        self.most_used = max(self.most_used, self.used)
        self._set_level()

    def _set_level(self) -> None:
        if self.used > self.capacity * TIGHT_ABOVE:
            self.level = Level.TIGHT
        elif self.used < self.capacity * AMPLE_BELOW:
            self.level = Level.AMPLE

    def _file(self, account: Account) -> None:
        if account.arriving:
            self._arriving[_size_class(account.total)][account] = None
            self._arriving_count += 1

    def _unfile(self, account: Account) -> None:
        if account.arriving:
            del self._arriving[_size_class(account.total)][account]
            self._arriving_count -= 1


def _size_class(size: int) -> int:
    return min(SIZE_CLASSES - 1, size.bit_length())


def capacity_for(limit: int, resident: int) -> int:
    """The bytes that peers may hold in a process that may have `limit` bytes and has `resident` before it
    serves anyone. The allocator needs some of them: what is freed in small pieces does not all go back."""
    return max(0, int((limit * LIMIT_SHARE - resident - GROWTH) * ALLOCATOR_SHARE))
