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
NonNegative = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]

# Kinds of faults: of upstreams, balancers, the discovery service, and the network before a tier.
# The unit of a fault's ``size`` is in parentheses; a fraction of 0 means all.
UPSTREAM_FAULTS = (
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
BALANCER_FAULTS = ("kill_balancer", "term_balancer", "hup_balancer", "roll_balancers")
DISCOVERY_FAULTS = (
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
NETWORK_FAULTS = ("net_delay", "net_deaf", "net_mute", "net_silence", "net_cut", "net_apart")
# Kinds of malformed responses.
MALFORMATIONS = ("short", "noise", "no_length", "two_lengths", "large", "half")
# What an upstream does with the request context's headers when it calls the next tier: it passes
# them on, drops them, always sends those of the first request it saw, sends them twice, or changes
# them.
HeaderHandling = Literal["pass", "drop", "copy", "twice", "change"]
FaultType = Literal[UPSTREAM_FAULTS + BALANCER_FAULTS + DISCOVERY_FAULTS + NETWORK_FAULTS]


class ServiceClass(Struct, forbid_unknown_fields=True, kw_only=True):
    """A service class."""

    name: str
    effect: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    time_limit_ms: Positive = 1000.0
    client_limit_ms: Positive | None = None  # the limit that clients announce; None: the time limit
    goal_ms: Positive | None = None  # latency objective; None: the time limit
    earnings: NonNegative = 1.0  # value of a request served within its objective
    # Value in the settings of later tiers; None: as in the first.
    inner_earnings: NonNegative | None = None
    inner_goal_ms: Positive | None = None  # latency objective in later tiers; None: goal_ms
    late_earnings: NonNegative = 0.0  # value of a request served after the objective
    key_ttl_ms: NonNegative = 0.0  # how long upstreams recognise an idempotency key
    group: Literal["all", "zone", "cell"] = "all"
    work_ms: Positive = 5.0  # median CPU time, in ms of one core
    body_bytes: Annotated[int, Meta(ge=0, le=65536)] = 0  # of requests that have a body
    # Standard deviation of the logarithm of the work (lognormal); 0: constant.
    spread: NonNegative = 0.0
    share: Positive = 1.0  # of the load


class Tenant(Struct, forbid_unknown_fields=True, kw_only=True):
    """A tenant."""

    name: str
    share: Positive = 1.0  # of the load
    quota_per_s: NonNegative = 0.0


class Tier(Struct, forbid_unknown_fields=True, kw_only=True):
    """A tier of upstreams, and the balancers that send to it."""

    upstreams: Count = 3
    # In the first tier; a later tier has one for each upstream of the tier before it.
    balancers: Count = 1
    machine: Spec = msgspec.field(default_factory=Spec)
    # Fraction of requests that fail after their work, without a fault.
    failure_rate: Fraction = msgspec.field(name="fail", default=0.0)
    # A request that failed once fails on every attempt.
    failures_are_sticky: bool = msgspec.field(name="fail_sticks", default=False)
    calls: Annotated[int, Meta(ge=0, le=8)] = 1  # calls to the next tier for each request
    # Responds 200 even if its calls failed.
    responds_ok_on_failure: bool = msgspec.field(name="hide_failures", default=False)
    # Whether its calls announce the time that is left; else the service class's whole limit.
    forwards_remaining_time: bool = msgspec.field(name="tells_time", default=True)
    # Whether it ends its work and calls when its caller has disconnected, which few servers do.
    cancels_on_disconnect: bool = msgspec.field(name="heeds_leaving", default=True)
    # How upstreams treat the request context's headers; the entries apply to the upstreams in turn.
    header_handling: Annotated[list[HeaderHandling], Meta(min_length=1)] = msgspec.field(
        name="carry", default_factory=lambda: ["pass"]
    )
    # For requests of this service class, upstreams call the first tier: a routing loop.
    loop_service_class: str | None = msgspec.field(name="circle", default=None)
    # Whether a draining upstream passes health checks.
    passes_checks_while_draining: bool = msgspec.field(name="drains_pass_checks", default=False)
    # Put relays between it and its callers, which network faults need.
    has_relays: bool = msgspec.field(name="network", default=False)


class Load(Struct, forbid_unknown_fields=True, kw_only=True):
    """Arrivals of the open loop; overlapping ones add up."""

    rate: NonNegative  # requests per second
    # Rate at the end of a ramp; None: constant.
    end_rate: NonNegative | None = msgspec.field(name="to", default=None)
    start_s: NonNegative = msgspec.field(name="at", default=0.0)  # seconds into the run
    # In seconds; None: until the end of the run.
    duration_s: NonNegative | None = msgspec.field(name="for", default=None)
    # Mean number of requests that arrive at once (geometric distribution).
    burst: Annotated[float, Meta(ge=1)] = 1.0
    # The balancer of the first tier that gets all requests; None: the front distributes them.
    balancer: Annotated[int, Meta(ge=0)] | None = None
    # Tenant of all requests; None: drawn by the tenants' shares.
    tenant: str | None = msgspec.field(name="customer", default=None)
    # Service class of all requests; None: drawn by the classes' shares.
    service_class: str | None = msgspec.field(name="grade", default=None)


class Clients(Struct, forbid_unknown_fields=True, kw_only=True):
    """Behaviour of the clients."""

    protocol: Literal["http/1.1", "h2"] = "http/1.1"
    # Limit of a client's retries after failures and rejections; each is a new request.
    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    backoff_ms: NonNegative = 50.0  # doubled with each retry; jitter from half to 1.5 times
    # Most copies of a request with an effect, sent under the same idempotency key.
    duplicates: Annotated[int, Meta(ge=0, le=20)] = 0
    # Fraction of requests whose client leaves early, within the first third of its time limit.
    leave_fraction: Fraction = msgspec.field(name="leave", default=0.0)
    # The client closes its connection after this time; None: shortly after the time limit.
    patience_ms: Positive | None = None
    # Number of closed-loop clients, in addition to the open loop.
    closed_loop_clients: Annotated[int, Meta(ge=0, le=10000)] = msgspec.field(
        name="closed", default=0
    )
    think_ms: NonNegative = 0.0  # pause of a closed-loop client after a response
    # Number of misbehaving clients of each kind.
    misbehaving: dict[Literal["mute", "half", "flood", "lengths", "forged"], Count] = msgspec.field(
        name="bad", default_factory=dict
    )
    connections: Annotated[int, Meta(ge=1)] = 4096


class Front(Struct, forbid_unknown_fields=True, kw_only=True):
    """Distribution of clients' connections over the balancers of the first tier."""

    skew: NonNegative = 0.0  # weight of rank k is 1 / (k + 1) ** skew; ranks depend on the seed
    notice_s: Positive = 1.0  # a balancer that is down for longer is left out


class Discovery(Struct, forbid_unknown_fields=True, kw_only=True):
    """Behaviour of the discovery service."""

    notice_s: NonNegative = 1.0  # delay until a crash or a return is listed
    call_duration_ms: NonNegative = msgspec.field(name="answer_ms", default=1.0)
    # Limit of queued calls; further calls get a 503; 0: no limit.
    max_waiting: Annotated[int, Meta(ge=0)] = msgspec.field(name="waiting", default=0)
    # Capacity, which replaces call_duration_ms and applies from the start of the run; None: no
    # limit.
    calls_per_s: Positive | None = None  # of calls whose response has no list line
    lines_per_s: Positive | None = None  # additional cost of list lines; None: they cost nothing
    timeout_s: Positive = 2.0  # a call that has waited this long gets a 503
    retry_after_s: Annotated[int, Meta(ge=0, le=3600)] = 0  # header in each 503; 0: no header
    longest_watch_s: Positive | None = None  # upper limit of long polls; None: as requested
    # Add to each response a row whose state is unknown to balancers.
    adds_unknown_state: bool = msgspec.field(name="odd_rows", default=False)


class Fault(Struct, forbid_unknown_fields=True, kw_only=True):
    """An injected fault."""

    type: FaultType = msgspec.field(name="what")
    start_s: NonNegative = msgspec.field(name="at")  # seconds into the run
    duration_s: Positive = msgspec.field(name="for", default=5.0)
    tier: Annotated[int, Meta(ge=0)] = 0
    # Numbers of upstreams or balancers in the tier. Without target_numbers, target_fraction and
    # zone: the first upstream, or, for faults of balancers and the network, all of the tier.
    target_numbers: list[int] | None = msgspec.field(name="who", default=None)
    # Or this fraction of them, by lowest numbers.
    target_fraction: Fraction | None = msgspec.field(name="part", default=None)
    # Only targets in this zone; for network faults: only connections that cross its border.
    zone: Annotated[int, Meta(ge=0)] | None = None
    # The targets' faults begin in even steps over this many seconds.
    stagger_s: NonNegative = msgspec.field(name="over", default=0.0)
    size: NonNegative = 0.0  # unit depends on the fault, see above
    # Kind of malformed response; None: each in turn.
    malformation: Literal[MALFORMATIONS] | None = msgspec.field(name="kind", default=None)


class Variant(Struct, forbid_unknown_fields=True, kw_only=True):
    """A balancer, or a configuration of it, to run the experiment with."""

    name: str
    module: str = "pepperhook"  # or a baseline of pepperhook.lab.baselines
    options: dict[str, float] = {}
    revision: str | None = None  # git revision of the balancer; None: the checkout
    # Deliberately faulty stand-in of pepperhook.lab.faulty_balancers.
    faulty_balancer: str | None = msgspec.field(name="crooked", default=None)
    settings: dict = {}  # override the experiment's, by their platform names
    # Operator's file; {folder}, {tier} and {number} in its strings are replaced.
    operator: dict | None = None
    operator_by_tier: list[dict] = []  # additions to the operator's file, by tier
    # A defect injected into the balancer: pepperhook.lab.defects.
    defect: str | None = msgspec.field(name="plant", default=None)
    # Replaces the tiers' header_handling.
    header_handling: list[HeaderHandling] = msgspec.field(name="carry", default_factory=list)


class Experiment(Struct, forbid_unknown_fields=True, kw_only=True):
    """A scenario and the variants to run it with: the content of an experiment file."""

    version: Literal[1]
    name: str
    seconds: Positive = 20.0  # duration of a run
    seed: Annotated[int, Meta(ge=0)] = 1
    repeats: Count = 1  # runs per variant, with seeds from ``seed`` up
    cold: bool = False  # upstreams are cold at the start
    max_dispatches: Count = 4  # limit of attempts per request
    # Upstreams and balancers are assigned to the zones in turn.
    zones: Annotated[int, Meta(ge=1, le=8)] = 1
    # Overrides of two tables of the settings, with the deployment platform's key names.
    safety: dict[str, float] = {}
    permissions: dict = {}
    service_classes: Annotated[list[ServiceClass], Meta(min_length=1)] = msgspec.field(
        name="grades"
    )
    tenants: list[Tenant] = msgspec.field(name="customers", default_factory=list)
    tiers: Annotated[list[Tier], Meta(min_length=1, max_length=6)]
    load: list[Load] = []
    clients: Clients = msgspec.field(default_factory=Clients)
    front: Front = msgspec.field(default_factory=Front)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    faults: list[Fault] = msgspec.field(name="troubles", default_factory=list)
    variants: list[Variant] = msgspec.field(default_factory=lambda: [Variant(name="pepperhook")])


def read(path: os.PathLike[str] | str) -> Experiment:
    """Return the experiment in the file at ``path``. Raises tomlfile.TomlFileError."""
    scenario = tomlfile.read(path, Experiment)
    with open(path, encoding="utf-8") as file:
        text = file.read()
    check(scenario, path, text)
    return scenario


def check(scenario, path="-", text=""):
    """Check what the schema can't express: references between names, and numbers in range.

    Raises tomlfile.TomlFileError.
    """

    def raise_error(problem, *steps):
        raise tomlfile.TomlFileError(tomlfile.format_problem(path, text, list(steps), problem))

    for key, rows in (
        ("grades", scenario.service_classes),
        ("customers", scenario.tenants),
        ("variants", scenario.variants),
    ):
        seen = set()
        for at, row in enumerate(rows):
            if row.name in seen:
                raise_error(f"{row.name!r} is defined twice", key, at, "name")
            seen.add(row.name)
    for at, tier in enumerate(scenario.tiers):
        if at and tier.balancers != 1:
            raise_error(
                "only the first tier has balancers of its own; later ones have one for each caller",
                "tiers",
                at,
                "balancers",
            )
        if tier.loop_service_class is not None and tier.loop_service_class not in [
            row.name for row in scenario.service_classes
        ]:
            raise_error(f"no grade has the name {tier.loop_service_class!r}", "tiers", at, "circle")
    for at, load in enumerate(scenario.load):
        if load.balancer is not None and load.balancer >= scenario.tiers[0].balancers:
            raise_error(
                f"the first tier has {scenario.tiers[0].balancers} balancers, numbered from 0",
                "load",
                at,
                "balancer",
            )
        for key, name, rows in (
            ("customer", load.tenant, scenario.tenants),
            ("grade", load.service_class, scenario.service_classes),
        ):
            if name is not None and name not in [row.name for row in rows]:
                raise_error(f"no {key} has the name {name!r}", "load", at, key)
    for at, fault in enumerate(scenario.faults):
        if fault.tier >= len(scenario.tiers):
            raise_error(
                f"there are {len(scenario.tiers)} tiers, numbered from 0", "troubles", at, "tier"
            )
        if fault.zone is not None and fault.zone >= scenario.zones:
            raise_error(
                f"there are {scenario.zones} zones, numbered from 0", "troubles", at, "zone"
            )
        if fault.start_s >= scenario.seconds:
            raise_error(f"the run lasts {scenario.seconds:g} seconds", "troubles", at, "at")
        if fault.type in NETWORK_FAULTS and not scenario.tiers[fault.tier].has_relays:
            raise_error("needs `network = true` in its tier", "troubles", at, "what")
        count = len(scenario.tiers) and (
            caller_count(scenario, fault.tier)
            if fault.type in BALANCER_FAULTS
            else scenario.tiers[fault.tier].upstreams
        )
        for target in fault.target_numbers or ():
            if not 0 <= target < count:
                raise_error(f"there are {count} targets, numbered from 0", "troubles", at, "who")
    check_discovery(scenario, raise_error)
    from pepperhook.lab import baselines, faulty_balancers

    for at, variant in enumerate(scenario.variants):
        if variant.module != "pepperhook" and variant.module not in baselines.MODULES:
            raise_error(
                f"no policy has the name {variant.module!r}; there are pepperhook, "
                f"{', '.join(baselines.MODULES)}",
                "variants",
                at,
                "module",
            )
        if (
            variant.faulty_balancer is not None
            and variant.faulty_balancer not in faulty_balancers.FINDINGS_BY_FAULT
        ):
            raise_error(
                f"no such kind; there are {', '.join(faulty_balancers.FINDINGS_BY_FAULT)}",
                "variants",
                at,
                "crooked",
            )


def check_discovery(scenario, raise_error):
    """Check the discovery service's table and faults; ``raise_error`` names the key."""
    if scenario.discovery.lines_per_s is not None and scenario.discovery.calls_per_s is None:
        raise_error("needs calls_per_s beside it", "discovery", "lines_per_s")
    for at, fault in enumerate(scenario.faults):
        if fault.type == "discovery_refused" and fault.size > 1:
            raise_error("must be a fraction of the calls, at most 1", "troubles", at, "size")


def caller_count(scenario: Experiment, tier: int) -> int:
    """Return the number of balancers that send to a tier."""
    return scenario.tiers[0].balancers if tier == 0 else scenario.tiers[tier - 1].upstreams


def fault_targets(scenario, fault):
    """Return the numbers, within its tier, of a fault's targets."""
    count = (
        caller_count(scenario, fault.tier)
        if fault.type in BALANCER_FAULTS
        else scenario.tiers[fault.tier].upstreams
    )
    known = list(range(count))
    if fault.zone is not None and fault.type not in NETWORK_FAULTS:
        known = [number for number in known if number % scenario.zones == fault.zone]
    if fault.target_numbers is not None:
        return [number for number in fault.target_numbers if number in known]
    if fault.target_fraction is not None:
        return known[: max(1, round(fault.target_fraction * len(known)))]
    return known[:1] if fault.type in UPSTREAM_FAULTS and fault.zone is None else known


def fault_periods(scenario, fault):
    """Yield the period of a fault for each of its targets: (number, begin, end), in seconds.

    The periods are staggered evenly over the fault's ``stagger_s``.
    """
    chosen = fault_targets(scenario, fault)
    for index, number in enumerate(chosen):
        at = fault.start_s + fault.stagger_s * index / len(chosen)
        yield number, at, at + fault.duration_s


def zone_name(scenario, number):
    """Return the zone of an upstream or balancer with this number in its tier.

    A later tier's balancer is in the zone of the upstream that calls through it.
    """
    return ZONE_NAMES[number % scenario.zones]


class Plan:
    """Addresses and settings of one run, all in 127.0.0.0/8.

    Each caller reaches each upstream at a separate port, so that a stand-in can identify it.
    """

    def __init__(self, scenario, seed, block):
        self.scenario, self.seed, self.block = scenario, seed, block

    def upstream(self, tier, number, caller):
        """Return the address at which an upstream listens for one caller."""
        return f"127.{self.block}.{10 + tier}.{1 + number}", 7000 + caller

    def relay(self, tier, number, caller):
        """Return the address of the relay before an upstream, for one caller."""
        return f"127.{self.block}.{50 + tier}.{1 + number}", 7000 + caller

    def connect_address(self, tier, number, caller):
        """Return the address that a caller connects to: the relay's if the tier has relays."""
        return (self.relay if self.scenario.tiers[tier].has_relays else self.upstream)(
            tier, number, caller
        )

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
        scenario = self.scenario
        settings = {
            "discovery": "ask",
            "me": caller,
            "groupSize": caller_count(scenario, tier),
            "tier": tier,
            "locality": caller % scenario.zones,
            "azs": list(ZONE_NAMES[: scenario.zones]),
            "models": ["m"],
            "orgs": [
                {
                    "name": c.name,
                    "share": c.share / sum(x.share for x in scenario.tenants),
                    "quotaPerS": c.quota_per_s,
                }
                for c in scenario.tenants
            ],
            "permissions": {
                "cancel": True,
                "probes": True,
                "parallelTries": False,
                "retryAfter": True,
                "maxRetryAfterUs": 1_000_000,
                "maxDispatches": scenario.max_dispatches,
                "connectTimeoutUs": 300_000,
                "keepaliveUs": int(scenario.tiers[tier].machine.idle_close_s * 1e6),
                **scenario.permissions,
            },
            "safety": {
                "askWithinUs": 10_000_000,
                "drainGraceUs": 300_000,
                "startCapacity": scenario.tiers[tier].machine.start_capacity,
                "warmWithinUs": int(scenario.tiers[tier].machine.warm_s * 1e6)
                if scenario.tiers[tier].machine.start_capacity < 1
                else 0,
                "fallMultiple": scenario.tiers[tier].machine.fall_multiple or 2.5,
                "fallUs": int(scenario.tiers[tier].machine.fall_s * 1e6),
                **scenario.safety,
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
                for g in scenario.service_classes
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
        document = {
            "day": msgspec.to_builtins(self.scenario),
            "seed": self.seed,
            "block": self.block,
        }
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


def reserve_block():
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
