"""Crowds of misbehaving clients, in a process of their own.

``python -m tests.server.client_crowd PORT PLAY CLIENTS`` opens CLIENTS connections to a balancer on
loopback. Each client sends the pieces of its play and waits; once closed, it connects again. The
crowd ends with its standard input.
"""

import asyncio
import contextlib
import itertools
import random
import subprocess
import sys
from pathlib import Path

from hyperframe.frame import ContinuationFrame, HeadersFrame

from tests.http2.frames import (
    END_HEADERS,
    POST_HEADERS,
    PREFACE,
    SETTINGS,
    data_frame,
    headers_frame,
)

ROOT = Path(__file__).resolve().parents[2]
CONNECTS_AT_ONCE = 50  # so that a crowd of hundreds does not overflow the backlog by itself
RECONNECT_DELAY_S = 0.05  # of a crowd; a single client connects again at once
PIECES_PER_BODY = 32
HTTP2_STREAMS = 90  # fewer than a balancer allows on a connection
HTTP2_FRAME_BYTES = 15_000
SEED = 72
NUMBERS = itertools.count()


def make_head(*lines):
    """Return a head of an unsafe request with further header lines."""
    request_id = b"X-Request-ID: crowd-%d" % next(NUMBERS)
    return b"\r\n".join([b"POST /pay HTTP/1.1", b"Host: service", request_id, *lines, b"", b""])


def short_fields(count):
    """Return header lines of about five bytes."""
    return [b"f%d:1" % number for number in range(count)]


def tiny_chunks(_):
    """Return most of a body, quickly, in chunks of two bytes."""
    return [make_head(b"Transfer-Encoding: chunked")] + [b"2\r\nab\r\n" * 1000] * PIECES_PER_BODY


def half_body(_):
    """Return most of a body behind many short fields."""
    return [make_head(*short_fields(115), b"Content-Length: 65536"), b"x" * 65000]


def short_fields_head(_):
    """Return an incomplete head of as many fields as a message may have."""
    return [b"\r\n".join([b"POST /pay HTTP/1.1", *short_fields(126)])]


def too_many_fields(_):
    """Return a head of very many short fields."""
    return [b"\r\n".join([b"POST /pay HTTP/1.1", *short_fields(6000)])]


def large_body(_):
    """Return a body that is too large, more of it than is read."""
    return [make_head(b"Content-Length: 1000000"), b"x" * 400_000]


def large_chunks(_):
    """Return a chunked body that is too large."""
    chunk = b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n"
    return [make_head(b"Transfer-Encoding: chunked"), chunk, chunk]


def random_bytes(generator):
    """Return bytes that are no HTTP."""
    return [generator.randbytes(4000) for _ in range(100)]


def malformed_chunks(_):
    """Return most of a body, then what is no chunk."""
    chunk = b"f000\r\n" + b"x" * 0xF000 + b"\r\n"
    return [make_head(b"Transfer-Encoding: chunked"), chunk, b"no size\r\n" * 100]


def http2_half_bodies(_):
    """Return requests over HTTP/2, each with most of its body."""
    streams = []
    for stream_id in range(1, 2 * HTTP2_STREAMS, 2):
        request_id = ("x-request-id", f"crowd-{next(NUMBERS)}")
        headers = [*POST_HEADERS[:-1], request_id]
        streams.append(headers_frame(stream_id, headers, flags=[END_HEADERS]).serialize())
        streams += [data_frame(stream_id, b"x" * HTTP2_FRAME_BYTES).serialize()] * 4
    return [PREFACE + SETTINGS.serialize(), *streams]


def http2_endless_header_block(_):
    """Return a header block over many frames that never ends."""
    head = HeadersFrame(1, b"\0" * HTTP2_FRAME_BYTES).serialize()
    frames = [ContinuationFrame(1, b"\0" * HTTP2_FRAME_BYTES).serialize()] * 60
    return [PREFACE + SETTINGS.serialize() + head, *frames]


PLAYS = {
    play.__name__: play
    for play in (
        tiny_chunks,
        half_body,
        short_fields_head,
        too_many_fields,
        large_body,
        large_chunks,
        random_bytes,
        malformed_chunks,
        http2_half_bodies,
        http2_endless_header_block,
    )
}


class Client:
    """One client of a crowd."""

    def __init__(self, port, make_pieces, generator, reconnect_delay_s, gate):
        self.port = port
        self.make_pieces = make_pieces
        self.generator = generator
        self.reconnect_delay_s = reconnect_delay_s
        self.gate = gate

    async def run(self):
        """Send the play on one connection after another."""
        while True:
            with contextlib.suppress(OSError):
                await self._use_connection()
            await asyncio.sleep(self.reconnect_delay_s)

    async def _use_connection(self):
        async with self.gate:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            for piece in self.make_pieces(self.generator):
                writer.write(piece)
                await writer.drain()
            await reader.read()
        finally:
            writer.close()


async def run_crowd(port, play, client_count):
    """Run a crowd until the standard input ends."""
    gate = asyncio.Semaphore(CONNECTS_AT_ONCE)
    delay_s = 0 if client_count == 1 else RECONNECT_DELAY_S
    clients = [
        Client(port, PLAYS[play], random.Random(SEED + number), delay_s, gate)
        for number in range(client_count)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.to_thread(sys.stdin.read)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.contextmanager
def crowd(port, play, client_count):
    """Run a crowd beside the body of a ``with`` statement."""
    arguments = [sys.executable, "-m", "tests.server.client_crowd", str(port), play]
    process = subprocess.Popen([*arguments, str(client_count)], cwd=ROOT, stdin=subprocess.PIPE)
    try:
        yield
    finally:
        process.stdin.close()
        assert process.wait() == 0


if __name__ == "__main__":
    asyncio.run(run_crowd(int(sys.argv[1]), sys.argv[2], int(sys.argv[3])))
