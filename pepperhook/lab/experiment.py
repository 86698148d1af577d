"""Experiments: TOML files that people write, checked, and laid out into the plan that all processes of one day share."""

import os
import socket
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from pepperhook import tomlfile
from pepperhook.lab.machine import Spec

S, MS = 10**9, 10**6
Count = Annotated[int, Meta(ge=1, le=200)]
From0 = Annotated[float, Meta(ge=0)]
Above0 = Annotated[float, Meta(gt=0)]
Chance = Annotated[float, Meta(ge=0, le=1)]

# What an upstream suffers, a balancer, the list, the network between balancers and a tier.
OF_UPSTREAMS = (
    "crash",
    "cold",
    "replaced",
    "drain",
    "slow",
    "pause",
    "hang",
    "errors",
    "reset_before",
    "reset_after",
    "refused",
    "unconnectable",
    "unready",
    "spoilt",
    "crowd",
    "stale_report",
    "lost_report",
    "released",
)
OF_BALANCERS = ("kill_balancer", "term_balancer", "hup_balancer", "roll_balancers")
OF_DISCOVERY = (
    "discovery_outage",
    "discovery_slow",
    "discovery_lag",
    "discovery_move",
    "discovery_refused",
    "discovery_silence",
)
OF_NETWORK = ("net_delay", "net_deaf", "net_mute", "net_silence", "net_cut", "net_apart")
SPOILT = ("short", "noise", "no_length", "two_lengths", "large", "half")
Carry = Literal["pass", "drop", "copy", "twice", "change"]
What = Literal[OF_UPSTREAMS + OF_BALANCERS + OF_DISCOVERY + OF_NETWORK]


class Grade(Struct, forbid_unknown_fields=True, kw_only=True):
    name: str
    effect: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    time_limit_ms: Above0 = 1000.0
    client_limit_ms: Above0 | None = None  # that clients say they wait; else the time limit
    goal_ms: Above0 | None = None
    earnings: From0 = 1.0
    inner_earnings: From0 | None = None  # as tiers behind the first have them in their settings
    inner_goal_ms: Above0 | None = None  # and their goal time, where theirs is another
    late_earnings: From0 = 0.0
    key_ttl_ms: From0 = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    work_ms: Above0 = 5.0  # of one core, the median
    body_bytes: Annotated[int, Meta(ge=0, le=65536)] = 0  # of messages that have one
    spread: From0 = 0.0  # of its logarithm (lognormal); 0: always the same
    share: Above0 = 1.0  # of the load


class Customer(Struct, forbid_unknown_fields=True, kw_only=True):
    name: str
    share: Above0 = 1.0  # of the load
    quota_per_s: From0 = 0.0


class Tier(Struct, forbid_unknown_fields=True, kw_only=True):
    upstreams: Count = 3
    balancers: Count = 1  # of the first tier; later tiers have one for each upstream before them
    machine: Spec = msgspec.field(default_factory=Spec)
    fail: Chance = 0.0  # of operations that it fails by itself, after its work
    fail_sticks: bool = False  # one that failed once fails whenever it is tried again
    calls: Annotated[int, Meta(ge=0, le=8)] = 1  # to the next tier for each operation
    hide_failures: bool = False  # answers 200 though its calls failed
    tells_time: bool = (
        True  # its calls say what is left of the time; else they have the grade's whole limit
    )
    heeds_leaving: bool = (
        True  # ends its work and calls when its client has left, as few servers do
    )
    # What becomes of chain headers, upstreams in turn.
    carry: Annotated[list[Carry], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["pass"]
    )
    circle: str | None = None  # operations of this grade call the first tier again
    network: bool = False  # relays between it and its callers, for troubles of the network


class Load(Struct, forbid_unknown_fields=True, kw_only=True):
    """Arrivals of the open loop, added up where they overlap."""

    rate: From0  # operations a second
    to: From0 | None = None  # a ramp: the rate at its end
    at: From0 = 0.0  # seconds into the day
    for_: From0 | None = msgspec.field(name="for", default=None)  # seconds; else to its end
    burst: Annotated[float, Meta(ge=1)] = (
        1.0  # operations that come together on the mean (geometric)
    )
    balancer: Annotated[int, Meta(ge=0)] | None = (
        None  # all to this one of the first tier; else by the front
    )
    customer: str | None = None  # all of this one; else by shares
    grade: str | None = None


class Clients(Struct, forbid_unknown_fields=True, kw_only=True):
    protocol: Literal["http/1.1", "h2"] = "http/1.1"
    retries: Annotated[int, Meta(ge=0, le=10)] = 0  # of a failed or shed try, each a new operation
    backoff_ms: From0 = 50.0  # doubled with each, half to one and a half of it by chance
    duplicates: Annotated[int, Meta(ge=0, le=20)] = (
        0  # at most as many of each operation with an effect, under one key
    )
    leave: Chance = (
        0.0  # of tries whose client leaves in the middle, after a third of its time at the most
    )
    patience_ms: Above0 | None = None  # closes its connection after; else at the time limit
    closed: Annotated[int, Meta(ge=0, le=10000)] = (
        0  # clients of a closed loop, beside the open one
    )
    think_ms: From0 = 0.0
    bad: dict[Literal["mute", "half", "flood", "lengths", "forged"], Count] = {}  # how many of each
    connections: Annotated[int, Meta(ge=1)] = 4096


class Front(Struct, forbid_unknown_fields=True, kw_only=True):
    """Who deals clients' connections out among the balancers of the first tier."""

    skew: From0 = 0.0  # a balancer of rank k has 1 / (k + 1) ** skew of them; ranks go by the seed
    notice_s: Above0 = 1.0  # for so long a balancer must be away until it is left out


class Discovery(Struct, forbid_unknown_fields=True, kw_only=True):
    notice_s: From0 = 1.0  # until a crash or a return is listed
    answer_ms: From0 = 1.0  # that each call takes it
    waiting: Annotated[int, Meta(ge=0)] = (
        0  # calls that may wait for their turn; more are answered 503; 0: any
    )
    # A capacity, in place of answer_ms, which binds from the day's start on; None: none.
    calls_per_s: Above0 | None = None  # without a line
    lines_per_s: Above0 | None = None  # of list, which cost besides; None: they cost nothing
    timeout_s: Above0 = 2.0  # a call that has waited so long for its answer is answered 503
    retry_after_s: Annotated[int, Meta(ge=0, le=3600)] = 0  # in each 503; 0: not there
    longest_watch_s: Above0 | None = None  # long polls end by then, whatever they ask for
    odd_rows: bool = False  # each answer has one more row, in a state that balancers do not know


class Trouble(Struct, forbid_unknown_fields=True, kw_only=True):
    what: What
    at: From0  # seconds into the day
    for_: Above0 = msgspec.field(name="for", default=5.0)
    tier: Annotated[int, Meta(ge=0)] = 0
    who: list[int] | None = None  # numbers of upstreams or balancers in the tier
    part: Chance | None = None  # or this share of them, the first ones
    zone: Annotated[int, Meta(ge=0)] | None = (
        None  # only those of this zone; of the network: what crosses its border
    )
    over: From0 = 0.0  # they begin in even steps over so many seconds
    size: From0 = 0.0  # speed left, chance, seconds: by what it is
    kind: Literal[SPOILT] | None = None  # of spoilt answers; else each in turn


class Variant(Struct, forbid_unknown_fields=True, kw_only=True):
    name: str
    module: str = "pepperhook"  # or a baseline of pepperhook.lab.baselines
    options: dict[str, float] = {}
    revision: str | None = None  # of this repository, instead of the checkout
    crooked: str | None = None  # a crooked balancer stand-in
    settings: dict = {}  # over those of the experiment, by their platform names
    operator: dict | None = (
        None  # an operator's file; {folder}, {tier} and {number} in its texts are filled in
    )
    operator_by_tier: list[dict] = []  # what it has besides, tier by tier
    plant: str | None = None  # a fault planted in the balancer: pepperhook.lab.planted
    carry: list[Carry] = []  # in place of what the tiers say


class Experiment(Struct, forbid_unknown_fields=True, kw_only=True):
    version: Literal[1]
    name: str
    seconds: Above0 = 20.0
    seed: Annotated[int, Meta(ge=0)] = 1
    repeats: Count = 1  # seeds from ``seed`` up
    cold: bool = False  # whether upstreams are cold at the start
    max_dispatches: Count = 4
    zones: Annotated[int, Meta(ge=1, le=8)] = (
        1  # upstreams and balancers are dealt out among them in turn
    )
    safety: dict[str, float] = {}  # under the platform's names
    permissions: dict = {}
    grades: Annotated[list[Grade], Meta(min_length=1)]
    customers: list[Customer] = []
    tiers: Annotated[list[Tier], Meta(min_length=1, max_length=6)]
    load: list[Load] = []
    clients: Clients = msgspec.field(default_factory=Clients)
    front: Front = msgspec.field(default_factory=Front)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    troubles: list[Trouble] = []
    variants: list[Variant] = msgspec.field(default_factory=lambda: [Variant(name="pepperhook")])


def read(path: os.PathLike[str] | str) -> Experiment:
    """The experiment in the file at ``path``. Raises tomlfile.TomlFileError."""
    day = tomlfile.read(path, Experiment)
    with open(path, encoding="utf-8") as file:
        text = file.read()
    check(day, path, text)
    return day


def check(day, path="-", text=""):
    """What the schema can't say: names that refer to others, and places that are there."""

    def wrong(problem, *steps):
        raise tomlfile.TomlFileError(tomlfile.format_problem(path, text, list(steps), problem))

    for key in "grades", "customers", "variants":
        seen = set()
        for at, row in enumerate(getattr(day, key)):
            if row.name in seen:
                wrong(f"{row.name!r} is there twice", key, at, "name")
            seen.add(row.name)
    for at, tier in enumerate(day.tiers):
        if at and tier.balancers != 1:
            wrong(
                "only the first tier has balancers of its own; later ones have one for each caller",
                "tiers",
                at,
                "balancers",
            )
        if tier.circle is not None and tier.circle not in [row.name for row in day.grades]:
            wrong(f"no grade has the name {tier.circle!r}", "tiers", at, "circle")
    for at, load in enumerate(day.load):
        if load.balancer is not None and load.balancer >= day.tiers[0].balancers:
            wrong(
                f"the first tier has {day.tiers[0].balancers} of them, from 0",
                "load",
                at,
                "balancer",
            )
        for key, rows in ("customer", day.customers), ("grade", day.grades):
            name = getattr(load, key)
            if name is not None and name not in [row.name for row in rows]:
                wrong(f"no {key} has the name {name!r}", "load", at, key)
    for at, trouble in enumerate(day.troubles):
        if trouble.tier >= len(day.tiers):
            wrong(f"there are {len(day.tiers)} tiers, from 0", "troubles", at, "tier")
        if trouble.zone is not None and trouble.zone >= day.zones:
            wrong(f"there are {day.zones} zones, from 0", "troubles", at, "zone")
        if trouble.at >= day.seconds:
            wrong(f"the day has {day.seconds:g} seconds", "troubles", at, "at")
        if trouble.what in OF_NETWORK and not day.tiers[trouble.tier].network:
            wrong("needs `network = true` in its tier", "troubles", at, "what")
        count = len(day.tiers) and (
            callers(day, trouble.tier)
            if trouble.what in OF_BALANCERS
            else day.tiers[trouble.tier].upstreams
        )
        for place in trouble.who or ():
            if not 0 <= place < count:
                wrong(f"there are {count} of them, from 0", "troubles", at, "who")
    check_discovery(day, wrong)
    from pepperhook.lab import baselines, crooked

    for at, variant in enumerate(day.variants):
        if variant.module != "pepperhook" and variant.module not in baselines.MODULES:
            wrong(
                f"no module has the name {variant.module!r}; there are pepperhook, {', '.join(baselines.MODULES)}",
                "variants",
                at,
                "module",
            )
        if variant.crooked is not None and variant.crooked not in crooked.WAYS:
            wrong(f"there are {', '.join(crooked.WAYS)}", "variants", at, "crooked")


def check_discovery(day, wrong):
    """The discovery service's table and faults; ``wrong`` reports a problem at a key."""
    if day.discovery.lines_per_s is not None and day.discovery.calls_per_s is None:
        wrong("needs calls_per_s beside it", "discovery", "lines_per_s")
    for at, trouble in enumerate(day.troubles):
        if trouble.what == "discovery_refused" and trouble.size > 1:
            wrong("a fraction of the calls is wanted, at most 1", "troubles", at, "size")


def callers(day: Experiment, tier: int) -> int:
    """How many balancers stand before a tier."""
    return day.tiers[0].balancers if tier == 0 else day.tiers[tier - 1].upstreams


def targets(day, trouble):
    """The numbers in its tier of those that a trouble is about."""
    count = (
        callers(day, trouble.tier)
        if trouble.what in OF_BALANCERS
        else day.tiers[trouble.tier].upstreams
    )
    known = list(range(count))
    if trouble.zone is not None and trouble.what not in OF_NETWORK:
        known = [number for number in known if number % day.zones == trouble.zone]
    if trouble.who is not None:
        return [number for number in trouble.who if number in known]
    if trouble.part is not None:
        return known[: max(1, round(trouble.part * len(known)))]
    return known[:1] if trouble.what in OF_UPSTREAMS and trouble.zone is None else known


def moments(day, trouble):
    """When it begins and ends for each that it is about: rows of (number, seconds, seconds)."""
    chosen = targets(day, trouble)
    for turn, number in enumerate(chosen):
        at = trouble.at + trouble.over * turn / len(chosen)
        yield number, at, at + trouble.for_


def zone(day, number):
    """Of an upstream or a balancer, by its number in its tier; a later tier's balancer stands beside its upstream."""
    return "abcdefgh"[number % day.zones]


class Plan:
    """Addresses and settings of one day. Each caller reaches each upstream at a port of its own, so that a stand-in
    knows who sent; all addresses are in 127.0.0.0/8."""

    def __init__(self, day, seed, block):
        self.day, self.seed, self.block = day, seed, block

    def upstream(self, tier, number, caller):
        return f"127.{self.block}.{10 + tier}.{1 + number}", 7000 + caller

    def relay(self, tier, number, caller):
        return f"127.{self.block}.{50 + tier}.{1 + number}", 7000 + caller

    def dial(self, tier, number, caller):
        return (self.relay if self.day.tiers[tier].network else self.upstream)(tier, number, caller)

    def balancer(self, tier, number):
        return f"127.{self.block}.{100 + tier}.{1 + number}", 7070

    def peers(self, tier, number):
        """Where the other balancers of its tier reach one."""
        return f"127.{self.block}.{150 + tier}.{1 + number}", 7171

    def discovery(self, tier, caller, moved=0):
        return f"127.{self.block}.{200 + moved}.{1 + tier}", 8000 + caller

    def settings(self, tier, caller, over=None):
        """The deployment's settings, under the platform's names."""
        day = self.day
        told = {
            "discovery": "ask",
            "me": caller,
            "groupSize": callers(day, tier),
            "tier": tier,
            "locality": caller % day.zones,
            "azs": list("abcdefgh"[: day.zones]),
            "models": ["m"],
            "orgs": [
                {
                    "name": c.name,
                    "share": c.share / sum(x.share for x in day.customers),
                    "quotaPerS": c.quota_per_s,
                }
                for c in day.customers
            ],
            "permissions": {
                "cancel": True,
                "probes": True,
                "parallelTries": False,
                "retryAfter": True,
                "maxRetryAfterUs": 1_000_000,
                "maxDispatches": day.max_dispatches,
                "connectTimeoutUs": 300_000,
                "keepaliveUs": int(day.tiers[tier].machine.idle_close_s * 1e6),
                **day.permissions,
            },
            "safety": {
                "askWithinUs": 10_000_000,
                "drainGraceUs": 300_000,
                "startCapacity": day.tiers[tier].machine.start_capacity,
                "warmWithinUs": int(day.tiers[tier].machine.warm_s * 1e6)
                if day.tiers[tier].machine.start_capacity < 1
                else 0,
                "fallMultiple": day.tiers[tier].machine.fall_multiple or 2.5,
                "fallUs": int(day.tiers[tier].machine.fall_s * 1e6),
                **day.safety,
            },
            "serviceGrades": [
                {
                    "name": g.name,
                    "timeLimitUs": g.time_limit_ms * 1000,
                    "goalTimeUs": 1000 * (tier and g.inner_goal_ms or g.goal_ms or g.time_limit_ms),
                    "effect": g.effect,
                    "earnings": g.earnings
                    if not tier or g.inner_earnings is None
                    else g.inner_earnings,
                    "lateEarnings": g.late_earnings,
                    "keyTtlUs": g.key_ttl_ms * 1000,
                    "group": g.group,
                }
                for g in day.grades
            ],
        }
        for key, value in (over or {}).items():
            told[key] = (
                {**told[key], **value}
                if isinstance(value, dict) and isinstance(told.get(key), dict)
                else value
            )
        return told

    def write(self, path):
        told = {"day": msgspec.to_builtins(self.day), "seed": self.seed, "block": self.block}
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(told))

    @staticmethod
    def read(path):
        with open(path, "rb") as file:
            told = msgspec.json.decode(file.read())
        return Plan(msgspec.convert(told["day"], Experiment), told["seed"], told["block"])


def free_block():
    """A part of 127.0.0.0/8 that no other day on this machine uses, and the socket that holds it until it is closed."""
    for at in range(200):
        block = 20 + (os.getpid() + at) % 200
        # Not create_server: it sets SO_REUSEADDR, under which two days that began together were both given one part.
        held = socket.socket()
        try:
            held.bind((f"127.{block}.255.1", 7999))
            held.listen(1)
            return block, held
        except OSError:
            held.close()
    raise OSError("no free part of 127.0.0.0/8 was found")
