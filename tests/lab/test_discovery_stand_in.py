"""The discovery stand-in: its queue in virtual time, and faults that the test begins and ends."""

import asyncio
from math import inf
from types import SimpleNamespace

import pytest

from pepperhook import tomlfile
from pepperhook.lab import events, experiment
from pepperhook.lab.call_queue import Admission, CallQueue
from pepperhook.lab.discovery import Discovery
from pepperhook.lab.experiment import Experiment, Fault, Plan
from tests.test_lab import EXPERIMENT

POLL_WHOLE_LIST = "GET /catalog/members HTTP/1.1\r\nHost: list\r\n\r\n"
WATCH = "GET /catalog/members?since=1&timeout_ms=60000 HTTP/1.1\r\nHost: list\r\n\r\n"
WHOLE_LIST_ROWS = 4  # length of the first tier's whole list


# The queue.


def make_queue(**overrides):
    values = {"call_cost_s": 0.25, "line_cost_s": 0.0, "max_backlog_s": inf, "timeout_s": 2.0}
    return CallQueue(**{**values, **overrides})


def test_polls_are_processed_one_by_one_and_idle_time_is_not_accumulated():
    polls = make_queue()
    assert [polls.admit(0.0, 0) for _ in range(2)] == [Admission(0.25, True), Admission(0.5, True)]
    assert polls.admit(9.0, 0) == Admission(9.25, True)


def test_answer_costs_a_fixed_part_and_a_part_for_each_line():
    polls = make_queue(line_cost_s=0.125)
    assert polls.admit(0.0, 2) == Admission(0.5, True)
    assert polls.admit(0.0, 0) == Admission(0.75, True)


def test_poll_beyond_the_backlog_limit_is_refused_at_once_and_costs_nothing():
    polls = make_queue(max_backlog_s=0.5)
    assert [polls.admit(0.0, 0) is not None for _ in range(4)] == [True, True, True, False]
    assert polls.idle_at == 0.75
    assert polls.admit(0.5, 0) == Admission(1.0, True)


def test_poll_that_times_out_is_still_processed():
    polls = make_queue(timeout_s=0.5)
    admissions = [polls.admit(0.0, 0) for _ in range(4)]
    assert admissions[1:] == [Admission(0.5, True), Admission(0.5, False), Admission(0.5, False)]
    assert polls.idle_at == 1.0


def test_slow_call_fault_replaces_the_cost_of_a_call():
    assert make_queue(line_cost_s=0.125).admit(0.0, 1, slow_call_s=0.5) == Admission(0.625, True)


@pytest.mark.parametrize(("pause_s", "all_answered"), [(0.2, False), (24.0, True)])
def test_callers_are_all_answered_only_if_they_wait_long_enough_between_polls(
    pause_s, all_answered
):
    queue = make_queue(max_backlog_s=4.0)
    # (time of the next poll, caller) of 60 callers; an answered caller polls no more.
    due = [(0.001 * caller, caller) for caller in range(60)]
    answered_after = []
    while due:
        due.sort()
        now, caller = due.pop(0)
        if now > 120.0:
            break
        admission = queue.admit(now, 0)
        if admission is not None and admission.is_in_time:
            answered_after.append(admission.answer_at)
        else:
            due.append(((admission.answer_at if admission else now) + pause_s, caller))
    # With a short pause only the first callers find a queue that is short enough.
    assert (len(answered_after) == 60) is all_answered
    assert all_answered or max(answered_after) <= 4.0


def test_queue_is_built_from_the_settings_and_there_is_none_without_a_capacity():
    assert CallQueue.of(experiment.Discovery()) is None
    settings = experiment.Discovery(calls_per_s=8.0, lines_per_s=80.0, max_waiting=4)
    assert CallQueue.of(settings) == CallQueue(1 / 8, 1 / 80, 4 / 8, 2.0)
    assert CallQueue.of(experiment.Discovery(calls_per_s=8.0)).max_backlog_s == inf


# The stand-in.


class Writer:
    """A stream writer of the service that records what is written."""

    def __init__(self):
        self.written = b""

    def write(self, data):
        self.written += data

    def close(self):
        pass


class Caller:
    """A balancer's connection to the service, without a socket."""

    def __init__(self, service, number=0):
        self.reader, self.writer = asyncio.StreamReader(), Writer()
        self.task = asyncio.ensure_future(service.serve(self.reader, self.writer, 0, number, 0))

    def poll(self, request):
        self.reader.feed_data(request.encode())

    async def answer(self):
        while not self.writer.written:
            await asyncio.sleep(0)
        return self.status()

    def status(self):
        return int(self.writer.written.split()[1])

    async def leave(self):
        self.reader.feed_eof()
        await self.task


class StandIn:
    """A service whose faults the test begins and ends, with its recorded event rows."""

    def __init__(self, folder, settings=""):
        self.folder = folder
        scenario = tomlfile.decode(EXPERIMENT + "[discovery]\n" + settings, Experiment)
        experiment.check(scenario)
        self.event_log = events.EventLog(folder / "x.rows")
        self.service = Discovery(Plan(scenario, 1, 30), self.event_log)
        self.service.schedule(0)
        self.endpoint_list = self.service.endpoint_lists[0]

    async def wait_for_watches(self, count):
        while len(self.service.open_watches) < count:
            await asyncio.sleep(0)

    def drain_upstream(self):
        self.endpoint_list.change(0, "t0-00", "draining", None)

    async def begin_fault(self, fault_type, size=0.0):
        """Begin a fault; return its task and the event that ends it."""
        begins, ends = asyncio.Event(), asyncio.Event()
        # Discovery.run_fault waits twice: for the begin and for the end.
        gates = iter([begins, ends])
        self.service.sleep_until = lambda *_: next(gates).wait()
        task = asyncio.ensure_future(
            self.service.run_fault(0, Fault(type=fault_type, start_s=0, size=size))
        )
        begins.set()
        await asyncio.sleep(0)
        return task, ends

    def rows(self, kind):
        self.event_log.flush()
        return [row for row in events.read(self.folder) if isinstance(row, kind)]


async def run_ready_tasks():
    """Run all tasks that are not waiting for an event."""
    for _ in range(20):
        await asyncio.sleep(0)


async def test_polls_without_a_capacity_are_answered_or_rejected_without_retry_after(tmp_path):
    stand_in = StandIn(tmp_path, "waiting = 1\n")
    callers = [Caller(stand_in.service, number) for number in range(3)]
    for caller in callers:
        caller.poll(POLL_WHOLE_LIST)
    assert sorted([await caller.answer() for caller in callers]) == [200, 503, 503]
    assert b"Retry-After" not in b"".join(caller.writer.written for caller in callers)


async def test_poll_beyond_the_backlog_limit_is_answered_503_at_once(tmp_path):
    stand_in = StandIn(tmp_path, "calls_per_s = 20\nlines_per_s = 1000000\nwaiting = 1\n")
    callers = [Caller(stand_in.service, number) for number in range(4)]
    for caller in callers:
        caller.poll(POLL_WHOLE_LIST)
    await run_ready_tasks()
    # One poll is processed and one waits; neither has been answered yet.
    assert [caller.writer.written[:12] for caller in callers[2:]] == [b"HTTP/1.1 503"] * 2
    assert [await caller.answer() for caller in callers] == [200, 200, 503, 503]
    assert [row.status for row in stand_in.rows(events.EndpointListPoll)] == [503, 503, 200, 200]


async def test_poll_that_times_out_is_answered_503_and_still_delays_the_next(
    tmp_path,
):
    stand_in = StandIn(tmp_path, "calls_per_s = 20\ntimeout_s = 0.01\n")
    caller = Caller(stand_in.service)
    caller.poll(POLL_WHOLE_LIST)
    assert await caller.answer() == 503
    row = stand_in.rows(events.EndpointListPoll)[0]
    assert not row.answered and row.at - row.reached_at >= 10 * 10**6
    assert stand_in.service.queue.idle_at > asyncio.get_running_loop().time()


@pytest.mark.parametrize(
    ("settings", "header"), [("", b""), ("retry_after_s = 3\n", b"Retry-After: 3\r\n")]
)
async def test_fault_refuses_polls_with_or_without_retry_after(tmp_path, settings, header):
    stand_in = StandIn(tmp_path, settings)
    fault_task, fault_ends = await stand_in.begin_fault("discovery_refused")
    during, after = Caller(stand_in.service), Caller(stand_in.service, 1)
    during.poll(WATCH)
    assert await during.answer() == 503 and (b"Retry-After" in during.writer.written) == bool(
        header
    )
    assert header in during.writer.written
    fault_ends.set()
    await fault_task
    after.poll(POLL_WHOLE_LIST)
    assert await after.answer() == 200
    assert b"Retry-After" not in after.writer.written


async def test_fault_that_refuses_a_fraction_refuses_the_same_polls_for_the_same_seed(tmp_path):
    stand_in = StandIn(tmp_path)
    await stand_in.begin_fault("discovery_refused", 0.3)
    first = [stand_in.service.count_and_check_refusal(0) for _ in range(400)]
    stand_in.service.poll_count = 0
    assert [stand_in.service.count_and_check_refusal(0) for _ in range(400)] == first
    assert 0.2 < sum(first) / 400 < 0.4


async def test_watch_is_answered_without_changes_at_the_longest_watch_time(tmp_path):
    stand_in = StandIn(tmp_path, "longest_watch_s = 0.01\n")
    caller = Caller(stand_in.service)
    caller.poll(WATCH)
    assert await caller.answer() == 200 and b'"hosts":[]' in caller.writer.written
    watches = stand_in.rows(events.HeldWatch)
    assert len(watches) == 1 and watches[0].ended_at > watches[0].started_at


async def test_watch_open_during_a_silence_is_never_answered_and_a_later_one_is(tmp_path):
    stand_in = StandIn(tmp_path)
    before, during, after = (Caller(stand_in.service, number) for number in range(3))
    before.poll(WATCH)
    await stand_in.wait_for_watches(1)
    fault_task, fault_ends = await stand_in.begin_fault("discovery_silence")
    during.poll(WATCH)
    await stand_in.wait_for_watches(2)
    stand_in.drain_upstream()
    await run_ready_tasks()
    assert not before.writer.written and not during.writer.written
    fault_ends.set()
    await fault_task
    before.poll(WATCH)
    await run_ready_tasks()
    assert not before.writer.written, "the connection stays silent, also for new polls"
    after.poll(WATCH)
    assert await after.answer() == 200 and b"draining" in after.writer.written
    await before.leave()
    await during.leave()
    assert [row.caller for row in stand_in.rows(events.EndpointListPoll)] == [2]


async def test_silence_does_not_affect_polls_for_the_whole_list(tmp_path):
    stand_in = StandIn(tmp_path)
    await stand_in.begin_fault("discovery_silence")
    caller = Caller(stand_in.service)
    caller.poll(POLL_WHOLE_LIST)
    assert await caller.answer() == 200


async def test_delayed_answer_has_the_list_at_the_time_of_the_answer(tmp_path):
    stand_in = StandIn(tmp_path, "calls_per_s = 20\n")
    caller = Caller(stand_in.service)
    caller.poll(POLL_WHOLE_LIST)
    await run_ready_tasks()
    stand_in.drain_upstream()
    assert await caller.answer() == 200 and b"draining" in caller.writer.written


async def test_poll_before_the_start_of_the_run_is_not_limited_by_the_capacity(tmp_path):
    scenario = tomlfile.decode(EXPERIMENT + "[discovery]\ncalls_per_s = 0.001\n", Experiment)
    service = Discovery(Plan(scenario, 1, 30), events.EventLog(tmp_path / "x.rows"))
    caller = Caller(service)
    caller.poll(POLL_WHOLE_LIST)
    assert await caller.answer() == 200
    service.schedule(0)
    assert service.queue.cost_s(WHOLE_LIST_ROWS) == 1000.0


async def test_watch_that_is_open_at_the_end_is_recorded(tmp_path):
    stand_in = StandIn(tmp_path)
    caller = Caller(stand_in.service, 1)
    caller.poll(WATCH)
    await stand_in.wait_for_watches(1)
    caller.writer.transport = SimpleNamespace(abort=lambda: None)
    await stand_in.service.close()
    assert [(row.tier, row.caller) for row in stand_in.rows(events.HeldWatch)] == [(0, 1)]
    caller.task.cancel()


# The experiment file.

INVALID_SETTINGS = [
    ("calls_per_s = 0", "discovery.calls_per_s: expected `float` > 0"),
    ("calls_per_s = 1\nlines_per_s = -1", "discovery.lines_per_s: expected `float` > 0"),
    ("lines_per_s = 5", "discovery.lines_per_s: needs calls_per_s beside it"),
    ("timeout_s = 0", "discovery.timeout_s: expected `float` > 0"),
    ("retry_after_s = 1.5", "discovery.retry_after_s: expected `int`"),
    ("retry_after_s = -1", "discovery.retry_after_s: expected `int` >= 0"),
    ("longest_watch_s = 'long'", "discovery.longest_watch_s: expected `float"),
    ("waiting = -1", "discovery.waiting: expected `int` >= 0"),
    ("call_per_s = 1", "discovery.call_per_s: is not known; 'calls_per_s' is"),
    (
        "[[troubles]]\nwhat = 'discovery_refused'\nat = 1\nsize = 2",
        "troubles[0].size: must be a fraction of the calls, at most 1",
    ),
    ("[[troubles]]\nwhat = 'discovery_silent'\nat = 1", "troubles[0].what: invalid enum value"),
]


@pytest.mark.parametrize(("text", "message"), INVALID_SETTINGS)
def test_invalid_discovery_settings_are_refused_with_a_one_line_message(tmp_path, text, message):
    path = tmp_path / "run.toml"
    path.write_text(EXPERIMENT + "[discovery]\n" + text + "\n")
    with pytest.raises(tomlfile.TomlFileError) as problem:
        experiment.read(path)
    assert message in str(problem.value) and str(path) in str(problem.value)
    assert "\n" not in str(problem.value)
