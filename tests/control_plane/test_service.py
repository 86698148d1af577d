"""The control service on loopback: authentication, restarts, streams and heartbeats."""

import time

import aiohttp
import pytest
from click.testing import CliRunner

from pepperhook.cli import main
from pepperhook.control_plane import extension, frames, service
from pepperhook.control_plane.auth import MAC_HEADER, sign_request
from pepperhook.control_plane.messages import (
    Heartbeat,
    InvalidRequestError,
    ProposeRequest,
    Rejection,
    convert_body,
)
from pepperhook.control_plane.rollout import RolloutState, Step
from pepperhook.control_plane.rollout_statistics import RequestCounts
from pepperhook.domain import EndpointUpdate, UpstreamState
from pepperhook.key_ring import KeyRing
from pepperhook.lab import control_benchmark
from pepperhook.server.extensions import Extensions
from tests.control_plane.helpers import (
    KEYS,
    RunningControlService,
    begin_rollout,
    control_extension,
    document,
    propose,
    roll_out_at_once,
    until,
)
from tests.programs import free_port
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, always, make_response

MEMBERS = "/v1/members"
HEARTBEAT = b'{"name":"x","tier":0,"running":0}'


class Client:
    """Sends requests with given headers."""

    def __init__(self, address):
        self.address = address

    async def __aenter__(self):
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_):
        await self.session.close()

    async def get(self, headers, path=MEMBERS):
        """Send a GET request; return the status and the error text."""
        async with self.session.get(f"http://{self.address}{path}", headers=headers) as response:
            return response.status, (await response.json()).get("error", "")

    async def post(self, path, body):
        """Send a signed POST request; return the status."""
        headers = sign_request(KEYS, "POST", path, body)
        url = f"http://{self.address}{path}"
        async with self.session.post(url, headers=headers, data=body) as response:
            return response.status


def outdated_clock():
    return time.time() - 100  # more than the permitted skew of 60 s


async def test_request_that_is_not_authentic_or_not_fresh_is_denied(tmp_path):
    unsigned = {}
    wrong_mac = {**sign_request(KEYS, "GET", MEMBERS), MAC_HEADER: "0"}
    of_another_path = sign_request(KEYS, "GET", "/v1/versions")
    too_old = sign_request(KEYS, "GET", MEMBERS, clock=outdated_clock)
    of_unknown_key = sign_request(KeyRing([("k9", "x" * 20)]), "GET", MEMBERS)
    async with (
        RunningControlService(tmp_path / "s") as control_service,
        Client(control_service.address) as client,
    ):
        for headers, reason in (
            (unsigned, "no key"),
            (wrong_mac, "does not fit"),
            (of_another_path, "does not fit"),
            (too_old, "clocks differ"),
            (of_unknown_key, "no key has the id"),
        ):
            status, error = await client.get(headers)
            assert status == 401
            assert reason in error
        assert control_service.service.counters.denied == 5


async def test_replayed_request_is_denied(tmp_path):
    async with (
        RunningControlService(tmp_path / "s") as control_service,
        Client(control_service.address) as client,
    ):
        headers = sign_request(KEYS, "GET", MEMBERS)

        assert (await client.get(headers))[0] == 200
        assert await client.get(headers) == (401, "the nonce was used before")
        assert control_service.service.counters.denied == 1


async def test_heartbeats_of_one_member_above_the_rate_limit_are_denied(tmp_path):
    async with (
        RunningControlService(tmp_path / "s") as control_service,
        Client(control_service.address) as client,
    ):
        statuses = [await client.post("/v1/beat", HEARTBEAT) for _ in range(30)]

        assert statuses.count(200) <= 8
        assert statuses.count(401) >= 22


async def test_malformed_request_is_answered_by_400(tmp_path):
    path = "/v1/versions?after=x"
    async with (
        RunningControlService(tmp_path / "s") as control_service,
        Client(control_service.address) as client,
    ):
        assert await client.post("/v1/plan", b"{") == 400
        assert (await client.get(sign_request(KEYS, "GET", path), path))[0] == 400


def test_body_without_a_required_field_is_rejected_with_its_name():
    with pytest.raises(InvalidRequestError, match="^document: is missing$"):
        convert_body({"author": "ann"}, ProposeRequest)


def test_heartbeat_is_decoded_from_its_wire_keys():
    body = {
        "name": "n",
        "tier": 1,
        "running": 3,
        "refused": [4, "grades.look: no"],
        "good": 10,
        "bad": 2,
        "address": "127.0.0.1:1",
        "upstreams_mark": 7,
        "upstreams": ["a", "b"],
    }

    heartbeat = convert_body(body, Heartbeat)

    assert heartbeat == Heartbeat(
        name="n",
        tier=1,
        running_version=3,
        rejection=Rejection(4, "grades.look: no"),
        succeeded=10,
        failed=2,
        address="127.0.0.1:1",
        upstreams_checksum=7,
        upstreams=["a", "b"],
    )


async def test_rollout_continues_after_a_restart_of_the_service(tmp_path):
    port = free_port()
    address = f"127.0.0.1:{port}"
    controls = [control_extension(address, name=f"b{number}") for number in range(4)]

    def running_numbers():
        return [control.applier.running_number for control in controls]

    def connected():
        return [control.stream.connected for control in controls]

    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningBalancer(
            [upstream.address], extensions=Extensions([controls[0]]), owns_event_loop=False
        ),
        RunningBalancer(
            [upstream.address], extensions=Extensions([controls[1]]), owns_event_loop=False
        ),
        RunningBalancer(
            [upstream.address], extensions=Extensions([controls[2]]), owns_event_loop=False
        ),
        RunningBalancer(
            [upstream.address], extensions=Extensions([controls[3]]), owns_event_loop=False
        ),
    ):
        async with RunningControlService(tmp_path / "s", port=port) as control_service:
            await until(lambda: all(connected()) and len(control_service.members) == 4)
            propose(control_service.service, document(grades={"look": {"goal_ms": 900.0}}))
            steps = [Step(0.5, 3600.0), Step(1.0, 0.0)]
            begin_rollout(control_service.service, 1, steps, patience_s=3600)
            await until(lambda: sorted(running_numbers()) == [0, 0, 1, 1])
            before = running_numbers()
        await until(lambda: not any(connected()))
        assert running_numbers() == before, "balancers keep their versions without the service"

        async with RunningControlService(tmp_path / "s", port=port) as control_service:
            rollout = control_service.rollout
            assert (rollout.state, rollout.step, rollout.version) == (RolloutState.RUNNING, 0, 1)
            await until(lambda: all(connected()) and len(control_service.members) == 4)
            assert running_numbers() == before

            rollout = control_service.rollout
            rollout.steps[0].seconds = 0.0
            # Enough requests for the step to end.
            rollout.baseline = RequestCounts(1000, 10)
            rollout.updated = RequestCounts(1000, 10)
            await until(lambda: running_numbers() == [1] * 4)
            rollout = control_service.rollout
            rollout.updated = RequestCounts(1000, 10)
            rollout.earlier_baseline = RequestCounts(1000, 10)
            await until(lambda: control_service.rollout.state == RolloutState.COMPLETED)


async def test_version_is_encoded_once_for_all_members_with_the_same_base(tmp_path, monkeypatch):
    encode = frames.encode_version
    encoded = []

    def counting_encode(version, base=None):
        encoded.append(version.number)
        return encode(version, base)

    monkeypatch.setattr(frames, "encode_version", counting_encode)
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningControlService(tmp_path / "s") as control_service,
    ):
        controls = [
            control_extension(control_service.address, name=f"n{number}") for number in range(4)
        ]
        propose(control_service.service, document())
        roll_out_at_once(control_service.service, 1)
        balancers = [
            RunningBalancer(
                [upstream.address], extensions=Extensions([control]), owns_event_loop=False
            )
            for control in controls
        ]
        for balancer in balancers:
            await balancer.__aenter__()

        await until(lambda: [control.applier.running_number for control in controls] == [1] * 4)

        assert len(encoded) == 1
        assert control_service.service.counters.versions_sent == 4
        for balancer in balancers:
            await balancer.__aexit__(None)


async def test_heartbeat_has_upstreams_only_where_the_service_does_not_know_them(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(extension, "HEARTBEAT_INTERVAL_S", 0.25)
    receive = service.ControlService.receive_heartbeat
    with_upstreams = []

    def recording_receive(self, heartbeat):
        with_upstreams.append(isinstance(heartbeat.upstreams, list))
        return receive(self, heartbeat)

    monkeypatch.setattr(service.ControlService, "receive_heartbeat", recording_receive)
    async with ScriptedPeer(always(make_response())) as upstream:
        control_service = RunningControlService(tmp_path / "s")
        async with control_service:
            control = control_extension(control_service.address)
            balancer = RunningBalancer(
                [upstream.address], extensions=Extensions([control]), owns_event_loop=False
            )
            await balancer.__aenter__()
            await until(lambda: len(with_upstreams) >= 8)
            # In the first heartbeat, and in the next ones only if the list had changed.
            assert with_upstreams[0]
            assert sum(with_upstreams) <= 3
            assert control_service.members["n"].upstreams == ("h0",)

            gone = [
                EndpointUpdate(upstream, UpstreamState.GONE, 0)
                for upstream in control.applier.endpoints.upstreams()
            ]
            control.applier.endpoints.update(gone)
            await until(lambda: control_service.members["n"].upstreams == ())

        # A restarted service has the members' leases from the store, but not their upstreams.
        count = len(with_upstreams)
        async with RunningControlService(tmp_path / "s", port=control_service.port) as restarted:
            # Differs from the checksum of the upstreams, so the next heartbeat includes them.
            control.heartbeats.acknowledged_checksum = 12345
            await until(lambda: len(with_upstreams) >= count + 3 and "n" in restarted.members)
            assert sum(with_upstreams[count:]) >= 1
            await balancer.__aexit__(None)


def test_control_load_measurement_has_a_row_for_each_number_of_members(tmp_path):
    [row] = control_benchmark.measure([6], tmp_path, free_port())

    assert row["members"] == 6
    assert row["version_at_all_s"] >= row["version_at_half_s"] > 0
    assert not row["broken_streams"]
    assert CliRunner().invoke(main, ["lab", "control-load", "--members", "3,x"]).exit_code == 2
