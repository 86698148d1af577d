"""Scripted HTTP/1.1 peers on loopback."""

import asyncio

from pepperhook.lab import http1


class ScriptedPeer:
    """An HTTP peer whose responses a script decides.

    ``script(head, body)``, a function or a coroutine, returns the bytes to write; the connection
    stays open after them. If it returns a tuple, the connection is closed after its bytes; if it
    returns None, the peer does not respond.
    """

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.connections = 0
        self.closed_connections = 0
        self.writers = set()

    async def __aenter__(self):
        await self.listen()
        return self

    async def __aexit__(self, *_):
        self.close()

    async def listen(self, port=0):
        """Accept connections on ``port``; 0: on a free one."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def close(self):
        """Stop accepting, and close all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        self.writers.add(writer)
        try:
            while await self.respond(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_connections += 1
            self.writers.discard(writer)
            writer.close()

    async def respond(self, reader, writer):
        """Respond to the next request; return whether the connection stays open."""
        head, body = await read_message(reader)
        self.requests.append((head, body))
        response = self.script(head, body)
        if asyncio.iscoroutine(response):
            response = await response
        if response is None:
            await reader.read()
            return False
        closes = isinstance(response, tuple)
        writer.write(response[0] if closes else response)
        return not closes


def always(response):
    """Return a script that gives every request the same response."""
    return lambda *_: response


async def read_message(reader):
    """Return the bytes of the head and of the body of one message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lengths = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:")]
    return head, await reader.readexactly(int(lengths[0].split(b":")[1])) if lengths else b""


def make_response(status=200, body=b"done", headers=b""):
    """Return the bytes of a response; ``headers``: complete header lines."""
    return http1.encode_response(status, body, headers)


def header_value(head, name):
    """Return the value of the first header of this name, or None."""
    lines = [line for line in head.split(b"\r\n") if line.lower().startswith(name.lower() + b":")]
    return lines[0].split(b":", 1)[1].strip() if lines else None


def request_target(head):
    """Return the target of a request: path and query."""
    return head.split()[1]
