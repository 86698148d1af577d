"""Validates what clients send, makes requests of it, and encodes final responses, for any protocol.

A protocol's server turns bytes into a method, a path and headers, and calls ``Ingress`` in turn;
nothing here knows the wire. What a head shows to be wrong is refused before a body is waited for:
an upstream would reject it, and look faulty for it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

from pepperhook.domain import Effect, Request, ServiceClass
from pepperhook.errors import PepperhookError
from pepperhook.server import extensions as extension_points
from pepperhook.server.messages import FinalResponse, Header, RequestMessage, ResponseKind

if TYPE_CHECKING:
    import asyncio

    from pepperhook.server.config import Config
    from pepperhook.server.endpoint_discovery import EndpointDiscovery
    from pepperhook.server.metrics import Counters
    from pepperhook.server.request_lifecycle import RequestLifecycles
    from pepperhook.server.runtime import Runtime
    from pepperhook.server.structured_logging import Log

REFUSAL_LOG_INTERVAL_S = 1  # between log lines on refused requests
MAX_REQUEST_ID_LENGTH = 256
MAX_NUMBER_DIGITS = 15
FORWARDED_HEADERS = ("X-Request-ID", "Idempotency-Key", "Content-Type")
SINGLE_HEADERS = (  # those that decide something here, so that none may come twice
    "X-Request-ID",
    "X-Timeout-Ms",
    "X-Tenant-Id",
    "X-Cost",
    "X-Retried",
    "Idempotency-Key",
    "Content-Type",
    "Transfer-Encoding",
)
# Kept back from a time limit: for the way from and to the client, and for a busy core.
TIME_LIMIT_MARGIN_NS = 25 * 10**6
LATENESS_FACTOR = 3  # times that lateness meets a request: accepting, reading, writing the response
NS_PER_S = 1e9
NS_PER_MS = 10**6
NS_PER_US = 1000

PLAIN_TEXT = "text/plain; charset=utf-8"
DEFAULT_CONTENT_TYPE = "application/octet-stream"
REJECTED_BODY = b"shed\n"
FAILED_BODY = b"broken off\n"


class RequestRefusedError(PepperhookError):
    """No request was accepted: a status, one plain sentence, and headers that belong to them."""

    def __init__(self, status: int, text: str, **headers: str) -> None:
        """Describe the response that the client gets."""
        super().__init__(text)
        self.status = int(status)
        self.headers = headers


class RequestIdRegistry:
    """The ids in flight, and recent ones: a copy read just after the end runs twice, too."""

    def __init__(self, keep_s: float, loop: asyncio.AbstractEventLoop) -> None:
        """``keep_s``: how long an id is known after its end."""
        self.keep_s = keep_s
        self.loop = loop
        self.known: set[object] = set()
        self.ended: deque[tuple[float, object]] = deque()  # with the time when it is forgotten

    def begin(self, request_id: object) -> None:
        """Register an id. Raises RequestRefusedError if it is known."""
        now = self.loop.time()
        while self.ended and self.ended[0][0] < now:
            self.known.discard(self.ended.popleft()[1])
        if request_id in self.known:
            raise RequestRefusedError(
                HTTPStatus.CONFLICT, "an operation of this id was taken before"
            )
        self.known.add(request_id)

    def end(self, request_id: object) -> None:
        """Forget an id after a while."""
        self.ended.append((self.loop.time() + self.keep_s, request_id))


class Ingress:
    """Accepts requests; one for all protocols, as an id is in flight once, however it came."""

    def __init__(
        self,
        runtime: Runtime,
        log: Log,
        counters: Counters,
        config: Config,
        requests: RequestLifecycles,
        discovery: EndpointDiscovery,
        extensions: extension_points.Extensions = extension_points.NONE,
    ) -> None:
        """Read from ``config`` the names of service classes and tenants, and the time limits."""
        self.runtime = runtime
        self.log = log
        self.counters = counters
        self.requests = requests
        self.discovery = discovery
        self.read_header_names = extensions.reads
        self.service_classes = config.names.service_classes
        self.tenants = config.names.tenants
        self.settings = config.settings
        self.longest_s = 0.0  # the longest time limit so far
        self.closes_at_ns: int | None = None  # in a shutdown: when connections are closed
        self.ids = RequestIdRegistry(0.0, runtime.loop)
        self._unlogged_refusals = 0
        self._log_refusals_at = 0.0
        self.update_settings()

    def update_settings(self) -> None:
        """Follow changed settings; what was accepted under a longer time limit still has that."""
        longest_ns = max(known.time_limit_ns for known in self.settings.service_classes)
        self.longest_s = max(self.longest_s, longest_ns / NS_PER_S)
        self.ids.keep_s = self.longest_s

    def begin_shutdown(self, closes_in_s: float) -> None:
        """Let requests that are accepted from now on be answered before connections are closed."""
        self.closes_at_ns = self.runtime.now() + int(closes_in_s * NS_PER_S)

    def health(self) -> tuple[int, str]:
        """Return status and text for whoever asks whether requests may come."""
        if self.discovery.ready:
            return HTTPStatus.OK.value, "serving\n"
        return HTTPStatus.SERVICE_UNAVAILABLE.value, "no list of upstreams yet\n"

    def service_class(self, method: str, path: str, headers: Any, has_body: bool) -> ServiceClass:
        """Return the service class that a head asks for. Raises RequestRefusedError.

        ``path``: as it came, its escapes not undone, as a name may hold what separates it;
        ``has_body``: whether the head announces a body.
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
        # As it came, where a client writes a name with a % in it as it is; else with escapes
        # undone.
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
        """Return what is forwarded, with what extensions read of it. Raises RequestRefusedError."""
        forwarded = [(name, headers[name]) for name in FORWARDED_HEADERS if name in headers]
        for name, value in forwarded:
            if not value.isascii():
                raise _bad_request(f"{name}: plain ASCII is wanted")
        message = RequestMessage(
            method, target, forwarded, body, is_client_waiting=is_client_waiting
        )
        if self.read_header_names:
            message.read_headers = {
                name: headers.getall(name, []) for name in self.read_header_names
            }
            message.client_address = client_address
        return message

    def request(self, headers: Any, service_class: ServiceClass, waited_s: float) -> Request:
        """Return what the policy needs; ``waited_s``: how long it may have waited to be read."""
        limit_ns = service_class.time_limit_ns
        asked_ms = _whole_number(headers, "X-Timeout-Ms")
        if asked_ms is not None:
            limit_ns = min(limit_ns, asked_ms * NS_PER_MS)
        now_ns = self.runtime.now()
        if self.closes_at_ns is not None:
            limit_ns = min(limit_ns, max(0, self.closes_at_ns - now_ns))
        # Counted from the sending, which nobody reports: the way here is in the margin; a core that
        # is late may have let it lie as long, and may let the response lie; the first one on a
        # connection may have waited to be accepted.
        lost_ns = (
            int(waited_s * NS_PER_S)
            + min(limit_ns // 2, TIME_LIMIT_MARGIN_NS)
            + LATENESS_FACTOR * self.runtime.lateness_ns()
        )
        deadline = now_ns + max(0, limit_ns - lost_ns)
        cost_us = _whole_number(headers, "X-Cost")
        return Request(
            headers["X-Request-ID"],
            service_class,
            self._tenant(headers.get("X-Tenant-Id")),
            None,
            deadline,
            cost_us * NS_PER_US if cost_us else None,
            headers.get("X-Retried") == "1",
        )

    def _tenant(self, name: str | None) -> int | None:
        """Find a tenant by name; the library reads UTF-8, where clients may write Latin-1."""
        if name is None:
            return None
        if name in self.tenants:
            return self.tenants[name]
        latin_1 = name.encode("utf-8", "surrogateescape").decode("latin-1")
        return self.tenants.get(latin_1)

    async def handle(self, request: Request, message: RequestMessage) -> FinalResponse:
        """Return the final response. Raises RequestRefusedError.

        Cancelling the call reports that the client has left.
        """
        if request.deadline <= self.runtime.now():
            # It lay here too long. Against a core that is short of time doing more than answering.
            self.counters.add("too late")
            return FinalResponse(ResponseKind.REJECTED)
        self.ids.begin(request.id)
        self.counters.add("taken")
        try:
            return await self.requests.begin(request, message)
        finally:
            self.ids.end(request.id)

    def count_refusal(self, error: RequestRefusedError) -> None:
        """Count and log a request that was not accepted."""
        self.counters.add("not taken")
        self._unlogged_refusals += 1
        now_s = self.runtime.loop.time()
        if now_s >= self._log_refusals_at:
            # Against a client that repeats the same at once filling the log, and the core with it.
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
                headers.append(("Content-Type", response.content_type or DEFAULT_CONTENT_TYPE))
            case ResponseKind.REJECTED:
                status = HTTPStatus.SERVICE_UNAVAILABLE
                body = REJECTED_BODY
                headers.append(("Content-Type", PLAIN_TEXT))
                if response.retry_after_ns:
                    retry_after_s = response.retry_after_ns / NS_PER_S
                    headers.append(("Retry-After", f"{retry_after_s:.3f}"))
            case ResponseKind.FAILED:
                status = HTTPStatus.INTERNAL_SERVER_ERROR
                body = FAILED_BODY
                headers.append(("Content-Type", PLAIN_TEXT))
        return status.value, headers + list(response.headers or ()), body


def _bad_request(text: str) -> RequestRefusedError:
    return RequestRefusedError(HTTPStatus.BAD_REQUEST, text)


def _check_method(service_class: ServiceClass, method: str, has_body: bool) -> None:
    wanted = "GET" if service_class.effect == Effect.SAFE else "POST"
    if method != wanted:
        raise RequestRefusedError(
            HTTPStatus.METHOD_NOT_ALLOWED,
            f"{wanted} is wanted for this service grade",
            Allow=wanted,
        )
    if wanted == "GET" and has_body:
        raise _bad_request("no body is wanted with GET")


def _whole_number(headers: Any, name: str) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal() and len(value) <= MAX_NUMBER_DIGITS):
        raise _bad_request(f"{name}: a whole number is wanted")
    return int(value)
