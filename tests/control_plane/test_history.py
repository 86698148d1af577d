"""The version history on disk: conflicts, overridden checks, a full disk, kill -9."""

import random
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest

from pepperhook.control_plane.history import ConflictError, HistoryStore, StoreFullError
from pepperhook.control_plane.rollout_driver import RolloutAction
from pepperhook.control_plane.service import ControlService
from pepperhook.control_plane.version import verify_version
from pepperhook.control_plane.version_catalog import ChangeRejectedError
from tests.control_plane.helpers import KEYS, document, propose, roll_out_at_once

ROOT = Path(__file__).parents[2]


@pytest.fixture
def service(tmp_path):
    return ControlService(HistoryStore(tmp_path / "s"), KEYS)


def test_second_proposal_with_the_same_parent_fails_and_names_the_versions_since(service):
    advice = document(limits={"advice": True})
    first = propose(service, document(), reason="price rise", parent=0)

    with pytest.raises(ConflictError, match="1 by ann .price rise.") as conflict:
        propose(service, advice, author="bo", parent=0)
    second = propose(service, advice, author="bo", parent=1)

    assert [version.number for version in conflict.value.since] == [1]
    assert (first.number, second.number, second.parent) == (1, 2, 1)
    assert verify_version(second, KEYS)


def test_history_is_continued_after_a_restart(service, tmp_path):
    propose(service, document())
    newest = propose(service, document(limits={"advice": True}))
    service.store.close()

    restarted = ControlService(HistoryStore(tmp_path / "s"), KEYS)

    assert [version.number for version in restarted.store.versions()] == [1, 2]
    assert restarted.catalog.newest == newest


def test_earlier_rollout_is_read_by_its_number(service):
    for _ in range(2):
        propose(service, document())
    first = roll_out_at_once(service, 1)
    service.rollouts.change(RolloutAction.ROLL_BACK, "a trial")
    roll_out_at_once(service, 2)

    stored = service.store.rollout(first.number)

    assert stored.reason == "a trial"
    assert stored.rollback_version == 3
    assert service.store.newest_rollout().previous_version == 3
    assert service.store.rollout(9) is None


def test_check_is_overridden_with_a_reason_and_the_override_is_stored(service):
    propose(service, document(grades={"look": {"earnings": 1.0}}))
    large_step = document(grades={"look": {"earnings": 9.0}})

    with pytest.raises(ChangeRejectedError, match="grades.look.earnings: moves by 800%"):
        propose(service, large_step)
    with pytest.raises(ChangeRejectedError, match="no reason"):
        propose(service, large_step, overridden_checks=["step"])
    version = propose(service, large_step, overridden_checks=["step"], reason="holiday")

    assert version.forced == ["step"]


def test_proposal_on_a_full_disk_is_not_acknowledged(service):
    propose(service, document())
    connection = service.store.connection
    size = connection.execute("pragma page_count").fetchone()[0]
    connection.execute(f"pragma max_page_count = {size}")
    large = document(grades={f"g{n}": {"earnings": float(n)} for n in range(9000)})

    with pytest.raises(StoreFullError):
        propose(service, large)

    assert service.catalog.newest.number == 1
    assert len(service.store.versions()) == 1
    connection.execute("pragma max_page_count = 1000000")
    assert propose(service, large).number == 2


def test_file_that_is_not_a_store_is_rejected(tmp_path):
    (tmp_path / "other").write_text("x" * 5000)

    with pytest.raises(ValueError, match="not a database"):
        HistoryStore(tmp_path / "other")


def start_proposing_process(path):
    """Start a process that adds versions endlessly and prints the number of each added one."""
    code = f"""
from pepperhook.control_plane.history import HistoryStore
from pepperhook.control_plane.service import ControlService
from tests.control_plane.helpers import KEYS, document, propose
service = ControlService(HistoryStore({str(path)!r}), KEYS)
while True:
    version = propose(service, document(grades={{"look": {{"goal_ms": 100.0}}}}))
    print(version.number, flush=True)
"""
    return subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, cwd=ROOT)


def test_kill_9_at_any_moment_loses_no_acknowledged_version(tmp_path):
    acknowledged = 0
    generator = random.Random(1)
    for _ in range(4):
        process = start_proposing_process(tmp_path / "s")
        for _ in range(generator.randrange(3, 20)):
            acknowledged = int(process.stdout.readline())
        process.send_signal(signal.SIGKILL)
        unread = [int(line) for line in process.stdout.read().split() if line.isdigit()]
        acknowledged = max([acknowledged, *unread])
        process.wait()
        process.stdout.close()

        store = HistoryStore(tmp_path / "s")
        numbers = [version.number for version in store.versions()]
        assert numbers == list(range(1, len(numbers) + 1))
        assert len(numbers) >= acknowledged
        assert all(verify_version(version, KEYS) for version in store.versions())
        assert store.connection.execute("pragma integrity_check").fetchone() == ("ok",)
        store.close()
    assert acknowledged > 10
    assert sqlite3.sqlite_version
