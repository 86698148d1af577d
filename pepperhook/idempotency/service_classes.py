"""Service classes and tenants, read from the balancer's settings.

Only this module of the package depends on the structure of the settings, and on how a request
refers to its service class.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from msgspec import Struct

from pepperhook.domain import Effect, ServiceClass

if TYPE_CHECKING:
    from pepperhook.operator_config.schema import IdempotencyTable
    from pepperhook.settings import Names, Settings

NS_PER_S = 10**9
MIN_QUOTA = 1e-9  # for tenants without a quota, which get the smallest partition


class ServiceClassPolicy(Struct, frozen=True):
    """How keys of one service class are handled."""

    name: str
    window_ns: int  # how long a key applies after its request has ended; 0: keys are ignored
    is_safe: bool
    is_key_required: bool = False


class KeySettings(Struct, frozen=True):
    """What the settings say on keys at one time."""

    policies: Sequence[ServiceClassPolicy]  # by service class number
    # By tenant number, and a last one for all tenants that the settings do not list; positive.
    quotas: Sequence[float]
    longest_request_ns: int  # the longest time limit of all service classes
    max_retry_after_ns: int  # of a rejected request; 0 if no Retry-After may be sent


def read_key_settings(table: IdempotencyTable, settings: Settings, names: Names) -> KeySettings:
    """Read what the operator's ``table`` and the settings say on keys.

    Raises ValueError with a one-line message.
    """
    return KeySettings(
        policies=_read_policies(table, settings, _names_by_number(names.service_classes)),
        quotas=_tenant_quotas(settings),
        longest_request_ns=max(row.time_limit_ns for row in settings.service_classes),
        max_retry_after_ns=settings.max_retry_after_ns if settings.may_advise_retry_after else 0,
    )


def _read_policies(
    table: IdempotencyTable, settings: Settings, names: list[str]
) -> list[ServiceClassPolicy]:
    _check_names(table, names)
    policies = [
        ServiceClassPolicy(
            name=name,
            window_ns=_window_ns(table, row, name),
            is_safe=row.effect is Effect.SAFE,
            is_key_required=name in table.classes_with_required_key,
        )
        for row, name in zip(settings.service_classes, names, strict=True)
    ]
    for policy in policies:
        if policy.is_key_required and not policy.window_ns:
            raise ValueError(
                f"repeats.require: grade {policy.name!r} has a window of 0, "
                "with which keys are ignored"
            )
    return policies


def _check_names(table: IdempotencyTable, names: list[str]) -> None:
    references = [("window_s", name) for name in table.window_by_class_s]
    references += [("require", name) for name in table.classes_with_required_key]
    for key, name in references:
        if name not in names:
            raise ValueError(
                f"repeats.{key}: the settings have no grade {name!r}; they have: {', '.join(names)}"
            )


def _window_ns(table: IdempotencyTable, row: ServiceClass, name: str) -> int:
    """Return the operator's window, or the default for the service class's effect.

    The default of a keyed class comes from the settings: the time for which its upstreams remember
    a key.
    """
    window_s = table.window_by_class_s.get(name)
    if window_s is not None:
        return int(window_s * NS_PER_S)
    if row.effect is Effect.KEYED:
        return row.key_window_ns
    default_s = table.unsafe_window_s if row.effect is Effect.UNSAFE else table.safe_window_s
    return int(default_s * NS_PER_S)


def _names_by_number(numbers: dict[str, int]) -> list[str]:
    return sorted(numbers, key=lambda name: numbers[name])


def tenant_names(names: Names) -> list[str]:
    """Return the names of all tenants, indexed by number."""
    return _names_by_number(names.tenants)


def _tenant_quotas(settings: Settings) -> list[float]:
    """Return the quotas of all tenants, and a last one, which equals the smallest of them."""
    quotas = [max(MIN_QUOTA, row.share) for row in settings.tenants]
    return [*quotas, min(quotas, default=1.0)]


_STRICTNESS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)  # ascending


def stricter_effect(first: Effect, second: Effect) -> Effect:
    """Return the effect that permits fewer repetitions."""
    return max(first, second, key=_STRICTNESS.index)


def class_number(request: Any) -> int:
    """Return the number of a request's service class."""
    return int(request.service_class.number)


def is_safe(request: Any) -> bool:
    """Return whether running a request twice does no harm."""
    return bool(request.service_class.effect == Effect.SAFE)


def is_unsafe(request: Any) -> bool:
    """Return whether a request must run at most once and its upstream does not handle keys."""
    return bool(request.service_class.effect == Effect.UNSAFE)
