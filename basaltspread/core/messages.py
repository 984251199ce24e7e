"""What passes between the reducer and its host: inputs and effects.

It owns the vocabulary. It must never hold state or decide anything: a front and the reducer that agree on
these types need to know nothing else of each other.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import field
from enum import Enum
from typing import Any

from basaltspread import interface as api
from basaltspread.control.routes import RouteTable, Server
from basaltspread.endings import Ending, ToolFault
from basaltspread.records import record


class Place(Enum):
    """What a writer said when asked to hold a place."""

    HELD = "held"
    NOT_HELD = "not held"
    UNKNOWN = "unknown"  # it answered, but does not tell
    UNANSWERED = "unanswered"  # the question was written, and no answer came: it may be taken yet
    NOT_ASKED = "not asked"  # the question has certainly not arrived


class Verdict(Enum):
    """How a request ends for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Order(Enum):
    """What an operator can ask for."""

    DISABLE = "disable"
    ENABLE = "enable"
    DRAIN = "drain"
    RESUME = "resume"
    DRAIN_SERVER = "drain tool server"
    RESUME_SERVER = "use tool server again"


# --- inputs -------------------------------------------------------------------------------------------


@record
class Taken:
    """A whole request has come in; `arrival.time_left` is what is left of the client's wait."""

    arrival: api.Arrival


@record
class TurnedAway:
    """A request that the front had no room to take: it was refused there and then."""

    request_class: int


@record
class ClientLeft:
    request: str
    ending: Ending = Ending.CLIENT_LEFT


@record
class ClientFloods:
    """A client sends more behind its request than is read of it: its close could not be seen in time."""

    request: str


@record
class Violated:
    """The front saw an act that must not have been done: the value of an Invariant, and the request, if it
    was about one."""

    invariant: str
    request: str = ""


@record
class Begun:
    """The first byte of an attempt is about to be written."""

    request: str
    number: int


@record
class Written:
    """The last byte of an attempt has been written."""

    request: str
    number: int


@record
class FirstEvent:
    request: str
    number: int


@record
class Ended:
    request: str
    number: int
    ending: Ending
    detail: int = 0  # prompt tokens found kept
    report: dict[str, float] = field(default_factory=dict)


@record
class PlaceEnded:
    request: str
    number: int  # the reading attempt that it belongs to
    worker: str
    place: Place


@record
class ReleaseEnded:
    """An engine has taken a release (SERVED), or the way to it ended otherwise."""

    request: str
    worker: str
    ending: Ending

    @property
    def done(self) -> bool:
        return self.ending is Ending.SERVED


@record
class Probed:
    worker: str
    ending: Ending
    elapsed: int
    report: dict[str, float] = field(default_factory=dict)


@record
class PeerTold:
    """A datagram of another gateway, of whatever form."""

    payload: bytes


@record
class Listed:
    """One engine of the list, and where it is reached."""

    entry: api.WorkerEntry
    address: str


@record
class ListTold:
    """Discovery's list, or a change of it. `wall_shifts` are how far the wall clock, which stamps starts, may
    be ahead of this process's clock, in us: more than one after it was stepped."""

    kind: api.ListKind
    version: int
    entries: tuple[Listed, ...]
    wall_shifts: tuple[int, ...] = (0,)


@record
class Wanted:
    """One request in an engine's stream; `fault` says what the front already found wrong with it."""

    call: str  # its id, as JSON text
    tool: str = ""
    effect: api.Effect = api.Effect.UNSAFE
    time_left: int = 0
    fault: ToolFault | None = None
    local: bool = False  # the gateway answers it itself
    answered: bool = False  # and has its answer at hand


@record
class ToolCalled:
    """A request's engine stream carries calls, in one event. They get one message in return, once each has
    its reply: a batch is answered as a batch. `errors` counts what of it is answered without an id."""

    request: str
    number: int
    bundle: int  # the front's own number for the event, never used twice
    calls: tuple[Wanted, ...]
    errors: int = 0


@record
class ToolCancelled:
    """The engine does not want this call's reply any more."""

    request: str
    number: int
    call: str


@record
class ToolBegun:
    """The first byte of a try is about to be written."""

    request: str
    call: str
    number: int


@record
class ToolProgressed:
    """A tool server told of progress; with `shown`, in words that the engine asked for."""

    request: str
    call: str
    number: int
    shown: bool


@record
class ToolEnded:
    """One try of a call has ended; SERVED means that its reply is there. Number 0 is the gateway's own
    answer."""

    request: str
    call: str
    number: int
    ending: Ending


@record
class ProgressEnded:
    """The engine has been told of progress, or could not be."""

    request: str
    call: str


@record
class ReplyEnded:
    """The message that answers an event has been written to the engine (SERVED), or not."""

    request: str
    bundle: int
    ending: Ending


@record
class ServerTried:
    """A tool server was asked whether it answers."""

    server: str
    ok: bool


@record
class ServerDrains:
    """A tool server says so itself, or (`on` false) is used again."""

    server: str
    on: bool


@record
class RoutesTold:
    """The tool servers and the routes to them, from now on."""

    table: RouteTable


@record
class Woken:
    token: tuple[Any, ...]


@record
class Serving:
    """Clients can come: the front has opened its door."""


@record
class Operate:
    """An operator's call; each gets one OperatorAnswer."""

    call: int
    order: Order
    engine: str = ""


@record
class BansTold:
    """What a file shared with this gateway's other process says: engines left out, and when others of them
    came back."""

    disabled: frozenset[str]
    returned: Mapping[str, int]


@record
class Departure:
    """An engine that discovery told to drain, or to be gone."""

    started: int  # us of its start, as it was listed
    version: int  # of the list that told it
    told_at: int  # us


@record
class DeparturesTold:
    """What an earlier process of this gateway was told, by engine."""

    departures: Mapping[str, Departure]


@record
class Recalled:
    """What the module of the process that this one takes over from has learnt."""

    knowledge: Any


@record
class Sharing:
    """So many processes of this gateway run now, and keep its limits together."""

    processes: int


@record
class HandedOn:
    """The process that follows has this stream, and its client, from here on."""

    request: str
    number: int


@record
class Adopted:
    """A stream that the process before had begun to pass on; it is attempt 0 here."""

    request: str
    request_class: int
    worker: str
    resumed: bool = False
    tenant: int = 0
    calls: tuple[str, ...] = ()
    address: str = ""  # at which its engine was dialled


@record
class Terminate:
    pass


@record
class Arriving:
    """So many requests have been begun by their clients and are not taken yet; told as the process stops."""

    number: int


Input = (
    Taken | TurnedAway | ClientLeft | ClientFloods | Violated | Begun | Written | FirstEvent | Ended
    | PlaceEnded | ReleaseEnded | Probed | PeerTold | ListTold | ToolCalled | ToolCancelled
    | ToolBegun | ToolProgressed | ToolEnded | ProgressEnded | ReplyEnded
    | ServerTried | ServerDrains | RoutesTold | Woken | Serving
    | Operate | BansTold | DeparturesTold | Recalled | Sharing | HandedOn | Adopted | Terminate
    | Arriving
)  # fmt: skip


# --- effects ------------------------------------------------------------------------------------------


@record
class StartAttempt:
    request: str
    number: int
    worker: str
    address: str
    reading: bool
    time_left: int


@record
class AbandonAttempt:
    request: str
    number: int


@record
class PassOn:
    """The client gets this attempt's stream from its first event on."""

    request: str
    number: int


@record
class HandOn:
    """Hand the connections of this stream to the process that follows, if there is one and they can be
    handed on at this moment; HandedOn says that it was done."""

    request: str
    number: int
    request_class: int
    worker: str
    address: str
    resumed: bool = False
    tenant: int = 0
    calls: tuple[str, ...] = ()  # ids of the tool calls that it has carried


@record
class EndStream:
    request: str


@record
class BreakClient:
    """End the client's connection without the last chunk."""

    request: str


@record
class Answer:
    request: str
    verdict: Verdict
    retry_after: int = 0


@record
class AskPlace:
    request: str
    number: int
    worker: str
    address: str


@record
class DropPlace:
    """Do not ask for this place any more if not a byte of the question has gone out."""

    request: str
    worker: str


@record
class AbandonPlace:
    """Wait no longer for the answer to this question."""

    request: str
    worker: str


@record
class SendRelease:
    request: str
    worker: str
    address: str


@record
class StartProbe:
    worker: str
    address: str


@record
class TellPeers:
    """One datagram to every other gateway; it may be lost."""

    payload: bytes


@record
class SayUnanswered:
    """An attempt has waited past the usual time for anything from its engine: one line for the log."""

    request: str
    number: int
    worker: str
    reading: bool
    waited: int  # us since its last byte was written
    silent_for: int | None  # us since the engine last answered anything; None: it never has


@record
class FetchWholeList:
    pass


@record
class CallTool:
    """Write the call to this tool server, on a new connection if it may be written but once."""

    request: str
    call: str
    number: int
    server: Server
    once: bool
    time_left: int


@record
class AbandonTool:
    """Give a try up. With `tell`, its server is told that nobody waits for it any more."""

    request: str
    call: str
    number: int
    server: Server
    tell: bool


@record
class TellCancelled:
    """Tell a tool server that a call, which is heard out all the same, is not wanted any more."""

    request: str
    call: str
    server: Server


@record
class AnswerLocally:
    """Make the gateway's own reply to this call; ToolEnded with number 0 says how that ended."""

    request: str
    call: str
    time_left: int


@record
class ReturnReply:
    """Write the replies of one event, or the faults in their place, to the engine that holds the stream."""

    request: str
    bundle: int
    worker: str
    address: str
    replies: tuple[tuple[str, ToolFault | None], ...]
    time_left: int  # us for the engine to take it


@record
class ReturnProgress:
    """Tell the engine what was last heard of this call's progress."""

    request: str
    call: str
    worker: str
    address: str


@record
class ForgetCall:
    """Nothing more will be asked about this call."""

    request: str
    call: str


@record
class ForgetBundle:
    request: str
    bundle: int


@record
class TryServer:
    """Ask this tool server whether it answers."""

    server: Server


@record
class Wake:
    at: int
    token: tuple[Any, ...]


@record
class Count:
    name: str


@record
class Say:
    text: str


@record
class OperatorAnswer:
    call: int
    done: bool
    why: str = ""
    unknown: bool = False  # the engine that it names


@record
class KeepBans:
    """Keep what is known of bans, of which this engine's has just changed."""

    engine: str
    disabled: frozenset[str]
    returned: Mapping[str, int]


@record
class KeepDepartures:
    """Keep these for the process that follows."""

    departures: Mapping[str, Departure]


@record
class CloseIdle:
    """End the client connections on which nothing is under way."""


@record
class StopListening:
    """Accept no more connections; the address itself may be served by another process."""


@record
class StopAccepting:
    """The same, and end the connections on which nothing is under way."""


@record
class Exit:
    pass


Effect = (
    StartAttempt | AbandonAttempt | PassOn | HandOn | EndStream | BreakClient | Answer | AskPlace | DropPlace
    | AbandonPlace | SendRelease | StartProbe | TellPeers | SayUnanswered | FetchWholeList | CallTool
    | AbandonTool | TellCancelled | AnswerLocally | ReturnReply | ReturnProgress | ForgetCall | ForgetBundle
    | TryServer
    | Wake | Count | Say | OperatorAnswer | KeepBans | KeepDepartures | CloseIdle | StopListening
    | StopAccepting | Exit
)  # fmt: skip
