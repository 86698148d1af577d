"""The admission queue: which requests are queued, and which are rejected."""

from collections import Counter

from pepperhook.domain import Outcome
from pepperhook.units import MILLISECOND, SECOND
from tests.policy.simulation import FinalResponse, PolicySimulation, constant, make_service_class


def test_queued_request_whose_deadline_is_near_is_rejected_before_the_maximum_queue_time():
    simulation = PolicySimulation(18)
    simulation.latency_of = constant(SECOND)
    while not simulation.balancer.admission.queue:
        request = simulation.accept_new(0, time_limit_ns=60 * MILLISECOND)

    for _ in range(30):
        simulation.step()

    assert simulation.responses[request] == FinalResponse.REJECTED
    assert request not in simulation.balancer.admission.queue


def test_requests_of_high_priority_weight_are_preferred_while_upstreams_are_slow():
    # Guards against rejecting all classes alike: in a large fleet two requests are rarely queued at
    # the same balancer, so the order of a queue alone prefers no class.
    simulation = PolicySimulation(
        12,
        fleet_size=60,
        service_classes=[
            make_service_class(0, priority_weight=1.0),
            make_service_class(1, priority_weight=9.0),
        ],
    )
    simulation.outcome_of = constant(Outcome.SERVED)
    simulation.latency_of = constant(900 * MILLISECOND)

    simulation.run(8000, arrival_probability=0.05)

    served_by_class = Counter(
        request.service_class.number
        for request in simulation.requests
        if simulation.responses.get(request) == FinalResponse.SERVED
    )
    assert served_by_class[1] > 10
    assert served_by_class[1] > 3 * served_by_class[0]
