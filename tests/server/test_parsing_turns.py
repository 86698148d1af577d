"""Messages that take long to parse take turns."""

import asyncio

from pepperhook.server import turns as turns_module
from pepperhook.server.parsing_turns import FREE_READS, ParsingTurns
from pepperhook.server.turns import TURNS_PER_ITERATION
from tests.server.balancers import RunningBalancer, wait_until

ANSWERED_WITHIN_S = 1  # a shed message, before the timeout of an incomplete one
TINY_CHUNKS = b"2\r\nab\r\n" * 1000


async def test_first_small_reads_of_a_message_do_not_wait():
    turns = ParsingTurns(asyncio.get_running_loop())

    for small_reads in range(FREE_READS + 1):
        await turns.wait("message", small_reads)

    assert not turns.waiting


async def test_messages_take_turns_in_the_order_in_which_they_came():
    turns = ParsingTurns(asyncio.get_running_loop())
    order = []

    async def read(name, count):
        for _ in range(count):
            await turns.wait(name, FREE_READS + 1)
            order.append(name)

    await asyncio.gather(*(read(name, 2) for name in "abc"))

    assert order == list("abcabc")


async def test_other_work_of_the_event_loop_is_done_between_turns():
    turns = ParsingTurns(asyncio.get_running_loop())
    waiting = [asyncio.create_task(turns.wait(number, FREE_READS + 1)) for number in range(100)]
    await asyncio.sleep(0)

    iterations = 0
    while not all(task.done() for task in waiting):
        await asyncio.sleep(0)
        iterations += 1

    assert iterations >= 100 / TURNS_PER_ITERATION


async def test_message_that_is_shed_waits_no_longer():
    turns = ParsingTurns(asyncio.get_running_loop())
    waiting = [asyncio.create_task(turns.wait(number, FREE_READS + 1)) for number in range(100)]
    await asyncio.sleep(0)

    turns.end_wait(99)
    await asyncio.sleep(0)

    assert waiting[99].done() and not waiting[98].done()
    await asyncio.gather(*waiting)


async def test_cancelled_wait_leaves_nothing_behind():
    turns = ParsingTurns(asyncio.get_running_loop())
    waiting = asyncio.create_task(turns.wait("message", FREE_READS + 1))
    await asyncio.sleep(0)

    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)

    assert not turns.waiting


async def test_message_that_is_shed_is_answered_though_parsed_parts_wait_to_be_read(monkeypatch):
    # Hundreds of shed messages waited for turns, counted as in flight, and others got 503.
    monkeypatch.setattr(turns_module, "TURNS_PER_ITERATION", 0)
    async with RunningBalancer() as balancer:
        connections = balancer.connections
        head = balancer.make_request("/pay", b"POST", Content_Length=None)
        reader, writer = await balancer.connect()
        writer.write(head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n" + TINY_CHUNKS)
        await wait_until(lambda: connections.turns.waiting)
        [connection] = connections.receiving

        connections._shed(connection)

        async with asyncio.timeout(ANSWERED_WITHIN_S):
            assert (await balancer.read_response(reader))[0] == 503
        writer.close()
