"""Settings with edge values: either valid for a policy, or refused with a one-line message."""

import copy
import math
from dataclasses import fields

import pytest

from pepperhook import settings
from pepperhook.balancer import Balancer
from tests.server.balancers import ENVIRONMENT

EDGE_VALUES = [
    None,
    True,
    "x",
    "",
    [],
    {},
    -1,
    0.5,
    1e-320,
    2**61,
    2**63,
    10**30,
    1e308,
    math.inf,
    -math.inf,
    math.nan,
]
KEYS = [
    *settings.SETTINGS,
    "discovery",
    "earningsPer",
    "azs",
    "models",
    "orgs",
    "serviceGrades",
    "reporting",
    "reporting.how",
    "reporting.fields",
]
CLASS_KEYS = ["name", "timeLimitUs", "goalTimeUs", "effect", "group", "keyTtlUs", "earnings"]
TENANT_KEYS = ["name", "quotaPerS", "share"]
VALID = ENVIRONMENT | {"reporting": {"how": "probe", "fields": ["outstanding"]}}


def with_value(key, value):
    """Return a valid document with ``value`` at a dotted key."""
    document = copy.deepcopy(VALID)
    *tables, last = key.split(".")
    table = document
    for name in tables:
        table = table.setdefault(name, {})
    table[last] = value
    return document


def with_row_value(table, key, value):
    """Return a valid document with ``value`` in the first row of a table."""
    document = copy.deepcopy(VALID)
    document[table][0][key] = value
    return document


CASES = [
    *((key, lambda value, key=key: with_value(key, value)) for key in KEYS),
    *(
        (
            f"serviceGrades[0].{key}",
            lambda value, key=key: with_row_value("serviceGrades", key, value),
        )
        for key in [*CLASS_KEYS, "lateEarnings", "stream"]
    ),
    *(
        (f"orgs[0].{key}", lambda value, key=key: with_row_value("orgs", key, value))
        for key in TENANT_KEYS
    ),
]


def numbers_in(record):
    """Yield all integers of settings or of a service class."""
    for field in fields(record):
        value = getattr(record, field.name)
        if isinstance(value, int):
            yield value


@pytest.mark.parametrize(("key", "make_document"), CASES, ids=[key for key, _ in CASES])
def test_edge_value_is_refused_with_its_key_or_gives_settings_that_a_policy_accepts(
    key, make_document
):
    # Prevents tracebacks, and numbers that captures and journals cannot store.
    for value in EDGE_VALUES:
        document = make_document(value)
        try:
            read = settings.read(document)
            settings.read_names(document)
        except settings.SettingsError as error:
            assert "\n" not in str(error)
            assert key.partition(".")[0].partition("[")[0] in str(error)
            continue
        for record in [read, *read.service_classes]:
            assert all(abs(number) < 2**63 for number in numbers_in(record))
        Balancer(read, 1, 0)


def test_unknown_effect_is_unsafe():
    read = settings.read(with_row_value("serviceGrades", "effect", "new_kind"))

    assert read.service_classes[0].effect == settings.Effect.UNSAFE
