"""Formats of stored and sent data, which must not change within a version."""

import msgspec
import pytest

from pepperhook.domain import Effect
from pepperhook.idempotency.journal.record import (
    Record,
    RecordKind,
    SegmentHeader,
    decode_records,
    encode_header,
    encode_prefix,
    encode_records,
)
from pepperhook.idempotency.keys import key_digest, request_fingerprint
from pepperhook.idempotency.ownership import KnownLists, Member, MemberList, owner_of
from pepperhook.idempotency.peer_protocol import (
    KnownEpochs,
    SenderRules,
    decode_epochs,
    decode_health,
    decode_list,
    decode_rules,
    encode_health,
    forwarded_headers,
    lists_page,
    rules_headers,
)
from pepperhook.server.field_value import FieldValue

PREFIX = b"pepperhook repeats 1\n"
HEADER_BLOCK = bytes.fromhex("080000007fa23fee5b180b4093a4626f6f740102")
RECORDS_BLOCK = bytes.fromhex(
    "70000000abe7ec741d1f165a929800c4106b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6bc4107070707070707070707070"
    "7070707070a3706179a461636d6505c0c09801c4106b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6bc41070707070707070"
    "707070707070707070a3706179c007c404646f6e65aa746578742f706c61696e"
)
RECORDS = [
    Record(RecordKind.STARTED, b"k" * 16, b"p" * 16, "pay", "acme", 5),
    Record(RecordKind.COMPLETED, b"k" * 16, b"p" * 16, "pay", None, 7, b"done", "text/plain"),
]


def test_segment_begins_with_the_stored_prefix_and_header():
    assert encode_prefix() == PREFIX
    assert encode_header(SegmentHeader("boot", 1, 2)) == HEADER_BLOCK


def test_records_are_encoded_as_in_stored_journals():
    assert encode_records(RECORDS) == RECORDS_BLOCK


def test_stored_records_are_decoded():
    payload = memoryview(RECORDS_BLOCK)[12:]

    assert decode_records(payload) == RECORDS


def test_record_of_an_unknown_kind_is_decoded_as_indeterminate():
    encoded = msgspec.msgpack.encode([[9, b"k" * 16, b"p" * 16, "pay", None, 7]])

    (record,) = decode_records(memoryview(encoded))

    assert record.kind is RecordKind.INDETERMINATE


@pytest.mark.parametrize(
    "tenant, key, digest",
    [
        (None, "k1", "a69471988f0ca7cb4d0801d86d6fcf89"),
        (None, '"k1"', "a69471988f0ca7cb4d0801d86d6fcf89"),
        (0, "k1", "c2df830047aaa965ff9d2a4611a98b37"),
    ],
)
def test_key_digest_matches_the_stored_one(tenant, key, digest):
    assert key_digest(1, tenant, FieldValue.ascii(key)).hex() == digest


def test_fingerprint_matches_the_stored_one():
    fingerprint = request_fingerprint("POST", "/pay", b"1")

    assert fingerprint.hex() == "4129a681b37d300a09b4b0febe2a7439"


def test_owners_are_the_same_as_in_other_versions():
    members = [Member(name, "") for name in "abc"]

    owners = [owner_of(b"%d" % number, members).name for number in range(8)]

    assert "".join(owners) == "accbacba"


def test_forwarded_request_carries_epoch_timeout_and_the_headers_that_the_balancer_reads():
    headers = forwarded_headers(
        [("Idempotency-Key", FieldValue.ascii("k"))],
        {
            "X-Tenant-Id": [FieldValue(b"k\xf6y")],
            "X-Cost": [],
            "X-Unknown": [FieldValue.ascii("1")],
        },
        epoch=7,
        timeout_s=0.0001,
    )

    assert [(name, value.octets) for name, value in headers] == [
        ("Idempotency-Key", b"k"),
        ("Pepperhook-Epoch", b"7"),
        ("X-Timeout-Ms", b"1"),
        ("X-Tenant-Id", b"k\xf6y"),
    ]


def test_forwarded_request_carries_the_rules_of_its_sender():
    rules = SenderRules(Effect.UNSAFE, window_ns=600 * 10**9 + 1)

    headers = rules_headers(rules)

    assert [(name, value.octets) for name, value in headers] == [
        ("Pepperhook-Effect", b"unsafe"),
        ("Pepperhook-Window-Ms", b"600001"),
    ]
    received = {name: [value] for name, value in headers}
    assert decode_rules(received) == SenderRules(Effect.UNSAFE, 600_001 * 10**6)


@pytest.mark.parametrize(
    "effect, window",
    [([], ["1"]), (["unsafe"], []), (["odd"], ["1"]), (["unsafe"], ["-1"]), (["safe"], ["9" * 16])],
)
def test_missing_or_malformed_rules_of_a_sender_are_ignored(effect, window):
    headers = {
        "Pepperhook-Effect": [FieldValue.ascii(text) for text in effect],
        "Pepperhook-Window-Ms": [FieldValue.ascii(text) for text in window],
    }

    assert decode_rules(headers) is None


def test_longest_window_of_a_sender_can_be_recorded():
    headers = {
        "Pepperhook-Effect": [FieldValue.ascii("keyed")],
        "Pepperhook-Window-Ms": [FieldValue.ascii("9" * 15)],
    }
    record = Record(
        RecordKind.STARTED, b"k", b"p", "pay", None, 5, window_ns=decode_rules(headers).window_ns
    )

    assert decode_records(memoryview(encode_records([record]))[12:]) == [record]


def test_health_response_carries_the_epoch():
    assert encode_health(12) == "epoch 12\n"
    assert decode_health(200, b"epoch 12\n") == 12


@pytest.mark.parametrize(
    "status, body", [(503, b"epoch 12\n"), (200, b"serving\n"), (200, b"epoch x\n"), (200, b"\xff")]
)
def test_health_response_of_another_form_has_no_epoch(status, body):
    assert decode_health(status, body) is None


def test_reported_member_lists_keep_their_format():
    first = MemberList(version=1, epoch=1, members=[Member("a", "h:1")])
    second = MemberList(version=1, epoch=2, members=[Member("b", "h:2")], dead=["a"])
    known = KnownLists([first, second], is_complete=True)
    epochs = '{"epochs":[1,2],"is_complete":true}'
    members = '{"version":1,"epoch":2,"members":[{"name":"b","address":"h:2"}],"dead":["a"]}'

    assert lists_page("/_member-lists", known) == epochs
    assert lists_page("/_member-lists/2", known) == members
    assert lists_page("/_member-lists/3", known) is None
    assert lists_page("/_member-lists/", known) is None
    assert decode_epochs(200, epochs.encode()) == KnownEpochs([1, 2], is_complete=True)
    assert decode_list(200, members.encode()) == second


@pytest.mark.parametrize(
    "status, body",
    [
        (404, b"{}"),
        (200, b""),
        (200, b'{"epochs":[],"is_complete":true}'),
        (200, b'{"epochs":[1]}'),
    ],
)
def test_malformed_report_of_member_lists_is_refused(status, body):
    with pytest.raises(ValueError):
        decode_epochs(status, body)
    with pytest.raises(ValueError):
        decode_list(status, body)
