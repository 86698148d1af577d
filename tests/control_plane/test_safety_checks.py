"""Safety checks of a balancer and of the control service on a document."""

import msgspec
import pytest

from pepperhook.control_plane.document import Effect, parse_document
from pepperhook.control_plane.safety_checks import (
    BalancerView,
    Check,
    ServiceClassState,
    not_overridden,
    violations_of_change,
    violations_on_balancer,
)
from tests.control_plane.helpers import document

VIEW = BalancerView(
    service_classes={
        "look": ServiceClassState(500, 200, Effect.SAFE),
        "sale": ServiceClassState(900, 400, Effect.UNSAFE),
        "hold": ServiceClassState(900, 400, Effect.KEYED),
    },
    tenants=frozenset(["acme"]),
    extensions=frozenset(["customers"]),
    upstream_capacity={"a": 3.0, "b": 3.0, "c": 6.0},
    in_flight=5.0,
    usual_latency_ms={"look": 120.0},
)


def drain(names):
    return {name: {"drain": True} for name in names}


HARMFUL = [
    (document(grades={"nope": {}}), Check.UNKNOWN_NAME, "grades.nope"),
    (document(customers={"zz": {}}), Check.UNKNOWN_NAME, "customers.zz"),
    (
        document(grades={"look": {"goal_ms": 600}}),
        Check.LATENCY_OBJECTIVE,
        "grades.look.goal_ms",
    ),
    (
        document(grades={"look": {"time_limit_ms": 100, "goal_ms": 50}}),
        Check.TIME_LIMIT,
        "grades.look.time_limit_ms",
    ),
    (document(grades={"sale": {"effect": "idempotent"}}), Check.EFFECT, "grades.sale.effect"),
    (document(grades={"sale": {"effect": "deduplicated"}}), Check.EFFECT, "grades.sale.effect"),
    (document(grades={"look": {"effect": "at_most_once"}}), Check.METHOD, "grades.look.effect"),
    (document(upstreams=drain("abc")), Check.DRAINS_ALL, "upstreams"),
    (document(upstreams=drain("ac")), Check.CAPACITY, "upstreams"),
]


@pytest.mark.parametrize("content, check, key", HARMFUL)
def test_balancer_rejects_a_harmful_document_and_names_the_faulty_key(content, check, key):
    violations = violations_on_balancer(parse_document(content), VIEW)

    assert [(violation.check, violation.key) for violation in violations] == [(check, key)]
    is_mandatory = bool(not_overridden(violations, [check.value]))
    assert is_mandatory == (check in (Check.UNKNOWN_NAME, Check.LATENCY_OBJECTIVE))
    assert not_overridden(violations, ["other"])


def test_harmless_document_is_accepted_by_the_balancer():
    content = document(
        grades={"look": {"goal_ms": 100}, "hold": {"effect": "at_most_once"}},
        upstreams=drain("cx"),
    )

    assert violations_on_balancer(parse_document(content), VIEW) == []


def test_settings_of_a_disabled_extension_are_rejected():
    parsed = parse_document(document(parts={"customers": {"default": {"per_second": 5.0}}}))
    view_without = msgspec.structs.replace(VIEW, extensions=frozenset())

    assert not violations_on_balancer(parsed, VIEW)
    violations = violations_on_balancer(parsed, view_without)
    assert [violation.check for violation in violations] == [Check.EXTENSION_OFF]


BEFORE = document(grades={"look": {"earnings": 1.0}, "sale": {"effect": "at_most_once"}})
CHANGES = [
    (
        document(grades={"look": {"earnings": 1.6}, "sale": {"effect": "at_most_once"}}),
        [Check.LARGE_CHANGE],
    ),
    (
        document(grades={"look": {"earnings": 1.0}, "sale": {"effect": "idempotent"}}),
        [Check.EFFECT],
    ),
    ({**BEFORE, "upstreams": drain("ab")}, [Check.DRAINS_ALL]),
    ({**BEFORE, "upstreams": drain("a")}, []),
    (document(grades={"look": {"earnings": 1.5}, "sale": {"effect": "at_most_once"}}), []),
]


def test_service_finds_large_changes_unsafe_repeats_and_draining_of_all_upstreams():
    for after, checks in CHANGES:
        violations = violations_of_change(BEFORE, after, parse_document(after), frozenset("ab"))
        assert [violation.check for violation in violations] == checks


def test_service_rejects_draining_more_than_half_of_the_known_upstreams():
    after = {**BEFORE, "upstreams": drain("abc")}

    violations = violations_of_change(BEFORE, after, parse_document(after), frozenset("abcd"))

    assert [violation.check for violation in violations] == [Check.DRAINS_MANY]


def test_violation_has_the_json_keys_of_the_http_interface():
    [violation] = violations_on_balancer(parse_document(document(grades={"nope": {}})), VIEW)

    assert msgspec.to_builtins(violation) == {
        "check": "unknown",
        "key": "grades.nope",
        "why": "the settings have no such grade; they have hold, look, sale",
        "forceable": False,
    }
