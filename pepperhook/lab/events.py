"""What stand-ins and clients saw, in rows: written as JSON lines by each process, read together by the auditor.

All times are whole nanoseconds of the machine's one monotonic clock, so rows of several processes can be ordered.
"""

from pathlib import Path

import msgspec
from msgspec import Struct


class Try(Struct, array_like=True, tag="try"):
    """One sending of an operation by a client, or by an upstream to the tier behind it."""

    tier: int
    caller: int  # which balancer it went to; -1: to none, or nobody knows
    id: str
    first: str  # the id of the first try of the same wish
    number: int  # 0 for a first try
    grade: int
    customer: int
    intended: int  # when it was to be sent
    sent: int
    ended: int  # 0: never, to the end of the day
    kind: str  # "answer", "lost", "gone", "unconnected", "open"
    status: int
    body: str  # who answered: nonce of the work, or ""
    limit: int  # nanoseconds that it was to take at most
    note: str = ""


class Work(Struct, array_like=True, tag="work"):
    """One dispatch, as the upstream saw it."""

    tier: int
    upstream: int
    caller: int
    id: str
    grade: int
    first_byte: int
    came: int  # its last byte
    ended: int  # the answer's last byte, or the end of the connection
    outcome: str  # "served", "error", "turned away", "reset", "hung", "given up", "spoilt", "bad"
    began: int  # 0: its work never began
    worked: int  # nanoseconds of work put in
    nonce: str
    gone_at: int = 0  # when its client gave up
    work_ended: int = 0  # when its work ended, which may be after that
    tries: int = -1  # that its chain header gave it; -1: there was none


class Told(Struct, array_like=True, tag="told"):
    """The list as it was written to one balancer."""

    tier: int
    caller: int
    at: int
    upstream: int
    state: str


class Asked(Struct, array_like=True, tag="asked"):
    """One call of a balancer for its list."""

    tier: int
    caller: int
    at: int
    watch: bool
    answered: bool
    reached_at: int = 0  # when the service had it to answer; 0: it could not be reached
    status: int = 0


class Held(Struct, array_like=True, tag="held"):
    """One call of a balancer that the service held as a watch, without a change to tell."""

    tier: int
    caller: int
    came: int
    ended: int


class Probe(Struct, array_like=True, tag="probe"):
    """One probe, as the upstream saw it."""

    tier: int
    upstream: int
    caller: int
    at: int


class Connected(Struct, array_like=True, tag="connected"):
    """One new connection of a balancer, as the upstream saw it."""

    tier: int
    upstream: int
    caller: int
    at: int


class Happened(Struct, array_like=True, tag="happened"):
    at: int
    what: str
    tier: int
    who: int
    on: bool = True
    text: str = ""


class Extra(Struct, array_like=True, tag="extra"):
    """Bytes that came with no message open, or behind an answer."""

    tier: int
    at: int
    id: str
    size: int


class Sample(Struct, array_like=True, tag="sample"):
    """What one balancer's log told of itself."""

    tier: int
    balancer: int
    at: int
    b: float
    f: float
    waiting: int
    out: list[int]


class Stall(Struct, array_like=True, tag="stall"):
    """A stand-in's event loop ran late: what it wrote down meanwhile has later times than it should."""

    process: str
    at: int  # when it ran on
    late: int  # nanoseconds


Event = Try | Work | Told | Asked | Held | Probe | Connected | Happened | Extra | Sample | Stall


class Book:
    """Writes rows of one process; a part that a killed process left unfinished is dropped by the reader."""

    def __init__(self, path):
        self.file, self.encoder, self.rows = open(path, "ab"), msgspec.json.Encoder(), []

    def add(self, row):
        self.rows.append(row)
        if len(self.rows) >= 2000:
            self.flush()

    def flush(self):
        if self.rows:
            self.file.write(self.encoder.encode_lines(self.rows))
            self.file.flush()
            self.rows.clear()

    def close(self):
        self.flush()
        self.file.close()


def read(folder: Path) -> list[Event]:
    """All rows of a day's folder."""
    decoder, rows = msgspec.json.Decoder(Event), []
    for path in sorted(Path(folder).glob("*.rows")):
        with open(path, "rb") as file:
            for line in file:
                if line.endswith(b"\n"):
                    rows.append(decoder.decode(line))
    return rows
