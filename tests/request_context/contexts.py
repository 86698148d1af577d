"""Contexts, results and policies for tests."""

from pepperhook.domain import ServiceClass
from pepperhook.key_ring import KeyRing
from pepperhook.request_context.context_policy import ContextPolicy
from pepperhook.request_context.messages import ContextResult, RequestContext, TierOutcome
from pepperhook.request_context.request_state import Arrival
from pepperhook.units import SECOND

OLD_KEY = ("k1", "old secret of sixteen")
NEW_KEY = ("k2", "new secret of sixteen")
KEYS = KeyRing([NEW_KEY, OLD_KEY])  # as during a key rotation
NO_KEYS = KeyRing([])
SERVICE_CLASS = ServiceClass(0, SECOND, SECOND, priority_weight=2.0)
HOP = "aaaaaaaa.bbbbbbbb"


def make_context(request_id="c1", path="0.1", depth=1, remaining_ms=400, retries=1, **fields):
    return RequestContext(request_id, path, depth, remaining_ms, retries, **fields)


def full_context():
    return make_context(priority_weight=3.5, hops=(HOP,))


def make_result(
    outcome=TierOutcome.FAILED, unused=0, spent_ms=9, attempts=1, request_id="c1", path="0.1"
):
    return ContextResult(request_id, path, outcome, unused, spent_ms, attempts)


def make_policy(hop="a.1"):
    return ContextPolicy(hop)


def arrive(policy, now, context, deadline=SECOND, retry_ratio=0.2, request_id="op"):
    arrival = Arrival(request_id, SERVICE_CLASS, deadline, retry_ratio)
    return policy.decide_admission(now, arrival, context)
