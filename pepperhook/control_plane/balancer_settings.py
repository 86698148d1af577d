"""Builds the policy's settings from a document.

Apart from ``balancer_view``, this is the only module of the control plane that depends on the
layout of the policy's settings.
"""

from dataclasses import replace
from typing import Any

from pepperhook import domain
from pepperhook.control_plane.document import (
    Document,
    Effect,
    LimitOverrides,
    ServiceClassOverride,
    TenantOverride,
)
from pepperhook.domain import RepeatGroup, ServiceClass
from pepperhook.settings import Names, Settings, TenantQuota

NS_PER_MS = 10**6

POLICY_EFFECTS = {
    Effect.SAFE: domain.Effect.SAFE,
    Effect.KEYED: domain.Effect.KEYED,
    Effect.UNSAFE: domain.Effect.UNSAFE,
}
DOCUMENT_EFFECTS = {policy: effect for effect, policy in POLICY_EFFECTS.items()}


def with_fleet_position(settings: Settings, index: int, fleet_size: int) -> Settings:
    """Return settings for the balancer with this index in a fleet of ``fleet_size`` balancers."""
    return replace(settings, index=index, fleet_size=fleet_size)


def build_settings(document: Document, startup: Settings, names: Names) -> Settings:
    """Return the settings of ``startup``, with the overrides of a document.

    ``startup`` is not changed. Service classes without an override are the same objects, and those
    with one are new objects, so that running requests keep the class they were admitted under.
    """
    service_classes = list(startup.service_classes)
    for name, override in document.service_classes.items():
        number = names.service_classes[name]
        service_classes[number] = _override_service_class(service_classes[number], override)
    tenants = list(startup.tenants)
    for name, tenant_override in document.tenants.items():
        number = names.tenants[name]
        tenants[number] = _override_tenant(tenants[number], tenant_override)
    limits = _limit_settings(document.limits)
    return replace(startup, service_classes=service_classes, tenants=tenants, **limits)


def _override_service_class(current: ServiceClass, override: ServiceClassOverride) -> ServiceClass:
    changes = {
        "time_limit_ns": _nanoseconds(override.time_limit_ms),
        "objective_ns": _nanoseconds(override.latency_objective_ms),
        "key_window_ns": _nanoseconds(override.key_ttl_ms),
        "priority_weight": override.priority_weight,
        "late_priority_weight": override.late_priority_weight,
        "effect": None if override.effect is None else POLICY_EFFECTS[override.effect],
        "repeat_group": None if override.group is None else RepeatGroup(override.group),
    }
    service_class = replace(current, **_drop_unset(changes))
    # A time limit below the latency objective also lowers the objective.
    service_class.objective_ns = min(service_class.objective_ns, service_class.time_limit_ns)
    return service_class


def _override_tenant(current: TenantQuota, override: TenantOverride) -> TenantQuota:
    changes = {"share": override.share, "quota_per_s": override.quota_per_s}
    return replace(current, **_drop_unset(changes))


def _limit_settings(limits: LimitOverrides) -> dict[str, Any]:
    return _drop_unset(
        {
            "max_attempts": limits.max_attempts,
            "may_advise_retry_after": limits.may_send_retry_after,
            "max_retry_after_ns": _nanoseconds(limits.max_retry_after_ms),
            "excess_weight_factor": limits.excess_priority_factor,
        }
    )


def _drop_unset(changes: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in changes.items() if value is not None}


def _nanoseconds(milliseconds: float | None) -> int | None:
    return None if milliseconds is None else round(milliseconds * NS_PER_MS)
