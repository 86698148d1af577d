"""Event rows in which stand-ins and clients record what they observe.

Each process writes its rows as JSON lines to a file of its own; the auditor reads all files of a
run. All times are whole nanoseconds of the machine's monotonic clock, which its processes share, so
rows of several processes can be ordered. Service classes, tenants and upstreams are numbered from 0
in the order of the experiment; tier 0 is next to the clients.

Rows are stored as arrays that begin with the tag of their class, so the order of the fields and the
tags are the file format.
"""

from pathlib import Path

import msgspec
from msgspec import Struct


class Attempt(Struct, array_like=True, tag="try"):
    """One attempt of a request by a client, or by an upstream that calls the next tier."""

    tier: int
    # Number of the balancer that it was sent to; -1: none or unknown. Each upstream calls the next
    # tier through a balancer of its own, which has the same number.
    caller: int
    id: str
    first_id: str  # id of the first attempt of the same request
    number: int  # 0 for the first attempt
    service_class: int  # index
    tenant: int  # index; -1 on calls between tiers
    scheduled_at: int
    sent_at: int
    ended_at: int  # 0: not until the end of the run
    # How it ended: "answer" (of any status), "lost" (the connection ended without an answer),
    # "gone" (the client gave up), "unconnected" (connect failed) or "open" (no answer in time).
    kind: str
    status: int
    body: str  # body of the answer: ``nonce`` of the work that produced it, or ""
    time_limit_ns: int
    note: str = ""  # detail of how it ended


class UpstreamWork(Struct, array_like=True, tag="work"):
    """One attempt, as an upstream received it."""

    tier: int
    upstream: int
    caller: int  # number of the balancer that sent it
    id: str
    service_class: int  # index
    first_byte_at: int  # arrival of its first byte
    arrived_at: int  # arrival of its last byte
    ended_at: int  # last byte of the answer, or end of the connection
    # How it ended: "served", "error" (status 500), "turned away" (status 503, not processed),
    # "reset" (by the upstream or its death), "hung" (never answered), "given up" (its caller left)
    # or "spoilt" (malformed response).
    outcome: str
    work_started_at: int  # start of its processing; 0: never started
    work_ns: int  # processing time spent on it
    nonce: str  # unique text in the answer that identifies this work
    caller_left_at: int = 0  # when its caller closed the connection or cancelled it; 0: never
    # End of its processing, which may be after caller_left_at; 0: never started.
    work_ended_at: int = 0
    remaining_retries: int = -1  # according to its request context header; -1: no header


class EndpointListEntry(Struct, array_like=True, tag="told"):
    """State of one upstream in the endpoint list, as sent to one balancer."""

    tier: int
    caller: int  # number of the balancer
    at: int
    upstream: int
    state: str  # such as "ready" or "draining"


class EndpointListPoll(Struct, array_like=True, tag="asked"):
    """One poll or watch of the endpoint list by a balancer."""

    tier: int
    caller: int  # number of the balancer
    at: int  # when the service answered or refused it
    watch: bool
    answered: bool  # True: with a list
    reached_at: int = 0  # when the service began to process it; 0: the service was unreachable
    status: int = 0  # of the HTTP response; 0: none recorded


class HeldWatch(Struct, array_like=True, tag="held"):
    """The span in which the service held a balancer's watch open because nothing had changed."""

    tier: int
    caller: int  # number of the balancer
    started_at: int
    ended_at: int


class Probe(Struct, array_like=True, tag="probe"):
    """One health check, as the upstream received it."""

    tier: int
    upstream: int
    caller: int  # number of the balancer
    at: int


class AcceptedConnection(Struct, array_like=True, tag="connected"):
    """One new connection from a balancer, as the upstream accepted it."""

    tier: int
    upstream: int
    caller: int  # number of the balancer
    at: int


class StateChange(Struct, array_like=True, tag="happened"):
    """Start or end of a fault, or a change of state of a balancer, upstream or endpoint list."""

    at: int
    name: str  # such as "crash" or "listed draining"
    tier: int  # -1: none
    process_number: int  # number of the balancer or upstream; -1: none
    is_start: bool = True  # False: the fault ended
    details: str = ""


class UnexpectedBytes(Struct, array_like=True, tag="extra"):
    """Unexpected bytes from a balancer: no request was pending, or its answer was complete."""

    tier: int
    at: int
    id: str  # request last answered on the connection; "": none
    size: int  # bytes


class BalancerSample(Struct, array_like=True, tag="sample"):
    """Figures that a balancer logged about itself; only reports use them, not the auditor."""

    tier: int
    balancer: int
    at: int
    budget_b: float  # B of the retry budget
    budget_f: float  # f of the retry budget
    queued: int  # requests in the admission queue
    in_flight: list[int]  # attempts in flight, by upstream


class Stall(Struct, array_like=True, tag="stall"):
    """A stall of a stand-in's event loop; arrivals during it get a time stamp that is too late."""

    process: str
    at: int  # end of the stall
    late_ns: int  # how late the event loop was


Event = (
    Attempt
    | UpstreamWork
    | EndpointListEntry
    | EndpointListPoll
    | HeldWatch
    | Probe
    | AcceptedConnection
    | StateChange
    | UnexpectedBytes
    | BalancerSample
    | Stall
)


BUFFERED_ROWS = 2000  # an event log writes its buffer out when it holds this many


class EventLog:
    """Writes the event rows of one process to a file.

    A killed process may leave an incomplete last line, which ``read`` ignores.
    """

    def __init__(self, path):
        """Open the file for appending."""
        self.file, self.encoder, self.rows = open(path, "ab"), msgspec.json.Encoder(), []

    def add(self, row):
        """Buffer a row; write the buffer out when it is full."""
        self.rows.append(row)
        if len(self.rows) >= BUFFERED_ROWS:
            self.flush()

    def flush(self):
        """Write the buffered rows to the file."""
        if self.rows:
            self.file.write(self.encoder.encode_lines(self.rows))
            self.file.flush()
            self.rows.clear()

    def close(self):
        """Flush and close the file."""
        self.flush()
        self.file.close()


def read(folder: Path) -> list[Event]:
    """Return the rows of all processes of the run in ``folder``, without incomplete last lines."""
    decoder, rows = msgspec.json.Decoder(Event), []
    for path in sorted(Path(folder).glob("*.rows")):
        with open(path, "rb") as file:
            for line in file:
                if line.endswith(b"\n"):
                    rows.append(decoder.decode(line))
    return rows
