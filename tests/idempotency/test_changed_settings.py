"""Idempotency keys while versions of the control plane change the settings.

Guards against values that the extension reads at the start and uses for ever: the keys of a service
class that a version had made unsafe kept the short window of its effect before, and ran twice.
"""

import asyncio
import shutil

import pytest

from pepperhook.idempotency.entries import Verdict
from pepperhook.idempotency.peers import Peers
from pepperhook.idempotency.settings_in_force import SettingsInForce
from pepperhook.server.extensions import Extensions
from tests.control_plane.helpers import control_extension, document, signed_version
from tests.idempotency.balancers import (
    RETRY_AFTER_ENVIRONMENT,
    BlockingUpstream,
    make_extension,
    make_log,
    pay,
    send_pay,
)
from tests.idempotency.edges import HOLD, LOOK, Edges
from tests.idempotency.stores import UNSAFE, key_settings, policies
from tests.server.balancers import RunningBalancer, make_config, wait_until
from tests.server.peers import ScriptedPeer, always, make_response

NS_PER_S = 10**9
UNREACHABLE = "127.0.0.1:9"
HOLD_WINDOW_S = 1  # of /hold at the start, which is keyed
UNSAFE_WINDOW_S = 600  # the default of the operator's table
HOLD_IS_UNSAFE = document(grades={"hold": {"effect": "at_most_once"}})
LOOK_IS_UNSAFE = document(grades={"look": {"effect": "at_most_once"}})
HOLD_WITHOUT_WINDOW = document(grades={"hold": {"key_ttl_ms": 0.0}})
FAILED = (500, b"broken off\n")


class ControlledBalancer:
    """A balancer with idempotency keys to which a test applies versions."""

    def __init__(self, peer, peers=None, last_good_file=None, **table):
        self.extension = make_extension(peers, **table)
        self.control = control_extension(
            UNREACHABLE, env=RETRY_AFTER_ENVIRONMENT, last_good_file=last_good_file
        )
        self.balancer = RunningBalancer(
            [peer.address],
            extensions=Extensions([self.extension, self.control]),
            owns_event_loop=False,
            env=RETRY_AFTER_ENVIRONMENT,
        )

    async def __aenter__(self):
        await self.balancer.__aenter__()
        return self

    async def __aexit__(self, *error):
        await self.balancer.__aexit__(*error)

    def apply(self, number, content, forced=("method", "effect", "step")):
        """Receive a version; return whether it was applied."""
        return self.control.applier.receive(signed_version(number, content, forced=list(forced)))

    def pass_time(self, seconds):
        """Set the balancer's clock forward."""
        self.balancer.app.runtime.offset += int(seconds * NS_PER_S)

    def hold(self, key="k"):
        return pay(self.balancer, key, "/hold")


@pytest.fixture
def upstream():
    upstream = BlockingUpstream()
    upstream.release.set()
    return upstream


async def test_keys_of_a_class_that_a_version_makes_unsafe_apply_for_the_unsafe_window(upstream):
    async with ScriptedPeer(upstream) as peer, ControlledBalancer(peer) as balancer:
        assert balancer.apply(1, HOLD_IS_UNSAFE)
        assert await balancer.hold() == (200, b"run 1")

        balancer.pass_time(UNSAFE_WINDOW_S - 1)

        assert await balancer.hold() == (200, b"run 1")
        balancer.pass_time(2)
        assert await balancer.hold() == (200, b"run 2")


async def test_version_extends_the_windows_of_keys_that_have_ended_before_it(upstream):
    async with ScriptedPeer(upstream) as peer, ControlledBalancer(peer) as balancer:
        assert await balancer.hold() == (200, b"run 1")

        assert balancer.apply(1, HOLD_IS_UNSAFE)
        balancer.pass_time(2 * HOLD_WINDOW_S)

        assert await balancer.hold() == (200, b"run 1")


async def test_request_that_runs_as_a_version_comes_gets_the_longer_window():
    upstream = BlockingUpstream()
    async with ScriptedPeer(upstream) as peer, ControlledBalancer(peer) as balancer:
        first = asyncio.ensure_future(balancer.hold())
        await upstream.wait_for_runs()

        assert balancer.apply(1, HOLD_IS_UNSAFE)
        waiter = asyncio.ensure_future(balancer.hold())
        await wait_until(lambda: len(balancer.extension.store.waiters))
        upstream.release.set()
        assert [await first, await waiter] == [(200, b"run 1")] * 2
        balancer.pass_time(2 * HOLD_WINDOW_S)

        assert await balancer.hold() == (200, b"run 1")


@pytest.mark.parametrize("milder", [document(), HOLD_WITHOUT_WINDOW])
async def test_milder_version_does_not_shorten_the_windows_of_earlier_keys(upstream, milder):
    async with ScriptedPeer(upstream) as peer, ControlledBalancer(peer) as balancer:
        assert balancer.apply(1, HOLD_IS_UNSAFE)
        assert await balancer.hold("early") == (200, b"run 1")
        assert balancer.apply(2, milder)
        assert await balancer.hold("late") == (200, b"run 2")

        balancer.pass_time(2 * HOLD_WINDOW_S)

        assert await balancer.hold("early") == (200, b"run 1")
        assert await balancer.hold("late") == (200, b"run 3")


async def test_request_of_a_class_that_was_safe_at_the_start_is_not_run_again_for_a_waiter():
    fail = asyncio.Event()
    runs = []

    async def reset_when_told(head, _body):
        runs.append(head)
        await fail.wait()
        return (b"",)

    async with ScriptedPeer(reset_when_told) as peer, ControlledBalancer(peer) as balancer:
        assert balancer.apply(1, LOOK_IS_UNSAFE)
        requests = [asyncio.ensure_future(pay(balancer.balancer, "k", "/look")) for _ in range(2)]
        await wait_until(lambda: runs and len(balancer.extension.store.waiters))

        fail.set()

        assert [await request for request in requests] == [FAILED, FAILED]
    assert len(runs) == 1


@pytest.fixture
def directory(tmp_path):
    return tmp_path / "journal"


async def use_key_and_crash(peer, upstream, directory, **options):
    """Use one key to its end and one without, under a version; return what a crash leaves."""
    crashed = directory.with_name("crashed")
    async with ControlledBalancer(peer, journal=str(directory), **options) as balancer:
        assert balancer.apply(1, HOLD_IS_UNSAFE)
        balancer.control.last_good.schedule(balancer.control.applier.running)
        await balancer.control.last_good.flush()
        assert await balancer.hold("ended") == (200, b"run 1")
        journal = balancer.extension.journal
        await wait_until(lambda: journal.statistics.records >= 2)
        upstream.release.clear()  # the request must not end before the crash
        client = await send_pay(balancer.balancer, "open", "/hold")
        await upstream.wait_for_runs(2)
        shutil.copytree(directory, crashed)
        client.abort()
        upstream.release.set()
    return crashed


@pytest.mark.parametrize("has_last_good_file", [True, False])
async def test_restart_keeps_the_window_of_a_version(
    upstream, directory, tmp_path, has_last_good_file
):
    # Without the file the balancer comes back with its startup settings, and their short window.
    last_good_file = str(tmp_path / "good.json") if has_last_good_file else None
    async with ScriptedPeer(upstream) as peer:
        crashed = await use_key_and_crash(peer, upstream, directory, last_good_file=last_good_file)
        runs = upstream.runs

        async with ControlledBalancer(
            peer, journal=str(crashed), last_good_file=last_good_file
        ) as balancer:
            assert balancer.control.applier.running_number == has_last_good_file
            balancer.pass_time(2 * HOLD_WINDOW_S)

            assert await balancer.hold("ended") == (200, b"run 1")
            assert await balancer.hold("open") == FAILED
    assert upstream.runs == runs


async def test_journal_keeps_segments_for_the_window_of_a_version(upstream, directory):
    async with (
        ScriptedPeer(upstream) as peer,
        ControlledBalancer(
            peer, journal=str(directory), binding_s=1.0, retriable_s=1.0
        ) as balancer,
    ):
        journal = balancer.extension.journal
        retention = journal.segments.retention
        retention.add(number=0, closed_ns=0)
        longer = document(grades={"hold": {"key_ttl_ms": 5000.0}})

        assert balancer.apply(1, longer)

        # The longest request takes 2 s.
        assert list(retention.take_expired(7 * NS_PER_S - 1)) == []
        assert list(retention.take_expired(7 * NS_PER_S + 1)) == [0]


async def test_version_changes_the_retry_after_of_rejected_repeats(upstream):
    limits = document(limits={"longest_advice_ms": 300.0})
    async with (
        ScriptedPeer(upstream) as peer,
        ControlledBalancer(peer, entries=2) as balancer,
    ):
        assert balancer.apply(1, limits)

        statuses = [(await pay(balancer.balancer, f"k{n}"))[0] for n in range(3)]

        assert statuses == [200, 503, 503]
        assert b"Retry-After: 0.300" in balancer.balancer.response_head


async def test_version_that_lets_a_required_key_be_ignored_is_rejected(upstream):
    async with (
        ScriptedPeer(upstream) as peer,
        ControlledBalancer(peer, require=["hold"]) as balancer,
    ):
        assert not balancer.apply(1, HOLD_WITHOUT_WINDOW)

        assert "repeats.require" in balancer.control.applier.rejection.reason
        assert balancer.extension.settings.policy(2).window_ns == HOLD_WINDOW_S * NS_PER_S


def test_changed_quotas_split_the_capacity_anew():
    tenants = [{"name": "acme", "share": 0.5}, {"name": "umbra", "share": 0.5}]
    env = RETRY_AFTER_ENVIRONMENT | {"orgs": tenants}
    extension = make_extension(env=env, entries=100)
    before = [partition.max_entries for partition in extension.store.partitions]
    settings = make_config(env=env).settings
    settings.tenants[0].share = 1.0

    extension.reconfigured(settings)

    after = [partition.max_entries for partition in extension.store.partitions]
    assert (before, after) == ([33, 33, 33], [50, 25, 25])


async def test_keys_of_a_class_without_a_window_are_ignored_until_a_version_gives_it_one(upstream):
    async with (
        ScriptedPeer(upstream) as peer,
        ControlledBalancer(peer, retriable_s=0.0) as balancer,
    ):
        assert (await balancer.balancer.request(Idempotency_Key="k"))[0] == 200
        assert balancer.apply(1, LOOK_IS_UNSAFE)

        assert await pay(balancer.balancer, "k", "/look") == (200, b"run 2")
        assert await pay(balancer.balancer, "k", "/look") == (200, b"run 2")
    assert balancer.extension.store.counts[Verdict.REPLAY] == 1


# Members of a fleet with different versions.


@pytest.fixture
def edges(tmp_path):
    return Edges(tmp_path)


class MixedFleet:
    """An owner of keys with the startup settings, and a balancer with a version that forwards."""

    def __init__(self, edges, peer, content):
        self.edges = edges
        self.owner = edges.make("e0", peer)
        peers = Peers(str(edges.path), "e1", make_log())
        self.forwarder = ControlledBalancer(peer, peers=peers)
        self.content = content

    async def __aenter__(self):
        await self.owner.balancer.__aenter__()
        await self.forwarder.__aenter__()
        assert self.forwarder.apply(1, self.content)
        return self

    async def __aexit__(self, *error):
        await self.forwarder.__aexit__(*error)
        await self.owner.balancer.__aexit__(*error)

    async def pay(self, path, service_class):
        """Send a request with a key of the owner to the balancer with the version."""
        key = self.edges.key_of("e0", service_class)
        return await pay(self.forwarder.balancer, key, path)


async def test_owner_applies_the_window_of_the_member_that_forwards_by_a_version(edges, upstream):
    async with (
        ScriptedPeer(upstream) as peer,
        MixedFleet(edges, peer, HOLD_IS_UNSAFE) as fleet,
    ):
        assert await fleet.pay("/hold", HOLD) == (200, b"run 1")

        fleet.owner.balancer.app.runtime.offset += 2 * HOLD_WINDOW_S * NS_PER_S

        assert await fleet.pay("/hold", HOLD) == (200, b"run 1")


async def test_owner_runs_a_request_once_that_is_unsafe_by_the_version_of_the_sender(edges):
    async with (
        ScriptedPeer(always(make_response(500))) as peer,
        MixedFleet(edges, peer, HOLD_IS_UNSAFE) as fleet,
    ):
        assert await fleet.pay("/hold", HOLD) == FAILED
    assert len(peer.requests) == 1


async def test_request_whose_method_the_owners_version_does_not_have_is_rejected(edges):
    async with (
        ScriptedPeer(always(make_response())) as peer,
        MixedFleet(edges, peer, LOOK_IS_UNSAFE) as fleet,
    ):
        assert (await fleet.pay("/look", LOOK))[0] == 503
    assert not peer.requests


def test_times_for_former_owners_cover_all_settings_since_the_start():
    settings = SettingsInForce(key_settings(policies(unsafe_ns=NS_PER_S), longest_request_ns=5))

    settings.replace(key_settings(policies(unsafe_ns=20 * NS_PER_S), longest_request_ns=7))
    settings.replace(key_settings(policies(unsafe_ns=NS_PER_S), longest_request_ns=5))

    assert settings.entry_ns(UNSAFE) == 20 * NS_PER_S + 7
    assert settings.longest_entry_ns() == 20 * NS_PER_S + 7
