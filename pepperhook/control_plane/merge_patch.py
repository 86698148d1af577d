"""Differences between documents, as lists for operators and as JSON merge patches (RFC 7396)."""

from typing import Any, NamedTuple


class Difference(NamedTuple):
    """One leaf that differs between two documents; None stands for an absent value."""

    key: str  # path of the leaf, joined by dots
    before: Any
    after: Any


def flatten(value: Any, path: str = "") -> dict[str, Any]:
    """Return the leaves of a document by their paths."""
    if not (isinstance(value, dict) and value):
        return {path: value} if path else {}
    leaves: dict[str, Any] = {}
    for key, child in value.items():
        leaves.update(flatten(child, f"{path}.{key}" if path else str(key)))
    return leaves


def differences(before: dict[str, Any], after: dict[str, Any]) -> list[Difference]:
    """List the leaves that differ, sorted by key."""
    old = flatten(before)
    new = flatten(after)
    return [
        Difference(key, old.get(key), new.get(key))
        for key in sorted({*old, *new})
        if old.get(key) != new.get(key)
    ]


def create_patch(before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any]:
    """Return the merge patch that turns ``before`` into ``after``."""
    patch: dict[str, Any] = {key: None for key in before if key not in after}
    for key, value in after.items():
        old = before.get(key)
        if isinstance(value, dict) and isinstance(old, dict):
            if child_patch := create_patch(old, value):
                patch[key] = child_patch
        elif value != old or key not in before:
            patch[key] = value
    return patch


def apply_patch(before: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """Return ``before`` with a merge patch applied (RFC 7396, section 2)."""
    result = dict(before)
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        elif isinstance(value, dict):
            old = result.get(key)
            result[key] = apply_patch(old if isinstance(old, dict) else {}, value)
        else:
            result[key] = value
    return result
