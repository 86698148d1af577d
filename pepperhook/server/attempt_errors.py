"""Errors of an attempt, or of any other exchange with a server, that ends without a response.

Each error class names the outcome that is reported to the policy. After a ``NotSentError`` the
request provably never reached the server. ``OverloadedError`` means that the server reported that
it executed nothing. After any other error the server may have executed the request.
"""

from typing import ClassVar

from pepperhook.domain import Outcome
from pepperhook.errors import PepperhookError


class AttemptError(PepperhookError):
    """Base class: no usable response was received."""

    outcome: ClassVar[Outcome] = Outcome.RESET


class NotSentError(AttemptError):
    """No byte of the request was written."""

    outcome = Outcome.NOT_SENT


class SendForbiddenError(NotSentError):
    """The last check before the first byte forbade sending the request."""


class SocketLimitError(NotSentError, OSError):
    """This process has no socket left to connect with; the server may be healthy.

    An ``OSError``, because the libraries propagate only that from the creation of a socket.
    """


class ConnectFailedError(NotSentError):
    """No connection could be established."""

    outcome = Outcome.CONNECT_FAILED


class ConnectTimeoutError(ConnectFailedError, TimeoutError):
    """No connection was established in time."""


class NoStreamsPermittedError(ConnectFailedError):
    """The server permits no stream at all, so it cannot be reached until it permits one."""


class StaleConnectionError(ConnectFailedError):
    """A reused connection was unusable before anything was written; another one may be used."""


class AttemptTimeoutError(AttemptError, TimeoutError):
    """The response did not arrive in time."""

    outcome = Outcome.TIMED_OUT


class OverloadedError(AttemptError):
    """The server reported that it did not begin to process the request."""

    outcome = Outcome.OVERLOADED


class NoFreeStreamError(OverloadedError):
    """All streams that the server permits stayed in use, so no byte of the request was written."""


class MalformedResponseError(AttemptError):
    """The response cannot be used: too large, incomplete, or a protocol violation."""

    outcome = Outcome.MALFORMED_RESPONSE


class ConnectionLostError(AttemptError):
    """The connection was lost after a part of the request may have been written."""

    outcome = Outcome.RESET
