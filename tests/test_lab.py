"""Parts of the lab that need no sockets, and the auditor's ability to find faults."""

import random
import subprocess
import sys

import msgspec
import pytest

from pepperhook import tomlfile
from pepperhook.domain import UpstreamState
from pepperhook.lab import (
    audit,
    baselines,
    events,
    experiment,
    http1,
    load_generator,
    machine,
    matrix,
)
from pepperhook.lab.experiment import Experiment, Plan
from pepperhook.lab.instances import Timeline
from pepperhook.lab.machine import MS, Job, Machine, S, Spec
from tests.policy.simulation import PolicySimulation

EXPERIMENT = """version = 1
name = "t"
seconds = 4
[[grades]]
name = "look"
time_limit_ms = 500
[[grades]]
name = "sale"
effect = "at_most_once"
time_limit_ms = 500
[[grades]]
name = "hold"
effect = "deduplicated"
key_ttl_ms = 200
group = "cell"
[[customers]]
name = "ann"
[[tiers]]
upstreams = 4
[[tiers]]
upstreams = 2
[[load]]
rate = 100
"""


def make_experiment(more=""):
    """Return the checked experiment, with ``more`` at the end of its file."""
    parsed = tomlfile.decode(EXPERIMENT + more, Experiment)
    experiment.check(parsed, text=EXPERIMENT + more)
    return parsed


# The model of an upstream's machine.


def run_machine(model, end, step=MS):
    """Advance a machine by its own wake-ups; return {job: time at which it was done}, in ns."""
    done, now = {}, model.advanced_to
    while now < end:
        at = model.next_due_at(now)
        now = end if at is None else min(end, max(now + 1, at))
        for job in model.due(now):
            done[job] = now
            model.finish_job(now, job)
    return done


def test_jobs_share_cores_evenly_and_none_gets_more_than_one():
    model, jobs = Machine(Spec(cores=2, connect_work_ms=0), 0), [Job(10 * MS, n) for n in range(4)]
    for job in jobs:
        assert model.arrive(0, job) == machine.STARTED
    done = run_machine(model, S)
    assert [round(done[job] / MS) for job in jobs] == [20] * 4
    alone = Job(10 * MS, 9)
    model.arrive(S, alone)
    assert round((run_machine(model, 2 * S)[alone] - S) / MS) == 10


@pytest.mark.parametrize("seed", range(6))
def test_all_accepted_work_is_done_and_limits_of_slots_and_queue_hold(seed):
    rng = random.Random(seed)
    spec = Spec(
        cores=rng.choice([1, 2, 3.5]),
        slots=rng.randrange(1, 9),
        queue=rng.randrange(0, 9),
        cancel_stops=rng.random() < 0.5,
        crowd_at=rng.choice([0, 4]),
    )
    model, now, accepted, finished, rejected = Machine(spec, 0), 0, [], set(), 0
    for _ in range(400):
        now += rng.randrange(0, 6 * MS)
        for job in model.due(now):
            assert job.state == "done" and job not in finished
            finished.add(job)
            model.finish_job(now, job)
        if rng.random() < 0.6:
            job = Job(rng.randrange(MS, 20 * MS), None)
            admission = model.arrive(now, job)
            rejected += admission == machine.REJECTED
            if admission != machine.REJECTED:
                accepted.append(job)
        elif accepted and rng.random() < 0.3:
            job = rng.choice(accepted)
            if (
                job not in finished
                and job.state in ("working", "waiting")
                and model.abandon(now, job)
            ):
                finished.add(job)
        assert model.slots_in_use <= spec.slots and len(model.waiting) <= spec.queue
        assert (
            model.active_jobs
            == sum(job.state == "working" for job in accepted)
            <= model.slots_in_use
        )
        # The cores can't have done more work than the elapsed time allows.
        assert model.done_work <= spec.cores * spec.speed * now + 1000
    finished |= set(run_machine(model, now + 100 * S))
    assert finished == set(accepted) and not model.slots_in_use and not model.waiting


def test_cold_machine_warms_up_and_fails_when_overloaded():
    spec = Spec(cores=1, start_capacity=0.2, warm_s=2, fall_multiple=2, fall_s=1)
    model = Machine(spec, 0, cold=True)
    assert (
        model.warmth(0) == pytest.approx(0.2)
        and model.warmth(S) == pytest.approx(0.6)
        and model.warmth(2 * S) == 1
    )
    # With little work, a cold machine stays up.
    model = Machine(spec, 0, cold=True)
    for at in range(20):
        model.arrive(at * 10 * MS, Job(5 * MS, at))
    assert not model.has_crashed
    # More than fall_multiple of its present capacity makes it fail.
    for at in range(60):
        model.arrive(S // 5 + at * MS, Job(20 * MS, at))
    assert model.has_crashed
    # A warm machine stays up.
    warm = Machine(spec, 0)
    for at in range(200):
        warm.arrive(at, Job(20 * MS, at))
    assert not warm.has_crashed


def test_crowded_machine_stays_slow_until_it_has_been_idle():
    model = Machine(Spec(cores=1, crowd_at=3, crowd_speed=0.5, crowd_rest_s=1), 0)
    for n in range(3):
        model.arrive(0, Job(10 * MS, n))
    assert max(run_machine(model, S // 10).values()) == pytest.approx(60 * MS, rel=0.01)
    late, soon = Job(10 * MS, 5), Job(10 * MS, 4)
    model.arrive(S // 2, soon)
    assert run_machine(model, S)[soon] - S // 2 == pytest.approx(20 * MS, rel=0.01)
    model.arrive(3 * S, late)
    assert run_machine(model, 4 * S)[late] - 3 * S == pytest.approx(10 * MS, rel=0.01)


def test_paused_machine_resumes_its_work():
    model, job = Machine(Spec(cores=1), 0), Job(10 * MS, 0)
    model.arrive(0, job)
    model.set_fault_factor(5 * MS, 0.0)
    assert not run_machine(model, S)
    model.set_fault_factor(S, 1.0)
    assert run_machine(model, 2 * S)[job] == pytest.approx(S + 5 * MS, abs=MS)


# Experiments.

ERRORS = [
    ("secconds = 4", "line 1: secconds: is not known; 'seconds' is the nearest that is"),
    ("version = 2", "line 1: version: invalid enum value 2"),
    ("a = 1\nb = \n", "line 2"),
    (
        EXPERIMENT + "[[troubles]]\nwhat = 'crash'\nat = 9\n",
        "line 26: troubles[0].at: the run lasts 4 seconds",
    ),
    (
        EXPERIMENT + "[[troubles]]\nwhat = 'crush'\nat = 1\n",
        "line 25: troubles[0].what: invalid enum value 'crush'",
    ),
    (
        EXPERIMENT + "[[troubles]]\nwhat = 'slow'\nat = 1\nwho = [7]\n",
        "line 27: troubles[0].who: there are 4 targets",
    ),
    (
        EXPERIMENT + "[[troubles]]\nwhat = 'net_cut'\nat = 1\n",
        "troubles[0].what: needs `network = true`",
    ),
    (
        EXPERIMENT + "[[load]]\nrate = 1\ncustomer = 'bo'\n",
        "line 26: load[1].customer: no customer has the name 'bo'",
    ),
    (EXPERIMENT + "[[load]]\nrate = -1\n", "line 25: load[1].rate: expected `float` >= 0"),
    (
        EXPERIMENT + "[[variants]]\nname = 'x'\nmodule = 'nobody'\n",
        "line 26: variants[0].module: no policy has",
    ),
    (EXPERIMENT + "[[tiers]]\nbalancers = 3\n", "line 25: tiers[2].balancers: only the first tier"),
    (
        EXPERIMENT + "[clients]\nretires = 1\n",
        "line 25: clients.retires: is not known; 'retries' is",
    ),
]


@pytest.mark.parametrize("text, message", ERRORS)
def test_errors_in_an_experiment_name_line_and_key(tmp_path, text, message):
    path = tmp_path / "day.toml"
    path.write_text(text)
    with pytest.raises(tomlfile.TomlFileError) as problem:
        experiment.read(path)
    assert (
        message in str(problem.value)
        and str(path) in str(problem.value)
        and "\n" not in str(problem.value)
    )


def test_plan_survives_its_file_and_has_distinct_loopback_addresses(tmp_path):
    plan = Plan(make_experiment(), 5, 33)
    plan.write(tmp_path / "plan.json")
    restored = Plan.read(tmp_path / "plan.json")
    assert msgspec.to_builtins(restored.scenario) == msgspec.to_builtins(plan.scenario) and (
        restored.seed,
        restored.block,
    ) == (5, 33)
    addresses = [
        plan.connect_address(tier, n, c)
        for tier, count, callers in ((0, 4, 1), (1, 2, 4))
        for n in range(count)
        for c in range(callers)
    ]
    addresses += [plan.balancer(1, n) for n in range(4)] + [
        plan.discovery(t, c) for t in range(2) for c in range(4)
    ]
    assert len(set(addresses)) == len(addresses) and all(
        host.startswith("127.") for host, _ in addresses
    )


def test_arrivals_depend_on_the_seed_and_have_the_requested_rate():
    experiment_with_ramp = make_experiment(
        '[[load]]\nrate = 0\nto = 400\n[[load]]\nrate = 50\nat = 2\nfor = 1\nburst = 5\ncustomer = "ann"\n'
    )
    times, service_classes, tenants, _ = load_generator.arrivals(experiment_with_ramp, 3)
    assert all(
        (part == other).all()
        for part, other in zip(
            (times, service_classes, tenants), load_generator.arrivals(experiment_with_ramp, 3)[:3]
        )
    )
    assert (
        len(times) != len(load_generator.arrivals(experiment_with_ramp, 4)[0])
        and (times[1:] >= times[:-1]).all()
    )
    # 400 steady, 800 on the ramp and 50 in bursts, within five standard deviations of a Poisson
    # count with bursts.
    assert abs(len(times) - 1250) < 5 * 45
    in_first_half = (times < 2 * S).sum()
    assert (
        in_first_half < 0.45 * len(times)
        and set(service_classes) == {0, 1, 2}
        and set(tenants) == {0}
    )


def test_endpoint_list_changes_with_the_injected_faults():
    experiment_with_faults = make_experiment("""[[troubles]]
what = "crash"
at = 1
for = 2
[[troubles]]
what = "drain"
at = 0.5
for = 1
who = [2]
[[troubles]]
what = "replaced"
at = 2
for = 0.5
who = [3]
""")
    rows = [
        (row.at, row.number, row.state, row.started_at)
        for row in Timeline.of(experiment_with_faults, 0).listings
    ]
    assert rows == [
        (0.5, 2, "draining", None),
        (1.5, 2, "ready", None),
        (2.0, 0, "gone", None),
        (3.0, 3, "gone", None),
        (3.5, 3, "ready", 2.5),
        (4.0, 0, "ready", 3.0),
    ]


@pytest.mark.parametrize("seed", range(4))
def test_messages_are_parsed_alike_however_the_bytes_are_split(seed):
    rng = random.Random(seed)
    sent = [
        http1.encode_request(b"POST", b"/x", [(b"X-Request-ID", b"%d" % n)], b"y" * n)
        for n in range(0, 90, 7)
    ]
    stream, messages, received = b"".join(sent), http1.MessageParser(), []
    while stream:
        cut = rng.randrange(1, 60)
        messages.feed(stream[:cut])
        stream = stream[cut:]
        while (message := messages.next()) is not None:
            received.append((message[0].headers[b"x-request-id"], len(message[1])))
    assert (
        received == [(b"%d" % n, n) for n in range(0, 90, 7)] and not messages.has_partial_message
    )
    for malformed in (
        b"nothing\r\n\r\n",
        b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
    ):
        messages = http1.MessageParser()
        messages.feed(malformed)
        with pytest.raises(http1.MalformedMessageError):
            messages.next()


# The auditor: a correct run has no finding, and each fault has its own.


def make_attempt_row(
    at=100,
    service_class=0,
    kind="answer",
    status=200,
    duration=20,
    identity="a",
    body=None,
    first_id=None,
    number=0,
    tier=0,
    caller=-1,
):
    """Return the event row of a client attempt; times in ms."""
    body = f"0.0.{identity}.1" if body is None else body
    return events.Attempt(
        tier,
        caller,
        identity,
        first_id or identity,
        number,
        service_class,
        0,
        at * MS,
        at * MS,
        (at + duration) * MS,
        kind,
        status,
        body if status == 200 else "",
        500 * MS,
    )


def make_work_row(
    at=101,
    duration=10,
    service_class=0,
    outcome="served",
    identity="a",
    upstream=0,
    caller_left_at=0,
    execution=1,
):
    """Return the event row of an attempt at an upstream; times in ms.

    ``caller_left_at``: 0 if it did not leave; ``execution``: number of the execution.
    """
    nonce = f"0.0.{identity}.{execution}" if outcome == "served" else ""
    return events.UpstreamWork(
        0,
        upstream,
        0,
        identity,
        service_class,
        at * MS,
        at * MS,
        (at + duration) * MS,
        outcome,
        at * MS,
        MS,
        nonce,
        caller_left_at * MS,
        (at + duration) * MS,
    )


def make_list_entry_row(at, state, upstream=0):
    """Return the event row of a list entry sent to a balancer; ``at`` in ms."""
    return events.EndpointListEntry(0, 0, at * MS, upstream, state)


CASES = {
    "honest": (None, [make_attempt_row(), make_work_row()]),
    "honest-repeat": (
        None,
        [
            make_attempt_row(duration=60),
            make_work_row(outcome="error"),
            make_work_row(at=120, upstream=1),
        ],
    ),
    "honest-shed-after-full": (
        None,
        [
            make_attempt_row(service_class=1, status=503),
            make_work_row(service_class=1, outcome="turned away"),
        ],
    ),
    "honest-sale-after-full": (
        None,
        [
            make_attempt_row(service_class=1),
            make_work_row(service_class=1, outcome="turned away"),
            make_work_row(at=115, service_class=1),
        ],
    ),
    "honest-drain": (
        None,
        [
            make_attempt_row(duration=500),
            make_list_entry_row(0, "ready"),
            make_list_entry_row(100, "draining"),
            make_work_row(at=300),
        ],
    ),
    "honest-cell": (
        None,
        [
            make_attempt_row(service_class=2),
            make_work_row(service_class=2, outcome="error"),
            make_work_row(at=120, service_class=2, upstream=3),
        ],
    ),
    "killed": (
        None,
        [
            make_attempt_row(kind="lost", status=0),
            make_work_row(),
            events.StateChange(150 * MS, "balancer killed", 0, 0),
        ],
    ),
    # The balancer of the client was killed: its lost request is excused.
    "its own": (
        None,
        [
            make_attempt_row(kind="lost", status=0, caller=1),
            make_work_row(),
            events.StateChange(150 * MS, "balancer killed", 0, 1),
        ],
    ),
    # The upstream that called through a balancer of the second tier crashed: also excused.
    "its upstream's": (
        None,
        [
            make_attempt_row(kind="lost", status=0, tier=1, caller=2),
            events.StateChange(150 * MS, "crash", 0, 2),
        ],
    ),
    # Another balancer was killed: not excused.
    "another's": (
        "lost",
        [
            make_attempt_row(kind="lost", status=0, caller=1),
            make_work_row(),
            events.StateChange(150 * MS, "balancer killed", 0, 0),
        ],
    ),
    # A balancer that drains must not lose requests.
    "told to leave": (
        "lost",
        [
            make_attempt_row(kind="lost", status=0, caller=1),
            make_work_row(),
            events.StateChange(150 * MS, "balancer told to leave", 0, 1),
        ],
    ),
    "killed-and-sent-again": (
        None,
        [
            make_attempt_row(service_class=1, duration=90),
            events.StateChange(110 * MS, "balancer killed", 0, 0),
            make_work_row(service_class=1, outcome="given up", caller_left_at=110),
            make_work_row(at=130, service_class=1, upstream=1),
        ],
    ),
    "given up": (
        "ran twice",
        [
            make_attempt_row(service_class=1, duration=90),
            make_work_row(service_class=1, outcome="given up", caller_left_at=110),
            make_work_row(at=130, service_class=1, upstream=1),
        ],
    ),
    "lost": ("lost", [make_attempt_row(kind="lost", status=0), make_work_row()]),
    # The client got no response within its time limit.
    "never": ("lost", [make_attempt_row(kind="open", status=0), make_work_row()]),
    "late": ("late", [make_attempt_row(duration=600), make_work_row(duration=590)]),
    "invented": ("invented", [make_attempt_row(body="0.0.b.1"), make_work_row()]),
    # A 200 without any attempt at an upstream.
    "nobody's": ("invented", [make_attempt_row()]),
    "twice": (
        "answered twice",
        [make_attempt_row(), make_work_row(), events.UnexpectedBytes(0, 130 * MS, "a", 40)],
    ),
    "ran twice": (
        "ran twice",
        [
            make_attempt_row(service_class=1),
            make_work_row(service_class=1, outcome="reset"),
            make_work_row(at=140, service_class=1, upstream=1),
        ],
    ),
    "overlap": (
        "overlap",
        [
            make_attempt_row(),
            make_work_row(duration=30),
            make_work_row(at=120, upstream=1, execution=2),
        ],
    ),
    "window": (
        "repeated outside its window",
        [
            make_attempt_row(service_class=2, duration=450),
            make_work_row(service_class=2, outcome="error"),
            make_work_row(at=420, service_class=2),
        ],
    ),
    "cell": (
        "repeated outside its group",
        [
            make_attempt_row(service_class=2),
            make_work_row(service_class=2, outcome="error"),
            make_work_row(at=120, service_class=2, upstream=1),
        ],
    ),
    "shed": (
        "shed what may have run",
        [
            make_attempt_row(service_class=1, status=503),
            make_work_row(service_class=1, outcome="error"),
        ],
    ),
    "drain": (
        "sent after drain",
        [
            make_attempt_row(at=700),
            make_list_entry_row(0, "ready"),
            make_list_entry_row(100, "draining"),
            make_work_row(at=701),
        ],
    ),
    "cold": ("pushed over cold", [events.StateChange(5 * MS, "fell over", 0, 2)]),
    "bytes": ("bad message to an upstream", [events.StateChange(5 * MS, "bad message", 0, 2)]),
}


@pytest.mark.parametrize("name", CASES)
def test_auditor_names_each_fault_and_no_other(name):
    expected, rows = CASES[name]
    findings = [
        finding.name for finding in audit.Auditor(make_experiment(), rows, 0).audit().findings
    ]
    assert findings == ([expected] if expected else [])


def test_figures_count_requests_and_not_retries():
    rows = [
        make_attempt_row(identity="a", status=500),
        make_attempt_row(at=200, identity="ar1", first_id="a", number=1, body="0.0.ar1.1"),
        make_work_row(outcome="error"),
        make_work_row(at=201, identity="ar1"),
        make_attempt_row(identity="b", status=503),
        make_attempt_row(identity="c", kind="gone", status=0),
        make_work_row(identity="c", outcome="given up", duration=400, caller_left_at=130),
    ]
    figures = audit.Auditor(make_experiment(), rows, 0).audit().figures
    assert (figures["wishes"], figures["tries"], figures["goodput"]) == (3, 4, round(1 / 3, 4))
    assert (figures["shed"], figures["failed"], figures["gone"]) == (0.25, 0.25, 0.25)
    # Three attempts reached the first tier's upstreams, for three requests.
    assert figures["amplification"] == {"0": 1.0, "1": 0.0} and figures["after_client_left"] == 1
    assert figures["wasted_work_s"] == 0.002 and figures["worst_customer"] == (
        "ann",
        round(1 / 3, 4),
    )


def test_complete_rows_are_readable_after_a_writer_was_killed(tmp_path):
    event_log = events.EventLog(tmp_path / "x.rows")
    rows = [
        make_attempt_row(),
        make_work_row(),
        make_list_entry_row(1, "ready"),
        events.StateChange(1, "crash", 0, 1),
        events.BalancerSample(0, 0, 1, 0.2, 0.0, 0, [1]),
    ]
    for row in rows:
        event_log.add(row)
    event_log.close()
    with open(tmp_path / "x.rows", "ab") as file:
        file.write(b'["try",0,-1,"half')
    assert events.read(tmp_path) == rows


def make_result(seed, earned, variant="a"):
    """Return the result of a run with these values earned per second."""
    return {
        "seed": seed,
        "variant": variant,
        "void": False,
        "interrupted": False,
        "figures": {"goodput": sum(earned) / 20},
        "seconds": {"earned": earned, "possible": [1.0] * len(earned)},
    }


def test_interval_contains_the_difference_and_includes_zero_for_noise():
    rng = random.Random(2)
    noisy = [[rng.random() for _ in range(20)] for _ in range(12)]
    base = {n: make_result(n, row) for n, row in enumerate(noisy)}
    worse = {n: make_result(n, [x - 0.2 for x in row]) for n, row in enumerate(noisy)}
    unrelated = {n: make_result(n, [rng.random() for _ in range(20)]) for n in range(12)}
    difference, low, high = matrix.interval(base, worse)
    assert difference == pytest.approx(-0.2) and low <= difference <= high < -0.19
    difference, low, high = matrix.interval(base, unrelated)
    assert low < 0 < high


# The baselines keep the rules that they claim to keep, in the simulation that also tests the
# balancer's policy.


@pytest.mark.parametrize("name", baselines.MODULES)
def test_baselines_keep_their_rules_over_random_runs(name):
    simulation = PolicySimulation(6, make_policy=baselines.MODULES[name], max_attempts=9)
    simulation.run(1500)
    counts = [
        list(simulation.responses.values()).count(kind) for kind in ("fulfilled", "broken off")
    ]
    assert min(counts) > 0 and all(
        upstream.state == UpstreamState.READY for upstream in simulation.balancer.upstreams
    )
    retried = sum(len(request.attempts) > 1 for request in simulation.requests)
    # All baselines but these four retry.
    assert (retried > 0) == (name not in ("random", "round-robin", "least-out", "two-choices"))


# Injected defects.


def test_every_injected_defect_finds_the_code_that_it_replaces():
    # Guards against renames of a class or method that would leave a defect without effect; only the
    # defect's scenario would show that.
    code = (
        "from pepperhook.lab import defects\n"
        "for inject in defects.DEFECTS.values():\n"
        "    inject()\n"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr.splitlines()[-1:]
