"""Validates clients' messages, creates requests from them, and encodes final responses.

The server of each protocol decodes a method, a path and headers, and calls ``Ingress``, which does
not depend on the protocol. A message with an invalid head is refused before its body is read. If it
were forwarded, the upstream would reject it, and would look faulty.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

from pepperhook.domain import Effect, Request, ServiceClass
from pepperhook.server import extensions as extension_points
from pepperhook.server.field_value import FieldValue
from pepperhook.server.messages import FinalResponse, Header, RequestMessage, ResponseKind
from pepperhook.server.refusal import RequestRefusedError
from pepperhook.server.request_ids import RequestIdRegistry

if TYPE_CHECKING:
    from pepperhook.server.config import Config
    from pepperhook.server.endpoint_discovery import EndpointDiscovery
    from pepperhook.server.metrics import Counters
    from pepperhook.server.request_lifecycle import RequestLifecycles
    from pepperhook.server.runtime import Runtime
    from pepperhook.server.structured_logging import Log

REFUSAL_LOG_INTERVAL_S = 1  # minimum time between log lines about refused requests
MAX_REQUEST_ID_LENGTH = 256
MAX_NUMBER_DIGITS = 15
FORWARDED_HEADERS = ("X-Request-ID", "Idempotency-Key", "Content-Type")
SINGLE_HEADERS = (  # evaluated here, so that repeating one would be ambiguous
    "X-Request-ID",
    "X-Timeout-Ms",
    "X-Tenant-Id",
    "X-Cost",
    "X-Retried",
    "Idempotency-Key",
    "Content-Type",
    "Transfer-Encoding",
)
# Subtracted from the time limit, for the network to and from the client, and for a busy core.
TIME_LIMIT_MARGIN_NS = 25 * 10**6
LATENESS_FACTOR = 3  # steps that lateness can delay: accepting, reading, writing the response
NS_PER_S = 1e9
NS_PER_MS = 10**6
NS_PER_US = 1000

HEALTH_PATH = "/_health"
PLAIN_TEXT = FieldValue.ascii("text/plain; charset=utf-8")
DEFAULT_CONTENT_TYPE = FieldValue.ascii("application/octet-stream")
REJECTED_BODY = b"shed\n"  # a retry is harmless
FAILED_BODY = b"broken off\n"  # may have been executed


class Ingress:
    """Accepts requests of all protocols; one instance, since ids are unique across protocols."""

    def __init__(
        self,
        runtime: Runtime,
        log: Log,
        counters: Counters,
        config: Config,
        requests: RequestLifecycles,
        discovery: EndpointDiscovery,
        extensions: extension_points.Extensions = extension_points.NO_EXTENSIONS,
    ) -> None:
        """Take the names of service classes and tenants, and the time limits, from ``config``."""
        self.runtime = runtime
        self.log = log
        self.counters = counters
        self.requests = requests
        self.discovery = discovery
        self.read_header_names = extensions.reads
        self.may_forward_over_http2 = extensions.h2 is not None
        self.service_classes = config.names.service_classes
        self.tenants = config.names.tenants
        self.settings = config.settings
        self.max_time_limit_s = (
            0.0  # of all settings since the start, as older requests may be in flight
        )
        self.closes_at_ns: int | None = None  # when a shutdown closes the connections
        self.ids = RequestIdRegistry(0.0, runtime.loop, counters, log)
        self._unlogged_refusals = 0
        self._log_refusals_at = 0.0
        self.update_settings()

    def update_settings(self) -> None:
        """Apply changed settings; requests in flight keep their time limits."""
        max_ns = max(service_class.time_limit_ns for service_class in self.settings.service_classes)
        self.max_time_limit_s = max(self.max_time_limit_s, max_ns / NS_PER_S)
        self.ids.keep_s = self.max_time_limit_s

    def begin_shutdown(self, closes_in_s: float) -> None:
        """Limit the deadlines of new requests to the time when connections are closed."""
        self.closes_at_ns = self.runtime.now() + int(closes_in_s * NS_PER_S)

    def own_page(self, method: str, path: str) -> tuple[int, str] | None:
        """Return status and text of this balancer's own page; None if upstreams serve the path."""
        return self.health() if method == "GET" and path == HEALTH_PATH else None

    def health(self) -> tuple[int, str]:
        """Return status and text of the response to a health check of this balancer."""
        if self.discovery.ready:
            return HTTPStatus.OK.value, "serving\n"
        return HTTPStatus.SERVICE_UNAVAILABLE.value, "no list of upstreams yet\n"

    def service_class(self, method: str, path: str, headers: Any, has_body: bool) -> ServiceClass:
        """Validate a head and return its service class. Raises RequestRefusedError.

        ``path``: still percent-encoded, as a name may contain a slash; ``has_body``: whether the
        head announces a body.
        """
        for name in SINGLE_HEADERS:
            if len(headers.getall(name, ())) > 1:
                raise _bad_request(f"{name}: is there more than once")
        service_class = self._find_service_class(path)
        _check_method(service_class, method, has_body)
        if not 0 < len(headers.get("X-Request-ID", "")) <= MAX_REQUEST_ID_LENGTH:
            raise _bad_request(
                f"X-Request-ID is wanted, of at most {MAX_REQUEST_ID_LENGTH} characters"
            )
        if service_class.effect == Effect.KEYED and not headers.get("Idempotency-Key"):
            raise _bad_request("Idempotency-Key is wanted for this service grade")
        for name in ("X-Timeout-Ms", "X-Cost"):
            _whole_number(headers, name)
        return service_class

    def _find_service_class(self, path: str) -> ServiceClass:
        name = path.partition("?")[0].split("/", 2)[1] if path.startswith("/") else ""
        # First the undecoded name, for clients that send a name with a % unescaped; then the
        # decoded one.
        number = self.service_classes.get(name, self.service_classes.get(unquote(name)))
        if number is None:
            raise RequestRefusedError(
                HTTPStatus.NOT_FOUND, "no service grade has the name that the path begins with"
            )
        return self.settings.service_classes[number]

    def message(
        self,
        method: str,
        target: str,
        headers: Any,
        body: bytes,
        client_address: str | None,
        is_client_waiting: Callable[[], bool] | None = None,
    ) -> RequestMessage:
        """Return the message to forward, with the headers for extensions.

        Raises RequestRefusedError if the target or a header cannot be forwarded as it is, or the
        request's id is not ASCII: logs, traces, captures and contexts have it as text.
        """
        if not headers["X-Request-ID"].isascii():
            raise _bad_request("X-Request-ID: plain ASCII is wanted")
        _check_target(FieldValue.from_library(target), self.may_forward_over_http2)
        forwarded = [
            (name, value)
            for name in FORWARDED_HEADERS
            for value in _forwardable_values(headers, name)
        ]
        if self.may_forward_over_http2:
            _check_utf8(forwarded)
        message = RequestMessage(
            method, target, forwarded, body, is_client_waiting=is_client_waiting
        )
        if self.read_header_names:
            message.read_headers = {
                name: _forwardable_values(headers, name) for name in self.read_header_names
            }
            message.client_address = client_address
        return message

    def request(
        self,
        headers: Any,
        service_class: ServiceClass,
        waited_s: float,
        client_connection: int | None = None,
    ) -> Request:
        """Create the request; ``waited_s``: how long it may have waited before it was read.

        ``client_connection``: as in ``Request``.
        """
        limit_ns = service_class.time_limit_ns
        timeout_ms = _whole_number(headers, "X-Timeout-Ms")
        if timeout_ms is not None:
            limit_ns = min(limit_ns, timeout_ms * NS_PER_MS)
        now_ns = self.runtime.now()
        if self.closes_at_ns is not None:
            limit_ns = min(limit_ns, max(0, self.closes_at_ns - now_ns))
        # The time limit runs from when the client sent the request, which is not known. The margin
        # allows for the network; lateness, for delays of this process in reading the request and
        # writing the response; waited_s, for the time that the connection waited to be accepted.
        delays_ns = (
            int(waited_s * NS_PER_S)
            + min(limit_ns // 2, TIME_LIMIT_MARGIN_NS)
            + LATENESS_FACTOR * self.runtime.lateness_ns()
        )
        deadline = now_ns + max(0, limit_ns - delays_ns)
        cost_us = _whole_number(headers, "X-Cost")
        return Request(
            headers["X-Request-ID"],
            service_class,
            self._tenant(headers.get("X-Tenant-Id")),
            None,
            deadline,
            cost_us * NS_PER_US if cost_us else None,
            headers.get("X-Retried") == "1",
            client_connection,
        )

    def _tenant(self, name: str | None) -> int | None:
        """Find a tenant by name; the library decodes UTF-8, but clients may send Latin-1."""
        if name is None:
            return None
        if name in self.tenants:
            return self.tenants[name]
        return self.tenants.get(FieldValue.from_library(name).text)

    async def handle(self, request: Request, message: RequestMessage) -> FinalResponse:
        """Return the final response. Raises RequestRefusedError.

        Cancelling this coroutine reports that the client has left.
        """
        if request.deadline <= self.runtime.now():
            # Its deadline has passed while it waited to be read. On a core that is late, only the
            # response should use CPU time.
            self.counters.add("too late")
            return FinalResponse(ResponseKind.REJECTED)
        self.ids.begin(request.id)
        self.counters.add("taken")
        # Also if its client leaves: what was sent to an upstream by then may run.
        may_have_run = request.service_class.effect is not Effect.SAFE
        try:
            response = await self.requests.begin(request, message)
            may_have_run = may_have_run and response.kind is not ResponseKind.REJECTED
            return response
        finally:
            self.ids.end(request.id, may_have_run)

    def count_refusal(self, error: RequestRefusedError) -> None:
        """Count and log a request that was not accepted."""
        self.counters.add("not taken")
        self.counters.add(f"not taken {error.status}")
        self._unlogged_refusals += 1
        now_s = self.runtime.loop.time()
        if now_s >= self._log_refusals_at:
            # A client that retries in a tight loop must not fill the log or use up the core.
            self.log.info(
                "not_taken", status=error.status, why=error, count=self._unlogged_refusals
            )
            self._unlogged_refusals = 0
            self._log_refusals_at = now_s + REFUSAL_LOG_INTERVAL_S

    @staticmethod
    def encode(response: FinalResponse) -> tuple[int, list[Header], bytes]:
        """Return status, headers and body of a final response."""
        headers: list[Header] = []
        match response.kind:
            case ResponseKind.SERVED:
                status = HTTPStatus.OK
                body = response.body
                content_type = response.content_type
                if content_type is None:
                    content_type = DEFAULT_CONTENT_TYPE
                headers.append(("Content-Type", content_type))
            case ResponseKind.REJECTED:
                status = HTTPStatus.SERVICE_UNAVAILABLE
                body = REJECTED_BODY
                headers.append(("Content-Type", PLAIN_TEXT))
                if response.retry_after_ns:
                    retry_after_s = response.retry_after_ns / NS_PER_S
                    headers.append(("Retry-After", FieldValue.ascii(f"{retry_after_s:.3f}")))
            case ResponseKind.FAILED:
                status = HTTPStatus.INTERNAL_SERVER_ERROR
                body = FAILED_BODY
                headers.append(("Content-Type", PLAIN_TEXT))
        return status.value, headers + list(response.headers or ()), body


def _bad_request(text: str) -> RequestRefusedError:
    return RequestRefusedError(HTTPStatus.BAD_REQUEST, text)


def _forwardable_values(headers: Any, name: str) -> list[FieldValue]:
    """Return all values of a header. Raises RequestRefusedError if one cannot be forwarded."""
    values = [FieldValue.from_library(text) for text in headers.getall(name, ())]
    if not all(value.is_forwardable for value in values):
        raise _bad_request(f"{name}: has a control character, or a blank at an end")
    return values


def _check_target(target: FieldValue, must_be_utf8: bool) -> None:
    if not target.is_forwardable_target:
        raise _bad_request("the target has a blank or a control character")
    if must_be_utf8 and not target.is_utf8:
        raise _bad_request("the target: UTF-8 is wanted")


def _check_utf8(headers: list[Header]) -> None:
    for name, value in headers:
        if not value.is_utf8:
            raise _bad_request(f"{name}: UTF-8 is wanted")


def _check_method(service_class: ServiceClass, method: str, has_body: bool) -> None:
    expected = "GET" if service_class.effect == Effect.SAFE else "POST"
    if method != expected:
        raise RequestRefusedError(
            HTTPStatus.METHOD_NOT_ALLOWED,
            f"{expected} is wanted for this service grade",
            Allow=expected,
        )
    if expected == "GET" and has_body:
        raise _bad_request("no body is wanted with GET")


def _whole_number(headers: Any, name: str) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal() and len(value) <= MAX_NUMBER_DIGITS):
        raise _bad_request(f"{name}: a whole number is wanted")
    return int(value)
