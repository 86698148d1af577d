"""Keeps the background work of a process going: what ends by an unforeseen error is begun again."""

import asyncio
from collections.abc import Awaitable, Callable

FIRST_RESTART_S = 0.1  # doubled with each fault that follows soon
MAX_RESTART_S = 10.0
SOUND_AFTER_S = 60.0  # work that went on for so long begins at the first wait again

Work = Callable[[], Awaitable[None]]
ReportFault = Callable[[str, BaseException], None]


class Supervisor:
    """Runs long-lived tasks, and reports each fault by the task's name.

    A message that no code foresaw must not end what follows the configuration, or the members, for
    the rest of a process's life, while it serves on as if all were well.
    """

    def __init__(self, report: ReportFault) -> None:
        """``report`` logs and counts a fault."""
        self._report = report

    def start(self, name: str, work: Work) -> asyncio.Task[None]:
        """Run ``work()`` until it returns or its task is cancelled; begin it again after a fault.

        Needs a running event loop. Whoever starts a task cancels it.
        """
        return asyncio.get_running_loop().create_task(self._run(name, work), name=name)

    def guard(self, name: str, step: Callable[[], None]) -> None:
        """Carry out one step of periodic work, and report its fault in place of raising it.

        For work on timers, whose next turn would not be set if an error left it.
        """
        try:
            step()
        except Exception as error:
            self._report(name, error)

    async def _run(self, name: str, work: Work) -> None:
        loop = asyncio.get_running_loop()
        wait_s = FIRST_RESTART_S
        while True:
            begun_at_s = loop.time()
            try:
                await work()
                return
            except Exception as error:
                self._report(name, error)
            if loop.time() - begun_at_s >= SOUND_AFTER_S:
                wait_s = FIRST_RESTART_S
            await asyncio.sleep(wait_s)
            wait_s = min(MAX_RESTART_S, wait_s * 2)
