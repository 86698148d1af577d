"""Estimates of clock offsets from calls and the attempts that they were made for."""

import random

import pytest

from pepperhook.tracing.clock_offsets import OffsetBounds, estimate_offsets
from pepperhook.units import MILLISECOND, SECOND

CONNECTED = ("b0", "b1", "b2", "b3")
CALLER_CALLEE_PAIRS = (("b0", "b1"), ("b1", "b2"), ("b0", "b3"), ("b3", "b2"))


def random_bounds(rng, offsets, pairs=30):
    """Return the bounds given by random calls between balancers with these clock offsets."""
    bounds = {}
    for caller, callee in CALLER_CALLEE_PAIRS:
        bounds[caller, callee] = OffsetBounds()
        for _ in range(pairs):
            sent = rng.randrange(0, 60 * SECOND)
            accepted = sent + rng.randrange(100, 9 * MILLISECOND)
            answered = accepted + rng.randrange(MILLISECOND, 50 * MILLISECOND)
            ended = answered + rng.randrange(100, 9 * MILLISECOND)
            bounds[caller, callee].add_pair(
                sent + offsets[caller],
                ended + offsets[caller],
                accepted + offsets[callee],
                answered + offsets[callee],
            )
    return bounds


@pytest.mark.parametrize("seed", range(8))
def test_estimated_offsets_are_within_their_reported_error(seed):
    rng = random.Random(seed)
    actual = {name: rng.randrange(-2 * SECOND, 2 * SECOND) for name in (*CONNECTED, "unconnected")}
    actual["b0"] = 0

    estimated = estimate_offsets(list(actual), random_bounds(rng, actual))

    for name in CONNECTED:
        assert abs(estimated[name].ahead - actual[name]) <= estimated[name].error
        assert not estimated[name].contradicts
    assert estimated["b0"].error == 0


def test_offset_of_an_unconnected_clock_is_zero_with_unknown_error():
    bounds = random_bounds(random.Random(0), dict.fromkeys(CONNECTED, 0))

    offset = estimate_offsets([*CONNECTED, "unconnected"], bounds)["unconnected"]

    assert (offset.ahead, offset.error) == (0, None)


def test_contradicting_bounds_are_reported():
    bounds = OffsetBounds()
    bounds.add_pair(sent=0, ended=10 * MILLISECOND, accepted=MILLISECOND, answered=9 * MILLISECOND)
    bounds.add_pair(sent=0, ended=10, accepted=5 * SECOND, answered=5 * SECOND + 1)

    offset = estimate_offsets(["b0", "b1"], {("b0", "b1"): bounds})["b1"]

    assert offset.contradicts
