"""A stand-in for a client that sends many requests over one HTTP/2 connection."""

import asyncio
import contextlib
import struct
from dataclasses import dataclass, field

import hpack
from world import HOST, Headers, World

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RST_STREAM, SETTINGS, PING, GOAWAY = 0x0, 0x1, 0x3, 0x4, 0x6, 0x7
ACK, END_STREAM, END_HEADERS = 0x1, 0x1, 0x4
CANCEL = 0x8
FRAME_HEADER = 9
REFUSED_STREAM = 0x7
MAX_CONCURRENT_STREAMS = 0x3  # of SETTINGS


@dataclass
class Stream:
    """One request, and what came back on its stream."""

    number: int
    request_id: str
    sent_at: float
    status: str = ""
    body: bytes = b""
    error: int | None = None  # of the RST_STREAM that ended it
    answered_at: float | None = None
    left_at: float | None = None  # when its client cancelled it
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class H2Client:
    """One connection; it follows RFC 9113 as far as short requests and answers need it."""

    def __init__(self, world: World) -> None:
        """Prepare; ``open`` connects."""
        self.world = world
        self.streams: dict[int, Stream] = {}
        self.encoder = hpack.Encoder()
        self.decoder = hpack.Decoder()
        self.next_number = 1
        self.last_accepted: int | None = None  # of a GOAWAY
        self.max_streams: int | None = None  # that the balancer allows; unknown until it says so
        self.settings_came = asyncio.Event()
        self.is_closed = False

    async def open(self, port: int) -> None:
        """Connect, and send the preface."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.writer.write(PREFACE + frame(SETTINGS, 0, 0, b""))
        self.task = asyncio.create_task(self._read())

    async def close(self) -> None:
        """Close the connection."""
        self.writer.close()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    @property
    def is_open(self) -> bool:
        """Return whether new streams may be opened."""
        return not self.is_closed and self.last_accepted is None

    def send(self, path: str, headers: Headers, request_id: str) -> Stream:
        """Send a request without a body."""
        stream = Stream(self.next_number, request_id, self.world.record.now())
        self.next_number += 2
        self.streams[stream.number] = stream
        fields = [(":method", "GET"), (":scheme", "http"), (":authority", HOST), (":path", path)]
        fields += [(name.lower(), value) for name, value in headers.items() if name != "Host"]
        block = self.encoder.encode(fields)
        self.writer.write(frame(HEADERS, END_HEADERS | END_STREAM, stream.number, block))
        self.world.record(f"client sends id={request_id} stream={stream.number}")
        return stream

    def leave(self, stream: Stream) -> None:
        """Cancel a request: its client does not wait any longer."""
        stream.left_at = self.world.record.now()
        self.writer.write(frame(RST_STREAM, 0, stream.number, struct.pack(">I", CANCEL)))
        self.world.record(f"client leaves id={stream.request_id} stream={stream.number}")

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await self.reader.readexactly(FRAME_HEADER)
                payload = await self.reader.readexactly(int.from_bytes(head[:3], "big"))
                number = int.from_bytes(head[5:], "big") & 0x7FFFFFFF
                self._handle(head[3], head[4], number, payload)
        self.is_closed = True
        self.world.record("client sees the end of the connection")
        for stream in self.streams.values():
            stream.ended.set()

    def _handle(self, kind: int, flags: int, number: int, payload: bytes) -> None:
        if kind == SETTINGS and not flags & ACK:
            values = dict(struct.iter_unpack(">HI", payload))
            self.max_streams = values.get(MAX_CONCURRENT_STREAMS)
            self.settings_came.set()
        if kind in (SETTINGS, PING) and not flags & ACK:
            self.writer.write(frame(kind, ACK, 0, payload if kind == PING else b""))
        elif kind == GOAWAY:
            last, error = struct.unpack(">II", payload[:8])
            self.last_accepted = last & 0x7FFFFFFF
            text = payload[8:40].decode("latin-1")
            self.world.record(f"client got GOAWAY last={self.last_accepted} error={error} {text}")
        stream = self.streams.get(number)
        if kind == HEADERS:  # also on cancelled streams: the table is that of the connection
            fields = dict(self.decoder.decode(payload))
            if stream is not None:
                stream.status = str(fields[":status"])
        if stream is None:
            return
        if kind == DATA:
            stream.body += payload
        elif kind == RST_STREAM:
            stream.error = int.from_bytes(payload, "big")
            stream.ended.set()
        if kind in (HEADERS, DATA) and flags & END_STREAM:
            stream.answered_at = self.world.record.now()
            self.world.record(f"client got id={stream.request_id} status={stream.status}")
            stream.ended.set()


def frame(kind: int, flags: int, number: int, payload: bytes) -> bytes:
    """Return the bytes of one frame."""
    return (
        len(payload).to_bytes(3, "big") + bytes((kind, flags)) + struct.pack(">I", number) + payload
    )
