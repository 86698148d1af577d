"""Supervises the background work of a process: restarts it after an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable

FIRST_RESTART_S = 0.1  # delay of the first restart; doubled with each further fault
MAX_RESTART_S = 10.0
STABLE_AFTER_S = 60.0  # after running for so long, the delay is FIRST_RESTART_S again

Work = Callable[[], Awaitable[None]]
ReportFault = Callable[[str, BaseException], None]


class Supervisor:
    """Runs long-lived tasks, and reports each fault with the task's name.

    Without it, one unexpected message could end the task that receives the configuration or the
    list of members, while the process continues to serve with outdated data.
    """

    def __init__(self, report: ReportFault) -> None:
        """``report``: logs and counts a fault."""
        self._report = report

    def start(self, name: str, work: Work) -> asyncio.Task[None]:
        """Run ``work()`` until it returns or its task is cancelled; restart it after a fault.

        Needs a running event loop. The caller must cancel the task at the end.
        """
        return asyncio.get_running_loop().create_task(self._run(name, work), name=name)

    def run_step(self, name: str, step: Callable[[], None]) -> None:
        """Run one step of periodic work; report its error instead of raising it.

        For work on timers: an error that propagates would keep the next timer from being set.
        """
        try:
            step()
        except Exception as error:
            self._report(name, error)

    async def _run(self, name: str, work: Work) -> None:
        loop = asyncio.get_running_loop()
        wait_s = FIRST_RESTART_S
        while True:
            started_at_s = loop.time()
            try:
                await work()
                return
            except Exception as error:
                self._report(name, error)
            if loop.time() - started_at_s >= STABLE_AFTER_S:
                wait_s = FIRST_RESTART_S
            await asyncio.sleep(wait_s)
            wait_s = min(MAX_RESTART_S, wait_s * 2)
