"""Runs coroutine tests, and reports failures that KNOWN-RED.txt lists as expected."""

import asyncio
import inspect

import pytest

from tests import known_red

ASYNC_TEST_TIMEOUT_S = 60
LISTED = pytest.StashKey[list[known_red.Entry]]()
OUTCOMES = pytest.StashKey[list[str]]()


def pytest_configure(config):
    """Read KNOWN-RED.txt; stop the run if an entry is malformed or names no existing test."""
    try:
        config.stash[LISTED] = known_red.load()
    except known_red.MalformedEntryError as error:
        raise pytest.UsageError(str(error)) from error
    config.stash[OUTCOMES] = []


def pytest_collection_modifyitems(config, items):
    """Stop the run if an entry names a test case that its collected file does not have."""
    files = {item.nodeid.partition("::")[0] for item in items}
    if config.option.keyword or any("::" in argument for argument in config.args):
        return  # only a part of the files is collected
    for entry in config.stash[LISTED]:
        is_collected = entry.test.partition("::")[0] in files
        if is_collected and not any(entry.covers(item.nodeid) for item in items):
            raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {entry.test}")


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Report the failure of a listed test as expected, and its success in the summary."""
    report = (yield).get_result()
    entries = [entry for entry in item.config.stash[LISTED] if entry.covers(item.nodeid)]
    if not entries or report.skipped or (report.passed and call.when != "call"):
        return
    if report.passed:
        item.config.stash[OUTCOMES].append(f"passes though listed: {item.nodeid}")
        return
    report.outcome = "skipped"
    report.wasxfail = str(entries[0])
    item.config.stash[OUTCOMES].append(f"fails as listed: {item.nodeid}: {entries[0]}")


def pytest_terminal_summary(terminalreporter, config):
    """Print the outcomes of the listed tests."""
    if config.stash[OUTCOMES]:
        terminalreporter.section("KNOWN-RED.txt")
        for line in config.stash[OUTCOMES]:
            terminalreporter.line(line)


class Release(asyncio.Event):
    """An event that delays the responses of scripted peers until a test sets it."""

    def then(self, response):
        """Return a script that responds once the event is set."""

        async def script(*_):
            await self.wait()
            return response

        return script


@pytest.fixture
def release():
    """Return an event; scripts of ``release.then`` respond after ``release.set()``."""
    return Release()


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run a coroutine test, with a timeout."""
    test = pyfuncitem.obj
    if not inspect.iscoroutinefunction(test):
        return None
    arguments = {name: pyfuncitem.funcargs[name] for name in inspect.signature(test).parameters}
    asyncio.run(asyncio.wait_for(test(**arguments), ASYNC_TEST_TIMEOUT_S))
    return True
