"""The soak's draws, its judgement of processes, and its command; the runs themselves are in CI."""

import json
import os
from types import SimpleNamespace

import msgspec
import pytest

from pepperhook.lab import experiment, planted
from pepperhook.lab.audit import STAMPED_LATE
from pepperhook.lab.soak import judge, run
from pepperhook.lab.soak.draw import MAX_FAULTS, MIN_FAULTS, draw
from pepperhook.lab.soak.judge import Verdict, compare, memory_bound_mb
from pepperhook.lab.soak.play import _file_of
from pepperhook.lab.soak.resources import Resources, measure
from tests.cli.commands import run as run_command

SEEDS = range(200)
AT_START = Resources(descriptors=12, connections=1, memory_mb=50.0, tasks=3, under_way=0, waiting=0)
SOCKETS = 256


def changed(**values):
    return msgspec.structs.replace(AT_START, **values)


def problems(after):
    return [name for name, _ in compare("balancer 0.0", AT_START, after, SOCKETS)]


def test_one_seed_gives_one_run_and_others_differ():
    assert draw(7, 30.0) == draw(7, 30.0)
    assert draw(7, 30.0) != draw(8, 30.0)


def test_all_drawn_runs_can_be_played_and_are_as_wide_as_they_should_be():
    drawn = [draw(seed, 30.0) for seed in SEEDS]

    for one in drawn:
        experiment.check(one.experiment)
        assert MIN_FAULTS <= len(one.experiment.troubles) <= MAX_FAULTS
        assert one.restarts and one.signals
        for series in one.signals:
            hups = series.names.count("SIGHUP")
            assert hups - 1 not in series.faulty and all(n < hups for n in series.faulty)
    assert {one.experiment.clients.protocol for one in drawn} == {"http/1.1", "h2"}
    assert {one.variant.settings["discovery"] for one in drawn} == {"ask", "push"}
    assert {len(one.experiment.tiers) for one in drawn} == {1, 2}
    assert any(one.crowd for one in drawn) and not all(one.crowd for one in drawn)
    assert any(series.faulty for one in drawn for series in one.signals)


def test_what_is_held_as_after_the_start_is_no_problem():
    assert problems(AT_START) == []
    assert problems(changed(descriptors=10, memory_mb=memory_bound_mb(SOCKETS))) == []


@pytest.mark.parametrize(
    "after, name",
    [
        (changed(descriptors=15), "descriptors left"),
        (changed(connections=4), "connections left"),
        (changed(tasks=6), "tasks left"),
        (changed(under_way=1), "requests left"),
        (changed(waiting=1), "requests left"),
        (changed(memory_mb=50.0 + memory_bound_mb(SOCKETS)), "memory"),
    ],
)
def test_what_is_left_after_the_quiet_time_is_a_problem(after, name):
    assert problems(after) == [name]


def test_resources_of_a_process_are_measured(tmp_path):
    log = tmp_path / "a.log"
    log.write_text(
        "time=x level=info event=budget B=0.2 f=0.0 waiting=1 under_way=2 late_ms=0 tasks=7\n"
    )

    held = measure(os.getpid(), log)

    assert held.descriptors > 2 and held.memory_mb > 1
    assert (held.waiting, held.under_way, held.tasks) == (1, 2, 7)
    log.write_text("nothing\n")
    assert measure(os.getpid(), log).tasks == -1


def test_files_of_a_series_are_faulty_as_drawn_and_the_last_one_is_told_apart():
    series = draw(1, 30.0).signals[0]
    series = msgspec.structs.replace(series, names=["SIGHUP"] * 3, faulty=[1])
    sound = {"discovery": "127.0.0.1:1", "limits": {"sockets": 256}}

    files = [_file_of(sound, series, number, 3) for number in range(3)]

    assert files[0] == sound
    assert files[1]["discovery"] == "nowhere"
    assert files[2] == sound | {"limits": {"sockets": 257}}
    reloads = judge.RELOAD.findall(
        "event=reloaded discovery=a\nevent=reload_refused error=b\n"
        "event=reloaded discovery=a wait_for_a_restart=sockets\n"
    )
    assert len(reloads) == 3 and judge.LAST_FILE in reloads[-1]


def verdict(seed, holds, void=""):
    found = {} if holds else {"rule 1: lost": ["1.0 s: a"]}
    return Verdict(seed, holds, void, 10, found, {"crowd": 0}, "" if holds else "/kept")


@pytest.mark.parametrize(
    "verdicts, exit_code",
    [
        ([verdict(3, True), verdict(4, True)], 0),
        ([verdict(3, True), verdict(4, False)], 1),
        ([verdict(3, True), verdict(4, False, "short of core")], 2),
    ],
)
def test_command_prints_a_line_a_seed_and_how_to_play_a_failing_one_again(
    monkeypatch, verdicts, exit_code
):
    monkeypatch.setattr(run, "play", lambda *_: iter(verdicts))

    result = run_command("lab", "soak", "--seeds", "3:2", "--seconds", "9")

    assert result.exit_code == exit_code
    lines = result.stdout.splitlines()
    assert [line.split(":")[0] for line in lines[:2]] == ["seed 3", "seed 4"]
    if exit_code == 1:
        assert "pepperhook lab soak --seeds 4:1 --seconds 9" in lines[1]
        assert "logs: /kept" in lines[1]
    assert lines[2].startswith("2 seeds, 20 requests: ")
    rows = json.loads(run_command("lab", "soak", "--seeds", "3:2", "--json").stdout)
    assert [row["seed"] for row in rows] == [3, 4]


@pytest.mark.parametrize(
    "words",
    [
        ["--seeds", "3"],
        ["--seeds", "3:0"],
        ["--seeds", "a:b"],
        ["--seeds", "1:1", "--plant", "nothing"],
        ["--seeds", "1:1", "--seconds", "1"],
    ],
)
def test_bad_input_is_refused(words):
    assert run_command("lab", "soak", *words).exit_code == 2


def test_faults_that_the_soak_must_find_can_be_planted():
    assert {
        "ends-at-once",
        "descriptor-leaked",
        "resting-dropped",
        "reload-lost",
        "goaway-for-present-only",
        "drain-heard-late",
        "odd-row-costs-list",
    } <= set(planted.FAULTS)


def test_run_in_which_stalls_excuse_too_much_is_void():
    def judged(excused):
        day = SimpleNamespace(
            run=draw(1, 30.0), problems=[], after={}, balancers={}, last_series={}
        )
        figures = {"tries": 1000}
        result = {"findings": [], "void": False, "figures": figures, "excused": excused}
        return judge.judge(day, result)

    few, many = judged({STAMPED_LATE: 3}), judged({STAMPED_LATE: 4})

    assert few.holds and not few.void and few.excused == {STAMPED_LATE: 3}
    assert "excused too often" in many.void
