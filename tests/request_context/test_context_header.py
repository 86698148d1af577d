"""Encoding and decoding of the two headers, and the rejection of invalid values."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pepperhook.request_context.context_header import (
    MAX_VALUE_LENGTH,
    read_context,
    read_result,
    write_context,
    write_result,
)
from pepperhook.request_context.errors import InvalidContextError, RejectionReason
from pepperhook.request_context.messages import (
    MAX_DEPTH,
    MAX_HOPS,
    MAX_ID_LENGTH,
    MAX_MS,
    MAX_PATH_LENGTH,
    MAX_PRIORITY_WEIGHT,
    MAX_RETRIES,
    RequestContext,
    TierOutcome,
)
from tests.request_context.contexts import HOP, KEYS, NO_KEYS, full_context, make_result

VALID_START = 'v=1, id="a", p="0", depth=1'
MALFORMED = [
    "v=1",
    "v=1, \u00e9",
    'v=1, id="a", p="0", depth=-1',
    'v=1, id="a", p="0", depth=?1',
    'v=1, id="a", p="", depth=1',
    'v=1, id=a, p="0", depth=1',
    f'v=1, id="{"a" * (MAX_ID_LENGTH + 1)}", p="0", depth=1',
    f"{VALID_START}, left=-5",
    f"{VALID_START}, left=99999999999999999999",
    f"{VALID_START}, tries=-1",
    f"{VALID_START}, tries=1.5",
    f"{VALID_START}, worth=-0.5",
    f'{VALID_START}, hops="x"',
    f"{VALID_START}, hops=(1 2)",
]


def rejection_reason(decode, text):
    with pytest.raises(InvalidContextError) as error:
        decode(text, NO_KEYS, True)
    return error.value.reason


def test_context_survives_a_round_trip():
    context = full_context()

    text = write_context(context, KEYS)

    assert read_context(text, KEYS, False) == context


def test_result_survives_a_round_trip():
    result = make_result(TierOutcome.FAILED, unused=0, spent_ms=120, attempts=2)

    text = write_result(result, KEYS)

    assert read_result(text, KEYS, False) == result


@pytest.mark.parametrize("outcome", list(TierOutcome))
def test_each_outcome_survives_a_round_trip(outcome):
    result = make_result(outcome)

    assert read_result(write_result(result, KEYS), KEYS, False).outcome is outcome


def test_values_keep_the_format_that_other_versions_read():
    context = write_context(full_context(), NO_KEYS)
    result = write_result(make_result(TierOutcome.REJECTED, unused=1, spent_ms=120), NO_KEYS)

    assert context == (
        'v=1, id="c1", p="0.1", depth=1, left=400, tries=1, worth=3.5, hops=("aaaaaaaa.bbbbbbbb")'
    )
    assert result == 'v=1, id="c1", p="0.1", end=shed, tries=1, spent=120, tried=1'


def test_largest_context_fits_into_a_value_that_has_only_the_latest_hops():
    hops = tuple(f"{number:08x}.{number:08x}" for number in range(100))
    largest = RequestContext(
        request_id="c" * MAX_ID_LENGTH,
        path="0" * MAX_PATH_LENGTH,
        depth=MAX_DEPTH,
        remaining_ms=MAX_MS,
        retries=MAX_RETRIES,
        priority_weight=float(MAX_PRIORITY_WEIGHT),
        hops=hops,
    )

    text = write_context(largest, KEYS)

    assert len(text) <= MAX_VALUE_LENGTH
    context = read_context(text, KEYS, False)
    assert context.hops == hops[-MAX_HOPS:]
    assert (context.request_id, context.path, context.depth) == ("c" * 64, "0" * 64, 64)
    assert (context.remaining_ms, context.retries, context.priority_weight) == (MAX_MS, 15, 10.0**9)


@pytest.mark.parametrize("text", MALFORMED)
def test_malformed_value_is_rejected_as_a_whole(text):
    assert rejection_reason(read_context, text) is RejectionReason.MALFORMED


@pytest.mark.parametrize("text", ["", 'v=2, id="a"'])
def test_value_of_another_version_is_rejected(text):
    assert rejection_reason(read_context, text) is RejectionReason.UNKNOWN_VERSION


def test_value_that_is_too_long_is_rejected():
    assert rejection_reason(read_context, "x" * 2000) is RejectionReason.OVERSIZED


@pytest.mark.parametrize("end", ["failed?", '"failed"', "unknown", "1"])
def test_result_with_an_unknown_outcome_is_rejected(end):
    text = f'v=1, id="c1", p="0.1", end={end}, tries=0, spent=1, tried=1'

    assert rejection_reason(read_result, text) is RejectionReason.MALFORMED


def test_missing_members_are_none_and_unknown_ones_are_ignored():
    context = read_context(f"{VALID_START}, news=(1 2);x=3", NO_KEYS, True)

    assert context == RequestContext("a", "0", 1)
    assert (context.remaining_ms, context.retries, context.priority_weight, context.hops) == (
        None,
        None,
        None,
        (),
    )


def test_zero_is_read_as_zero():
    context = read_context('v=1, id="a", p="0", depth=0, left=0, tries=0, worth=0.0', NO_KEYS, True)

    assert (context.depth, context.remaining_ms, context.retries, context.priority_weight) == (
        0,
        0,
        0,
        0.0,
    )


def test_numbers_above_the_maximum_are_clamped():
    text = (
        'v=1, id="a", p="0", depth=999999999, left=999999999999999, tries=99999, '
        "worth=999999999999.0"
    )

    context = read_context(text, NO_KEYS, True)

    assert (context.depth, context.remaining_ms, context.retries, context.priority_weight) == (
        64,
        MAX_MS,
        15,
        10**9,
    )


def test_hop_that_is_too_long_is_rejected():
    assert (
        rejection_reason(read_context, f'{VALID_START}, hops=("{HOP * 2}")')
        is RejectionReason.MALFORMED
    )


@pytest.mark.parametrize("decode", [read_context, read_result])
@pytest.mark.parametrize("is_trusted", [True, False])
@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    text=st.text(max_size=200) | st.binary(max_size=200).map(lambda data: data.decode("latin-1"))
)
def test_any_text_is_decoded_or_rejected_without_another_error(decode, is_trusted, text):
    with contextlib.suppress(InvalidContextError):
        decode(text, KEYS, is_trusted)
