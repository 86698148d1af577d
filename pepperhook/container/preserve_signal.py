"""Handles SIGUSR2, with which an operator makes a balancer preserve the segments of its rings."""

import signal
from asyncio import AbstractEventLoop
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol
from weakref import WeakKeyDictionary

PreserveCallback = Callable[[], None]


class EventLoopOwner(Protocol):
    """The part of a balancer's runtime that signal handling needs."""

    loop: AbstractEventLoop


# The callbacks of each balancer: all its rings share the one signal handler.
_callbacks: WeakKeyDictionary[EventLoopOwner, list[PreserveCallback]] = WeakKeyDictionary()


def add_preserve_callback(runtime: EventLoopOwner, preserve: PreserveCallback) -> None:
    """Call ``preserve`` on SIGUSR2, in addition to the callbacks of the balancer's other rings."""
    callbacks = _callbacks.setdefault(runtime, [])
    callbacks.append(preserve)
    # An event loop outside the main thread cannot handle signals.
    with suppress(RuntimeError, ValueError):
        runtime.loop.add_signal_handler(signal.SIGUSR2, _preserve_all, callbacks)


def stop_preserving(runtime: EventLoopOwner) -> None:
    """Stop handling SIGUSR2 once the balancer's rings are closed."""
    _callbacks.pop(runtime, None)
    with suppress(RuntimeError, ValueError):
        runtime.loop.remove_signal_handler(signal.SIGUSR2)


def _preserve_all(callbacks: list[PreserveCallback]) -> None:
    for preserve in callbacks:
        preserve()
