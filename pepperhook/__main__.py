"""One balancer on real sockets, for any tier: ``python -m pepperhook``, told by its environment."""

import asyncio
import gc
import os
import signal
import sys

from pepperhook.net import config, log
from pepperhook.net.node import Node


def reload(node, logger):
    try:
        told = config.read(os.environ, again=True)
    except config.Faulty as problem:
        logger.error("reload_refused", error=problem)
        return
    node.reload(told)


async def serve(told, logger):
    stop, node = asyncio.Event(), Node(told, logger)
    for number in signal.SIGTERM, signal.SIGINT:
        node.core.loop.add_signal_handler(number, stop.set)
    node.core.loop.add_signal_handler(signal.SIGUSR1, node.show)
    await node.start()
    node.core.loop.add_signal_handler(signal.SIGHUP, reload, node, logger)
    await stop.wait()
    await node.leave()


def main():
    logger = log.start()
    # Against being asked to reload or to tell before there is anything to, which would end the program.
    for number in signal.SIGHUP, signal.SIGUSR1:
        signal.signal(number, signal.SIG_IGN)
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
