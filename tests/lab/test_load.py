"""How the load distributes requests over balancers."""

from collections import Counter

from pepperhook.lab import load_generator
from pepperhook.lab.experiment import Plan
from tests.lab.experiments import EXPERIMENT, read_experiment


def make_front():
    """Return a front before four balancers, with a skew of one."""
    text = EXPERIMENT.replace("upstreams = 4", "upstreams = 4\nbalancers = 4")
    return load_generator.Front(Plan(read_experiment(text + "[front]\nskew = 1.0\n"), 3, 30))


def test_requests_are_distributed_by_the_skew():
    front = make_front()

    counts = Counter(front.next_address() for _ in range(4000))

    # The weights are 1, 1/2, 1/3 and 1/4, whose sum is 25/12; within five standard deviations.
    shares = sorted((count / 4000 for count in counts.values()), reverse=True)
    assert all(abs(share - 12 / 25 / (rank + 1)) < 0.04 for rank, share in enumerate(shares))


def test_requests_are_distributed_only_to_balancers_that_are_alive():
    front = make_front()
    counts = Counter(front.next_address() for _ in range(4000))
    assert len(counts) > 1

    front.alive = front.alive[:1]
    assert {front.next_address() for _ in range(20)} == {front.alive[0]}

    front.alive = []
    assert front.next_address() is None
