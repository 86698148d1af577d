"""Reads a deployment's settings, for every host; what is wrong is named by its key."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields
from enum import StrEnum
from typing import Any, TypeVar

from pepperhook.domain import IN_FLIGHT, Effect, RepeatGroup, ServiceClass
from pepperhook.errors import PepperhookError
from pepperhook.units import MICROSECOND, MILLISECOND, SECOND

MAX_NUMBER = 2**62  # in our unit: captures and journals store 64 bits
EFFECTS = {
    "idempotent": Effect.SAFE,
    "deduplicated": Effect.KEYED,
    "at_most_once": Effect.UNSAFE,
}
# Figures of load reports: by their names in the settings, and as the decisions know them.
REPORT_FIGURES = {
    "outstanding": IN_FLIGHT,
    "backlog": "waiting",
    "utilization": "utilisation",
    "recent_ms": "service time ms",
    "throughput": "per second",
    "errors_per_s": "errors per second",
}


class SettingsError(PepperhookError, ValueError):
    """A setting is missing or wrong; the text names its key."""


class ReportSource(StrEnum):
    """Where load reports of upstreams come from."""

    RESPONSES = "answers"
    HEALTH_CHECKS = "probe"
    NONE = "none"


@dataclass(slots=True)
class TenantQuota:
    """What one tenant is entitled to; ``quota_per_s`` 0: no limit."""

    quota_per_s: float = 0.0
    share: float = 0.0


@dataclass(slots=True)
class Settings:
    """A deployment's settings in the project's terms, times in nanoseconds.

    The defaults are what the decisions take an absent setting to mean.
    """

    index: int = 0  # of this balancer in its fleet
    fleet_size: int = 1
    tier: int = 0
    zone: int | None = None
    service_classes: list[ServiceClass] = field(default_factory=list)
    tenants: list[TenantQuota] = field(default_factory=list)
    excess_weight_factor: float = 1.0  # of the priority weight beyond a tenant's quota
    weight_is_per_work: bool = False  # priority weights count per unit of work, not per request
    tick_ns: int = MILLISECOND
    clients_mark_retries: bool = False
    objective_tail: float = 0.0
    objective_tail_slack: float = 0.0
    connection_price: float | None = None
    handshake_price: float | None = None
    cross_zone_price: float = 0.0
    forwards_deadline: bool = False
    may_cancel: bool = False
    may_health_check: bool = False
    may_overlap_attempts: bool = False
    may_advise_retry_after: bool = False
    max_attempts: int = 1
    max_retry_after_ns: int = SECOND
    connect_timeout_ns: int = SECOND
    keepalive_ns: int = 15 * SECOND
    response_slack_ns: int = 0
    endpoint_poll_within_ns: int = 10 * SECOND
    drain_grace_ns: int = 0
    overload_multiple: float = 0.0
    overload_window_ns: int = 0
    slow_start_capacity: float = 1.0  # share of its capacity that a cold upstream has at its start
    slow_start_ns: int = 0
    polls_endpoints: bool = False  # the host asks for the endpoint list
    endpoints_are_pushed: bool = False  # what the machine's agent has counts as notified
    report_source: ReportSource = ReportSource.NONE
    report_names: list[str] = field(default_factory=list)  # as on the wire
    report_figures: list[str] = field(default_factory=list)  # as the decisions know them

    @property
    def position(self) -> tuple[int, int]:
        """The number of balancers in the fleet, and which of them this is."""
        size = max(1, self.fleet_size)
        return size, self.index % size

    @property
    def health_check_figures(self) -> list[str]:
        """The figures that health checks bring, as the decisions know them."""
        is_theirs = self.report_source is ReportSource.HEALTH_CHECKS and self.may_health_check
        return self.report_figures if is_theirs else []

    def replace_with(self, other: "Settings") -> None:
        """Take over another's values; whoever holds this object goes by them from now on."""
        for row in fields(Settings):
            setattr(self, row.name, getattr(other, row.name))


@dataclass(slots=True)
class SettingSpec:
    """How one key of the platform is read: the field, and the factor to our unit (None: a flag)."""

    name: str
    factor: int | None = 1


SETTINGS = {
    "me": SettingSpec("index"),
    "groupSize": SettingSpec("fleet_size"),
    "tier": SettingSpec("tier"),
    "locality": SettingSpec("zone"),
    "excessEarnings": SettingSpec("excess_weight_factor"),
    "tickUs": SettingSpec("tick_ns", MICROSECOND),
    "callers.marksRetry": SettingSpec("clients_mark_retries", None),
    "goal.tail": SettingSpec("objective_tail"),
    "goal.tailSlack": SettingSpec("objective_tail_slack"),
    "prices.connection": SettingSpec("connection_price"),
    "prices.handshake": SettingSpec("handshake_price"),
    "prices.crossZone": SettingSpec("cross_zone_price"),
    "domain.passesDeadline": SettingSpec("forwards_deadline", None),
    "permissions.cancel": SettingSpec("may_cancel", None),
    "permissions.probes": SettingSpec("may_health_check", None),
    "permissions.parallelTries": SettingSpec("may_overlap_attempts", None),
    "permissions.retryAfter": SettingSpec("may_advise_retry_after", None),
    "permissions.maxDispatches": SettingSpec("max_attempts"),
    "permissions.maxRetryAfterUs": SettingSpec("max_retry_after_ns", MICROSECOND),
    "permissions.connectTimeoutUs": SettingSpec("connect_timeout_ns", MICROSECOND),
    "permissions.keepaliveUs": SettingSpec("keepalive_ns", MICROSECOND),
    "safety.answerSlackUs": SettingSpec("response_slack_ns", MICROSECOND),
    "safety.askWithinUs": SettingSpec("endpoint_poll_within_ns", MICROSECOND),
    "safety.drainGraceUs": SettingSpec("drain_grace_ns", MICROSECOND),
    "safety.fallMultiple": SettingSpec("overload_multiple"),
    "safety.fallUs": SettingSpec("overload_window_ns", MICROSECOND),
    "safety.startCapacity": SettingSpec("slow_start_capacity"),
    "safety.warmWithinUs": SettingSpec("slow_start_ns", MICROSECOND),
}


@dataclass(slots=True)
class Names:
    """Numbers by name, for hosts that speak in names."""

    service_classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]


def read(document: Any) -> Settings:
    """Read the settings of a platform's configuration. Raises SettingsError."""
    expect(isinstance(document, dict), "settings", "an object is wanted")
    values = {spec.name: value for spec, value in read_plain(document)}
    return Settings(
        **values,
        polls_endpoints=document.get("discovery") == "ask",
        # Where lists are pushed, what the machine's agent has counts as notified from the start
        # on, also by a host that polls; an absent key says nothing of an agent.
        endpoints_are_pushed=document.get("discovery") == "push",
        weight_is_per_work=document.get("earningsPer") == "work",
        tenants=read_tenants(document),
        service_classes=read_service_classes(document),
        **read_reporting(document),
    )


def read_plain(document: dict[str, Any]) -> Iterator[tuple[SettingSpec, Any]]:
    """Yield the settings that stand under a key of their own and are present, checked."""
    for key, spec in SETTINGS.items():
        value = lookup(document, key)
        if value is None:
            continue
        if spec.factor is None:
            yield spec, flag(key, value)
        else:
            yield spec, number(key, value, spec.factor)


def lookup(document: dict[str, Any], key: str) -> Any:
    """Return the value at a dotted key, or None where it is absent."""
    value: Any = document
    for part in key.split("."):
        expect(value is None or isinstance(value, dict), key, "an object is wanted around it")
        value = None if value is None else value.get(part)
    return value


def read_tenants(document: dict[str, Any]) -> list[TenantQuota]:
    """Read the tenants' quotas in the order of the document."""
    return [
        TenantQuota(
            quota_per_s=number(f"orgs[{at}].quotaPerS", row.get("quotaPerS", 0.0)),
            share=number(f"orgs[{at}].share", row.get("share", 0.0)),
        )
        for at, row in enumerate(rows(document, "orgs"))
    ]


def read_service_classes(document: dict[str, Any]) -> list[ServiceClass]:
    """Read the service classes, at least one."""
    listed = rows(document, "serviceGrades")
    expect(bool(listed), "serviceGrades", "at least one is wanted")
    return [read_service_class(f"serviceGrades[{at}]", at, row) for at, row in enumerate(listed)]


def read_service_class(key: str, at: int, row: dict[str, Any]) -> ServiceClass:
    """Read one service class; an effect of no known kind is unsafe, which is right for all."""
    for wanted in ("timeLimitUs", "effect"):
        expect(row.get(wanted) is not None, f"{key}.{wanted}", "is missing")
    limit = number(f"{key}.timeLimitUs", row["timeLimitUs"], MICROSECOND)
    effect = row["effect"]
    expect(isinstance(effect, str), f"{key}.effect", f"a word is wanted, not {effect!r:.40}")
    repeat_group = choice(f"{key}.group", row.get("group", "all"), RepeatGroup)
    default_objective = limit / MICROSECOND
    objective = row.get("goalTimeUs", default_objective)
    return ServiceClass(
        number=at,
        time_limit_ns=limit,
        objective_ns=number(f"{key}.goalTimeUs", objective, MICROSECOND),
        effect=EFFECTS.get(effect, Effect.UNSAFE),
        repeat_group=repeat_group,
        key_window_ns=number(f"{key}.keyTtlUs", row.get("keyTtlUs", 0), MICROSECOND),
        priority_weight=number(f"{key}.earnings", row.get("earnings", 1.0)),
        late_priority_weight=number(f"{key}.lateEarnings", row.get("lateEarnings", 0.0)),
        streaming=flag(f"{key}.stream", row.get("stream", False)),
    )


def read_reporting(document: dict[str, Any]) -> dict[str, Any]:
    """Read where load reports come from, and which figures they hold."""
    reporting = document.get("reporting") or {}
    expect(isinstance(reporting, dict), "reporting", "an object is wanted")
    source = choice("reporting.how", reporting.get("how", "none"), ReportSource)
    names = reporting.get("fields") or []
    is_list_of_names = isinstance(names, list) and all(isinstance(name, str) for name in names)
    expect(
        is_list_of_names and len(set(names)) == len(names),
        "reporting.fields",
        "a list of names is wanted, each once",
    )
    return {
        "report_source": source,
        "report_names": names,
        "report_figures": [REPORT_FIGURES.get(name, name) for name in names],
    }


def read_names(document: dict[str, Any]) -> Names:
    """Read the names behind the numbers of service classes, tenants, zones and kinds."""
    return Names(
        service_classes=numbers_by_name(document, "serviceGrades"),
        tenants=numbers_by_name(document, "orgs"),
        zones=numbers_of_list(document, "azs"),
        kinds=numbers_of_list(document, "models"),
    )


def numbers_by_name(document: dict[str, Any], key: str) -> dict[str, int]:
    """Number the rows of a table by their names."""
    return {
        name(f"{key}[{at}].name", row.get("name")): at for at, row in enumerate(rows(document, key))
    }


def numbers_of_list(document: dict[str, Any], key: str) -> dict[str, int]:
    """Number the names of a list."""
    listed = document.get(key) or []
    expect(isinstance(listed, list), key, "a list is wanted")
    return {name(f"{key}[{at}]", value): at for at, value in enumerate(listed)}


def name(key: str, value: Any) -> str:
    """Check a name."""
    expect(isinstance(value, str) and bool(value), key, f"a name is wanted, not {value!r:.40}")
    return str(value)


def rows(document: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Check a list of objects; an absent one is empty."""
    found = document.get(key) or []
    expect(isinstance(found, list), key, "a list is wanted")
    for at, row in enumerate(found):
        expect(isinstance(row, dict), f"{key}[{at}]", "an object is wanted")
    return list(found)


def number(key: str, value: Any, factor: int = 1) -> Any:
    """Check a number from zero up, and convert it to our unit."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    expect(
        is_number and 0 <= value * factor < MAX_NUMBER,
        key,
        f"a number from zero up to {MAX_NUMBER / factor:.3g} is wanted, not {value!r:.40}",
    )
    return round(value * factor) if factor != 1 else value


def flag(key: str, value: Any) -> bool:
    """Check a truth value."""
    expect(isinstance(value, bool), key, f"true or false is wanted, not {value!r:.40}")
    return bool(value)


Choice = TypeVar("Choice", bound=StrEnum)


def choice(key: str, value: Any, kind: Callable[[Any], Choice]) -> Choice:
    """Check one of a closed set of words."""
    try:
        return kind(value)
    except ValueError:
        words = ", ".join(member.value for member in kind)  # type: ignore[attr-defined]
        raise SettingsError(f"settings: {key}: one of {words} is wanted") from None


def expect(holds: bool, key: str, text: str) -> None:
    """Raise SettingsError unless ``holds``."""
    if not holds:
        raise SettingsError(f"settings: {key}: {text}")
