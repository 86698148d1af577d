"""Turns are granted round robin."""

import asyncio

import pytest

from pepperhook.server.turns import Turns


async def begin_waiting(turns, order, names):
    """Let each name wait for a turn; ``order`` gets the names as turns are granted."""

    async def wait(name):
        await turns.wait_turn(name)
        order.append(name)

    tasks = [asyncio.create_task(wait(name)) for name in names]
    await asyncio.sleep(0)
    return tasks


async def test_holder_that_waits_for_many_turns_does_not_delay_others():
    turns, order = Turns(asyncio.get_running_loop()), []

    await asyncio.gather(*await begin_waiting(turns, order, "aaaaabc"))

    assert "".join(order) == "abcaaaa"


async def test_cancelled_wait_of_many_leaves_the_others():
    turns, order = Turns(asyncio.get_running_loop()), []
    tasks = await begin_waiting(turns, order, "aab")

    tasks[0].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

    assert sorted(order) == ["a", "b"]
    assert not turns.waiting


async def test_ending_the_wait_of_a_holder_grants_all_of_its_turns():
    turns, order = Turns(asyncio.get_running_loop()), []
    tasks = await begin_waiting(turns, order, "abbbbbbbb")

    turns.end_wait("b")

    assert list(turns.waiting) == ["a"]
    await asyncio.gather(*tasks)
    assert order.count("b") == 8


@pytest.mark.parametrize("grant", [True, False])
async def test_turn_of_a_task_that_is_cancelled_as_it_is_granted_is_not_waited_for(grant):
    turns, order = Turns(asyncio.get_running_loop()), []
    [task] = await begin_waiting(turns, order, "a")

    if grant:
        turns.end_wait("a")
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)

    assert not order and not turns.waiting
