"""Decides one call a second time, by other settings, from the same state and random draws.

The twin is a copy of the policy's whole state, made before the call and discarded after it. A twin
that lived on would drift away, and after minutes every decision would differ for reasons that no
setting has.
"""

from typing import Any

from pepperhook.capture import state
from pepperhook.errors import PepperhookError
from pepperhook.settings import Settings

ACCEPT = "accept"  # the call that brings a new request


class IncomparableSettingsError(PepperhookError, ValueError):
    """The other settings are of another service; the text names the key."""


def check_comparable(settings: Settings, other: Settings) -> None:
    """Check that requests in flight and learnt figures fit both. Raises IncomparableSettingsError.

    They belong to service classes and tenants by number.
    """
    _check_counts("serviceGrades", len(settings.service_classes), len(other.service_classes))
    _check_counts("orgs", len(settings.tenants), len(other.tenants))
    pairs = zip(settings.service_classes, other.service_classes, strict=True)
    for index, (own, others) in enumerate(pairs):
        if own.effect != others.effect:
            raise IncomparableSettingsError(
                f"serviceGrades[{index}].effect: {others.effect}, {own.effect} is in force"
            )


def _check_counts(key: str, in_force: int, other: int) -> None:
    if in_force != other:
        raise IncomparableSettingsError(f"{key}: {other} of them, {in_force} are in force")


class Twin:
    """A copy of a policy that goes by other settings, with the arguments of one call."""

    def __init__(self, policy: Any, settings: Settings, arguments: tuple[Any, ...]) -> None:
        """Copy ``policy`` and the arguments that refer to its objects."""
        self.policy, self.arguments = state.clone(policy, arguments)
        self.policy.configure(settings)

    def call(self, name: str, now: int) -> Any:
        """Return the actions of the call ``name``."""
        if name == ACCEPT:
            self._use_own_service_class(self.arguments[0])
        return getattr(self.policy, name)(now, *self.arguments)

    def _use_own_service_class(self, request: Any) -> None:
        """Have a new request go by the other settings; those in flight do since the copy."""
        classes = self.policy.settings.service_classes
        request.service_class = classes[request.service_class.number]

    def subset(self) -> list[bytes]:
        """Return the addresses of the upstreams that the twin uses."""
        return subset_of(self.policy)


def subset_of(policy: Any) -> list[bytes]:
    """Return the addresses of the upstreams that a policy uses."""
    return [upstream.address for upstream in policy.subset.members]
