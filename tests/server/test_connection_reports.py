"""The log tells when connections come close to their limit, and what state they are in."""

from pepperhook.server.connection_reports import ConnectionReports
from tests.server.balancers import RunningBalancer, wait_until
from tests.server.peers import ScriptedPeer, always, make_response


class LogLines:
    """A log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields["state"], fields["busy"]))


async def test_refusals_for_too_many_connections_log_their_states_once_until_they_end():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], sockets=64) as balancer,
    ):
        log = balancer.connections.log = LogLines()
        in_flight = {object() for _ in range(18)}
        balancer.connections.busy |= in_flight

        assert [await balancer.status() for _ in range(3)] == [503] * 3
        assert log.lines == [("client_connections", "too many busy", 19)]

        balancer.connections.busy -= in_flight
        await wait_until(lambda: len(log.lines) > 1)
        assert log.lines[1:] == [("client_connections", "normal", 0)]


async def test_each_connection_is_in_one_of_the_reported_states():
    async with RunningBalancer() as balancer:
        reports = ConnectionReports(balancer.connections)
        incomplete = balancer.make_request("/pay", b"POST", b"12345")[:-1]
        _, idle_writer = await balancer.connect()
        _, busy_writer = await balancer.connect()
        busy_writer.write(incomplete)
        await wait_until(lambda: balancer.connections.receiving)
        await wait_until(lambda: balancer.connections.idle)

        fields = reports.connection_fields()

        assert (fields["idle"], fields["busy"], fields["receiving"]) == (1, 1, 1)
        assert fields["idle"] + fields["busy"] + fields["closing"] == balancer.connections.count
        idle_writer.close()
        busy_writer.close()
