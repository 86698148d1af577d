"""Run a balancer with one of the baseline policies.

Usage: ``python -m pepperhook.lab.balancer MODULE KEY=NUMBER ...``.
"""

import sys
from functools import partial

from pepperhook import __main__ as program
from pepperhook.lab import baselines


def main(arguments):
    name, *options = arguments
    parameters = {
        key: float(value) for key, _, value in (option.partition("=") for option in options)
    }
    return program.main(policy_factory=partial(baselines.MODULES[name], **parameters))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
