"""Draws a soak run from its seed: the fleet, its load, and what happens to it."""

import random
from typing import Any

from msgspec import Struct

from pepperhook.lab.experiment import (
    Clients,
    Discovery,
    Experiment,
    Front,
    Grade,
    Load,
    Tier,
    Trouble,
    Variant,
)
from pepperhook.lab.machine import Spec

IDLE_CLOSE_S = 4.0  # short, so that kept connections are gone in the quiet time at the end
FRONT_NOTICE_S = 0.3  # clients go on connecting for 0.2 to 0.4 s to a balancer that leaves
MIN_FAULTS, MAX_FAULTS = 3, 8
FIRST_FAULT_S, LAST_FAULT_S = 1.0, 5.0  # after the start, and before the end
CROWD_CHANCE = 0.5
WORK_MS = 8.0  # of a core for a request, in which its client may leave
# An interpreter that has not begun to run the program is ended by any signal.
STARTING_MS = (400.0, 1200.0)
SECOND_TIER_CHANCE = 0.3
FAULTY_FILE_CHANCE = 0.5
ODD_ROWS_CHANCE = 0.5
# Faults with the sizes that they are drawn from; None: they have no size.
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
OF_ALL = ("discovery_", "net_")  # faults that are not about single upstreams


class Restart(Struct, frozen=True):
    """A planned restart: SIGTERM, and SIGKILL at the platform's earliest.

    SIGHUP and SIGUSR1 come just before, while it leaves and while it starts again, or not.
    """

    at: float
    balancer: int  # of the first tier
    has_signals_before: bool
    leaving_ms: float | None  # after SIGTERM
    starting_ms: float | None  # after the new process began


class SignalSeries(Struct, frozen=True):
    """Signals to one balancer, milliseconds apart.

    ``faulty``: which of its SIGHUPs come with a faulty file.
    """

    at: float
    balancer: int
    names: list[str]
    gap_ms: float
    faulty: list[int]


class Crowd(Struct, frozen=True):
    """Idle clients on all balancers of the first tier; some begin a message and stop."""

    at: float
    for_s: float
    clients: int  # for each balancer
    begun: float  # fraction that begins a message


class SoakRun(Struct, frozen=True):
    """All that one seed plays."""

    seed: int
    experiment: Experiment
    variant: Variant
    sockets: int  # descriptors of each balancer
    restarts: list[Restart]
    signals: list[SignalSeries]
    crowd: Crowd | None


def draw(seed: int, seconds: float, plant: str | None = None) -> SoakRun:
    """Return the run of a seed; the same seed and length give the same run."""
    rng = random.Random(f"soak {seed}")
    tiers = _draw_tiers(rng)
    experiment = Experiment(
        version=1,
        name=f"soak-{seed}",
        seconds=seconds,
        seed=seed,
        max_dispatches=rng.choice((2, 3, 4)),
        zones=rng.choice((1, 1, 2)),
        grades=_draw_grades(rng),
        tiers=tiers,
        load=[Load(rate=rng.uniform(40.0, 100.0), burst=rng.choice((1.0, 1.0, 3.0)))],
        clients=Clients(
            protocol=rng.choice(("http/1.1", "http/1.1", "h2")),
            retries=rng.choice((0, 1, 2)),
            leave=rng.choice((0.0, 0.2, 0.5)),
        ),
        front=Front(notice_s=FRONT_NOTICE_S),
        discovery=Discovery(odd_rows=_has_odd_rows(seed)),
        troubles=_draw_faults(rng, seconds, len(tiers)),
    )
    balancers = tiers[0].balancers
    has_crowd = rng.random() < CROWD_CHANCE
    crowd_at = rng.uniform(FIRST_FAULT_S, max(FIRST_FAULT_S, seconds / 2))
    crowd = Crowd(crowd_at, rng.uniform(2.0, 4.0), rng.randint(60, 300), rng.uniform(0.0, 0.5))
    return SoakRun(
        seed=seed,
        experiment=experiment,
        variant=_draw_variant(rng, plant),
        sockets=rng.choice((256, 512)),
        restarts=_draw_restarts(rng, seconds, balancers),
        signals=_draw_signals(rng, seconds, balancers),
        crowd=crowd if has_crowd else None,
    )


def _has_odd_rows(seed: int) -> bool:
    """Draw apart from the rest, which stays as it is for each seed."""
    return random.Random(f"soak {seed} odd rows").random() < ODD_ROWS_CHANCE


def _draw_tiers(rng: random.Random) -> list[Tier]:
    def machine() -> Spec:
        return Spec(cores=rng.choice((1.0, 2.0, 4.0)), idle_close_s=IDLE_CLOSE_S)

    first = Tier(
        upstreams=rng.randint(3, 5),
        balancers=rng.randint(1, 3),
        machine=machine(),
        network=True,
    )
    second = Tier(upstreams=rng.randint(2, 3), machine=machine(), network=True)
    return [first, second] if rng.random() < SECOND_TIER_CHANCE else [first]


def _draw_grades(rng: random.Random) -> list[Grade]:
    limit_ms = rng.choice((600.0, 1000.0, 1500.0))
    return [
        Grade(name="look", time_limit_ms=limit_ms, work_ms=WORK_MS, spread=0.5, share=4.0),
        Grade(
            name="hold",
            effect="deduplicated",
            key_ttl_ms=3000.0,
            group=rng.choice(("all", "cell")),
            time_limit_ms=limit_ms,
            work_ms=WORK_MS,
            share=3.0,
        ),
        Grade(
            name="sale",
            effect="at_most_once",
            time_limit_ms=limit_ms,
            work_ms=WORK_MS,
            share=3.0,
            body_bytes=rng.choice((0, 3000)),
        ),
    ]


def _draw_faults(rng: random.Random, seconds: float, tiers: int) -> list[Trouble]:
    faults = []
    last = max(FIRST_FAULT_S + 0.1, seconds - LAST_FAULT_S)
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        what = rng.choice(sorted(FAULTS))
        sizes = FAULTS[what]
        tier = rng.randrange(tiers)
        faults.append(
            Trouble(
                what=what,
                at=round(rng.uniform(FIRST_FAULT_S, last), 2),
                for_=round(rng.uniform(0.6, 3.5), 2),
                tier=tier,
                who=None if what.startswith(OF_ALL) else [rng.randrange(2)],
                size=0.0 if sizes is None else round(rng.uniform(*sizes), 3),
            )
        )
    return faults


def _draw_variant(rng: random.Random, plant: str | None) -> Variant:
    operator: dict[str, Any] = {"h2": {"upstreams": rng.choice(("http/1.1", "h2"))}}
    settings = {"discovery": rng.choice(("ask", "push")), "permissions": {"cancel": True}}
    return Variant(name="soak", operator=operator, settings=settings, plant=plant)


def _draw_restarts(rng: random.Random, seconds: float, balancers: int) -> list[Restart]:
    last = max(2.0, seconds - LAST_FAULT_S)
    return [
        Restart(
            at=round(rng.uniform(2.0, last), 2),
            balancer=rng.randrange(balancers),
            has_signals_before=rng.choice((True, False)),
            leaving_ms=rng.choice((None, rng.uniform(0.0, 400.0))),
            starting_ms=rng.choice((None, rng.uniform(*STARTING_MS))),
        )
        for _ in range(rng.randint(1, 2))
    ]


def _draw_signals(rng: random.Random, seconds: float, balancers: int) -> list[SignalSeries]:
    series = []
    for _ in range(rng.randint(1, 3)):
        hups = rng.randint(1, 4)
        names = ["SIGHUP"] * hups + ["SIGUSR1"] * rng.randint(0, 2)
        rng.shuffle(names)
        last_hup = hups - 1  # its file is sound, so that the one in force at the end is known
        faulty = [
            number
            for number in range(hups)
            if number != last_hup and rng.random() < FAULTY_FILE_CHANCE
        ]
        at = round(rng.uniform(0.5, max(0.6, seconds - LAST_FAULT_S)), 2)
        series.append(
            SignalSeries(at, rng.randrange(balancers), names, rng.uniform(0.0, 8.0), faulty)
        )
    return series
