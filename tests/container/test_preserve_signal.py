"""SIGUSR2 calls the preserve callbacks of all rings of a balancer."""

import asyncio
import os
import signal

from pepperhook.container.preserve_signal import add_preserve_callback, stop_preserving


class Runtime:
    """The part of a balancer's runtime that signal handling needs."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()


async def preserved_by_signal(add_callbacks):
    """Send one SIGUSR2, and return the names of the rings whose callbacks were called."""
    preserved = []
    runtime = Runtime()
    add_callbacks(runtime, preserved)
    os.kill(os.getpid(), signal.SIGUSR2)
    for _ in range(100):
        await asyncio.sleep(0.01)
        if preserved:
            break
    stop_preserving(runtime)
    return preserved


def test_signal_calls_the_callback_of_each_ring_once():
    def add_both(runtime, preserved):
        add_preserve_callback(runtime, lambda: preserved.append("capture"))
        add_preserve_callback(runtime, lambda: preserved.append("trace"))

    assert asyncio.run(preserved_by_signal(add_both)) == ["capture", "trace"]


def test_signal_handler_is_removed_when_the_rings_are_closed():
    def add_one(runtime, preserved):
        add_preserve_callback(runtime, lambda: preserved.append("trace"))

    assert asyncio.run(preserved_by_signal(add_one)) == ["trace"]
    assert signal.getsignal(signal.SIGUSR2) == signal.SIG_DFL
