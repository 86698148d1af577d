"""The entry point of the command ``pepperhook``.

Commands that serve block their control signals before the other modules are imported, which takes
some tenths of a second: until then a signal would end the process.
"""

import sys

from pepperhook.server.process_signals import block_signals

SERVING_COMMANDS = (["run"], ["control", "serve"])


def main() -> None:
    """Run the command line."""
    if any(sys.argv[1 : len(command) + 1] == command for command in SERVING_COMMANDS):
        block_signals()
    from pepperhook import cli

    cli.main()
