"""The partners' library: a client that cannot undo the gateway's care.

`Client` (asyncio) and `BlockingClient` share names, errors and one core without I/O, which decides deadlines,
whether and when a request is sent again, where, and how fast connections come back. Nothing of the server is
imported here.
"""

from basaltspread.client.aio import Answer, Client
from basaltspread.client.blocking import BlockingAnswer, BlockingClient
from basaltspread.client.core import Gateway, Policy
from basaltspread.client.errors import (
    ClientError,
    DeadlinePassed,
    Failed,
    OutcomeUnknown,
    Refused,
    Rejected,
    StreamBroken,
)

__all__ = [
    "Answer",
    "BlockingAnswer",
    "BlockingClient",
    "Client",
    "ClientError",
    "DeadlinePassed",
    "Failed",
    "Gateway",
    "OutcomeUnknown",
    "Policy",
    "Refused",
    "Rejected",
    "StreamBroken",
]
