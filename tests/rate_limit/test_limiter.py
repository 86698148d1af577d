"""Tests of token buckets: the requests they admit, and the wait they return for the others."""

import random

import pytest

from pepperhook.rate_limit.limiter import RateLimit, RateLimiter, TokenBucket
from pepperhook.units import SECOND

ARRIVALS = 3000
ROUNDING_TOLERANCE = 1e-3  # tokens
ADMISSION_COUNTS = (1, 7, 60)  # each interval to check spans the latest 1, 7 or 60 admissions


def assert_wait_is_exact(limit, bucket, now, wait):
    """Check that a retry is rejected 1 ns before the end of the wait, and admitted at its end."""
    bucket_copy = TokenBucket(limit)
    bucket_copy.empty_at = bucket.empty_at
    assert bucket_copy.admit(now + wait - 1) > 0
    assert bucket_copy.admit(now + wait) == 0


def assert_within_limit(limit, admitted, now):
    """Check that in intervals until now, at most burst plus gained tokens were admitted."""
    for count in ADMISSION_COUNTS:
        if len(admitted) < count:
            break
        interval_start = admitted[-count]
        admitted_count = len(admitted) - admitted.index(interval_start)
        gained = (now - interval_start) * limit.per_second / SECOND
        assert admitted_count <= limit.burst + gained + ROUNDING_TOLERANCE


@pytest.mark.parametrize("seed", range(8))
def test_bucket_admits_its_burst_and_then_its_rate(seed):
    rng = random.Random(seed)
    limit = RateLimit(per_second=rng.uniform(0.5, 500), burst=rng.uniform(1, 40))
    bucket = TokenBucket(limit)
    now = rng.randrange(10**18)
    admitted = []

    for _ in range(ARRIVALS):
        now += int(rng.expovariate(limit.per_second * rng.choice([0.3, 3])) * SECOND)
        wait = bucket.admit(now)
        if wait:
            assert_wait_is_exact(limit, bucket, now, wait)
        else:
            admitted.append(now)
        assert_within_limit(limit, admitted, now)

    assert admitted
    assert bucket.admitted == len(admitted)
    assert bucket.rejected == ARRIVALS - len(admitted)


def test_balancer_enforces_its_fraction_of_the_rate_and_a_burst_of_at_least_one():
    limiter = RateLimiter([RateLimit(10.0, burst=1.0)], None, fraction=0.5)

    waits = [limiter.admit(SECOND, 0), limiter.admit(SECOND, 0)]

    assert waits == [0, SECOND // 5]


def test_tenant_without_a_limit_is_always_admitted():
    limiter = RateLimiter([RateLimit(10.0, burst=1.0), None], RateLimit(5.0, burst=1.0))

    assert not any(limiter.admit(SECOND, 1) for _ in range(100))


def test_unknown_tenants_share_one_bucket():
    limiter = RateLimiter([RateLimit(10.0, burst=1.0)], RateLimit(5.0, burst=1.0), fraction=0.5)

    waits = [limiter.admit(SECOND, None), limiter.admit(SECOND, None)]

    assert waits == [0, round(SECOND / 2.5)]
    assert limiter.admit(SECOND, 0) == 0


def test_default_burst_is_one_second_of_the_rate():
    bucket = TokenBucket(RateLimit(3.0))

    assert [bucket.admit(SECOND) == 0 for _ in range(4)] == [True, True, True, False]
