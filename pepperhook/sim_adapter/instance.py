"""Translates between the simulator's records and one balancer's calls and actions.

Records refer to requests, attempts and upstreams by id, number or address; calls take objects.
"""

import json
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import TypeAlias

from pepperhook.actions import Action, FailRequest, RejectRequest
from pepperhook.balancer import Balancer
from pepperhook.domain import (
    Attempt,
    EndpointUpdate,
    LoadReport,
    PollFailure,
    Request,
    Upstream,
)
from pepperhook.settings import Settings
from pepperhook.settings import read as read_settings
from pepperhook.sim_adapter import codec, protocol
from pepperhook.sim_adapter.codec import ListEntry, MalformedInputError
from pepperhook.sim_adapter.encoder import encode_action
from pepperhook.units import MICROSECOND

EndpointLists: TypeAlias = dict[int, list[ListEntry]]  # by number
Handler: TypeAlias = Callable[["Instance", Balancer, int, bytes, EndpointLists], Sequence[Action]]


class Instance:
    """Owns one balancer, and maps the protocol's ids to its objects."""

    def __init__(self) -> None:
        """Start without a balancer."""
        self.balancer: Balancer | None = None
        self.settings = Settings()
        self.upstreams: dict[bytes, Upstream] = {}
        self.requests: dict[object, Request] = {}  # by id

    def handle(
        self, now: int, code: int, fields: bytes, endpoint_lists: EndpointLists
    ) -> Sequence[Action]:
        """Handle one event and return the actions; none while no balancer runs.

        Raises MalformedInputError, and any exception of the policy.
        """
        if code == protocol.ATTACH:
            return self._start(now, fields)
        if code == protocol.STOP:
            self.balancer = None
            return ()
        handler = HANDLERS.get(code)
        if handler is None or self.balancer is None:
            return ()
        return handler(self, self.balancer, now, fields, endpoint_lists)

    def encode(self, action: Action) -> bytes:
        """Return the encoded record of an action; remove the request that it finishes, if any."""
        if isinstance(action, (RejectRequest, FailRequest)):
            self._remove_if_finished(action.request)
        return encode_action(action)

    def _start(self, now: int, fields: bytes) -> Sequence[Action]:
        layout = protocol.ATTACH_FIELDS
        seed, size = codec.unpack(layout, fields, "ATTACH")
        document = json.loads(fields[layout.size : layout.size + size].decode("utf-8"))
        self.settings = replace(read_settings(document), subscribes_to_endpoints=True)
        self.upstreams = {}
        self.requests = {}
        self.balancer = Balancer(self.settings, seed, now)
        return self.balancer.wake(now)

    def _upstream(self, address: bytes) -> Upstream:
        if address not in self.upstreams:
            self.upstreams[address] = Upstream(address)
        return self.upstreams[address]

    def _attempt(self, request_id: int, attempt_number: int) -> Attempt | None:
        """Return an attempt by its request's id and its number; None if it is unknown."""
        request = self.requests.get(request_id)
        if request is None or attempt_number >= len(request.attempts):
            return None
        return request.attempts[attempt_number]

    def _remove_if_finished(self, request: Request) -> None:
        """Remove a finished request without open attempts, as no later event refers to it."""
        if request.finished and not request.open_attempts:
            self.requests.pop(request.id, None)

    def _load_report(self, fields: bytes, start: int, record_name: str) -> LoadReport | None:
        """Return the load report at ``start``, with the settings' names for its figures."""
        values = codec.read_load_report(fields, start, record_name)
        return dict(zip(self.settings.report_figures, values, strict=False)) if values else None

    def _endpoint_update(self, entry: ListEntry) -> EndpointUpdate:
        """Store the listed properties of an upstream, and return its update for the policy."""
        upstream = self._upstream(entry.address)
        upstream.kind = entry.kind
        upstream.units = entry.units
        upstream.cell = entry.cell
        upstream.zone = entry.zone
        state = protocol.STATES.get(entry.state, protocol.STATE_FOR_UNKNOWN_CODE)
        return EndpointUpdate(upstream, state, entry.started_us * MICROSECOND)

    # Event handlers; HANDLERS maps the codes to them.

    def _endpoints_changed(
        self, balancer: Balancer, now: int, fields: bytes, endpoint_lists: EndpointLists
    ) -> Sequence[Action]:
        _, scope, list_number = codec.unpack(protocol.FLEET_FIELDS, fields, "FLEET")
        if scope == protocol.FAILED:
            return balancer.endpoint_poll_failed(now, PollFailure.UNSPECIFIED)
        if list_number not in endpoint_lists:
            raise MalformedInputError(f"FLEET: no endpoint list has the number {list_number}")
        updates = [self._endpoint_update(entry) for entry in endpoint_lists[list_number]]
        return balancer.endpoints_changed(now, scope in protocol.WHOLE_LIST_SCOPES, updates)

    def _request_arrived(
        self, balancer: Balancer, now: int, fields: bytes, _: EndpointLists
    ) -> Sequence[Action]:
        request_id, class_number, tenant, key, deadline_us, cost_us, flags = codec.unpack(
            protocol.QUERY_FIELDS, fields, "QUERY"
        )
        classes = self.settings.service_classes
        has_cost = flags & protocol.HAS_COST and cost_us
        # An unknown service class is treated as the last one, and an unknown tenant as none. Key 0
        # is no key.
        request = Request(
            request_id,
            classes[min(class_number, len(classes) - 1)],
            tenant if tenant < len(self.settings.tenants) else None,
            key or None,
            deadline_us * MICROSECOND,
            cost_us * MICROSECOND if has_cost else None,
            bool(flags & protocol.IS_RETRY),
        )
        self.requests[request_id] = request
        return balancer.accept(now, request)

    def _attempt_ended(
        self, balancer: Balancer, now: int, fields: bytes, _: EndpointLists
    ) -> Sequence[Action]:
        layout = protocol.REPLY_FIELDS
        request_id, attempt_number, _, outcome, duration_us, is_final = codec.unpack(
            layout, fields, "REPLY"
        )
        attempt = self._attempt(request_id, attempt_number)
        if attempt is None:
            return ()
        actions = balancer.attempt_ended(
            now,
            attempt,
            protocol.OUTCOMES.get(outcome, protocol.OUTCOME_FOR_UNKNOWN_CODE),
            duration_us * MICROSECOND,
            bool(is_final),
            self._load_report(fields, layout.size, "REPLY"),
        )
        self._remove_if_finished(attempt.request)
        return actions

    def _response_started(
        self, balancer: Balancer, now: int, fields: bytes, _: EndpointLists
    ) -> Sequence[Action]:
        request_id, _, attempt_number, _ = codec.unpack(protocol.STARTED_FIELDS, fields, "STARTED")
        attempt = self._attempt(request_id, attempt_number)
        return () if attempt is None else balancer.response_started(now, attempt)

    def _client_left(
        self, balancer: Balancer, now: int, fields: bytes, _: EndpointLists
    ) -> Sequence[Action]:
        (request_id,) = codec.unpack(protocol.ABANDONED_FIELDS, fields, "ABANDONED")
        request = self.requests.get(request_id)
        if request is None:
            return ()
        actions = balancer.client_left(now, request)
        self._remove_if_finished(request)
        return actions

    def _health_check_ended(
        self, balancer: Balancer, now: int, fields: bytes, _: EndpointLists
    ) -> Sequence[Action]:
        layout = protocol.SAMPLED_FIELDS
        address, outcome, duration_us = codec.unpack(layout, fields, "SAMPLED")
        return balancer.health_check_ended(
            now,
            self._upstream(address),
            protocol.OUTCOMES.get(outcome, protocol.OUTCOME_FOR_UNKNOWN_CODE),
            duration_us * MICROSECOND,
            self._load_report(fields, layout.size, "SAMPLED"),
        )

    def _peer_message(
        self, balancer: Balancer, now: int, fields: bytes, _: EndpointLists
    ) -> Sequence[Action]:
        layout = protocol.MEMO_FIELDS
        peer, size = codec.unpack(layout, fields, "MEMO")
        return balancer.peer_message(now, peer, fields[layout.size : layout.size + size])

    def _wake(self, balancer: Balancer, now: int, _: bytes, __: EndpointLists) -> Sequence[Action]:
        return balancer.wake(now)


HANDLERS: dict[int, Handler] = {
    protocol.FLEET: Instance._endpoints_changed,
    protocol.ALARM: Instance._wake,
    protocol.STARTED: Instance._response_started,
    protocol.ABANDONED: Instance._client_left,
    protocol.QUERY: Instance._request_arrived,
    protocol.MEMO: Instance._peer_message,
    protocol.REPLY: Instance._attempt_ended,
    protocol.SAMPLED: Instance._health_check_ended,
}
