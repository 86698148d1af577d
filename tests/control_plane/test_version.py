"""Versions and documents: patches, signatures, and errors that name the faulty key."""

import random

import msgspec
import pytest

from pepperhook import tomlfile
from pepperhook.control_plane.document import Document
from pepperhook.control_plane.merge_patch import apply_patch, create_patch, differences
from pepperhook.control_plane.version import ForgedVersionError, verify_version
from pepperhook.key_ring import KeyRing
from tests.control_plane.helpers import KEYS, SECRET, document, signed_version


def random_document(generator, depth=0):
    return {
        generator.choice("abcdef"): random_document(generator, depth + 1)
        if depth < 3 and generator.random() < 0.5
        else generator.randrange(5)
        for _ in range(generator.randrange(5))
    }


@pytest.mark.parametrize("seed", range(5))
def test_merge_patch_turns_one_document_into_the_other(seed):
    generator = random.Random(seed)
    for _ in range(300):
        before = random_document(generator)
        after = random_document(generator)

        patched = apply_patch(before, create_patch(before, after))

        assert patched == after
        assert apply_patch(before, {}) == before
        # Not the reverse: an empty table has no leaves.
        assert bool(differences(before, after)) <= (before != after)


def test_differences_contain_none_for_an_absent_value():
    assert differences({"a": {"b": 1}}, {"a": {"c": 2}}) == [("a.b", 1, None), ("a.c", None, 2)]


@pytest.mark.parametrize(
    "field, value",
    [
        ("number", 4),
        ("author", "bo"),
        ("document", document()),
        ("forced", ["drains all"]),
        ("mac", "0" * 64),
        ("hash", "0" * 64),
        ("key", "k9"),
    ],
)
def test_version_changed_after_it_was_signed_is_forged(field, value):
    version = signed_version(3, document(grades={"look": {"earnings": 2.0}}))
    assert verify_version(version, KEYS) is version

    changed = msgspec.structs.replace(version, **{field: value})

    with pytest.raises(ForgedVersionError):
        verify_version(changed, KEYS)


def test_key_rotation_verifies_by_either_key_until_the_old_one_is_removed():
    # A new key is distributed before it signs; the old one is removed after it no longer signs.
    old_version = signed_version(3)
    new_only = KeyRing([("k2", "another long secret of the installation")])
    both = KeyRing([("k2", "another long secret of the installation"), ("k1", SECRET)])

    assert verify_version(old_version, both)
    assert verify_version(signed_version(4, keys=both), both).key == "k2"
    with pytest.raises(ForgedVersionError, match="no key has the id 'k1'"):
        verify_version(old_version, new_only)


@pytest.mark.parametrize(
    "text, reason",
    [
        ("version = 2", "version: invalid enum value 2"),
        ("version = 1\n[grades.look]\nearning = 1", "'earnings' is the nearest"),
        ("version = 1\n[upstreams.a]\nweight = 0", "upstreams"),
        (
            "version = 1\n[grades.look]\neffect = 'twice'",
            "line 3: grades.look.effect: invalid enum value 'twice'",
        ),
    ],
)
def test_error_of_a_faulty_document_names_the_key(text, reason):
    with pytest.raises(tomlfile.TomlFileError, match=reason):
        tomlfile.decode(text, Document)
