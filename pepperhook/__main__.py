"""Runs one balancer: ``python -m pepperhook``, configured by its environment.

``LB_OPERATOR`` names an operator's file, without which no extension is even imported.
"""

import signal


def ignore_early_signals() -> None:
    """Ignore requests to reload or to log until they can be served: they would end the process."""
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, signal.SIG_IGN)


if __name__ == "__main__":
    # Before the other imports: they take half a second, in which a rolling reload that goes by the
    # process alone sends its signal.
    ignore_early_signals()

# The imports below follow the call above on purpose.
import asyncio  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable, Mapping  # noqa: E402
from typing import Any  # noqa: E402

from pepperhook.balancer import Balancer  # noqa: E402
from pepperhook.server import config, extensions, structured_logging  # noqa: E402
from pepperhook.server.app import BalancerApp  # noqa: E402

EXIT_OK = 0
EXIT_NO_SOCKET = 1
EXIT_BAD_CONFIG = 2


def reload(app: BalancerApp, log: structured_logging.Log) -> None:
    """Read the configuration again, and keep the one in force where that is faulty."""
    try:
        replaced = config.read(os.environ, again=True)
        app.reload(replaced)
    except config.ConfigError as error:
        log.error("reload_refused", error=error)
    except Exception:
        # What is in force stays so, whatever fails.
        log.exception("reload_refused")


def load_extensions(
    environ: Mapping[str, str], read_config: config.Config, log: structured_logging.Log
) -> extensions.Extensions:
    """Build what the operator's file turns on. Raises ConfigError where that file can't be used."""
    path = environ.get("LB_OPERATOR")
    if not path:
        return extensions.NONE
    # Imported only where there is a file.
    from pepperhook import operator_config

    return operator_config.build(path, read_config, log)


def ignore_late_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore signals from now on: all is answered, and the process ends.

    The loop would set them back to their default as it closes, by which one more SIGTERM, or a
    SIGHUP, ends the process as if it had crashed.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


async def serve(read_config: config.Config, log: structured_logging.Log, **options: Any) -> None:
    """Run a balancer until SIGTERM or SIGINT; ``options``: those of BalancerApp."""
    stop = asyncio.Event()
    app = BalancerApp(read_config, log, **options)
    loop = app.runtime.loop
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, app.log_state)
    await app.start()
    loop.add_signal_handler(signal.SIGHUP, reload, app, log)
    await stop.wait()
    await app.shut_down()
    ignore_late_signals(loop)


def main(policy_factory: Callable[..., Any] = Balancer) -> int:
    """Run a balancer; returns the exit code."""
    log = structured_logging.start()
    ignore_early_signals()
    try:
        read_config = config.read(os.environ)
        loaded = load_extensions(os.environ, read_config, log)
        for hook in loaded.hold:
            hook()
    except ValueError as error:
        print(f"pepperhook: configuration: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    # What the start made stays; collecting it again and again would only delay responses.
    gc.freeze()
    try:
        asyncio.run(serve(read_config, log, extensions=loaded, policy_factory=policy_factory))
    except OSError as error:
        print(f"pepperhook: {error}", file=sys.stderr)
        return EXIT_NO_SOCKET
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
