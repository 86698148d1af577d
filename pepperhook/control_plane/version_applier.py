"""Applies versions to a running balancer: verifies and checks each before it is in force."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, Protocol

from msgspec import Struct

from pepperhook.control_plane.balancer_settings import build_settings, with_fleet_position
from pepperhook.control_plane.balancer_view import read_balancer_view
from pepperhook.control_plane.document import (
    EMPTY_DOCUMENT,
    Document,
    InvalidDocumentError,
    parse_document,
)
from pepperhook.control_plane.last_good import LastGoodFile, UnusableStateError
from pepperhook.control_plane.listed_endpoints import ListedEndpoints, has_other_weight, weight_of
from pepperhook.control_plane.messages import Rejection
from pepperhook.control_plane.safety_checks import (
    BalancerView,
    describe,
    not_overridden,
    violations_on_balancer,
)
from pepperhook.control_plane.version import ForgedVersionError, Version, verify_version
from pepperhook.errors import PepperhookError
from pepperhook.key_ring import KeyRing
from pepperhook.server.config import Config
from pepperhook.server.structured_logging import Log
from pepperhook.settings import Settings

RATE_LIMITS = "customers"  # name of the extension whose settings a document may change


class Position(Protocol):
    """The balancer's place in its tier; without an index the settings' place counts."""

    index: int | None
    count: int


class ApplierCounters(Struct):
    """What became of the versions that arrived."""

    applied: int = 0
    rejected: int = 0
    forged: int = 0
    outdated: int = 0


class NotApplicableError(PepperhookError):
    """A version that passed all checks could not be put into force."""


class PolicyFaultError(PepperhookError):
    """The policy failed in a call."""


@dataclass(frozen=True, slots=True)
class PreparedVersion:
    """All that a version changes; ``limits`` is None where no rate limits are on."""

    version: Version | None
    document: Document
    settings: Settings
    limits: Any  # the extension's own record of what it enforces


class VersionApplier:
    """Owns the version in force and tells the policy of it.

    Nothing here waits, so a version takes effect between two events of the balancer: a request that
    was admitted before keeps the rules that it was admitted under.
    """

    def __init__(
        self, config: Config, keys: KeyRing, log: Log, extensions: Mapping[str, Any]
    ) -> None:
        """Begin with the configuration that the balancer was started with.

        ``extensions`` are those that are on, by their names in a document.
        """
        self.running: Version | None = None  # None: nothing but the start's configuration
        self.rejection: Rejection | None = None  # of the last version, if it was rejected
        self.position: Position | None = None
        self.counters = ApplierCounters()
        self.endpoints = ListedEndpoints()
        self.document: Document = parse_document(EMPTY_DOCUMENT)
        self._config = config
        self._start_settings = replace(config.settings)  # those in force change in place
        self._keys = keys
        self._log = log
        self.extensions = extensions
        self._node: Any = None

    def attach(self, node: Any) -> None:
        """Apply to this balancer from now on."""
        self._node = node

    @property
    def running_number(self) -> int:
        """Return the number of the version in force; 0: none."""
        return self.running.number if self.running is not None else 0

    @property
    def latest_seen_number(self) -> int:
        """Return the number that the service need not send again."""
        return self.rejection.version if self.rejection else self.running_number

    def known_version(self, number: int) -> Version | None:
        """Return the version in force if it has that number; a patch is made of no other one."""
        return self.running if number == self.running_number else None

    def receive(self, version: Version) -> bool:
        """Verify, check and apply a version; tell whether it was applied."""
        try:
            verify_version(version, self._keys)
        except ForgedVersionError as error:
            self.counters.forged += 1
            self._log.error("version_forged", error=error)
            return False
        if version.number <= self.running_number:
            self.counters.outdated += 1
            self._log.warning(
                "version_outdated", version=version.number, running=self.running_number
            )
            return False
        try:
            document = parse_document(version.document)
        except InvalidDocumentError as error:
            self._reject(version, str(error))
            return False
        violations = violations_on_balancer(document, self._view())
        standing = not_overridden(violations, version.forced)
        if standing:
            self._reject(version, describe(standing))
            return False
        try:
            self.apply(version, document)
        except NotApplicableError as error:
            self._reject(version, f"cannot be applied: {error}")
            return False
        self.counters.applied += 1
        self.rejection = None
        self._log.info(
            "version_applied", version=version.number, author=version.author, reason=version.reason
        )
        return True

    def restore(self, file: LastGoodFile) -> None:
        """Apply the last good version from disk, if it is still usable."""
        try:
            version = file.load(self._keys)
            if version is None:
                return
            document = parse_document(version.document)
        except (UnusableStateError, InvalidDocumentError) as error:
            self._log.warning("last_good_unusable", error=error)
            return
        # Nothing was measured yet, so only what cannot be overridden counts.
        violations = violations_on_balancer(document, self._view())
        mandatory = [violation for violation in violations if not violation.overridable]
        if mandatory:
            reasons = "; ".join(f"{one.key}: {one.reason}" for one in mandatory)
            self._log.warning("last_good_unusable", error=reasons)
            return
        try:
            self.apply(version, document)
        except NotApplicableError as error:
            self._log.warning("last_good_unusable", error=error)
            return
        self._log.info("last_good_loaded", version=version.number)

    def _reject(self, version: Version, reason: str) -> None:
        self.counters.rejected += 1
        self.rejection = Rejection(version.number, reason)
        self._log.warning("version_rejected", version=version.number, reason=reason)

    def _view(self) -> BalancerView:
        return read_balancer_view(
            self._node.runtime.policy,
            self._start_settings,
            self._config.names,
            self.extensions,
            self.endpoints,
        )

    def apply(self, version: Version, document: Document) -> None:
        """Put a version into force, unchecked: all of it, or nothing.

        Raises NotApplicableError where that fails; what was in force before is so again.
        """
        try:
            prepared = self._prepare(version, document)
            before = self._in_force()
        except Exception as error:
            raise NotApplicableError(f"{type(error).__name__}: {error}") from error
        try:
            self._put_into_force(prepared)
        except Exception as error:
            self._go_back(before)
            raise NotApplicableError(f"{type(error).__name__}: {error}") from error

    def _prepare(self, version: Version | None, document: Document) -> PreparedVersion:
        """Make all that a version changes, before anything does."""
        rate_limits = self.extensions.get(RATE_LIMITS)
        limits = None
        if rate_limits is not None:
            limits = rate_limits.prepare(document.extensions.rate_limits)
        return PreparedVersion(version, document, self._settings(document), limits)

    def _in_force(self) -> PreparedVersion:
        rate_limits = self.extensions.get(RATE_LIMITS)
        limits = None if rate_limits is None else rate_limits.limits
        return PreparedVersion(self.running, self.document, self._settings(self.document), limits)

    def _put_into_force(self, prepared: PreparedVersion) -> None:
        if prepared.limits is not None:
            self.extensions[RATE_LIMITS].limits = prepared.limits
        rows = self.endpoints.rows_to_correct(prepared.document)
        policy = self._node.runtime.policy
        if rows:
            self._call_policy(policy.endpoints_corrected, rows)
        self._reconfigure(prepared.settings, prepared.document)
        self.running = prepared.version
        self.document = prepared.document

    def _go_back(self, before: PreparedVersion) -> None:
        try:
            self._put_into_force(before)
        except Exception:
            # The policy fails with what it had, too, which its own log lines tell.
            self._log.exception("version_not_restored")

    def _call_policy(self, call: Any, *arguments: Any) -> None:
        if not self._node.runtime.call_policy(call, *arguments):
            raise PolicyFaultError(f"the policy failed in {call.__name__}")

    def _settings(self, document: Document) -> Settings:
        settings = build_settings(document, self._start_settings, self._config.names)
        if self.position is not None and self.position.index is not None:
            settings = with_fleet_position(settings, self.position.index, self.position.count)
        return settings

    def _reconfigure(self, settings: Settings, document: Document) -> None:
        weights = [
            (upstream, weight_of(upstream, document)) for upstream in self.endpoints.upstreams()
        ]
        self._call_policy(self._node.runtime.policy.reconfigure, settings, weights)
        self._node.ingress.update_settings()

    def update_policy(self) -> None:
        """Give the policy its settings and weights by the document and the position in force."""
        try:
            self._reconfigure(self._settings(self.document), self.document)
        except PolicyFaultError as error:
            self._log.warning("policy_not_updated", error=error)

    def correct_weights(self, upstreams: list[Any]) -> None:
        """Update the policy if it has other weights than the document says."""
        if self.document.upstreams and any(
            has_other_weight(upstream, self.document) for upstream in upstreams
        ):
            self.update_policy()
