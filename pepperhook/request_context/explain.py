"""Explains from the logs of all tiers where one request spent its time and its retries.

Reads the lines with ``event=chain`` that balancers log with LB_LOG=debug. ``field(name=...)`` gives
a field the name that it has in the log and in the JSON output, which other programs read.
"""

import json
import re
from collections.abc import Iterable, Sequence
from typing import Any

from msgspec import Struct, field, to_builtins

EVENT = " event=chain "
KEY_VALUE_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
HEXADECIMAL = re.compile(r"[0-9a-f]+")


class Step(Struct):
    """What one balancer logged of its part of a request; times in milliseconds.

    ``request_id`` is the id of the request at this balancer, ``operation`` in the log; the key
    ``id`` in the log is the id at the entry.

    ``below_ms`` is the time that the tier below reports of its longest call; ``time`` is the
    timestamp of the log line.
    """

    path: str
    depth: int
    service: str
    balancer: str
    request_id: str = field(name="operation")
    outcome: str = field(name="end")
    spent_ms: int
    below_ms: int
    remaining_ms: int | None = field(name="left_ms")
    attempts: int = field(name="tried")
    refused_retries: int = field(name="forbidden")
    unused_retries: int = field(name="tries_left")
    has_context: bool = field(name="carried")
    retry_stop: str = field(name="pointless")
    time: str

    @property
    def own_ms(self) -> int:
        """The time that was not spent in the longest call to the tier below."""
        return max(0, self.spent_ms - self.below_ms)

    @property
    def retries(self) -> int:
        """The attempts beyond the first."""
        return max(0, self.attempts - 1)


class ServiceSummary(Struct):
    """Totals of one request over all balancers of a service."""

    calls: int = 0
    own_ms: int = 0
    attempts: int = field(default=0, name="dispatches")
    retries: int = field(default=0, name="further_tries")
    refused_retries: int = field(default=0, name="forbidden")
    outcomes: dict[str, int] = field(default_factory=dict, name="ends")

    def add(self, step: Step) -> None:
        """Add one balancer's step to the totals."""
        self.calls += 1
        self.own_ms += step.own_ms
        self.attempts += step.attempts
        self.retries += step.retries
        self.refused_retries += step.refused_retries
        self.outcomes[step.outcome] = self.outcomes.get(step.outcome, 0) + 1


def read_steps(lines: Iterable[str], request_id: str) -> list[Step]:
    """Return the steps of one request in the order of their paths, the entry first.

    ``request_id`` is the id of the request at the entry, the first balancer. Other lines are
    skipped.
    """
    steps = [_read_step(line, request_id) for line in lines if EVENT in line]
    return sorted(
        (step for step in steps if step is not None),
        key=lambda step: (_path_numbers(step.path), step.time),
    )


def _read_step(line: str, request_id: str) -> Step | None:
    """Return the step of a line, or None if it is of another request or truncated by a crash."""
    try:
        fields = {
            key: json.loads(value) if value.startswith('"') else value
            for key, value in KEY_VALUE_PAIR.findall(line)
        }
        return _to_step(fields) if fields.get("id") == request_id else None
    except (KeyError, ValueError):
        return None


def _to_step(fields: dict[str, str]) -> Step:
    return Step(
        path=fields["path"],
        depth=int(fields["depth"]),
        service=fields["service"],
        balancer=fields["balancer"],
        request_id=fields["operation"],
        outcome=fields["end"],
        spent_ms=int(fields["spent_ms"]),
        below_ms=int(fields["below_ms"]),
        remaining_ms=int(fields["left_ms"]) if fields["left_ms"] else None,
        attempts=int(fields["tried"]),
        refused_retries=int(fields["forbidden"]),
        unused_retries=int(fields["tries_left"]),
        has_context=fields["carried"] == "True",
        retry_stop=fields["pointless"],
        time=fields["time"],
    )


def _path_numbers(path: str) -> list[int]:
    """Return the parts of a path as numbers; a part that is not hexadecimal counts as 0."""
    return [int(part, 16) if HEXADECIMAL.fullmatch(part) else 0 for part in path.split(".")]


def summarize(steps: Iterable[Step]) -> dict[str, ServiceSummary]:
    """Return the totals of each service, by its name."""
    summaries: dict[str, ServiceSummary] = {}
    for step in steps:
        summaries.setdefault(step.service, ServiceSummary()).add(step)
    return summaries


def to_json(steps: Sequence[Step]) -> str:
    """Return the steps and the totals of each service as JSON, for programs."""
    document: dict[str, Any] = {"steps": steps, "services": summarize(steps)}
    return json.dumps(to_builtins(document))


def to_text(steps: Sequence[Step]) -> str:
    """Return the steps and the totals of each service as text, for people."""
    lines = [_step_line(step) for step in steps]
    for service, summary in summarize(steps).items():
        lines.append(
            f"{service}: {summary.own_ms} ms of its own and its nodes', {summary.retries} retries"
        )
    return "\n".join(lines)


def _step_line(step: Step) -> str:
    remaining = "own limit" if step.remaining_ms is None else f"{step.remaining_ms} ms left"
    refused = f", {step.refused_retries} refused" if step.refused_retries else ""
    stop = f", no retry: {step.retry_stop}" if step.retry_stop else ""
    missing = "" if step.has_context or not step.depth else ", came without a context"
    return (
        f"{'  ' * step.depth}{step.service} ({step.balancer}): {step.outcome} after "
        f"{step.spent_ms} ms, {step.below_ms} of them below; {remaining}; "
        f"{step.attempts} attempts{refused}, {step.unused_retries} retries back{stop}{missing}"
    )
