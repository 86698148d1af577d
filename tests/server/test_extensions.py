"""The hook points: the order of the calls, and their effects on requests."""

from pepperhook.server.extensions import NO_EXTENSIONS, POINTS, Extensions, listed_name
from pepperhook.server.field_value import FieldValue
from pepperhook.server.messages import FinalResponse, ResponseKind
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, always, make_response


class Spy:
    """Implements most hook points, and records their calls.

    ``early_response``: its answer to all requests; ``refuses_attempts``: forbids to send attempts.
    """

    def __init__(self, early_response=None, refuses_attempts=False):
        self.calls = []
        self.early_response = early_response
        self.refuses_attempts = refuses_attempts

    def arrived(self, _now, _request, _message):
        self.calls.append("arrived")
        return self.early_response

    def dispatching(self, _now, _attempt, headers):
        self.calls.append("dispatching")
        headers.append(("X-Spy", FieldValue.ascii("1")))
        return self.refuses_attempts

    def ended(self, _now, _attempt, outcome, _response):
        self.calls.append(f"ended {outcome}")

    def answered(self, _now, _request, response):
        self.calls.append(f"answered {response.kind}")

    def over(self, _now, _request):
        self.calls.append("over")

    def listed(self, _now, upstreams):
        self.calls.append(f"listed {len(upstreams)}")

    def started(self, _app):
        self.calls.append("started")

    async def left(self):
        self.calls.append("left")


class NamedSpy(Spy):
    listed_as = "informer"


def test_without_extensions_no_hook_point_has_hooks():
    assert all(getattr(NO_EXTENSIONS, point) == () for point in POINTS)


def test_an_extension_is_listed_by_its_class_name_or_by_listed_as():
    assert [listed_name(extension) for extension in (Spy(), NamedSpy())] == ["spy", "informer"]


async def test_hooks_of_an_extension_are_called_in_order():
    spy = Spy()
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], Extensions([spy])) as balancer,
    ):
        status, _ = await balancer.request()

    assert status == 200
    assert b"X-Spy: 1" in peer.requests[0][0]
    assert spy.calls == [
        "listed 1",
        "started",
        "arrived",
        "dispatching",
        "ended served",
        "answered served",
        "over",
        "left",
    ]


async def test_an_extension_may_answer_before_the_policy_and_refuse_attempts():
    spy = Spy(FinalResponse(ResponseKind.SERVED, b"known"))
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], Extensions([spy])) as balancer,
    ):
        answered = await balancer.request("/pay", b"POST", b"1")
        spy.early_response, spy.refuses_attempts = None, True
        status, _ = await balancer.request("/pay", b"POST", b"1", X_Timeout_Ms="300")

    assert answered == (200, b"known")
    # No attempt was sent, so even an unsafe request is rejected, not failed.
    assert status == 503
    assert not peer.requests
    assert "ended not sent" in spy.calls
