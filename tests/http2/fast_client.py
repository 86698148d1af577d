"""One HTTP/2 client that sends valid requests at full speed, in a process of its own.

``python -m tests.http2.fast_client PORT`` keeps STREAMS requests open on one connection to a
balancer on loopback, until its standard input ends.
"""

import asyncio
import contextlib
import itertools
import subprocess
import sys
from pathlib import Path

import h2.config
import h2.connection
import h2.events

from tests.http2.frames import make_get_headers

ROOT = Path(__file__).resolve().parents[2]
STREAMS = 90  # fewer than a balancer allows on a connection
READ_SIZE = 65536


async def send_requests(port):
    """Send requests as fast as they are answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    connection = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
    connection.initiate_connection()
    numbers, open_streams = itertools.count(), 0
    while True:
        for number in itertools.islice(numbers, STREAMS - open_streams):
            stream_id = connection.get_next_available_stream_id()
            connection.send_headers(stream_id, make_get_headers(f"fast-{number}"), end_stream=True)
            open_streams += 1
        writer.write(connection.data_to_send())
        for event in connection.receive_data(await reader.read(READ_SIZE)):
            if isinstance(event, h2.events.StreamEnded | h2.events.StreamReset):
                open_streams -= 1
            elif isinstance(event, h2.events.DataReceived):
                length = event.flow_controlled_length
                connection.acknowledge_received_data(length, event.stream_id)


async def run_until_input_ends(port):
    """Run the client until the standard input ends."""
    client = asyncio.create_task(send_requests(port))
    await asyncio.to_thread(sys.stdin.read)
    client.cancel()
    await asyncio.gather(client, return_exceptions=True)


@contextlib.contextmanager
def fast_client(port):
    """Run the client beside the body of a ``with`` statement."""
    arguments = [sys.executable, "-m", "tests.http2.fast_client", str(port)]
    process = subprocess.Popen(arguments, cwd=ROOT, stdin=subprocess.PIPE)
    try:
        yield
    finally:
        process.stdin.close()
        assert process.wait() == 0


if __name__ == "__main__":
    asyncio.run(run_until_input_ends(int(sys.argv[1])))
