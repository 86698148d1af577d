"""The signals of a serving process: blocked for its whole life, and received by a thread.

A blocked signal waits until it is received, so its default action, which ends the process, is never
taken: not before the first handler, not between two handlers, and not while the event loop and the
interpreter end. Threads inherit the blocked signals of the thread that starts them, so
``block_signals`` must be called before any other thread exists.

Imports nothing of the program, as it is called before all other imports.
"""

from __future__ import annotations

import signal
import threading
from collections.abc import Callable
from typing import Any, Protocol

# All signals with which the platform or an operator controls a serving process.
CONTROL_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)

SignalCallback = Callable[[], object]


class EventLoop(Protocol):
    """The part of an event loop that the listener needs."""

    def call_soon_threadsafe(self, callback: Callable[..., object], *arguments: Any) -> object:
        """Call ``callback`` from the event loop. Raises RuntimeError if the loop is closed."""


def block_signals() -> None:
    """Block the control signals in this thread and in all threads that it starts from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, CONTROL_SIGNALS)


class SignalListener:
    """Receives the blocked control signals, and calls their callbacks from the event loop.

    A signal whose callback is scheduled and has not begun yet is merged with the earlier one, so
    that a series of signals cannot keep the event loop from its other work. Signals without a
    callback are dropped, as are all signals once the loop is closed.
    """

    def __init__(self, loop: EventLoop, callbacks: dict[signal.Signals, SignalCallback]) -> None:
        """Call ``callbacks``, by signal, from ``loop``; nothing is received before ``start``."""
        self._loop = loop
        self._callbacks = callbacks
        self._scheduled: set[signal.Signals] = set()

    def start(self) -> None:
        """Start to receive signals, first those that are pending since ``block_signals``."""
        # A daemon thread, since the interpreter would wait for any other one at its end.
        threading.Thread(target=self._receive, name="signals", daemon=True).start()

    def _receive(self) -> None:
        while True:
            number = signal.Signals(signal.sigwait(CONTROL_SIGNALS))
            if number not in self._callbacks or number in self._scheduled:
                continue
            self._scheduled.add(number)
            try:
                self._loop.call_soon_threadsafe(self._call, number)
            except RuntimeError:
                return  # the event loop is closed: the process is about to end

    def _call(self, number: signal.Signals) -> None:
        self._scheduled.discard(number)
        self._callbacks[number]()
