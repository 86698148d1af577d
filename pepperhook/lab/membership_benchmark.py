"""Measure how often members that stop for a moment are declared lost, in virtual time.

Usage: ``python -m pepperhook.lab.membership_benchmark [without-local-health] [MEMBERS ...]``.
Prints a table; the network and the members are simulated (``pepperhook.lab.gossip``), and the
number of members is the seed. ``without-local-health``: poor local health lengthens no timeout and
no period.
"""

import sys
from dataclasses import dataclass
from itertools import product

from pepperhook.lab import gossip
from pepperhook.membership.local_health import LocalHealth
from pepperhook.membership.settings import NS_PER_MS, NS_PER_S, ProtocolSettings

WITHOUT_LOCAL_HEALTH = "without-local-health"
DEFAULT_MEMBERS = (10, 30, 100)
LOSSES = (0.0, 0.1, 0.3)
STOPS_S = (0.5, 1.0, 2.0, 3.0)
SETTINGS = ProtocolSettings(  # of the acceptance scenario ``membership``
    probe_period_ns=400 * NS_PER_MS, probe_timeout_ns=120 * NS_PER_MS, suspicion_multiplier=2.0
)
STOPS_PER_RUN = 6  # of different members, one after another
BETWEEN_STOPS_S = 8.0
SECONDS_PER_HOUR = 3600


@dataclass(frozen=True, slots=True)
class Measurement:
    """The result of one run."""

    false_losses_per_member_hour: float
    falsely_lost: int
    known_by_all_s: float | None  # until all know of a death; None: not within the run


def measure(members: int, loss: float, stop_s: float, seed: int) -> Measurement:
    """Stop some members for ``stop_s`` each, then kill one."""
    network = gossip.converged_network(members, seed, settings=SETTINGS, loss=loss)
    started_at, false_losses_before = network.now, network.false_lost
    for number in range(STOPS_PER_RUN):
        name = f"m{3 + number:04}"
        network.pause(name)
        network.run(network.now / NS_PER_S + stop_s)
        network.resume(name)
        network.run(network.now / NS_PER_S + BETWEEN_STOPS_S)
    falsely_lost = network.false_lost - false_losses_before
    member_hours = members * (network.now - started_at) / NS_PER_S / SECONDS_PER_HOUR
    network.kill("m0002")
    network.run(network.now / NS_PER_S + 60)
    known_ns = network.deaths["m0002"].known
    return Measurement(
        falsely_lost / member_hours,
        falsely_lost,
        None if known_ns is None else known_ns / NS_PER_S,
    )


def main(arguments: list[str]) -> None:
    """Print a row for each combination of members, loss and length of the stops."""
    if WITHOUT_LOCAL_HEALTH in arguments:
        arguments.remove(WITHOUT_LOCAL_HEALTH)
        LocalHealth.multiplier = 1  # type: ignore[assignment, method-assign]
    print("members  loss  stop s  falsely lost  per member-hour  death known by all, s")
    sizes = [int(argument) for argument in arguments] or DEFAULT_MEMBERS
    for members, loss, stop_s in product(sizes, LOSSES, STOPS_S):
        result = measure(members, loss, stop_s, seed=members)
        known = "-" if result.known_by_all_s is None else f"{result.known_by_all_s:.1f}"
        print(
            f"{members:7}  {loss:4.0%}  {stop_s:6.1f}  {result.falsely_lost:12}"
            f"  {result.false_losses_per_member_hour:15.2f}  {known:>21}",
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv[1:])
