"""The member list file and its history."""

import pytest

from pepperhook.idempotency.member_list import MemberListError, MemberListFile, MemberListHistory
from pepperhook.idempotency.ownership import KnownLists, Member, MemberList


def write_list(path, *members):
    rows = "".join(
        f'[[members]]\nname = "{name}"\naddress = "{address}"\n' for name, address in members
    )
    path.write_text(f"version = 1\nepoch = 1\n{rows}")


@pytest.mark.parametrize(
    "members, reason",
    [
        ([("a", "h:1"), ("a", "h:2")], "a name is listed twice"),
        ([("b", "h:1")], "'a' (LB_NAME) is not among b"),
        ([("a", "h")], "HOST:PORT is wanted"),
        ([("a", "h:0")], "HOST:PORT is wanted"),
        ([("a", "h:65536")], "HOST:PORT is wanted"),
    ],
)
def test_faulty_list_is_reported_in_one_line(tmp_path, members, reason):
    path = tmp_path / "peers.toml"
    write_list(path, *members)

    with pytest.raises(MemberListError) as raised:
        MemberListFile(path, "a").read()

    assert str(raised.value).startswith(f"{path}: members: ")
    assert reason in str(raised.value)


def test_epoch_before_the_first_is_refused(tmp_path):
    path = tmp_path / "peers.toml"
    path.write_text('version = 1\nepoch = 0\n[[members]]\nname = "a"\naddress = "h:1"\n')

    with pytest.raises(MemberListError, match="epoch: 1 or more is wanted"):
        MemberListFile(path, "a").read()


def test_has_changed_is_true_once_after_a_change(tmp_path):
    path = tmp_path / "peers.toml"
    file = MemberListFile(path, "a")
    assert not file.has_changed()

    write_list(path, ("a", "h:1"))

    assert file.has_changed()
    assert not file.has_changed()
    assert file.read().members == [Member("a", "h:1")]


@pytest.mark.parametrize("is_complete", [True, False])
def test_history_is_loaded_as_it_was_saved(tmp_path, is_complete):
    history = MemberListHistory(tmp_path)
    assert history.load() == KnownLists([], is_complete=False)
    lists = [MemberList(version=1, epoch=epoch, members=[Member("a", "h:1")]) for epoch in (1, 2)]
    known = KnownLists(lists, is_complete)

    history.save(known)

    assert MemberListHistory(tmp_path).load() == known
    assert [path.name for path in tmp_path.iterdir()] == ["members.json"]
