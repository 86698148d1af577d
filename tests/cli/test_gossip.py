"""``pepperhook gossip``: its output for a given table of members, and its exit codes."""

import pytest

from pepperhook.cli.gossip import MemberList, MemberQuery
from pepperhook.membership.messages import MemberRecord
from tests.cli.commands import actual_output, command_of, expected_outputs


@pytest.fixture
def directory(tmp_path, monkeypatch):
    """A directory with keys, and a fake query that returns a table of three members."""
    (tmp_path / "keys").write_text("k1 a long secret of theirs\n")
    (tmp_path / "short").write_text("k1 short\n")
    records = [
        MemberRecord("back-1", ("127.0.0.1", 7001), 1, 4),
        MemberRecord("edge-2", ("127.0.0.1", 7003), 0, 9),
        MemberRecord("edge-1", ("127.0.0.1", 7002), 0, 0),
    ]
    monkeypatch.setattr(MemberQuery, "run", lambda _: MemberList(records, "edge-1"))
    return tmp_path


@pytest.mark.parametrize("row", expected_outputs("gossip"), ids=command_of)
def test_output_is_that_of_earlier_releases(row, directory):
    assert actual_output(row["command"], directory) == row
