"""The lab's service of endpoint lists."""

import asyncio
from collections import Counter
from types import SimpleNamespace

from pepperhook.lab import discovery, events
from pepperhook.lab.experiment import Plan
from tests.lab.experiments import EXPERIMENT, read_experiment


class RecordingWriter:
    """A stream writer that records what is written."""

    def __init__(self):
        self.written = b""

    def write(self, data):
        self.written += data

    @property
    def status(self):
        """The status of the response."""
        return self.written.split()[1]


async def test_polls_beyond_the_waiting_limit_are_rejected_and_recorded(tmp_path):
    limited = read_experiment(EXPERIMENT + "[discovery]\nanswer_ms = 60\nwaiting = 2\n")
    event_log = events.EventLog(tmp_path / "x.rows")
    service = discovery.Discovery(Plan(limited, 1, 30), event_log)
    head = SimpleNamespace(start=[b"GET", b"/catalog/members", b"HTTP/1.1"])
    writers = [RecordingWriter() for _ in range(6)]

    await asyncio.gather(
        *(service.answer_poll(head, writer, 0, caller, 0) for caller, writer in enumerate(writers))
    )

    assert [writer.status for writer in writers] == [b"200"] * 2 + [b"503"] * 4
    assert not service.waiting_polls
    event_log.close()
    polls = [row for row in events.read(tmp_path) if isinstance(row, events.EndpointListPoll)]
    assert Counter(row.answered for row in polls) == {True: 2, False: 4}
