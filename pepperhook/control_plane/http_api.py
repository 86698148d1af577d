"""The HTTP interface of the control service: for members (stream, heartbeats) and for operators.

Every request is signed (``auth``). Errors are JSON objects with the key ``error``.
"""

import contextlib
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import msgspec
from aiohttp import web

from pepperhook.control_plane.auth import RequestAuthenticator, RequestDeniedError
from pepperhook.control_plane.history import ConflictError, StoreFullError
from pepperhook.control_plane.messages import (
    HEARTBEAT_PATH,
    MEMBERS_PATH,
    PLAN_PATH,
    ROLLOUT_PATH,
    STREAM_PATH,
    VERSIONS_PATH,
    BeginRolloutRequest,
    ChangeRolloutRequest,
    Heartbeat,
    PlanRequest,
    ProposeRequest,
    convert_body,
)
from pepperhook.control_plane.rollout_driver import RolloutAction
from pepperhook.control_plane.service import ControlService
from pepperhook.control_plane.stream_request import read_stream_request
from pepperhook.control_plane.version_catalog import ChangeRejectedError

MAX_BODY_BYTES = 1024 * 1024
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def create_app(service: ControlService) -> web.Application:
    """Return the application that serves ``service`` and starts and stops it."""
    return HttpApi(service).create_app()


class HttpApi:
    """Translates between HTTP and the service."""

    def __init__(self, service: ControlService) -> None:
        """Serve one service."""
        self._service = service
        self._authenticator = RequestAuthenticator(service.keys, service.clock)

    def create_app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self._middleware])
        actions = "|".join(RolloutAction)
        app.add_routes(
            [
                web.get(STREAM_PATH, self._stream),
                web.post(HEARTBEAT_PATH, self._heartbeat),
                web.get(VERSIONS_PATH, self._versions),
                web.post(VERSIONS_PATH, self._propose),
                web.post(PLAN_PATH, self._plan),
                web.get(MEMBERS_PATH, self._members),
                web.get(ROLLOUT_PATH, self._rollout),
                web.post(ROLLOUT_PATH, self._begin_rollout),
                web.post(f"{ROLLOUT_PATH}/{{action:{actions}}}", self._change_rollout),
            ]
        )
        app.on_startup.append(self._start)
        app.on_cleanup.append(self._stop)
        return app

    async def _start(self, _app: web.Application) -> None:
        self._service.start()

    async def _stop(self, _app: web.Application) -> None:
        await self._service.stop()

    @web.middleware
    async def _middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Authenticate a request, and turn errors into responses with their status."""
        body = await request.read() if request.can_read_body else b""
        try:
            self._authenticator.authenticate(request.method, request.path_qs, request.headers, body)
            return await handler(request)
        except RequestDeniedError as error:
            self._service.counters.denied += 1
            return _error_response(HTTPStatus.UNAUTHORIZED, error)
        except ChangeRejectedError as error:
            return _error_response(
                HTTPStatus.UNPROCESSABLE_ENTITY, error, refusals=error.violations
            )
        except ConflictError as error:
            return _error_response(HTTPStatus.CONFLICT, error, since=error.since)
        except StoreFullError as error:
            return _error_response(HTTPStatus.INSUFFICIENT_STORAGE, error)
        except (ValueError, KeyError, TypeError) as error:
            # Includes invalid documents and errors of the JSON decoder.
            return _error_response(HTTPStatus.BAD_REQUEST, error)

    # Members.

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        opened = read_stream_request(request.query)
        response = web.StreamResponse(headers={"Content-Type": "application/octet-stream"})
        await response.prepare(request)
        counters = self._service.counters
        counters.streams += 1
        self._service.connect(opened.name, opened.tier)
        try:
            # The member disconnected; it reconnects by itself.
            with contextlib.suppress(OSError):
                await self._service.streams.feed(response.write, opened)
        finally:
            counters.streams -= 1
        return response

    async def _heartbeat(self, request: web.Request) -> web.Response:
        heartbeat = convert_body(await request.json(), Heartbeat)
        return _json(self._service.receive_heartbeat(heartbeat))

    # Operators.

    async def _versions(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        return _json(self._service.store.versions(after))

    async def _propose(self, request: web.Request) -> web.Response:
        proposal = convert_body(await request.json(), ProposeRequest)
        return _json(self._service.catalog.propose(proposal))

    async def _plan(self, request: web.Request) -> web.Response:
        return _json(self._service.catalog.plan(convert_body(await request.json(), PlanRequest)))

    async def _members(self, _request: web.Request) -> web.Response:
        return _json(
            {
                "members": self._service.member_statuses(),
                "gone": self._service.gone_members(),
                "epochs": self._service.registry.epochs,
                "counts": self._service.counters,
            }
        )

    async def _rollout(self, _request: web.Request) -> web.Response:
        return _json(self._service.rollouts.current)

    async def _begin_rollout(self, request: web.Request) -> web.Response:
        begin = convert_body(await request.json(), BeginRolloutRequest)
        return _json(self._service.rollouts.begin(begin))

    async def _change_rollout(self, request: web.Request) -> web.Response:
        action = RolloutAction(request.match_info["action"])
        change = convert_body(await request.json(), ChangeRolloutRequest)
        return _json(self._service.rollouts.change(action, change.reason))


def _json(value: Any, status: HTTPStatus = HTTPStatus.OK) -> web.Response:
    return web.json_response(msgspec.to_builtins(value, str_keys=True), status=status)


def _error_response(status: HTTPStatus, error: Exception, **details: Any) -> web.Response:
    # The argument of a KeyError is only the missing key.
    text = f"{error.args[0]}: is missing" if isinstance(error, KeyError) else str(error)
    return _json({"error": text, **details}, status)
