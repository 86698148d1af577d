"""Plans and creates versions: checks a document against its parent, numbers and signs it."""

from collections.abc import Callable
from typing import Any

from msgspec import UNSET

from pepperhook.control_plane.document import EMPTY_DOCUMENT, parse_document
from pepperhook.control_plane.history import HistoryStore
from pepperhook.control_plane.merge_patch import differences
from pepperhook.control_plane.messages import Plan, PlanRequest, ProposeRequest
from pepperhook.control_plane.safety_checks import (
    Check,
    Violation,
    describe_violations,
    not_overridden,
    violations_of_change,
)
from pepperhook.control_plane.version import Version, sign_version
from pepperhook.errors import PepperhookError
from pepperhook.key_ring import KeyRing

# A rollback returns to a configuration that members had, so violating these checks does no new
# harm.
ROLLBACK_OVERRIDES = [
    check.value for check in (Check.EFFECT, Check.TIME_LIMIT, Check.METHOD, Check.LARGE_CHANGE)
]


class ChangeRejectedError(PepperhookError, ValueError):
    """The change was rejected; ``violations`` are the checks that rejected it, if any."""

    def __init__(self, text: str, violations: list[Violation] | None = None) -> None:
        """Describe the rejection."""
        super().__init__(text)
        self.violations = violations or []


class VersionCatalog:
    """The versions of an installation, in an append-only history."""

    def __init__(
        self,
        store: HistoryStore,
        keys: KeyRing,
        clock: Callable[[], float],
        known_upstreams: Callable[[], frozenset[str]],
        highest_reported_version: Callable[[], int],
    ) -> None:
        """Continue the stored history.

        ``clock`` gives Unix seconds, ``known_upstreams`` the names that members report,
        ``highest_reported_version`` the highest number that they report.
        """
        self._store = store
        self._keys = keys
        self._clock = clock
        self._known_upstreams = known_upstreams
        self._highest_reported_version = highest_reported_version
        self._hashes: dict[int, str] = {}  # of versions in the store, by number
        self.newest = store.newest_version()

    @property
    def newest_number(self) -> int:
        """Return the number of the newest version; 0 if there is none."""
        return self.newest.number if self.newest else 0

    def has_version(self, number: int, version_hash: str) -> bool:
        """Return whether the store has the version; with an empty hash only the number counts."""
        if number not in self._hashes:
            version = self._store.version(number)
            if version is None:
                return False
            self._hashes[number] = version.hash
        return version_hash in ("", self._hashes[number])

    def plan(self, request: PlanRequest) -> Plan:
        """Return the changes that a document would make and the checks that it violates.

        Raises InvalidDocumentError.
        """
        document = parse_document(request.document)
        parent = self.newest if request.parent is None else self._store.version(request.parent)
        before = parent.document if parent else EMPTY_DOCUMENT
        violations = violations_of_change(
            before, request.document, document, self._known_upstreams()
        )
        return Plan(
            parent=parent.number if parent else 0,
            differences=differences(before, request.document),
            violations=violations,
            standing=not_overridden(violations, request.overridden_checks),
        )

    def propose(self, request: ProposeRequest) -> Version:
        """Add a version.

        Raises InvalidDocumentError, ChangeRejectedError, ConflictError or StoreFullError.
        """
        if request.overridden_checks and not request.reason.strip():
            raise ChangeRejectedError(
                "a check is forced by name and reason, and there is no reason"
            )
        parent = None if request.parent is UNSET else request.parent
        plan = self.plan(
            PlanRequest(
                document=request.document,
                parent=parent,
                overridden_checks=request.overridden_checks,
            )
        )
        if plan.standing:
            raise ChangeRejectedError(describe_violations(plan.standing), plan.standing)
        return self._add(
            parent=self.newest_number if parent is None else parent,
            author=request.author,
            reason=request.reason,
            document=request.document,
            forced=request.overridden_checks,
        )

    def add_rollback(self, target_version: int, author: str, reason: str) -> Version:
        """Add a version with the document of an earlier one. Raises StoreFullError.

        It has a new number, as members do not apply a number that is not above the one they run.
        """
        target = self._store.version(target_version)
        return self._add(
            parent=self.newest_number,
            author=author,
            reason=reason,
            document=target.document if target else EMPTY_DOCUMENT,
            forced=ROLLBACK_OVERRIDES,
        )

    def _next_number(self) -> int:
        """Return a number above all that members report, as they apply no lower one.

        They may report higher ones than the store has, if it was lost or restored from a backup.
        """
        return max(self.newest_number, self._highest_reported_version()) + 1

    def _add(
        self, *, parent: int, author: str, reason: str, document: dict[str, Any], forced: list[str]
    ) -> Version:
        version = sign_version(
            Version(
                number=self._next_number(),
                parent=parent,
                author=author,
                reason=reason,
                made_ms=int(self._clock() * 1000),
                document=document,
                forced=forced,
            ),
            self._keys,
        )
        self._store.add_version(version)
        self.newest = version
        return version
