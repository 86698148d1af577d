"""Run a balancer with one of the baseline policies.

Usage: ``python -m pepperhook.lab.balancer MODULE KEY=NUMBER ...``.
"""

from pepperhook.server.process_signals import block_signals

if __name__ == "__main__":
    block_signals()  # before the other imports, as in pepperhook.__main__

import sys  # noqa: E402
from functools import partial  # noqa: E402

from pepperhook import __main__ as program  # noqa: E402
from pepperhook.lab import baselines  # noqa: E402


def main(arguments):
    name, *options = arguments
    parameters = {
        key: float(value) for key, _, value in (option.partition("=") for option in options)
    }
    return program.main(policy_factory=partial(baselines.MODULES[name], **parameters))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
