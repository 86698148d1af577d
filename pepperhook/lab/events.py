"""Event rows in which stand-ins and clients record what they observe.

Each process writes its rows as JSON lines to a file of its own; the auditor reads all files of a
run. All times are whole nanoseconds of the machine's monotonic clock, which its processes share, so
rows of several processes can be ordered. Service classes (``grade``), tenants (``customer``) and
upstreams are numbered from 0 in the order of the experiment; tier 0 is next to the clients.
"""

from pathlib import Path

import msgspec
from msgspec import Struct


class Try(Struct, array_like=True, tag="try"):
    """One attempt of a request by a client, or by an upstream that calls the next tier."""

    tier: int
    # Number of the balancer that it went to; -1: none or unknown. Each upstream calls the next tier
    # through a balancer of its own, which has the same number.
    caller: int
    id: str
    first: str  # id of the first attempt of the same request
    number: int  # 0 for the first attempt
    grade: int  # index of the service class
    customer: int  # index of the tenant; -1 on calls between tiers
    intended: int  # when it was scheduled to be sent
    sent: int
    ended: int  # 0: not until the end of the run
    # How it ended: "answer" (of any status), "lost" (the connection ended without an answer),
    # "gone" (the client gave up), "unconnected" (connect failed) or "open" (no answer in time).
    kind: str
    status: int
    body: str  # body of the answer: nonce of the work that produced it, or ""
    limit: int  # time limit in nanoseconds
    note: str = ""  # detail of how it ended


class Work(Struct, array_like=True, tag="work"):
    """One attempt, as an upstream received it."""

    tier: int
    upstream: int
    caller: int  # number of the balancer that sent it
    id: str
    grade: int  # index of the service class
    first_byte: int  # arrival of its first byte
    came: int  # arrival of its last byte
    ended: int  # last byte of the answer, or end of the connection
    # How it ended: "served", "error" (status 500), "turned away" (status 503, not processed),
    # "reset" (by the upstream or its death), "hung" (never answered), "given up" (its caller left)
    # or "spoilt" (malformed response).
    outcome: str
    began: int  # start of its work; 0: never started
    worked: int  # nanoseconds of work spent on it
    nonce: str  # unique text in the answer that identifies this work
    gone_at: int = 0  # when its caller closed the connection or cancelled it; 0: never
    work_ended: int = 0  # end of its work, which may be later than gone_at; 0: never started
    tries: int = -1  # remaining retries according to its request context header; -1: no header


class Told(Struct, array_like=True, tag="told"):
    """State of one upstream in the endpoint list, as written to one balancer."""

    tier: int
    caller: int  # number of the balancer
    at: int
    upstream: int
    state: str  # such as "ready" or "draining"


class Asked(Struct, array_like=True, tag="asked"):
    """One poll or watch of the endpoint list by a balancer."""

    tier: int
    caller: int  # number of the balancer
    at: int  # when the service answered or refused it
    watch: bool
    answered: bool  # with a list
    reached_at: int = 0  # when the service began to process it; 0: the service was unreachable
    status: int = 0  # of the HTTP response; 0: none recorded


class Held(Struct, array_like=True, tag="held"):
    """The span in which the service held a balancer's watch open because nothing had changed."""

    tier: int
    caller: int  # number of the balancer
    came: int  # start of the span
    ended: int


class Probe(Struct, array_like=True, tag="probe"):
    """One health check, as the upstream received it."""

    tier: int
    upstream: int
    caller: int  # number of the balancer
    at: int


class Connected(Struct, array_like=True, tag="connected"):
    """One new connection from a balancer, as the upstream accepted it."""

    tier: int
    upstream: int
    caller: int  # number of the balancer
    at: int


class Happened(Struct, array_like=True, tag="happened"):
    """A fault, or a change of state of a balancer, an upstream or the endpoint list."""

    at: int
    what: str  # name of the event
    tier: int  # -1: none
    who: int  # number of the balancer or upstream; -1: none
    on: bool = True  # False: the fault ended
    text: str = ""  # details


class Extra(Struct, array_like=True, tag="extra"):
    """Unexpected bytes from a balancer: no request was pending, or its answer was complete."""

    tier: int
    at: int
    id: str  # request last answered on the connection; "": none
    size: int  # bytes


class Sample(Struct, array_like=True, tag="sample"):
    """Figures that a balancer logged about itself, for reports only."""

    tier: int
    balancer: int
    at: int
    b: float  # B of the retry budget
    f: float  # f of the retry budget
    waiting: int  # requests in the admission queue
    out: list[int]  # attempts in flight, by upstream


class Stall(Struct, array_like=True, tag="stall"):
    """A stall of a stand-in's event loop. Arrivals during it are time-stamped too late."""

    process: str
    at: int  # end of the stall
    late: int  # nanoseconds by which the event loop was late


Event = Try | Work | Told | Asked | Held | Probe | Connected | Happened | Extra | Sample | Stall


BUFFERED_ROWS = 2000  # a book writes them out when it has so many


class Book:
    """Writes the rows of one process.

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
    """Return the rows of all processes in the folder of a run, without incomplete last lines."""
    decoder, rows = msgspec.json.Decoder(Event), []
    for path in sorted(Path(folder).glob("*.rows")):
        with open(path, "rb") as file:
            for line in file:
                if line.endswith(b"\n"):
                    rows.append(decoder.decode(line))
    return rows
