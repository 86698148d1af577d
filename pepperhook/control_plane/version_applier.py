"""Applies versions to a running balancer, after verifying the signature and the safety checks."""

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
from pepperhook.control_plane.listed_endpoints import ListedEndpoints, weight_differs, weight_of
from pepperhook.control_plane.messages import Rejection
from pepperhook.control_plane.safety_checks import (
    BalancerView,
    describe_violations,
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
    """The balancer's position in its tier; while ``index`` is None, the settings' one is used."""

    index: int | None
    count: int  # fleet size


class ApplierCounters(Struct):
    """Counts the received versions by their result."""

    applied: int = 0
    rejected: int = 0
    forged: int = 0
    outdated: int = 0


class NotApplicableError(PepperhookError):
    """A version that passed all checks could not be applied."""


class PolicyFaultError(PepperhookError):
    """A call of the policy failed."""


@dataclass(frozen=True, slots=True)
class PreparedVersion:
    """All state that a version changes; ``limits`` is None if rate limits are disabled."""

    version: Version | None
    document: Document
    settings: Settings
    limits: Any  # the limits in the rate limit extension's own form


class VersionApplier:
    """Owns the version in force and reconfigures the policy for it.

    No method is a coroutine, so a version takes effect between two events of the balancer. Requests
    that were admitted before keep the rules that they were admitted under.
    """

    def __init__(
        self, config: Config, keys: KeyRing, log: Log, extensions: Mapping[str, Any]
    ) -> None:
        """Begin with the configuration that the balancer was started with.

        ``extensions`` are the enabled ones, by their names in a document.
        """
        self.running: Version | None = None  # None: only the startup configuration
        self.rejection: Rejection | None = None  # of the latest version, if that was rejected
        self.position: Position | None = None
        self.counters = ApplierCounters()
        self.endpoints = ListedEndpoints()
        self.document: Document = parse_document(EMPTY_DOCUMENT)
        self._config = config
        # A copy, as the policy's settings change in place.
        self._startup_settings = replace(config.settings)
        self._keys = keys
        self._log = log
        self.extensions = extensions
        self._app: Any = None

    def attach(self, app: Any) -> None:
        """Set the balancer that versions are applied to."""
        self._app = app

    @property
    def running_number(self) -> int:
        """Return the number of the version in force; 0: none."""
        return self.running.number if self.running is not None else 0

    @property
    def latest_processed_number(self) -> int:
        """Return the number of the last version that was applied or rejected."""
        return self.rejection.version if self.rejection else self.running_number

    def known_version(self, number: int) -> Version | None:
        """Return the version in force if it has this number; patches are only applied to it."""
        return self.running if number == self.running_number else None

    def receive(self, version: Version) -> bool:
        """Verify, check and apply a version; return whether it was applied."""
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
        remaining = not_overridden(violations, version.forced)
        if remaining:
            self._reject(version, describe_violations(remaining))
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
        # Nothing has been measured yet, so only the mandatory checks apply.
        violations = violations_on_balancer(document, self._view())
        mandatory = [violation for violation in violations if not violation.overridable]
        if mandatory:
            reasons = "; ".join(f"{violation.key}: {violation.reason}" for violation in mandatory)
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
            self._app.runtime.policy,
            self._startup_settings,
            self._config.names,
            self.extensions,
            self.endpoints,
        )

    def apply(self, version: Version, document: Document) -> None:
        """Put a version into force without checks: all of it, or nothing.

        Raises NotApplicableError after a failure, and restores the previous version then.
        """
        try:
            prepared = self._prepare(version, document)
            previous = self._current()
        except Exception as error:
            raise NotApplicableError(f"{type(error).__name__}: {error}") from error
        try:
            self._activate(prepared)
        except Exception as error:
            self._restore_previous(previous)
            raise NotApplicableError(f"{type(error).__name__}: {error}") from error

    def _prepare(self, version: Version | None, document: Document) -> PreparedVersion:
        """Build all state that a version changes, before any of it is put into force."""
        rate_limits = self.extensions.get(RATE_LIMITS)
        limits = None
        if rate_limits is not None:
            limits = rate_limits.prepare(document.extensions.rate_limits)
        settings = self._settings(document)
        for check in self._app.extensions.check_settings:
            check(settings)
        return PreparedVersion(version, document, settings, limits)

    def _current(self) -> PreparedVersion:
        rate_limits = self.extensions.get(RATE_LIMITS)
        limits = None if rate_limits is None else rate_limits.limits
        return PreparedVersion(self.running, self.document, self._settings(self.document), limits)

    def _activate(self, prepared: PreparedVersion) -> None:
        if prepared.limits is not None:
            self.extensions[RATE_LIMITS].limits = prepared.limits
        rows = self.endpoints.rows_to_correct(prepared.document)
        policy = self._app.runtime.policy
        if rows:
            self._call_policy(policy.endpoints_corrected, rows)
        self._reconfigure(prepared.settings, prepared.document)
        self.running = prepared.version
        self.document = prepared.document

    def _restore_previous(self, previous: PreparedVersion) -> None:
        try:
            self._activate(previous)
        except Exception:
            # The policy fails with the previous version too; its own log lines report the error.
            self._log.exception("version_not_restored")

    def _call_policy(self, call: Any, *arguments: Any) -> None:
        if not self._app.runtime.call_policy(call, *arguments):
            raise PolicyFaultError(f"the policy failed in {call.__name__}")

    def _settings(self, document: Document) -> Settings:
        settings = build_settings(document, self._startup_settings, self._config.names)
        if self.position is not None and self.position.index is not None:
            settings = with_fleet_position(settings, self.position.index, self.position.count)
        return settings

    def _reconfigure(self, settings: Settings, document: Document) -> None:
        weights = [
            (upstream, weight_of(upstream, document)) for upstream in self.endpoints.upstreams()
        ]
        self._call_policy(self._app.runtime.policy.reconfigure, settings, weights)
        self._app.settings_changed(settings)

    def update_policy(self) -> None:
        """Reconfigure the policy for the document and the position in force."""
        try:
            self._reconfigure(self._settings(self.document), self.document)
        except PolicyFaultError as error:
            self._log.warning("policy_not_updated", error=error)

    def correct_weights(self, upstreams: list[Any]) -> None:
        """Update the policy if weights of upstreams differ from the document's."""
        if self.document.upstreams and any(
            weight_differs(upstream, self.document) for upstream in upstreams
        ):
            self.update_policy()
