"""Runs any number of balancers; writes one reply to standard output per batch on standard input."""

import gc
import sys

from pepperhook.sim_adapter import codec
from pepperhook.sim_adapter.host import Host

EXIT_OK = 0
EXIT_MALFORMED_INPUT = 2
GC_THRESHOLDS = (50_000, 50, 50)


def main() -> int:
    """Answer batches until the input ends, and return the exit code."""
    # Rare collections: a pause counts as processing time of the instance whose event is handled.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    host = Host()
    try:
        while (batch := codec.read_batch(sys.stdin.buffer)) is not None:
            sys.stdout.buffer.write(codec.encode_reply(host.answer(batch)))
            sys.stdout.buffer.flush()
    except codec.MalformedInputError as error:
        print(f"pepperhook: malformed input: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
