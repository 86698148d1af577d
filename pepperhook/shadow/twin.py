"""Repeats one call on a copy of the policy with candidate settings and the same random draws.

The policy's whole state is copied before the call, and the copy is discarded after it. A copy that
was kept would diverge, and after minutes every decision would differ for reasons other than the
settings.
"""

from typing import Any

from pepperhook.capture import state
from pepperhook.errors import PepperhookError
from pepperhook.settings import Settings

ACCEPT = "accept"  # the policy call for a new request


class IncomparableSettingsError(PepperhookError, ValueError):
    """The candidate settings have other tenants or service classes; the message names the key."""


def check_comparable(settings: Settings, candidate: Settings) -> None:
    """Check that both settings have as many tenants, and as many service classes of equal effects.

    Requests in flight and learned statistics refer to them by number, so a copy of the live state
    is usable with the candidate settings only then. Raises IncomparableSettingsError.
    """
    _check_counts("serviceGrades", len(settings.service_classes), len(candidate.service_classes))
    _check_counts("orgs", len(settings.tenants), len(candidate.tenants))
    pairs = zip(settings.service_classes, candidate.service_classes, strict=True)
    for index, (live_class, candidate_class) in enumerate(pairs):
        if live_class.effect != candidate_class.effect:
            raise IncomparableSettingsError(
                f"serviceGrades[{index}].effect: is {candidate_class.effect}, "
                f"but {live_class.effect} in the settings in force"
            )


def _check_counts(key: str, live_count: int, candidate_count: int) -> None:
    if live_count != candidate_count:
        raise IncomparableSettingsError(
            f"{key}: has {candidate_count} entries, but {live_count} in the settings in force"
        )


class PolicyCopy:
    """A copy of a policy with candidate settings, and of the arguments of one call."""

    def __init__(self, policy: Any, settings: Settings, arguments: tuple[Any, ...]) -> None:
        """Copy ``policy`` and the arguments, which refer to its objects, and apply ``settings``."""
        self.policy, self.arguments = state.clone(policy, arguments)
        self.policy.configure(settings)

    def call(self, name: str, now: int) -> Any:
        """Make the call ``name`` on the copy, and return its actions."""
        if name == ACCEPT:
            self._use_candidate_service_class(self.arguments[0])
        return getattr(self.policy, name)(now, *self.arguments)

    def _use_candidate_service_class(self, request: Any) -> None:
        """Give a new request its candidate service class; requests in flight keep the live one."""
        classes = self.policy.settings.service_classes
        request.service_class = classes[request.service_class.number]

    def subset(self) -> list[bytes]:
        """Return the addresses of the upstreams in the copy's subset."""
        return subset_of(self.policy)


def subset_of(policy: Any) -> list[bytes]:
    """Return the addresses of the upstreams in a policy's subset."""
    return [upstream.address for upstream in policy.subset.members]
