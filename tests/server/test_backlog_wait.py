"""How long a connection has waited at most before it was accepted."""

import asyncio
import socket

from pepperhook.server.backlog_wait import BacklogWait, waiting_connections

BACKLOG = 8


def test_connection_came_after_the_last_time_when_too_few_had_come():
    wait = BacklogWait()
    wait.observe(1.0, 0)
    wait.observe(2.0, 2)
    wait.observe(3.0, 3)

    assert [wait.accept(4.0) for _ in range(4)] == [3.0, 3.0, 2.0, 1.0]


def test_backlog_that_is_never_empty_gives_the_wait_of_those_in_it():
    wait = BacklogWait()
    wait.observe(0.0, 0)
    waits = []
    for second in range(1, 50):
        wait.observe(second, 10)  # ten come and ten are accepted each second
        waits += [wait.accept(second) for _ in range(10)]

    assert max(waits) <= 1.0
    assert len(wait._arrivals) <= 3


def test_wait_is_unknown_without_an_observation_before():
    wait = BacklogWait()
    assert wait.accept(1.0) is None
    wait.observe(2.0, 5)

    assert [wait.accept(3.0) for _ in range(6)] == [None] * 5 + [1.0]


async def test_kernel_tells_how_many_connections_wait():
    with socket.create_server(("127.0.0.1", 0), backlog=BACKLOG) as listener:
        assert waiting_connections(listener, BACKLOG) == 0
        address = listener.getsockname()
        writers = [(await asyncio.open_connection(*address))[1] for _ in range(3)]

        assert waiting_connections(listener, BACKLOG) == 3
        listener.accept()[0].close()
        assert waiting_connections(listener, BACKLOG) == 2
        for writer in writers:
            writer.close()


def test_socket_that_does_not_listen_tells_nothing():
    with socket.socket() as unconnected:
        assert waiting_connections(unconnected, BACKLOG) is None
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        assert waiting_connections(datagrams, BACKLOG) is None
