"""Tests that the host answers batches of events for the instances that they name."""

import io
import json
import struct

import pytest

from pepperhook.sim_adapter import codec, protocol
from pepperhook.sim_adapter.codec import Batch, MalformedInputError, Record
from pepperhook.sim_adapter.host import Host
from tests.server.balancers import ENVIRONMENT
from tests.sim_adapter.test_codec import EXAMPLE_BATCH

UPSTREAM = b"abcdef"


def about(number):
    return Record(protocol.ABOUT, protocol.ABOUT_FIELDS.pack(number))


def attach(settings):
    return Record(
        protocol.ATTACH, protocol.ATTACH_FIELDS.pack(1, len(settings)) + settings.encode()
    )


def endpoint_list():
    entry = protocol.ENTRY_FIELDS.pack(UPSTREAM, 0, 1.0, 0, 0, 1, 0)
    return Record(protocol.TABLE, protocol.TABLE_FIELDS.pack(1, 1) + entry)


def fleet(scope=protocol.FULL, number=1):
    return Record(protocol.FLEET, protocol.FLEET_FIELDS.pack(0, scope, number))


def query(request_id):
    fields = protocol.QUERY_FIELDS.pack(request_id, 0, 0, 0, 2_000_000, 0, 0)
    return Record(protocol.QUERY, fields)


def reply_records(host, clock_us, *records):
    """Return the decoded records of the reply to a batch."""
    return [decode(encoded) for encoded in host.answer(Batch(clock_us, list(records)))]


def decode(encoded):
    code, size = codec.RECORD_HEADER.unpack_from(encoded)
    fields = encoded[codec.RECORD_HEADER.size :]
    assert len(fields) == size
    return Record(code, fields)


@pytest.fixture
def host():
    """A host with instance 3, whose endpoint list has one upstream."""
    host = Host()
    host.answer(
        Batch(0, [about(3), attach(json.dumps(ENVIRONMENT)), endpoint_list(), about(3), fleet()])
    )
    return host


def test_events_for_instances_that_are_not_started_cause_no_actions():
    batch = codec.read_batch(io.BytesIO(EXAMPLE_BATCH))

    assert Host().answer(batch) == []


def test_actions_for_a_request_follow_the_context_of_its_instance(host):
    context, *actions = reply_records(host, 1000, about(3), query(77))

    assert context == (protocol.CONTEXT, struct.pack(">H", 3))
    send_fields = [fields for code, fields in actions if code == protocol.SEND]
    assert send_fields[0][:14] == struct.pack(">Q6s", 77, UPSTREAM)


def test_finished_request_is_removed_when_its_last_attempt_has_ended(host):
    host.answer(Batch(1000, [about(3), query(77)]))
    reply = protocol.REPLY_FIELDS.pack(77, 0, UPSTREAM, 10, 500, 1)

    assert list(host.instances[3].requests) == [77]
    host.answer(Batch(2000, [about(3), Record(protocol.REPLY, reply)]))

    assert not host.instances[3].requests


def test_event_with_an_unknown_code_is_ignored(host):
    assert reply_records(host, 1000, about(3), Record(99, b"new")) == []


def test_error_in_an_event_becomes_a_record_and_the_next_event_is_handled(host, capsys):
    records = reply_records(host, 1000, about(3), attach("{x}"), query(77))

    assert [record.code for record in records[:2]] == [protocol.CONTEXT, protocol.INTERNAL_ERROR]
    assert b"JSONDecodeError" in records[1].fields
    assert protocol.SEND in [record.code for record in records[2:]]
    assert "Traceback" in capsys.readouterr().err


@pytest.mark.parametrize(
    "records, message",
    [
        ([query(1)], "event code 7 precedes the first ABOUT"),
        ([Record(protocol.ABOUT, b"a")], "ABOUT: 1 bytes of fields, at least 2 are needed"),
        ([about(3), fleet(number=9)], "FLEET: no endpoint list has the number 9"),
    ],
)
def test_invalid_event_raises_malformed_input_error(host, records, message):
    with pytest.raises(MalformedInputError, match=message):
        host.answer(Batch(1000, records))
