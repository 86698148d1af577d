"""One balancer on real sockets, for any tier: ``python -m pepperhook``, told by its environment."""

import asyncio
import gc
import os
import signal
import sys

from pepperhook import policy
from pepperhook.net import config, log
from pepperhook.net.clients import Clients
from pepperhook.net.core import Core
from pepperhook.net.counters import Counters
from pepperhook.net.discovery import Discovery
from pepperhook.net.operation import Operations
from pepperhook.net.upstreams import Upstreams

ACCEPT_S = 0.5      # after SIGTERM, connections still come for a moment
LEAVE_S = 0.3       # beyond the longest time limit, for the last answers to be written


async def serve(told, logger):
    counters = Counters(logger)
    core = Core(logger, counters)
    upstreams = Upstreams(core, counters, told.settings, told.sockets // 3)
    discovery = Discovery(core, logger, counters, told, upstreams)
    operations = Operations(core, logger, counters)
    clients = Clients(core, logger, counters, told, operations, discovery)
    stop = asyncio.Event()
    for number in signal.SIGTERM, signal.SIGINT:
        core.loop.add_signal_handler(number, stop.set)
    core.loop.add_signal_handler(signal.SIGUSR1, counters.show)
    core.start(policy.Balancer(told.settings, told.seed, core.now()), upstreams, discovery)
    if told.known:
        try:
            discovery.take(told.known)
        except ValueError as problem:
            logger.warning("known_list_unusable", error=problem)
    await clients.open()
    logger.info("started", name=told.name, listen="{}:{}".format(*told.listen), tier=told.settings.get("tier", 0))
    await stop.wait()
    logger.info("leaving", under_way=len(operations.tasks))
    await clients.close(ACCEPT_S, clients.longest_s + LEAVE_S - ACCEPT_S)
    core.close()
    await discovery.close()
    await upstreams.close()
    counters.show()
    logger.info("ended")


def main():
    logger = log.start()
    try:
        told = config.read(os.environ)
    except config.Faulty as problem:
        print(f"pepperhook: configuration: {problem}", file=sys.stderr)
        return 2
    # What the start made stays; collecting it again and again would only hold answers up.
    gc.freeze()
    try:
        asyncio.run(serve(told, logger))
    except OSError as problem:
        print(f"pepperhook: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
