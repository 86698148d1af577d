"""Draws a random soak run from a seed: fleet, load, faults, restarts, signals, idle clients."""

import random
from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from pepperhook.lab.experiment import (
    Clients,
    Discovery,
    Experiment,
    Fault,
    Front,
    Load,
    ServiceClass,
    Tier,
    Variant,
)
from pepperhook.lab.machine import Spec

IDLE_CLOSE_S = 4.0  # short, so that idle keep-alive connections close within QUIET_S at the end
FRONT_NOTICE_S = 0.3  # clients keep connecting to a draining balancer for 0.2 to 0.4 s
MIN_FAULTS, MAX_FAULTS = 3, 8
# Faults start at least this long after the start of the run and before its end.
FIRST_FAULT_AFTER_S, LAST_FAULT_BEFORE_END_S = 1.0, 5.0
CROWD_PROBABILITY = 0.5
WORK_MS = 8.0  # CPU time per request, long enough for its client to disconnect meanwhile
# Delay of signals after a process start. Before that, the balancer may not have installed its
# signal handlers, and any signal would end the process.
SIGNAL_AFTER_START_MS = (400.0, 1200.0)
SECOND_TIER_PROBABILITY = 0.3
INVALID_FILE_PROBABILITY = 0.5
ODD_ROWS_PROBABILITY = DRAINS_PASS_CHECKS_PROBABILITY = LONG_DISCOVERY_FAILURE_PROBABILITY = 0.5
# Kinds of faults (``Fault.type``) with the range of their size, whose unit depends on the kind;
# None: the fault has no size.
FAULTS: dict[str, tuple[float, float] | None] = {
    "crash": None,
    "replaced": None,
    "drain": (0.5, 1.5),
    "released": (0.8, 1.5),
    "slow": (0.05, 0.5),
    "pause": None,
    "hang": (0.1, 1.0),
    "errors": (0.1, 1.0),
    "reset_before": (0.05, 0.3),
    "reset_after": (0.05, 0.3),
    "refused": None,
    "unconnectable": None,
    "unready": (0.2, 0.8),
    "spoilt": (0.1, 0.5),
    "discovery_outage": None,
    "discovery_slow": (0.1, 0.8),
    "discovery_refused": (0.3, 1.0),
    "discovery_silence": None,
    "net_delay": (0.01, 0.1),
    "net_mute": None,
    "net_silence": None,
}
FLEET_WIDE_PREFIXES = ("discovery_", "net_")  # faults that do not select single upstreams


class Restart(Struct, frozen=True):
    """A planned restart: SIGTERM, then SIGKILL at the earliest time that the platform may send it.

    SIGHUP and SIGUSR1 are optionally sent before SIGTERM, during the drain and after the new start.
    """

    at: float  # seconds since the start of the run
    balancer: int  # number in the first tier
    has_signals_before: bool  # SIGHUP and SIGUSR1 directly before SIGTERM
    leaving_ms: float | None  # delay of the signals after SIGTERM; None: no signals
    starting_ms: float | None  # delay of the signals after the new start; None: no signals


class SignalSeries(Struct, frozen=True):
    """Signals to one balancer, sent milliseconds apart."""

    at: float  # seconds since the start of the run
    balancer: int  # number in the first tier
    names: list[str]
    gap_ms: float
    faulty: list[int]  # SIGHUPs, numbered from 0, that come with an invalid config file


class Crowd(Struct, frozen=True):
    """Idle clients on all balancers of the first tier; some send a partial request and stall."""

    at: float  # seconds since the start of the run
    for_s: float  # seconds until the clients disconnect
    clients: int  # per balancer
    partial_share: float  # fraction that sends a partial request


class SoakRun(Struct, frozen=True):
    """One generated run: its experiment, and the events that are not faults of the experiment."""

    seed: int
    experiment: Experiment
    variant: Variant
    sockets: int  # file descriptors that a balancer may use: the setting ``limits.sockets``
    restarts: list[Restart]
    signals: list[SignalSeries]
    crowd: Crowd | None


def draw(seed: int, seconds: float, defect: str | None = None) -> SoakRun:
    """Return the run of a seed; the same arguments always give the same run.

    ``defect`` names a defect of ``pepperhook.lab.defects`` to inject into the balancers.
    """
    rng = random.Random(f"soak {seed}")
    tiers = [
        replace(tier, passes_checks_while_draining=_drains_pass_checks(seed))
        for tier in _draw_tiers(rng)
    ]
    experiment = Experiment(
        version=1,
        name=f"soak-{seed}",
        seconds=seconds,
        seed=seed,
        max_dispatches=rng.choice((2, 3, 4)),
        zones=rng.choice((1, 1, 2)),
        service_classes=_draw_service_classes(rng),
        tiers=tiers,
        load=[Load(rate=rng.uniform(40.0, 100.0), burst=rng.choice((1.0, 1.0, 3.0)))],
        clients=Clients(
            protocol=rng.choice(("http/1.1", "http/1.1", "h2")),
            retries=rng.choice((0, 1, 2)),
            leave_fraction=rng.choice((0.0, 0.2, 0.5)),
        ),
        front=Front(notice_s=FRONT_NOTICE_S),
        discovery=Discovery(adds_unknown_state=_adds_unknown_state(seed)),
        faults=_draw_faults(rng, seconds, len(tiers)) + _draw_discovery_failure(seed, seconds),
    )
    balancers = tiers[0].balancers
    has_crowd = rng.random() < CROWD_PROBABILITY
    crowd_at = rng.uniform(FIRST_FAULT_AFTER_S, max(FIRST_FAULT_AFTER_S, seconds / 2))
    crowd = Crowd(crowd_at, rng.uniform(2.0, 4.0), rng.randint(60, 300), rng.uniform(0.0, 0.5))
    return SoakRun(
        seed=seed,
        experiment=experiment,
        variant=_draw_variant(rng, defect),
        sockets=rng.choice((256, 512)),
        restarts=_draw_restarts(rng, seconds, balancers),
        signals=_draw_signals(rng, seconds, balancers),
        crowd=crowd if has_crowd else None,
    )


def _adds_unknown_state(seed: int) -> bool:
    """Return whether the endpoint list has rows in a state that balancers do not know.

    A separate generator keeps the other draws of each seed as they are.
    """
    return random.Random(f"soak {seed} odd rows").random() < ODD_ROWS_PROBABILITY


def _drains_pass_checks(seed: int) -> bool:
    """Return whether draining upstreams pass health checks; by a generator of its own, as above."""
    return random.Random(f"soak {seed} checks").random() < DRAINS_PASS_CHECKS_PROBABILITY


def _draw_discovery_failure(seed: int, seconds: float) -> list[Fault]:
    """Return a long failure of discovery, in which an upstream begins to drain, or none.

    By a generator of its own, as above.
    """
    rng = random.Random(f"soak {seed} discovery")
    if rng.random() >= LONG_DISCOVERY_FAILURE_PROBABILITY:
        return []
    duration_s = round(rng.uniform(seconds / 6, seconds / 2), 2)
    start_s = round(rng.uniform(FIRST_FAULT_AFTER_S, seconds / 5), 2)
    drained_at = round(start_s + rng.uniform(0.0, duration_s), 2)
    return [
        Fault(
            type=rng.choice(("discovery_outage", "discovery_refused")),
            start_s=start_s,
            duration_s=duration_s,
        ),
        Fault(
            type="drain",
            start_s=drained_at,
            duration_s=seconds,
            target_numbers=[rng.randrange(2)],
            size=seconds,  # it serves on
        ),
    ]


def _draw_tiers(rng: random.Random) -> list[Tier]:
    def machine() -> Spec:
        return Spec(cores=rng.choice((1.0, 2.0, 4.0)), idle_close_s=IDLE_CLOSE_S)

    first = Tier(
        upstreams=rng.randint(3, 5),
        balancers=rng.randint(1, 3),
        machine=machine(),
        has_relays=True,
    )
    second = Tier(upstreams=rng.randint(2, 3), machine=machine(), has_relays=True)
    return [first, second] if rng.random() < SECOND_TIER_PROBABILITY else [first]


def _draw_service_classes(rng: random.Random) -> list[ServiceClass]:
    limit_ms = rng.choice((600.0, 1000.0, 1500.0))
    return [
        ServiceClass(name="look", time_limit_ms=limit_ms, work_ms=WORK_MS, spread=0.5, share=4.0),
        ServiceClass(
            name="hold",
            effect="deduplicated",
            key_ttl_ms=3000.0,
            group=rng.choice(("all", "cell")),
            time_limit_ms=limit_ms,
            work_ms=WORK_MS,
            share=3.0,
        ),
        ServiceClass(
            name="sale",
            effect="at_most_once",
            time_limit_ms=limit_ms,
            work_ms=WORK_MS,
            share=3.0,
            body_bytes=rng.choice((0, 3000)),
        ),
    ]


def _draw_faults(rng: random.Random, seconds: float, tiers: int) -> list[Fault]:
    faults = []
    last_start_s = max(FIRST_FAULT_AFTER_S + 0.1, seconds - LAST_FAULT_BEFORE_END_S)
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        kind = rng.choice(sorted(FAULTS))
        sizes = FAULTS[kind]
        tier = rng.randrange(tiers)
        faults.append(
            Fault(
                type=kind,
                start_s=round(rng.uniform(FIRST_FAULT_AFTER_S, last_start_s), 2),
                duration_s=round(rng.uniform(0.6, 3.5), 2),
                tier=tier,
                target_numbers=None if kind.startswith(FLEET_WIDE_PREFIXES) else [rng.randrange(2)],
                size=0.0 if sizes is None else round(rng.uniform(*sizes), 3),
            )
        )
    return faults


def _draw_variant(rng: random.Random, defect: str | None) -> Variant:
    operator: dict[str, Any] = {"h2": {"upstreams": rng.choice(("http/1.1", "h2"))}}
    settings = {"discovery": rng.choice(("ask", "push")), "permissions": {"cancel": True}}
    return Variant(name="soak", operator=operator, settings=settings, defect=defect)


def _draw_restarts(rng: random.Random, seconds: float, balancers: int) -> list[Restart]:
    last_start_s = max(2.0, seconds - LAST_FAULT_BEFORE_END_S)
    return [
        Restart(
            at=round(rng.uniform(2.0, last_start_s), 2),
            balancer=rng.randrange(balancers),
            has_signals_before=rng.choice((True, False)),
            leaving_ms=rng.choice((None, rng.uniform(0.0, 400.0))),
            starting_ms=rng.choice((None, rng.uniform(*SIGNAL_AFTER_START_MS))),
        )
        for _ in range(rng.randint(1, 2))
    ]


def _draw_signals(rng: random.Random, seconds: float, balancers: int) -> list[SignalSeries]:
    series = []
    for _ in range(rng.randint(1, 3)):
        sighup_count = rng.randint(1, 4)
        names = ["SIGHUP"] * sighup_count + ["SIGUSR1"] * rng.randint(0, 2)
        rng.shuffle(names)
        last_sighup = sighup_count - 1  # always has a valid file, so that the final file is known
        faulty = [
            number
            for number in range(sighup_count)
            if number != last_sighup and rng.random() < INVALID_FILE_PROBABILITY
        ]
        at = round(rng.uniform(0.5, max(0.6, seconds - LAST_FAULT_BEFORE_END_S)), 2)
        series.append(
            SignalSeries(at, rng.randrange(balancers), names, rng.uniform(0.0, 8.0), faulty)
        )
    return series
