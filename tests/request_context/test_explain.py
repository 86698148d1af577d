"""``pepperhook explain``: one request, read from the logs of all balancers."""

import json
import logging

import pytest
from click.testing import CliRunner

from pepperhook.cli import main
from pepperhook.request_context.explain import read_steps, summarize, to_json, to_text
from pepperhook.server import structured_logging
from tests.request_context.tiers import LOGGER_NAME, Tier, make_extension


def explain(*arguments):
    return CliRunner().invoke(main, ["explain", *map(str, arguments)])


async def test_request_is_explained_from_the_logs_of_its_tiers(caplog, tmp_path):
    caplog.set_level(logging.DEBUG, LOGGER_NAME)
    caplog.handler.setFormatter(structured_logging.KeyValueFormatter())
    async with (
        Tier(make_extension("z"), status=500) as last,
        Tier(make_extension("m"), last) as middle,
        Tier(make_extension("e", entry=True), middle) as edge,
    ):
        await edge.balancer.request(X_Request_ID="op7", X_Timeout_Ms="700")
        await edge.balancer.request(X_Request_ID="op8", X_Timeout_Ms="700")
    path = tmp_path / "all.log"
    path.write_text(caplog.text + " event=chain id=op7 path=")

    document = json.loads(explain("op7", path, "--json").stdout)
    text = explain("op7", path).stdout

    steps = document["steps"]
    assert [(step["service"], step["depth"]) for step in steps][:3] == [
        ("e", 0),
        ("m", 1),
        ("z", 2),
    ]
    assert {step["end"] for step in steps} == {"failed"}
    assert document["services"]["z"]["dispatches"] >= 1
    assert "z (" in text


def test_request_that_is_in_no_log_gives_exit_code_2(tmp_path):
    path = tmp_path / "all.log"
    path.write_text(log_line())

    result = explain("op9", path)

    assert result.exit_code == 2
    assert "op9" in result.stderr


def test_missing_log_gives_exit_code_2(tmp_path):
    result = explain("x", tmp_path / "no")

    assert result.exit_code == 2
    assert "no:" in result.stderr


def log_line(**changed):
    fields = {
        "time": "2024-01-01T00:00:00.000Z",
        "level": "debug",
        "event": "chain",
        "id": "op7",
        "path": "0",
        "depth": 0,
        "service": "edge",
        "balancer": "e1",
        "operation": "op7",
        "end": "failed",
        "spent_ms": 20,
        "below_ms": 15,
        "left_ms": "",
        "tried": 2,
        "forbidden": 1,
        "tries_left": 0,
        "carried": False,
        "pointless": "tried",
        **changed,
    }
    return " ".join(f"{key}={value}" for key, value in fields.items()) + "\n"


def test_steps_are_in_the_order_of_their_paths():
    lines = [log_line(path=path) for path in ("0.b", "0.a.1", "0", "0.a")]

    assert [step.path for step in read_steps(lines, "op7")] == ["0", "0.a", "0.a.1", "0.b"]


@pytest.mark.parametrize(
    "truncated",
    [
        " event=chain id=op7 path=",
        log_line()[:-20],
        log_line(balancer='"balancer e')[:-20],
        log_line(spent_ms="2x"),
    ],
    ids=["first fields", "last field", "quoted field", "number"],
)
def test_line_truncated_by_a_crash_is_skipped(truncated):
    assert len(read_steps([truncated, log_line()], "op7")) == 1


def test_lines_of_other_requests_and_events_are_skipped():
    lines = [log_line(id="op8"), log_line(event="ended"), "no log line at all\n", log_line()]

    assert [step.request_id for step in read_steps(lines, "op7")] == ["op7"]


def test_own_time_excludes_the_longest_call_to_the_tier_below():
    lines = [log_line(), log_line(path="0.1", depth=1, service="auth", spent_ms=15, below_ms=0)]

    services = summarize(read_steps(lines, "op7"))

    assert {name: summary.own_ms for name, summary in services.items()} == {"edge": 5, "auth": 15}


JSON_OUTPUT = {
    "steps": [
        {
            "path": "0",
            "depth": 0,
            "service": "edge",
            "balancer": "e1",
            "operation": "op7",
            "end": "failed",
            "spent_ms": 20,
            "below_ms": 15,
            "left_ms": 700,
            "tried": 2,
            "forbidden": 1,
            "tries_left": 0,
            "carried": True,
            "pointless": "tried",
            "time": "2024-01-01T00:00:00.000Z",
        }
    ],
    "services": {
        "edge": {
            "calls": 1,
            "own_ms": 5,
            "dispatches": 2,
            "further_tries": 1,
            "forbidden": 1,
            "ends": {"failed": 1},
        }
    },
}


def test_json_output_keeps_its_keys():
    steps = read_steps([log_line(left_ms=700, carried=True)], "op7")

    assert json.loads(to_json(steps)) == JSON_OUTPUT


def test_text_output_shows_where_time_and_retries_were_spent():
    lines = [log_line(), log_line(path="0.1", depth=1, service="auth", below_ms=0, left_ms=80)]

    assert to_text(read_steps(lines, "op7")).splitlines() == [
        "edge (e1): failed after 20 ms, 15 of them below; own limit; "
        "2 attempts, 1 refused, 0 retries back, no retry: tried",
        "  auth (e1): failed after 20 ms, 0 of them below; 80 ms left; "
        "2 attempts, 1 refused, 0 retries back, no retry: tried, came without a context",
        "edge: 5 ms of its own and its nodes', 1 retries",
        "auth: 20 ms of its own and its nodes', 1 retries",
    ]
