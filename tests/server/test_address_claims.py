"""Which upstream's process is at an address that several rows name."""

import pytest

from pepperhook.domain import UpstreamState
from pepperhook.server.address_claims import AddressClaims
from pepperhook.server.endpoint_list import ListedEndpoint

READY, GONE = UpstreamState.READY, UpstreamState.GONE


def row(name, address="a:1", started_at=0, state=READY):
    """Return a row of an endpoint list."""
    return ListedEndpoint(name, address, 0, 0, 0, 1.0, state, started_at, None)


@pytest.fixture
def claims():
    """Return claims of one upstream, h1."""
    created = AddressClaims()
    created.update([row("h1")])
    return created


def test_process_that_started_later_supersedes_the_one_before(claims):
    rows = [row("h9", started_at=5)]
    claims.update(rows)

    assert claims.superseded_by(rows) == ["h1"]
    assert claims.newer_at_address_of("h1") == "h9"
    assert claims.newer_at_address_of("h9") is None


def test_later_row_of_the_former_process_does_not_bring_it_back(claims):
    claims.update([row("h9", started_at=5)])
    rows = [row("h1")]
    claims.update(rows)

    assert claims.superseded_by(rows) == ["h1"]


def test_former_upstream_that_started_again_takes_the_address_back(claims):
    claims.update([row("h9", started_at=5)])
    rows = [row("h1", started_at=7)]
    claims.update(rows)

    assert claims.superseded_by(rows) == ["h9"]


@pytest.mark.parametrize(
    "change",
    [row("h9", started_at=5, state=GONE), row("h9", "b:2", 5), row("h9", "b:2", 5, GONE)],
    ids=["gone", "moved", "moved and gone"],
)
def test_address_is_free_again_once_its_process_has_left(claims, change):
    claims.update([row("h9", started_at=5)])
    claims.update([change])
    rows = [row("h1")]
    claims.update(rows)

    assert claims.superseded_by(rows) == []


def test_upstreams_that_started_at_the_same_time_are_both_used(claims):
    rows = [row("h9")]
    claims.update(rows)

    assert claims.superseded_by(rows) == []


def test_whole_list_releases_what_it_does_not_name(claims):
    claims.update([row("h9", started_at=5)])
    claims.keep_only({"h1"})
    rows = [row("h1")]
    claims.update(rows)

    assert claims.superseded_by(rows) == []
