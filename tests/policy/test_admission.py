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


def fill_queue(simulation, client_connection):
    """Let one connection use all capacity and the whole queue; return its requests."""
    simulation.latency_of = constant(SECOND)
    requests = []
    while not simulation.responses:
        requests.append(accept_on(simulation, client_connection))
    return requests


def accept_on(simulation, client_connection, class_number=0):
    request = simulation.make_request(class_number)
    request.client_connection = client_connection
    return simulation.accept(request)


def test_connection_with_many_requests_leaves_places_in_the_queue_to_others():
    # One HTTP/2 connection filled the queue, and the requests of all others were rejected.
    simulation = PolicySimulation(18)
    fill_queue(simulation, client_connection=1)

    others = [accept_on(simulation, None) for _ in range(3)]
    others += [accept_on(simulation, number) for number in (2, 3)]

    assert all(request.queued for request in others)


def test_of_one_connection_the_latest_request_of_equal_value_is_rejected():
    simulation = PolicySimulation(18)
    requests = fill_queue(simulation, client_connection=1)
    queued = list(simulation.balancer.admission.queue)

    accept_on(simulation, client_connection=2)

    assert simulation.responses == {
        requests[-1]: FinalResponse.REJECTED,
        queued[-1]: FinalResponse.REJECTED,
    }


def test_valuable_requests_of_a_connection_with_many_are_preferred_by_their_value():
    classes = [
        make_service_class(number, priority_weight=weight) for number, weight in [(0, 1), (1, 99)]
    ]
    simulation = PolicySimulation(18, service_classes=classes)
    fill_queue(simulation, client_connection=1)

    valuable = accept_on(simulation, client_connection=1, class_number=1)
    other = accept_on(simulation, client_connection=None)

    assert valuable.queued and other.queued


def test_requests_without_a_connection_are_rejected_by_value_and_age_alone():
    simulation = PolicySimulation(18)
    requests = fill_queue(simulation, client_connection=None)

    latest = accept_on(simulation, client_connection=None)

    assert set(simulation.responses) == {requests[-1], latest}


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
