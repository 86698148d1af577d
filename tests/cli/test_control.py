"""``pepperhook control``: its requests, its output for given responses, and its exit codes."""

import json

import pytest

from pepperhook.cli.control_client import ServiceClient
from tests.cli.commands import actual_output, command_of, expected_outputs

ROLLOUT = {
    "number": 1,
    "version": 2,
    "before": 1,
    "steps": [{"share": 0.1, "seconds": 60.0}, {"share": 1.0, "seconds": 60.0}],
    "patience_s": 120.0,
    "author": "ann",
    "state": "going",
    "step": 0,
    "why": "",
    "changed": {"good": 97, "bad": 3},
    "unchanged": {"good": 0, "bad": 0},
    "back_to": None,
    "refused": {"b2": "grades.look.goal_ms: is too short"},
}
ROLLED_BACK = {**ROLLOUT, "state": "back", "why": "operations got worse", "back_to": 3}
VERSION = {
    "number": 2,
    "parent": 1,
    "author": "ann",
    "reason": "rise",
    "document": {"version": 1, "grades": {"look": {"goal_ms": 900.0}}},
    "forced": ["range"],
    "hash": "f5f5836d10d5397d5693b591b779a708753fe43e4c33b1723d042b3449330933",
}
PLAN = {
    "parent": 1,
    "differences": [["grades.look.goal_ms", None, 900.0]],
    "refusals": [
        {"check": "range", "key": "grades.look.goal_ms", "why": "too long", "forceable": True},
        {"check": "names", "key": "grades.look", "why": "not known", "forceable": False},
    ],
    "stands": [{"check": "names"}],
}
MEMBER = {
    "tier": 0,
    "wanted": 2,
    "running": 2,
    "state": "applied",
    "heard_ms": 10**14,  # in the future, so that it counts as 0 s ago
    "why": "",
}
RESPONSES = {
    ("POST", "/v1/plan"): (200, PLAN),
    ("POST", "/v1/versions"): (200, VERSION),
    ("POST", "/v1/rollout"): (200, ROLLOUT),
    ("GET", "/v1/rollout"): (200, ROLLED_BACK),
    ("POST", "/v1/rollout/hold"): (200, {**ROLLOUT, "state": "held", "author": ""}),
    ("POST", "/v1/rollout/resume"): (409, {"error": "no rollout is\nheld"}),
    ("POST", "/v1/rollout/back"): (400, {"error": "'why' is missing"}),
    ("GET", "/v1/members"): (
        200,
        {
            "members": {"b1": MEMBER, "b10": {**MEMBER, "state": "refused", "why": "x" * 90}},
            "gone": {"b0": {**MEMBER, "running": None, "state": "gone"}},
            "epochs": {},
            "counts": {"streams": 2},
        },
    ),
    ("GET", "/v1/versions"): (
        200,
        [{**VERSION, "forced": [], "author": "", "reason": ""}, VERSION],
    ),
    ("GET", "/v1/versions?after=1"): (200, [VERSION]),
    ("GET", "/v1/versions?after=8"): (200, []),
}


@pytest.fixture
def directory(tmp_path, monkeypatch):
    """A directory with keys and documents, and a fake service with the responses above."""
    (tmp_path / "keys").write_text("# of the installation\nk1 a long secret of theirs\n")
    (tmp_path / "short").write_text("k1 short\n")
    (tmp_path / "doc.toml").write_text("version = 1\n[grades.look]\ngoal_ms = 900.0\n")
    (tmp_path / "doc.json").write_text(json.dumps(VERSION["document"]))
    (tmp_path / "faulty.toml").write_text("version = 1\n[grades.look]\ngaol_ms = 900.0\n")
    monkeypatch.setattr(ServiceClient, "request", lambda _, *call: RESPONSES[call[:2]])
    monkeypatch.setenv("PEPPERHOOK_CONTROL", "127.0.0.1:9")
    monkeypatch.setenv("PEPPERHOOK_KEYS", str(tmp_path / "keys"))
    return tmp_path


@pytest.fixture
def requests(monkeypatch):
    """The list of requests that a command sends to the fake service."""
    sent = []

    def respond(_, *call):
        sent.append(call)
        return RESPONSES[call[:2]]

    monkeypatch.setattr(ServiceClient, "request", respond)
    return sent


@pytest.mark.parametrize("row", expected_outputs("control"), ids=command_of)
def test_output_is_that_of_earlier_releases(row, directory):
    assert actual_output(row["command"], directory) == row


@pytest.mark.parametrize(
    "command, path, body",
    [
        (
            "plan {tmp}/doc.toml --force range --force names",
            "/v1/plan",
            {"document": VERSION["document"], "force": ("range", "names")},
        ),
        (
            "propose {tmp}/doc.toml --author ann --reason rise --parent 1 --force range",
            "/v1/versions",
            {
                "document": VERSION["document"],
                "author": "ann",
                "reason": "rise",
                "force": ("range",),
                "parent": 1,
            },
        ),
        (
            "propose {tmp}/doc.json --author ann",
            "/v1/versions",
            {"document": VERSION["document"], "author": "ann", "reason": "", "force": ()},
        ),
        (
            "rollout 2 --author ann --steps '10%:5, 100 :0' --patience 7.5",
            "/v1/rollout",
            {
                "version": 2,
                "steps": [{"share": 0.1, "seconds": 5.0}, {"share": 1.0, "seconds": 0.0}],
                "patience_s": 7.5,
                "author": "ann",
            },
        ),
        ("hold --reason wait", "/v1/rollout/hold", {"why": "wait"}),
        ("resume", "/v1/rollout/resume", {"why": ""}),
        ("back --reason no", "/v1/rollout/back", {"why": "no"}),
    ],
)
def test_command_sends_its_options_to_the_service(directory, requests, command, path, body):
    actual_output(f"control {command}", directory)

    assert requests == [("POST", path, body)]
