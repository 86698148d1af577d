"""Fixtures of the command line's tests."""

import pytest

from tests.cli.commands import ROOT


@pytest.fixture(autouse=True)
def in_root(monkeypatch):
    """Run in the repository's root, to which the paths of stored files are relative."""
    monkeypatch.chdir(ROOT)
    for name in ("LB_CONFIG", "LB_OPERATOR", "PEPPERHOOK_CONTROL", "PEPPERHOOK_KEYS"):
        monkeypatch.delenv(name, raising=False)
