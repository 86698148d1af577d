"""MACs of header values, and hashed names of balancers."""

import pytest

from pepperhook.key_ring import KeyRing
from pepperhook.request_context.authentication import hop_name, service_of
from pepperhook.request_context.context_header import read_context, write_context
from pepperhook.request_context.errors import InvalidContextError, RejectionReason
from tests.request_context.contexts import KEYS, NEW_KEY, NO_KEYS, OLD_KEY, full_context

WITH_OLD_KEY = write_context(full_context(), KeyRing([OLD_KEY]))
WITHOUT_MAC = write_context(full_context(), NO_KEYS)


def rejection_reason(text, keys):
    with pytest.raises(InvalidContextError) as error:
        read_context(text, keys, False)
    return error.value.reason


def test_value_signed_with_the_old_key_is_read_during_a_key_rotation():
    assert read_context(WITH_OLD_KEY, KEYS, False) == full_context()


def test_first_key_signs():
    assert 'k="k2"' in write_context(full_context(), KEYS)


def test_value_signed_with_a_removed_key_is_untrusted():
    assert rejection_reason(WITH_OLD_KEY, KeyRing([NEW_KEY])) is RejectionReason.UNTRUSTED


def test_value_without_a_mac_is_read_only_from_a_trusted_network():
    assert read_context(WITHOUT_MAC, NO_KEYS, True) == full_context()
    assert rejection_reason(WITHOUT_MAC, KEYS) is RejectionReason.UNTRUSTED


@pytest.mark.parametrize(
    "forged",
    [
        WITH_OLD_KEY.replace("tries=1", "tries=9"),
        WITH_OLD_KEY.replace("left=400", "left=900"),
        WITH_OLD_KEY.replace('k="k1"', 'k="k2"'),
        WITH_OLD_KEY + ", x=1",
    ],
    ids=["retries", "time", "key", "member after the MAC"],
)
def test_changed_value_is_forged(forged):
    assert rejection_reason(forged, KEYS) is RejectionReason.FORGED


@pytest.mark.parametrize("key_id", ["(1 2)", "7", ":aGk=:", "?1"])
def test_key_id_that_is_not_a_string_is_untrusted(key_id):
    forged = f"v=1, k={key_id}, mac=:aGk=:"

    assert rejection_reason(forged, KEYS) is RejectionReason.UNTRUSTED


def test_mac_that_is_not_a_byte_sequence_is_untrusted():
    assert rejection_reason('v=1, k="k1", mac=:aGk=:, mac=7', KEYS) is RejectionReason.UNTRUSTED


def test_hop_names_of_a_service_share_their_first_part_and_hide_the_real_names():
    first, second = (hop_name(b"secret", "auth", instance) for instance in ("n1", "n2"))

    assert service_of(first) == service_of(second)
    assert first != second
    assert "auth" not in first
    assert service_of(hop_name(b"other secret", "auth", "n1")) != service_of(first)
