"""Runs one balancer: ``python -m pepperhook``, configured by environment variables.

``LB_OPERATOR`` names an operator's file; without it, no extension is imported.
"""

from pepperhook.server.process_signals import block_signals

if __name__ == "__main__":
    # Before the other imports, which take half a second: a rolling reload that only checks that the
    # process exists may send its signal in that time.
    block_signals()

# The imports below follow the call above on purpose.
import asyncio  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable, Mapping  # noqa: E402
from functools import partial  # noqa: E402
from typing import Any  # noqa: E402

from pepperhook.balancer import Balancer  # noqa: E402
from pepperhook.server import config, extensions, structured_logging  # noqa: E402
from pepperhook.server.app import BalancerApp  # noqa: E402
from pepperhook.server.process_signals import SignalCallback, SignalListener  # noqa: E402

EXIT_OK = 0
EXIT_NO_SOCKET = 1
EXIT_BAD_CONFIG = 2


def reload(app: BalancerApp, log: structured_logging.Log) -> None:
    """Read the configuration again; keep the current one if the new one is invalid."""
    try:
        replaced = config.read(os.environ, is_reload=True)
        app.reload(replaced)
    except config.ConfigError as error:
        log.error("reload_refused", error=error)
    except Exception:
        # After any failure the current configuration stays in force.
        log.exception("reload_refused")


def load_extensions(
    environ: Mapping[str, str], read_config: config.Config, log: structured_logging.Log
) -> extensions.Extensions:
    """Build the extensions that the operator's file enables. Raises ConfigError for a bad file."""
    path = environ.get("LB_OPERATOR")
    if not path:
        return extensions.NO_EXTENSIONS
    # Imported only if there is a file.
    from pepperhook import operator_config

    return operator_config.build(path, read_config, log)


async def serve(read_config: config.Config, log: structured_logging.Log, **options: Any) -> None:
    """Run a balancer until SIGTERM or SIGINT; ``options``: more arguments of BalancerApp.

    The control signals must be blocked.
    """
    stop = asyncio.Event()
    app = BalancerApp(read_config, log, **options)
    await app.start()
    callbacks: dict[signal.Signals, SignalCallback] = {
        signal.SIGTERM: stop.set,
        signal.SIGINT: stop.set,
        signal.SIGUSR1: app.log_state,
        signal.SIGHUP: partial(reload, app, log),
    }
    SignalListener(app.runtime.loop, callbacks).start()
    await stop.wait()
    await app.shut_down()


def main(policy_factory: Callable[..., Any] = Balancer) -> int:
    """Run a balancer; return the exit code."""
    log = structured_logging.start()
    try:
        read_config = config.read(os.environ)
        loaded = load_extensions(os.environ, read_config, log)
        for hook in loaded.hold:
            hook()
    except ValueError as error:
        print(f"pepperhook: configuration: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    # The objects created so far live as long as the process; collecting them would delay responses.
    gc.freeze()
    block_signals()  # for a caller that has not done so at its start
    try:
        asyncio.run(serve(read_config, log, extensions=loaded, policy_factory=policy_factory))
    except OSError as error:
        print(f"pepperhook: {error}", file=sys.stderr)
        return EXIT_NO_SOCKET
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
