"""Repeats a sample of the policy's calls with candidate settings, and counts differences."""

import json
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from pepperhook import settings
from pepperhook.actions import Action
from pepperhook.domain import Request
from pepperhook.errors import PepperhookError
from pepperhook.operator_config.schema import ShadowTable
from pepperhook.policy_proxy import PolicyProxy
from pepperhook.scheduler import random_fraction
from pepperhook.server.config import Config
from pepperhook.server.structured_logging import Log
from pepperhook.settings import Settings
from pepperhook.shadow.comparison import Difference, compare
from pepperhook.shadow.twin import (
    ACCEPT,
    IncomparableSettingsError,
    PolicyCopy,
    check_comparable,
    subset_of,
)

MAX_FAULTS = 20  # comparisons stop after this many, as further ones would most likely fail, too


class ShadowSettingsError(PepperhookError, ValueError):
    """The candidate settings can't be used; the message names the file and the key."""


def read_candidate_settings(path: str, config: Config) -> Settings:
    """Read the settings to be compared with those of ``config``. Raises ShadowSettingsError."""
    try:
        document = json.loads(Path(path).read_text(encoding="utf-8"))
        # The file may contain the settings alone, or a whole configuration.
        if isinstance(document, dict):
            document = document.get("settings", document)
        # As in server.config, which sets this whatever the settings document says.
        polls_endpoints = config.settings.polls_endpoints
        candidate = replace(settings.read(document), polls_endpoints=polls_endpoints)
        check_comparable(config.settings, candidate)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or error
        raise ShadowSettingsError(f"shadow.settings: {path}: {reason}") from error
    return candidate


class Shadow:
    """The extension: counts the differences. A copy of the policy exists only during a call."""

    def __init__(self, table: ShadowTable, config: Config, log: Log) -> None:
        """Read the candidate settings. Raises ShadowSettingsError."""
        self.sampled_fraction = table.sampled_fraction
        self.log = log
        self.seed = config.seed
        self.candidate_settings = read_candidate_settings(table.settings_file, config)
        self.differences: Counter[Difference] = Counter()
        self.calls = 0
        self.compared = 0
        self.faults = 0
        self.is_comparable = True  # with the settings in force

    def born(self, _app: Any, policy: Any, _now: int) -> "ShadowedPolicy":
        """Return a proxy that wraps the policy."""
        return ShadowedPolicy(policy, self)

    def reconfigured(self, settings: Settings) -> None:
        """Compare only while the settings in force and the candidate have the same effects."""
        was_comparable = self.is_comparable
        try:
            check_comparable(settings, self.candidate_settings)
            self.is_comparable = True
        except IncomparableSettingsError as error:
            self.is_comparable = False
            if was_comparable:
                self.log.warning("shadow_not_comparable", error=error)

    def told(self) -> dict[str, Any]:
        """Return the counts for the log, without the kinds of differences that did not occur."""
        counts = {kind.value: self.differences[kind] for kind in Difference}
        return {
            "name": "shadow",
            "calls": self.calls,
            "compared": self.compared,
            "faults": self.faults,
            **{kind: count for kind, count in counts.items() if count},
        }

    def count_and_sample_call(self) -> bool:
        """Count a call, and return whether to compare it.

        The random sequence is separate from the policy's, so that the policy's draws stay the same.
        """
        self.calls += 1
        if self.faults >= MAX_FAULTS or not self.is_comparable:
            return False
        draw = random_fraction(b"shadow %d %d" % (self.seed, self.calls))
        return draw < self.sampled_fraction

    def count_fault(self, call: str, error: Exception) -> None:
        """Count and log a failed comparison; the call itself is not affected."""
        self.faults += 1
        self.log.warning(
            "shadow_fault",
            call=call,
            error=f"{type(error).__name__}: {error}",
            left_off=self.faults >= MAX_FAULTS,  # whether comparisons stop
        )


@dataclass(slots=True)
class ShadowDecision:
    """A copy of the policy, and the actions that it returned for a call."""

    policy_copy: PolicyCopy
    actions: Sequence[Action]


class ShadowedPolicy(PolicyProxy):
    """A proxy of the policy that compares some calls and passes on everything else."""

    def __init__(self, module: Any, shadow: Shadow) -> None:
        """Wrap ``module``: the policy, or another proxy of it, such as the capture's."""
        policy = module
        while isinstance(policy, PolicyProxy):
            policy = policy.module
        super().__init__(module, policy=policy, shadow=shadow)

    def accept(self, now: int, request: Request) -> Any:
        """Accept a request, and compare the decision."""
        return self._call_and_compare("accept", now, request)

    def attempt_ended(self, now: int, *arguments: Any) -> Any:
        """Report the end of an attempt, and compare the decision."""
        return self._call_and_compare("attempt_ended", now, *arguments)

    def endpoints_changed(self, now: int, *arguments: Any) -> Any:
        """Report changed endpoints, and compare the decision."""
        return self._call_and_compare("endpoints_changed", now, *arguments)

    def wake(self, now: int) -> Any:
        """Wake the policy, and compare the decision."""
        return self._call_and_compare("wake", now)

    def _call_and_compare(self, name: str, now: int, *arguments: Any) -> Any:
        """Return the live policy's actions; errors in the comparison do not affect them."""
        shadow_decision = self._call_copy(name, now, arguments)
        actions = getattr(self.module, name)(now, *arguments)
        if shadow_decision is not None:
            self._count_differences(name, arguments, actions, shadow_decision)
        return actions

    def _call_copy(self, name: str, now: int, arguments: tuple[Any, ...]) -> ShadowDecision | None:
        """Repeat a sampled call on a copy of the policy, before it changes the live state."""
        if not self.shadow.count_and_sample_call():
            return None
        try:
            policy_copy = PolicyCopy(self.policy, self.shadow.candidate_settings, arguments)
            return ShadowDecision(policy_copy, policy_copy.call(name, now))
        except Exception as error:
            self.shadow.count_fault(name, error)
            return None

    def _count_differences(
        self,
        name: str,
        arguments: tuple[Any, ...],
        actions: Sequence[Action],
        shadow_decision: ShadowDecision,
    ) -> None:
        try:
            objectives = (None, None)
            if name == ACCEPT:
                objectives = (
                    arguments[0].objective_at,
                    shadow_decision.policy_copy.arguments[0].objective_at,
                )
            differences = compare(actions, shadow_decision.actions, *objectives)
            if subset_of(self.policy) != shadow_decision.policy_copy.subset():
                differences.append(Difference.ANOTHER_SUBSET)
            self.shadow.differences.update(differences)
            self.shadow.compared += 1
        except Exception as error:
            self.shadow.count_fault(name, error)
