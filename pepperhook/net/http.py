"""Client sessions that send what they are told to, once, and tell of a failure whether anything went out."""

import select

import aiohttp

MOST_BODY = 64 * 1024
STALE = 20                  # kept connections in a row that may turn out to be spent
NEVER_CEILED = 10 ** 9      # else the library rounds limits above five seconds up, and answers come late


class Dropped(Exception):
    """The connection broke after something may have been written."""


class Unwritten(Exception):
    """The connection was gone before anything was written."""


class Bound(OSError):
    """No connection was tried, as this program's own are at their bound."""


class Oversized(Exception):
    """An answer with more than 64 KiB of body."""


UNSENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError, Unwritten)
BROKEN = (aiohttp.ClientError, Dropped, Oversized, OSError)


class Request(aiohttp.ClientRequest):
    """Sends only on a connection on which nothing has come unasked.

    The library hands what came on a kept connection while it stood idle to the next message as its answer:
    one client would get what was another's. An end that has come and was not read yet shows here, too.
    """

    async def send(self, conn):
        if conn.transport is None or conn.protocol.should_close or unread(conn.transport):
            raise Unwritten("something came on the connection unasked")
        return await super().send(conn)


def unread(transport):
    """Whether something has come, if only the end, that was not read yet."""
    if transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def once(request, handler):
    """Against the library sending a GET again when a kept connection drops: a dispatch that nobody counts.

    It sends again after the errors caught here, so they leave under names that it does not know.
    """
    try:
        return await handler(request)
    except UNSENT:
        raise
    except aiohttp.ClientConnectionResetError as problem:
        # Raised where the transport was closing before a message without a body was written, which is done in
        # one piece. With a body the library reports another error, as some of it may have gone out.
        raise Unwritten(str(problem)) from problem
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as problem:
        raise Dropped(str(problem)) from problem


async def unspent(exchange):
    """Makes the exchange on the first connection that is not spent; nothing has gone out on those before."""
    for _ in range(STALE):
        try:
            return await exchange()
        except Unwritten:
            continue
    raise Unwritten(f"{STALE} connections in a row were spent")


def session(**connections):
    """No redirects, cookies, proxies, decompression or quoting, and no headers of the library's own."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(use_dns_cache=False, **connections),
        cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False, trust_env=False,
        requote_redirect_url=False, middlewares=(once,), request_class=Request,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"))


def limits(total_s, connect_s=None):
    return aiohttp.ClientTimeout(total=total_s, connect=connect_s, ceil_threshold=NEVER_CEILED)


async def whole_body(response, most=MOST_BODY):
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > most:
            # Leaving the answer half read closes its connection.
            raise Oversized(f"over {most} bytes")
    return bytes(body)
