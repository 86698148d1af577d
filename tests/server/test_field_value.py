"""Field values and targets: octets that no conversion changes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pepperhook.server.field_value import FieldValue
from pepperhook.server.http1_writer import encode_head

ALL_OCTETS = bytes(range(256))
CONTROL_CHARACTERS = {*range(0x20), 0x7F} - {ord("\t")}


@given(st.binary())
def test_value_keeps_its_octets_through_the_library_and_as_text(octets):
    value = FieldValue(octets)

    assert FieldValue.from_library(value.to_library()) == value
    assert value.text.encode("iso-8859-1") == octets
    value.text.encode()  # can be stored and logged


@pytest.mark.parametrize("octet", ALL_OCTETS)
def test_value_is_forwardable_without_control_characters(octet):
    value = FieldValue(b"a" + bytes([octet]) + b"b")

    assert value.is_forwardable == (octet not in CONTROL_CHARACTERS)
    assert value.is_utf8 == (octet < 0x80)


@pytest.mark.parametrize(
    "octets, is_forwardable",
    [
        (b"", True),
        (b"x", True),
        (b"\xe7", True),
        (b"a \t b", True),
        (b" ", False),
        (b"a ", False),
        (b"\ta", False),
        (b"a" * 8000 + b"\xe7", True),
        (b"a\r\nb: c", False),
        (b"a\n", False),
    ],
)
def test_value_is_forwardable_without_blanks_at_its_ends(octets, is_forwardable):
    assert FieldValue(octets).is_forwardable == is_forwardable


@pytest.mark.parametrize("octet", ALL_OCTETS)
def test_target_is_forwardable_without_blanks_and_control_characters(octet):
    target = FieldValue(b"/look/" + bytes([octet]))

    is_expected = octet not in CONTROL_CHARACTERS and octet not in b" \t"
    assert target.is_forwardable_target == is_expected


@pytest.mark.parametrize("octet", ALL_OCTETS)
def test_head_has_each_octet_of_a_value_but_control_characters(octet):
    # Guards against dropping or replacing octets that are not UTF-8.
    value = FieldValue(b"a" + bytes([octet]) + b"b")
    headers = {"Content-Type": value.to_library()}

    if octet in CONTROL_CHARACTERS:
        with pytest.raises(ValueError, match="control character"):
            encode_head("HTTP/1.1 200 OK", headers)
    else:
        expected = b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\n\r\n" % value.octets
        assert encode_head("HTTP/1.1 200 OK", headers) == expected
