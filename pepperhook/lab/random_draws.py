"""Random numbers derived from names.

What happens to a request doesn't depend on when it arrives, so that a seed reproduces a run.
"""

from math import exp
from statistics import NormalDist
from zlib import crc32

NORMAL = NormalDist()


def share(*names):
    """Return a number evenly distributed over [0, 1), always the same for the same names."""
    # A CRC is linear, so similar names would give correlated numbers. Hash the digits of the first
    # CRC again to avoid that.
    return crc32(b"%d" % crc32(" ".join(map(str, names)).encode())) / 2**32


def work_ns(seed, identity, service_class):
    """Return the work of one request in ns: lognormal around the service class's median."""
    median = service_class.work_ms * 1e6
    if not service_class.spread:
        return int(median)
    return int(
        median
        * exp(
            service_class.spread
            * NORMAL.inv_cdf(min(1 - 1e-9, max(1e-9, share(seed, "work", identity))))
        )
    )
