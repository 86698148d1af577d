"""Experiments: TOML files with scenarios, their checks, and the plan of one run.

The plan has the addresses and settings that all processes of a run share.
"""

import os
import socket
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from pepperhook import tomlfile
from pepperhook.lab.machine import Spec

S, MS = 10**9, 10**6
ZONE_NAMES = "abcdefgh"
Count = Annotated[int, Meta(ge=1, le=200)]
From0 = Annotated[float, Meta(ge=0)]
Above0 = Annotated[float, Meta(gt=0)]
Chance = Annotated[float, Meta(ge=0, le=1)]

# Kinds of faults: of upstreams, balancers, the discovery service, and the network before a tier.
# The unit of a fault's ``size`` is in parentheses; a fraction of 0 means all.
OF_UPSTREAMS = (
    "crash",  # the process dies and starts again
    "cold",
    "replaced",  # the process dies and another instance starts
    "drain",  # rejects requests after a grace (seconds), then serves again
    "slow",  # runs at a lower speed (remaining fraction)
    "pause",  # does no work
    "hang",  # some requests are never processed (fraction)
    "errors",  # some requests get a 500 without any work (fraction)
    "reset_before",  # some connections are reset when a request arrives (fraction)
    "reset_after",  # some connections are reset after the work (fraction)
    "refused",  # new connections are refused
    "unconnectable",  # new connections are never accepted
    "unready",  # refuses connections (seconds), then rejects requests and health checks
    "spoilt",  # some responses are malformed (fraction)
    "crowd",  # runs at the machine's crowd_speed until it has been idle
    "stale_report",  # load reports don't change
    "lost_report",  # load reports are answered 503
    "released",  # drains (seconds), ends, and comes back as another instance
)
OF_BALANCERS = ("kill_balancer", "term_balancer", "hup_balancer", "roll_balancers")
OF_DISCOVERY = (
    "discovery_outage",  # connections are closed and polls answered 503
    "discovery_slow",  # each poll takes longer (seconds)
    "discovery_lag",  # changes are listed late (seconds)
    "discovery_move",  # the service moves to its second address
    "discovery_refused",  # some polls are answered 503 (fraction)
    "discovery_silence",  # open watches are never answered
)
# net_delay: delay in each direction (seconds); net_deaf: requests are lost; net_mute: responses are
# lost; net_silence: both are lost; net_cut: connections are reset; net_apart: like net_silence, and
# new connections are never accepted.
OF_NETWORK = ("net_delay", "net_deaf", "net_mute", "net_silence", "net_cut", "net_apart")
# Kinds of malformed responses.
SPOILT = ("short", "noise", "no_length", "two_lengths", "large", "half")
# What an upstream does with the request context's headers when it calls the next tier: it passes
# them on, drops them, always sends those of the first request it saw, sends them twice, or changes
# them.
Carry = Literal["pass", "drop", "copy", "twice", "change"]
What = Literal[OF_UPSTREAMS + OF_BALANCERS + OF_DISCOVERY + OF_NETWORK]


class Grade(Struct, forbid_unknown_fields=True, kw_only=True):
    """A service class."""

    name: str
    effect: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    time_limit_ms: Above0 = 1000.0
    client_limit_ms: Above0 | None = None  # the limit that clients announce; None: the time limit
    goal_ms: Above0 | None = None  # latency objective; None: the time limit
    earnings: From0 = 1.0  # value of a request served within its objective
    inner_earnings: From0 | None = None  # in the settings of later tiers; None: as in the first
    inner_goal_ms: Above0 | None = None  # latency objective in later tiers; None: goal_ms
    late_earnings: From0 = 0.0  # value of a request served after the objective
    key_ttl_ms: From0 = 0.0  # how long upstreams recognise an idempotency key
    group: Literal["all", "zone", "cell"] = "all"
    work_ms: Above0 = 5.0  # median CPU time, in ms of one core
    body_bytes: Annotated[int, Meta(ge=0, le=65536)] = 0  # of requests that have a body
    spread: From0 = 0.0  # standard deviation of the logarithm of the work (lognormal); 0: constant
    share: Above0 = 1.0  # of the load


class Customer(Struct, forbid_unknown_fields=True, kw_only=True):
    """A tenant."""

    name: str
    share: Above0 = 1.0  # of the load
    quota_per_s: From0 = 0.0


class Tier(Struct, forbid_unknown_fields=True, kw_only=True):
    """A tier of upstreams, and the balancers that send to it."""

    upstreams: Count = 3
    # In the first tier; a later tier has one for each upstream of the tier before it.
    balancers: Count = 1
    machine: Spec = msgspec.field(default_factory=Spec)
    fail: Chance = 0.0  # fraction of requests that fail after their work, without a fault
    fail_sticks: bool = False  # a request that failed once fails on every attempt
    calls: Annotated[int, Meta(ge=0, le=8)] = 1  # calls to the next tier for each request
    hide_failures: bool = False  # responds 200 even if its calls failed
    # Whether its calls announce the time that is left; else the service class's whole limit.
    tells_time: bool = True
    # Whether it ends its work and calls when its caller has disconnected, which few servers do.
    heeds_leaving: bool = True
    # How upstreams treat the request context's headers; the entries apply to the upstreams in turn.
    carry: Annotated[list[Carry], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["pass"]
    )
    # For requests of this service class, upstreams call the first tier: a routing loop.
    circle: str | None = None
    network: bool = False  # put relays between it and its callers, which network faults need


class Load(Struct, forbid_unknown_fields=True, kw_only=True):
    """Arrivals of the open loop; overlapping ones add up."""

    rate: From0  # requests per second
    to: From0 | None = None  # rate at the end of a ramp; None: constant
    at: From0 = 0.0  # seconds into the run
    for_: From0 | None = msgspec.field(name="for", default=None)  # seconds; None: until its end
    # Mean number of requests that arrive at once (geometric distribution).
    burst: Annotated[float, Meta(ge=1)] = 1.0
    # The balancer of the first tier that gets all requests; None: the front distributes them.
    balancer: Annotated[int, Meta(ge=0)] | None = None
    customer: str | None = None  # tenant of all requests; None: drawn by the tenants' shares
    grade: str | None = None  # service class of all requests; None: drawn by the classes' shares


class Clients(Struct, forbid_unknown_fields=True, kw_only=True):
    """Behaviour of the clients."""

    protocol: Literal["http/1.1", "h2"] = "http/1.1"
    # Limit of a client's retries after failures and rejections; each is a new request.
    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    backoff_ms: From0 = 50.0  # doubled with each retry; jitter from half to 1.5 times
    # Most copies of a request with an effect, sent under the same idempotency key.
    duplicates: Annotated[int, Meta(ge=0, le=20)] = 0
    # Fraction of requests whose client leaves early, within the first third of its time limit.
    leave: Chance = 0.0
    # The client closes its connection after this time; None: shortly after the time limit.
    patience_ms: Above0 | None = None
    # Number of closed-loop clients, in addition to the open loop.
    closed: Annotated[int, Meta(ge=0, le=10000)] = 0
    think_ms: From0 = 0.0  # pause of a closed-loop client after a response
    # Number of misbehaving clients of each kind.
    bad: dict[Literal["mute", "half", "flood", "lengths", "forged"], Count] = {}
    connections: Annotated[int, Meta(ge=1)] = 4096


class Front(Struct, forbid_unknown_fields=True, kw_only=True):
    """Distribution of clients' connections over the balancers of the first tier."""

    skew: From0 = 0.0  # weight of rank k is 1 / (k + 1) ** skew; ranks depend on the seed
    notice_s: Above0 = 1.0  # a balancer that is down for longer is left out


class Discovery(Struct, forbid_unknown_fields=True, kw_only=True):
    """Behaviour of the discovery service."""

    notice_s: From0 = 1.0  # delay until a crash or a return is listed
    answer_ms: From0 = 1.0  # duration of each call
    # Limit of queued calls; further calls get a 503; 0: no limit.
    waiting: Annotated[int, Meta(ge=0)] = 0
    # Capacity, which replaces answer_ms and applies from the start of the run; None: no limit.
    calls_per_s: Above0 | None = None  # of calls whose response has no list line
    lines_per_s: Above0 | None = None  # additional cost of list lines; None: they cost nothing
    timeout_s: Above0 = 2.0  # a call that has waited this long gets a 503
    retry_after_s: Annotated[int, Meta(ge=0, le=3600)] = 0  # header in each 503; 0: no header
    longest_watch_s: Above0 | None = None  # upper limit of long polls; None: as requested
    odd_rows: bool = False  # add to each response a row whose state is unknown to balancers


class Trouble(Struct, forbid_unknown_fields=True, kw_only=True):
    """An injected fault."""

    what: What  # kind of fault
    at: From0  # seconds into the run
    for_: Above0 = msgspec.field(name="for", default=5.0)  # duration in seconds
    tier: Annotated[int, Meta(ge=0)] = 0
    # Numbers of upstreams or balancers in the tier. Without who, part and zone: the first upstream,
    # or, for faults of balancers and the network, all of the tier.
    who: list[int] | None = None
    part: Chance | None = None  # or this fraction of them, by lowest numbers
    # Only targets in this zone; for network faults: only connections that cross its border.
    zone: Annotated[int, Meta(ge=0)] | None = None
    over: From0 = 0.0  # the targets' faults begin in even steps over this many seconds
    size: From0 = 0.0  # unit depends on the fault, see above
    kind: Literal[SPOILT] | None = None  # kind of malformed response; None: each in turn


class Variant(Struct, forbid_unknown_fields=True, kw_only=True):
    """A balancer, or a configuration of it, to run the experiment with."""

    name: str
    module: str = "pepperhook"  # or a baseline of pepperhook.lab.baselines
    options: dict[str, float] = {}
    revision: str | None = None  # git revision of the balancer; None: the checkout
    crooked: str | None = None  # deliberately faulty stand-in of pepperhook.lab.crooked
    settings: dict = {}  # override the experiment's, by their platform names
    # Operator's file; {folder}, {tier} and {number} in its strings are replaced.
    operator: dict | None = None
    operator_by_tier: list[dict] = []  # additions to the operator's file, by tier
    plant: str | None = None  # a defect injected into the balancer: pepperhook.lab.planted
    carry: list[Carry] = []  # replaces the tiers' carry


class Experiment(Struct, forbid_unknown_fields=True, kw_only=True):
    """A scenario and the variants to run it with: the content of an experiment file."""

    version: Literal[1]
    name: str
    seconds: Above0 = 20.0  # duration of a run
    seed: Annotated[int, Meta(ge=0)] = 1
    repeats: Count = 1  # runs per variant, with seeds from ``seed`` up
    cold: bool = False  # upstreams are cold at the start
    max_dispatches: Count = 4  # limit of attempts per request
    # Upstreams and balancers are assigned to the zones in turn.
    zones: Annotated[int, Meta(ge=1, le=8)] = 1
    # Overrides of two tables of the settings, with the deployment platform's key names.
    safety: dict[str, float] = {}
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
    """Return the experiment in the file at ``path``. Raises tomlfile.TomlFileError."""
    day = tomlfile.read(path, Experiment)
    with open(path, encoding="utf-8") as file:
        text = file.read()
    check(day, path, text)
    return day


def check(day, path="-", text=""):
    """Check what the schema can't express: references between names, and numbers in range.

    Raises tomlfile.TomlFileError.
    """

    def wrong(problem, *steps):
        raise tomlfile.TomlFileError(tomlfile.format_problem(path, text, list(steps), problem))

    for key in "grades", "customers", "variants":
        seen = set()
        for at, row in enumerate(getattr(day, key)):
            if row.name in seen:
                wrong(f"{row.name!r} is defined twice", key, at, "name")
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
                f"the first tier has {day.tiers[0].balancers} balancers, numbered from 0",
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
            wrong(f"there are {len(day.tiers)} tiers, numbered from 0", "troubles", at, "tier")
        if trouble.zone is not None and trouble.zone >= day.zones:
            wrong(f"there are {day.zones} zones, numbered from 0", "troubles", at, "zone")
        if trouble.at >= day.seconds:
            wrong(f"the run lasts {day.seconds:g} seconds", "troubles", at, "at")
        if trouble.what in OF_NETWORK and not day.tiers[trouble.tier].network:
            wrong("needs `network = true` in its tier", "troubles", at, "what")
        count = len(day.tiers) and (
            callers(day, trouble.tier)
            if trouble.what in OF_BALANCERS
            else day.tiers[trouble.tier].upstreams
        )
        for target in trouble.who or ():
            if not 0 <= target < count:
                wrong(f"there are {count} targets, numbered from 0", "troubles", at, "who")
    check_discovery(day, wrong)
    from pepperhook.lab import baselines, crooked

    for at, variant in enumerate(day.variants):
        if variant.module != "pepperhook" and variant.module not in baselines.MODULES:
            wrong(
                f"no policy has the name {variant.module!r}; there are pepperhook, "
                f"{', '.join(baselines.MODULES)}",
                "variants",
                at,
                "module",
            )
        if variant.crooked is not None and variant.crooked not in crooked.FINDINGS_BY_FAULT:
            wrong(
                f"no such kind; there are {', '.join(crooked.FINDINGS_BY_FAULT)}",
                "variants",
                at,
                "crooked",
            )


def check_discovery(day, wrong):
    """Check the discovery service's table and faults; ``wrong`` reports a problem at a key."""
    if day.discovery.lines_per_s is not None and day.discovery.calls_per_s is None:
        wrong("needs calls_per_s beside it", "discovery", "lines_per_s")
    for at, trouble in enumerate(day.troubles):
        if trouble.what == "discovery_refused" and trouble.size > 1:
            wrong("must be a fraction of the calls, at most 1", "troubles", at, "size")


def callers(day: Experiment, tier: int) -> int:
    """Return the number of balancers that send to a tier."""
    return day.tiers[0].balancers if tier == 0 else day.tiers[tier - 1].upstreams


def targets(day, trouble):
    """Return the numbers, within its tier, of a fault's targets."""
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
    """Yield the period of a fault for each of its targets: (number, begin, end), in seconds.

    The periods are staggered evenly over the fault's ``over``.
    """
    chosen = targets(day, trouble)
    for index, number in enumerate(chosen):
        at = trouble.at + trouble.over * index / len(chosen)
        yield number, at, at + trouble.for_


def zone(day, number):
    """Return the zone of an upstream or balancer with this number in its tier.

    A later tier's balancer is in the zone of the upstream that calls through it.
    """
    return ZONE_NAMES[number % day.zones]


class Plan:
    """Addresses and settings of one run, all in 127.0.0.0/8.

    Each caller reaches each upstream at a separate port, so that a stand-in can identify it.
    """

    def __init__(self, day, seed, block):
        self.day, self.seed, self.block = day, seed, block

    def upstream(self, tier, number, caller):
        """Return the address at which an upstream listens for one caller."""
        return f"127.{self.block}.{10 + tier}.{1 + number}", 7000 + caller

    def relay(self, tier, number, caller):
        """Return the address of the relay before an upstream, for one caller."""
        return f"127.{self.block}.{50 + tier}.{1 + number}", 7000 + caller

    def dial(self, tier, number, caller):
        """Return the address that a caller connects to: the relay's if the tier has relays."""
        return (self.relay if self.day.tiers[tier].network else self.upstream)(tier, number, caller)

    def balancer(self, tier, number):
        """Return the address at which a balancer takes requests."""
        return f"127.{self.block}.{100 + tier}.{1 + number}", 7070

    def peers(self, tier, number):
        """Return the address at which the other balancers of its tier reach a balancer."""
        return f"127.{self.block}.{150 + tier}.{1 + number}", 7171

    def discovery(self, tier, caller, moved=0):
        """Return the discovery service's address for a balancer.

        ``moved`` is 0 for its first address, 1 for its second (fault discovery_move).
        """
        return f"127.{self.block}.{200 + moved}.{1 + tier}", 8000 + caller

    def settings(self, tier, caller, overrides=None):
        """Return the deployment's settings, under the key names of pepperhook/settings.py.

        ``overrides`` replaces values, and merges tables.
        """
        day = self.day
        settings = {
            "discovery": "ask",
            "me": caller,
            "groupSize": callers(day, tier),
            "tier": tier,
            "locality": caller % day.zones,
            "azs": list(ZONE_NAMES[: day.zones]),
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
        for key, value in (overrides or {}).items():
            settings[key] = (
                {**settings[key], **value}
                if isinstance(value, dict) and isinstance(settings.get(key), dict)
                else value
            )
        return settings

    def write(self, path):
        """Write the plan to a file, as JSON."""
        document = {"day": msgspec.to_builtins(self.day), "seed": self.seed, "block": self.block}
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(document))

    @staticmethod
    def read(path):
        """Return the plan in a file."""
        with open(path, "rb") as file:
            document = msgspec.json.decode(file.read())
        return Plan(
            msgspec.convert(document["day"], Experiment), document["seed"], document["block"]
        )


def free_block():
    """Return n such that no other run on this machine uses 127.n.0.0/16, and the lock of n.

    The lock is a listening socket; closing it frees n. Raises OSError if none is free.
    """
    for offset in range(200):
        block = 20 + (os.getpid() + offset) % 200
        # Not create_server: it sets SO_REUSEADDR, with which two runs that started together both
        # got the same block.
        lock = socket.socket()
        try:
            lock.bind((f"127.{block}.255.1", 7999))
            lock.listen(1)
            return block, lock
        except OSError:
            lock.close()
    raise OSError("no free /16 block of 127.0.0.0/8 was found")
