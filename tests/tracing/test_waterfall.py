"""One request across balancers, as text and as SVG."""

import pytest
from msgspec.structs import replace

from pepperhook.tracing.reader import find_descendants
from pepperhook.tracing.records import QueueWait, RetryDecision
from pepperhook.tracing.request_tree import build_tree
from pepperhook.tracing.waterfall import waterfall_lines
from pepperhook.tracing.waterfall_svg import waterfall_svg
from tests.tracing.traces import two_tiers, write_file


@pytest.fixture
def rows(tmp_path):
    """The tree of a request that waited and failed, and of the call that was made for it."""
    front, back, requests, _ = two_tiers(tmp_path, 0)
    # The verdict, the drawn number, its limit, the retry budget and the fraction of failures.
    denied = RetryDecision("chance", 0.9, 0.2, 0.2, 0.1)
    requests[2] = replace(
        requests[2],
        # Begin, end, position, queue length, usable upstreams and what ended the wait.
        waits=[QueueWait(0, 90, 1, 3, 2, "sent")],
        sent=[replace(requests[2].sent[0], outcome="error", again=denied)],
        final="broken off",
        reason="not again: chance",
    )
    write_file(front, requests, "front")
    return build_tree(find_descendants([back, front], requests[2].id))


def test_call_is_a_child_of_its_parent_request(rows):
    assert [(row.depth, row.metadata.name) for row in rows] == [(0, "front"), (1, "back")]


def test_lines_describe_each_wait_attempt_and_reason(rows):
    text = "\n".join(waterfall_lines(rows))

    assert "broken off" in text
    assert "place 1 of 3, 2 usable without room: sent" in text
    assert "again: chance (0.9 drawn, under 0.2 wanted), B 0.2, f 0.1" in text
    assert rows[1].trace.id in text


def test_svg_has_a_bar_for_each_request_wait_and_attempt(rows):
    svg = waterfall_svg(rows)

    assert svg.startswith("<svg")
    # The background, two requests, one wait and two attempts.
    assert svg.count("<rect") == 6
    assert "not again: chance" in svg


def test_waterfall_without_records_has_no_lines():
    assert waterfall_lines([]) == []
