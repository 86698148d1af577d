"""The settings of a deployment, and their validation; errors name the key of the setting."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields
from enum import StrEnum
from typing import Any, TypeVar

from pepperhook.domain import IN_FLIGHT, Effect, RepeatGroup, ServiceClass
from pepperhook.errors import PepperhookError
from pepperhook.units import MICROSECOND, MILLISECOND, SECOND

MAX_NUMBER = 2**62  # after conversion to the unit of the field: captures and journals store 64 bits
EFFECTS = {
    "idempotent": Effect.SAFE,
    "deduplicated": Effect.KEYED,
    "at_most_once": Effect.UNSAFE,
}
# Names of load report figures in the settings -> names in the policy.
REPORT_FIGURES = {
    "outstanding": IN_FLIGHT,
    "backlog": "waiting",
    "utilization": "utilisation",
    "recent_ms": "service time ms",
    "throughput": "per second",
    "errors_per_s": "errors per second",
}


class SettingsError(PepperhookError, ValueError):
    """A setting is missing or invalid; the message names its key."""


class ReportSource(StrEnum):
    """Source of the load reports of upstreams."""

    RESPONSES = "answers"
    HEALTH_CHECKS = "probe"
    NONE = "none"


@dataclass(slots=True)
class TenantQuota:
    """Quota of a tenant in requests per second; 0: no limit."""

    quota_per_s: float = 0.0
    share: float = 0.0  # not used by the policy


@dataclass(slots=True)
class Settings:
    """Settings of a deployment under the names of the policy, times in nanoseconds.

    A default is the value that the policy assumes for an absent setting.
    """

    index: int = 0  # index of this balancer in its fleet
    fleet_size: int = 1
    tier: int = 0
    zone: int | None = None
    service_classes: list[ServiceClass] = field(default_factory=list)
    tenants: list[TenantQuota] = field(default_factory=list)
    excess_weight_factor: float = 1.0  # factor of the priority weight beyond a tenant's quota
    weight_is_per_work: bool = False  # priority weights apply per unit of work, not per request
    tick_ns: int = MILLISECOND
    clients_mark_retries: bool = False
    objective_tail: float = 0.0  # if not 0, requests end early enough for their clients' retries
    objective_tail_slack: float = 0.0  # not used by the policy
    connection_price: float | None = None
    handshake_price: float | None = None
    cross_zone_price: float = 0.0
    forwards_deadline: bool = False  # not used by the policy
    may_cancel: bool = False
    may_health_check: bool = False
    may_overlap_attempts: bool = False  # not used by the policy
    may_advise_retry_after: bool = False
    max_attempts: int = 1
    max_retry_after_ns: int = SECOND
    connect_timeout_ns: int = SECOND
    keepalive_ns: int = 15 * SECOND
    response_slack_ns: int = 0  # not used by the policy
    endpoint_poll_within_ns: int = 10 * SECOND
    drain_grace_ns: int = 0  # not used by the policy
    overload_multiple: float = 0.0  # not used by the policy
    overload_window_ns: int = 0  # not used by the policy
    slow_start_capacity: float = 1.0  # share of its capacity that an upstream has at its start
    slow_start_ns: int = 0
    polls_endpoints: bool = False  # the host polls the endpoint list
    # Lists are pushed to an agent on this machine; the balancer counts as notified of a change as
    # soon as the agent has it.
    endpoints_are_pushed: bool = False
    # The host is notified of each change of the endpoint list, and of the end of its subscription.
    # Otherwise it polls, and only an answered poll shows that the list is current.
    subscribes_to_endpoints: bool = False
    report_source: ReportSource = ReportSource.NONE
    report_names: list[str] = field(default_factory=list)  # names on the wire
    report_figures: list[str] = field(default_factory=list)  # names in the policy

    @property
    def position(self) -> tuple[int, int]:
        """The number of balancers in the fleet, and the index of this one."""
        size = max(1, self.fleet_size)
        return size, self.index % size

    @property
    def health_check_figures(self) -> list[str]:
        """The figures that health checks report, by their names in the policy."""
        are_reported = self.report_source is ReportSource.HEALTH_CHECKS and self.may_health_check
        return self.report_figures if are_reported else []

    def replace_with(self, other: "Settings") -> None:
        """Copy all values of ``other`` in place, so that all users of this object see them."""
        for setting in fields(Settings):
            setattr(self, setting.name, getattr(other, setting.name))


@dataclass(slots=True)
class SettingSpec:
    """The Settings field of a configuration key, and the factor of its unit (None: a boolean)."""

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
    """Numbers of service classes, tenants, zones and kinds of upstreams, by their names."""

    service_classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]


def read(document: Any) -> Settings:
    """Read settings from a configuration document. Raises SettingsError."""
    expect(isinstance(document, dict), "settings", "must be an object")
    values = {spec.name: value for spec, value in read_scalars(document)}
    return Settings(
        **values,
        polls_endpoints=document.get("discovery") == "ask",
        # Where lists are pushed, the balancer counts as notified of a change as soon as the agent
        # has it, even if the host polls. An absent key does not imply an agent.
        endpoints_are_pushed=document.get("discovery") == "push",
        weight_is_per_work=document.get("earningsPer") == "work",
        tenants=read_tenants(document),
        service_classes=read_service_classes(document),
        **read_reporting(document),
    )


def read_scalars(document: dict[str, Any]) -> Iterator[tuple[SettingSpec, Any]]:
    """Yield the validated values of the keys in SETTINGS that are present."""
    for key, spec in SETTINGS.items():
        value = lookup(document, key)
        if value is None:
            continue
        if spec.factor is None:
            yield spec, parse_flag(key, value)
        else:
            yield spec, parse_number(key, value, spec.factor)


def lookup(document: dict[str, Any], key: str) -> Any:
    """Return the value at a dotted key, or None where it is absent."""
    value: Any = document
    for part in key.split("."):
        expect(
            value is None or isinstance(value, dict), key, "its enclosing value must be an object"
        )
        value = None if value is None else value.get(part)
    return value


def read_tenants(document: dict[str, Any]) -> list[TenantQuota]:
    """Read the tenants' quotas in the order of the document."""
    return [
        TenantQuota(
            quota_per_s=parse_number(f"orgs[{index}].quotaPerS", row.get("quotaPerS", 0.0)),
            share=parse_number(f"orgs[{index}].share", row.get("share", 0.0)),
        )
        for index, row in enumerate(parse_rows(document, "orgs"))
    ]


def read_service_classes(document: dict[str, Any]) -> list[ServiceClass]:
    """Read the service classes, at least one."""
    listed = parse_rows(document, "serviceGrades")
    expect(bool(listed), "serviceGrades", "must have at least one row")
    return [
        read_service_class(f"serviceGrades[{index}]", index, row)
        for index, row in enumerate(listed)
    ]


def read_service_class(key: str, number: int, row: dict[str, Any]) -> ServiceClass:
    """Read one service class; an unknown effect counts as unsafe, which is correct for any."""
    for required in ("timeLimitUs", "effect"):
        expect(row.get(required) is not None, f"{key}.{required}", "is missing")
    limit = parse_number(f"{key}.timeLimitUs", row["timeLimitUs"], MICROSECOND)
    effect = row["effect"]
    expect(isinstance(effect, str), f"{key}.effect", f"must be a string, not {effect!r:.40}")
    repeat_group = parse_choice(f"{key}.group", row.get("group", "all"), RepeatGroup)
    default_objective = limit / MICROSECOND
    objective = row.get("goalTimeUs", default_objective)
    return ServiceClass(
        number=number,
        time_limit_ns=limit,
        objective_ns=parse_number(f"{key}.goalTimeUs", objective, MICROSECOND),
        effect=EFFECTS.get(effect, Effect.UNSAFE),
        repeat_group=repeat_group,
        key_window_ns=parse_number(f"{key}.keyTtlUs", row.get("keyTtlUs", 0), MICROSECOND),
        priority_weight=parse_number(f"{key}.earnings", row.get("earnings", 1.0)),
        late_priority_weight=parse_number(f"{key}.lateEarnings", row.get("lateEarnings", 0.0)),
        streaming=parse_flag(f"{key}.stream", row.get("stream", False)),
    )


def read_reporting(document: dict[str, Any]) -> dict[str, Any]:
    """Read the source of load reports and the figures in them."""
    reporting = document.get("reporting") or {}
    expect(isinstance(reporting, dict), "reporting", "must be an object")
    source = parse_choice("reporting.how", reporting.get("how", "none"), ReportSource)
    names = reporting.get("fields") or []
    is_list_of_names = isinstance(names, list) and all(isinstance(name, str) for name in names)
    expect(
        is_list_of_names and len(set(names)) == len(names),
        "reporting.fields",
        "must be a list of distinct names",
    )
    return {
        "report_source": source,
        "report_names": names,
        "report_figures": [REPORT_FIGURES.get(name, name) for name in names],
    }


def read_names(document: dict[str, Any]) -> Names:
    """Read the names of service classes, tenants, zones and kinds, with their numbers."""
    return Names(
        service_classes=numbers_by_name(document, "serviceGrades"),
        tenants=numbers_by_name(document, "orgs"),
        zones=numbers_of_list(document, "azs"),
        kinds=numbers_of_list(document, "models"),
    )


def numbers_by_name(document: dict[str, Any], key: str) -> dict[str, int]:
    """Return the row numbers of a table by the rows' names."""
    return {
        parse_name(f"{key}[{index}].name", row.get("name")): index
        for index, row in enumerate(parse_rows(document, key))
    }


def numbers_of_list(document: dict[str, Any], key: str) -> dict[str, int]:
    """Return the positions of the names of a list by name."""
    listed = document.get(key) or []
    expect(isinstance(listed, list), key, "must be a list")
    return {parse_name(f"{key}[{index}]", value): index for index, value in enumerate(listed)}


def parse_name(key: str, value: Any) -> str:
    """Validate a name."""
    expect(isinstance(value, str) and bool(value), key, f"must be a name, not {value!r:.40}")
    return str(value)


def parse_rows(document: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Validate a list of objects; an absent one is empty."""
    table = document.get(key) or []
    expect(isinstance(table, list), key, "must be a list")
    for index, row in enumerate(table):
        expect(isinstance(row, dict), f"{key}[{index}]", "must be an object")
    return list(table)


def parse_number(key: str, value: Any, factor: int = 1) -> Any:
    """Validate a number of at least zero, and convert it by ``factor``."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    expect(
        is_number and 0 <= value * factor < MAX_NUMBER,
        key,
        f"must be a number of at least 0 and below {MAX_NUMBER / factor:.3g}, not {value!r:.40}",
    )
    return round(value * factor) if factor != 1 else value


def parse_flag(key: str, value: Any) -> bool:
    """Validate a boolean."""
    expect(isinstance(value, bool), key, f"must be true or false, not {value!r:.40}")
    return bool(value)


Choice = TypeVar("Choice", bound=StrEnum)


def parse_choice(key: str, value: Any, kind: Callable[[Any], Choice]) -> Choice:
    """Convert a word to a member of the enum ``kind``."""
    try:
        return kind(value)
    except ValueError:
        words = ", ".join(member.value for member in kind)  # type: ignore[attr-defined]
        raise SettingsError(f"settings: {key}: must be one of {words}") from None


def expect(is_valid: bool, key: str, message: str) -> None:
    """Raise SettingsError with ``message`` unless ``is_valid``."""
    if not is_valid:
        raise SettingsError(f"settings: {key}: {message}")
