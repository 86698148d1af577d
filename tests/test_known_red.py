"""KNOWN-RED.txt is parsed strictly; only failures of the tests that it lists are tolerated."""

import pytest

from tests import known_red

ENTRY = "test: {test} | command: pytest tests/test_one.py | seen: it was wrong | issue 46\n"
pytest_plugins = ("pytester",)
FAILING = "def test_wrong():\n    assert False\n\ndef test_right():\n    pass\n"


def entry_for(test):
    return known_red.parse(ENTRY.format(test=test))[0]


def test_parse_returns_an_entry_per_line_and_ignores_empty_lines():
    text = ENTRY.format(test="scenario h2") + "\n\n" + ENTRY.format(test="soak 7")

    first, second = known_red.parse(text)

    assert (first.test, first.issue, second.test) == ("scenario h2", "46", "soak 7")
    assert known_red.parse("") == known_red.parse("\n") == []


@pytest.mark.parametrize(
    "text",
    [
        "scenario h2: it was wrong; issue 43\n",
        ENTRY.format(test="scenario h2").replace("| seen: it was wrong ", ""),
        ENTRY.format(test="scenario h2").replace("issue 46", "issue soon"),
        ENTRY.format(test="scenario h2").replace("seen: it was wrong", "seen:  "),
        ENTRY.format(test="scenario h2") + "| seen: something else\n",
        ENTRY.format(test="scenario h2") + "\n" + ENTRY.format(test="scenario h2"),
    ],
)
def test_malformed_lists_are_rejected(text):
    with pytest.raises(known_red.MalformedEntryError):
        known_red.parse(text)


@pytest.mark.parametrize(
    "test, exists",
    [
        ("scenario h2", True),
        ("scenario h3", False),
        ("soak 12", True),
        ("soak twelve", False),
        (
            "tests/test_known_red.py::test_parse_returns_an_entry_per_line_and_ignores_empty_lines",
            True,
        ),
        ("tests/test_known_red.py::test_that_is_not_here", False),
        ("tests/test_not_here.py::test_one", False),
        ("tests/test_known_red.py", False),
    ],
)
def test_an_entry_is_accepted_only_if_its_scenario_test_or_seed_is_valid(test, exists):
    if exists:
        known_red.check(entry_for(test), ("h2",))
        return
    with pytest.raises(known_red.MalformedEntryError, match="no such test"):
        known_red.check(entry_for(test), ("h2",))


def test_an_entry_covers_all_cases_of_a_test_or_only_the_listed_case():
    all_cases, one_case = (
        entry_for("tests/test_one.py::test_a"),
        entry_for("tests/test_one.py::test_a[x]"),
    )

    assert all_cases.covers("tests/test_one.py::test_a[y]")
    assert one_case.covers("tests/test_one.py::test_a[x]")
    assert not one_case.covers("tests/test_one.py::test_a[y]")
    assert not all_cases.covers("tests/test_one.py::test_ab")


def test_the_list_of_this_repository_is_well_formed():
    known_red.load()


@pytest.fixture
def run_listed(pytester, monkeypatch):
    """Return a function that runs a failing and a passing test with the given tests listed."""

    def run(*listed):
        entries = "\n".join(ENTRY.format(test=test) for test in listed)
        (pytester.mkdir("tests") / "test_one.py").write_text(FAILING)
        path = pytester.path / "KNOWN-RED.txt"
        path.write_text(entries)
        monkeypatch.setattr(known_red, "PATH", path)
        original_load, original_check = known_red.load, known_red.check
        monkeypatch.setattr(known_red, "load", lambda: original_load(path))
        monkeypatch.setattr(
            known_red,
            "check",
            lambda entry, scenarios: original_check(entry, scenarios, pytester.path),
        )
        return pytester.runpytest_inprocess("-p", "tests.conftest", "tests/test_one.py")

    return run


def test_a_listed_failure_is_reported_as_expected_and_printed(run_listed):
    result = run_listed("tests/test_one.py::test_wrong")

    result.assert_outcomes(passed=1, xfailed=1)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["fails as listed: tests/test_one.py::test_wrong*it was wrong*"])


def test_an_unlisted_failure_fails_the_run_and_a_listed_success_is_printed(run_listed):
    result = run_listed("tests/test_one.py::test_right")

    result.assert_outcomes(passed=1, failed=1)
    assert result.ret == 1
    result.stdout.fnmatch_lines(["passes though listed: tests/test_one.py::test_right"])


@pytest.mark.parametrize(
    "test", ["tests/test_one.py::test_gone", "tests/test_one.py::test_wrong[one]"]
)
def test_a_list_that_names_a_missing_test_is_a_usage_error(run_listed, test):
    result = run_listed(test)

    assert result.ret == pytest.ExitCode.USAGE_ERROR
