"""Prints the responses of the control service for people."""

import time
from collections.abc import Collection
from typing import Any

import click

from pepperhook.cli.output import print_table

STATUS_HEADER = ("member", "tier", "wanted", "running", "state", "heard", "why")
MAX_REASON_CHARACTERS = 80
HASH_CHARACTERS = 12
MS_PER_S = 1000


def print_plan(plan: dict[str, Any], overridden_checks: Collection[str]) -> None:
    """Print what a document would change, and the failed checks."""
    click.echo(f"against version {plan['parent']}:")
    for key, before, after in plan["differences"]:
        click.echo(f"    {key}: {_value(before)} -> {_value(after)}")
    if not plan["differences"]:
        click.echo("    nothing")
    for violation in plan["refusals"]:
        overridden = violation["check"] in overridden_checks and violation["forceable"]
        verdict = "forced" if overridden else "refused"
        click.echo(f"{verdict} ({violation['check']}): {violation['key']}: {violation['why']}")
    click.echo(
        "balancers also check what only they know: their grades, response times and free capacity"
    )


def _value(value: Any) -> Any:
    return "unset" if value is None else value


def print_rollout(rollout: dict[str, Any] | None) -> None:
    """Print the state of a rollout, and the requests counted in its current step."""
    if rollout is None:
        click.echo("there is no rollout")
        return
    click.echo(_rollout_line(rollout))
    for side in ("changed", "unchanged"):
        click.echo(f"    {side}: {_request_counts(rollout[side])}")
    for name, reason in rollout["refused"].items():
        click.echo(f"    {name} refused it: {reason}")


def _rollout_line(rollout: dict[str, Any]) -> str:
    author = rollout["author"] or "?"
    line = (
        f"rollout {rollout['number']} of version {rollout['version']} by {author}: "
        f"{rollout['state']}, step {rollout['step'] + 1} of {len(rollout['steps'])}"
    )
    if rollout["why"]:
        line += f" ({rollout['why']})"
    if rollout["back_to"]:
        line += f"; back to {rollout['back_to']}"
    return line


def _request_counts(counts: dict[str, int]) -> str:
    total = counts["good"] + counts["bad"]
    if not total:
        return "none yet"
    return f"{total} operations, {counts['bad'] / total:.2%} not served in time"


def print_status(rollout: dict[str, Any] | None, members: dict[str, Any]) -> None:
    """Print the rollout and a table of all members."""
    print_rollout(rollout)
    by_name = {**members["gone"], **members["members"]}
    print_table([STATUS_HEADER, *(_status_row(name, by_name[name]) for name in sorted(by_name))])


def _status_row(name: str, member: dict[str, Any]) -> tuple[str, ...]:
    since_heartbeat_s = max(0, time.time() - member["heard_ms"] / MS_PER_S)
    return (
        name,
        str(member["tier"]),
        str(member["wanted"]),
        str(member["running"]),
        member["state"],
        f"{since_heartbeat_s:.0f}s ago",
        member["why"][:MAX_REASON_CHARACTERS],
    )


def print_versions(versions: list[dict[str, Any]]) -> None:
    """Print one line for each version."""
    for version in versions:
        forced = f", forced {', '.join(version['forced'])}" if version["forced"] else ""
        click.echo(
            f"{version['number']} from {version['parent']} by {version['author'] or '?'}: "
            f"{version['reason'] or 'no reason'} ({version['hash'][:HASH_CHARACTERS]}{forced})"
        )


def print_version(version: dict[str, Any]) -> None:
    """Print the number and the hash of a new version."""
    short_hash = version["hash"][:HASH_CHARACTERS]
    click.echo(f"version {version['number']}, from {version['parent']}, {short_hash}")
