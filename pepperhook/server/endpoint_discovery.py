"""Polls and watches the endpoint list, as the policy's actions request it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, Any

from pepperhook.domain import EndpointUpdate, PollFailure, Upstream, UpstreamState
from pepperhook.errors import PepperhookError
from pepperhook.server import endpoint_list, http1_client
from pepperhook.server import extensions as extension_points
from pepperhook.server.address_claims import AddressClaims
from pepperhook.server.attempt_errors import ConnectFailedError, ConnectionLostError
from pepperhook.server.endpoint_list import (
    EndpointList,
    ListedEndpoint,
    MalformedListError,
    UnreadableRow,
)

if TYPE_CHECKING:
    import aiohttp

    from pepperhook.server.config import Address, Config
    from pepperhook.server.metrics import Counters
    from pepperhook.server.runtime import Runtime
    from pepperhook.server.structured_logging import Log
    from pepperhook.server.upstream_pool import UpstreamPool

OK = 200
NS_PER_S = 1e9
NS_PER_MS = 10**6
MS_PER_S = 1000
MAX_LIST_BYTES = 4 * 1024 * 1024
MAX_CONNECTIONS = 4
MAX_CONNECTIONS_PER_POLL = 2  # one that was idle and has been closed, and a new one
WATCH_MARGIN_S = 0.5  # beyond the requested wait, after which another poll is begun
LATE_MARGIN_S = 2.1  # beyond the requested wait, in which the service may still write its response
FETCH_TIMEOUT_S = 2.5  # the service drops polls that it could not answer in two seconds
CONNECT_TIMEOUT_S = 1.5
# A service that is down or overloaded fails a poll within two seconds. One that keeps it for longer
# is running. 0.2 s for the transit.
MAX_QUEUE_TIME_NS = 2200 * 10**6
# A service that answers a poll later than this, longer than the poll waits for a change, has too
# many polls. That counts for as long as it takes to work through them after an outage.
SLOW_ANSWER_NS = 500 * 10**6
SLOW_ANSWER_VALID_NS = 15 * 10**9
# The first poll of a watch is to be answered at once, as the list may be about to become stale.
FIRST_WAIT_MS = 1
EARLY_RESPONSE_S = 0.05  # a response without changes within this time is followed by a pause
EARLY_RESPONSE_PAUSE_S = 0.1
MAX_RETRY_AFTER_S = 60.0

Query = dict[str, str]


class PollKind(Enum):
    """The kinds of background polls; at most one of each runs at a time."""

    WATCH = "watch"  # long polls for changes, one after another, until one fails
    FETCH = "fetch"  # one poll for the whole list


class EndpointDiscovery:
    """Polls the discovery service and passes updates to the policy and the upstream pool."""

    def __init__(
        self,
        runtime: Runtime,
        log: Log,
        counters: Counters,
        config: Config,
        upstreams: UpstreamPool,
        extensions: extension_points.Extensions = extension_points.NO_EXTENSIONS,
    ) -> None:
        """Prepare to poll the service that ``config`` names; nothing is sent yet."""
        self.runtime = runtime
        self.log = log
        self.counters = counters
        self.upstreams = upstreams
        self.extensions = extensions
        self.zones = config.names.zones
        self.kinds = config.names.kinds
        self.known: dict[str, Upstream] = {}
        self.claims = AddressClaims()
        self.unreadable: dict[str, str] = {}  # name of each upstream with an unreadable row: reason
        self.version: int | None = None
        self.tasks: dict[PollKind, asyncio.Task[None]] = {}
        self.late_answers: set[asyncio.Task[bytes]] = set()  # of polls that were given up
        self.answered_from = 0  # when the poll began whose answer was applied last
        self.ready = False  # whether a list was ever applied
        self.wait_s = 0.0  # how long a poll of the watch waits for a change
        self.answer_age_ns = 0  # how old the list may have been when the last answer arrived
        self.slow_answer_at: int | None = None  # if the last answer whose delay is known was slow
        self.closing: set[asyncio.Task[None]] = set()
        self.is_closed = False
        self.url: str
        self.session: aiohttp.ClientSession
        self._open(config.discovery)

    def _open(self, address: Address) -> None:
        host, port = address
        self.session = http1_client.make_session(limit=MAX_CONNECTIONS)
        self.url = f"http://{host}:{port}/catalog/members"

    def change_service(self, address: Address) -> None:
        """Poll another service from now on.

        The current list stays in force until the new service has sent its whole list, because its
        versions are not comparable with those of the old one. Responses of the old service are
        discarded.
        """
        if self.is_closed:
            return  # the process is shutting down and needs no list any more
        old_session = self.session
        self._open(address)  # the only step that can fail comes before any change
        for task in [*self.tasks.values(), *self.late_answers]:
            task.cancel()
        self.tasks.clear()
        closing = self.runtime.loop.create_task(old_session.close())
        self.closing.add(closing)
        closing.add_done_callback(self.closing.discard)
        self.version = self.slow_answer_at = None
        self.runtime.call_policy(self.runtime.policy.endpoint_service_moved)

    def start_watch(self, wait_ns: int) -> None:
        """Watch for changes until a poll fails; each poll waits up to ``wait_ns`` for one."""
        self.wait_s = wait_ns / NS_PER_S
        if PollKind.WATCH not in self.tasks:
            if self.ready:
                self.log.info("list_watch_begins", version=self.version)
            self._start(PollKind.WATCH, self._watch())

    def start_fetch(self) -> None:
        """Fetch the whole list once."""
        if PollKind.FETCH not in self.tasks:
            self._start(PollKind.FETCH, self._fetch())

    def _start(self, kind: PollKind, work: Coroutine[Any, Any, None]) -> None:
        task = self.runtime.loop.create_task(work)
        self.tasks[kind] = task
        task.add_done_callback(partial(self._poll_ended, kind))

    def _poll_ended(self, kind: PollKind, task: asyncio.Task[None]) -> None:
        """Report to the policy a poll that ended by an error that ``_poll`` did not report.

        Otherwise the policy would consider the watch open, and the list current, forever.
        """
        if self.tasks.get(kind) is not task:
            return  # cancelled by change_service
        del self.tasks[kind]
        error = asyncio.CancelledError() if task.cancelled() else task.exception()
        if error is not None and not self.is_closed:
            self.runtime.report_fault(f"endpoint {kind.value}", error)
            self._poll_failed(error, 0)

    async def _watch(self) -> None:
        """Poll again immediately after each response; to the policy this is one watch."""
        continues, wait_ms = True, FIRST_WAIT_MS
        while continues:
            started_at_s = self.runtime.loop.time()
            version_before = self.version
            continues = await self._poll(wait_ms)
            wait_ms = self._next_wait_ms()
            is_early = self.runtime.loop.time() < started_at_s + EARLY_RESPONSE_S
            if continues and self.version == version_before and is_early:
                # A service that does not wait must not be polled in a tight loop. To the policy,
                # the watch continues during the pause.
                await asyncio.sleep(EARLY_RESPONSE_PAUSE_S)

    def _next_wait_ms(self) -> int:
        """Return the wait of the next poll, shorter if the last answer confirmed an old list.

        Otherwise the list could become stale before the next answer.
        """
        wait_ms = int(self.wait_s * MS_PER_S)
        is_old = self.answer_age_ns > wait_ms * NS_PER_MS // 2
        return wait_ms // 2 if is_old else wait_ms

    async def _fetch(self) -> None:
        await self._poll(0)

    async def _poll(self, wait_ms: int) -> bool:
        """Poll once, for a change within ``wait_ms``; return whether a watch may continue.

        Polls for the whole list if there is none yet, or if ``wait_ms`` is 0.
        """
        self.counters.add("list asked")
        query: Query = {}
        if wait_ms and self.version is not None:
            query = {"since": str(self.version), "timeout_ms": str(wait_ms)}
        started_at = self.runtime.now()
        try:
            body = await self._answer_in_time(query, wait_ms, started_at)
            update = endpoint_list.parse(body, self.zones, self.kinds)
            duration_ns = self.runtime.now() - started_at
            self.answer_age_ns = _age_of_answer(update, duration_ns, wait_ms * NS_PER_MS)
            self._note_delay(update, wait_ms)
            self._apply(update, self.answer_age_ns)
            self.answered_from = started_at
        except (PepperhookError, OSError) as error:
            self._poll_failed(error, self.runtime.now() - started_at)
            return False
        self.log.debug(
            "list_answered",
            call_ms=duration_ns // NS_PER_MS,
            age_ms=self.answer_age_ns // NS_PER_MS,
            version=self.version,
        )
        return True

    async def _answer_in_time(self, query: Query, wait_ms: int, started_at: int) -> bytes:
        """Return the response to a poll; raise WatchGivenUpError if a watch is silent for too long.

        What the service writes after that counts as notified, too. So it is still read.
        """
        request = self.runtime.loop.create_task(
            http1_client.retry_stale_connections(
                lambda: self._request(query, wait_ms), MAX_CONNECTIONS_PER_POLL
            )
        )
        try:
            await asyncio.wait({request}, timeout=_give_up_after_s(query, wait_ms))
        except asyncio.CancelledError:
            request.cancel()
            raise
        if request.done():
            return request.result()
        self.late_answers.add(request)
        request.add_done_callback(partial(self._late_answer, wait_ms, started_at))
        raise WatchGivenUpError(f"no answer within {wait_ms} ms and {WATCH_MARGIN_S} s")

    def _late_answer(self, wait_ms: int, started_at: int, request: asyncio.Task[bytes]) -> None:
        """Apply the answer to a watch that was given up, unless a later poll was answered."""
        self.late_answers.discard(request)
        if request.cancelled() or request.exception() is not None or self.is_closed:
            return
        if started_at < self.answered_from or self.version is None:
            return
        try:
            update = endpoint_list.parse(request.result(), self.zones, self.kinds)
            duration_ns = self.runtime.now() - started_at
            self._apply(update, _age_of_answer(update, duration_ns, wait_ms * NS_PER_MS))
        except PepperhookError as error:
            self.log.warning("list_late_answer_unusable", error=str(error))
            return
        self.counters.add("list answered late")
        self.log.debug("list_answered_late", call_ms=duration_ns // NS_PER_MS, version=self.version)

    def _note_delay(self, update: EndpointList, wait_ms: int) -> None:
        """Note whether the service was slow to answer; unknown if it waited until a change."""
        if wait_ms > FIRST_WAIT_MS and not _is_unchanged(update):
            return
        delay_ns = self.answer_age_ns - self.runtime.lateness_ns()
        self.slow_answer_at = self.runtime.now() if delay_ns > SLOW_ANSWER_NS else None

    def _is_overloaded(self) -> bool:
        slow_at = self.slow_answer_at
        return slow_at is not None and self.runtime.now() < slow_at + SLOW_ANSWER_VALID_NS

    def _poll_failed(self, error: BaseException, duration_ns: int) -> None:
        failure = _failure(error, duration_ns - self.runtime.lateness_ns())
        if failure is PollFailure.REFUSED and self._is_overloaded():
            failure = PollFailure.OVERLOADED
        self.counters.add("list failed")
        self.counters.add(f"list failed {failure}")
        self.log.warning(
            "list_failed",
            error=f"{type(error).__name__}: {error}",
            failure=failure,
            call_ms=duration_ns // NS_PER_MS,
            version=self.version,
        )
        retry_after_ns = error.retry_after_ns if isinstance(error, ListRefusedError) else 0
        policy = self.runtime.policy
        self.runtime.call_policy(policy.endpoint_poll_failed, failure, retry_after_ns)

    async def _request(self, query: Query, wait_ms: int) -> bytes:
        waits = _waits_for_change(query, wait_ms)
        timeout_s = wait_ms / MS_PER_S + LATE_MARGIN_S if waits else FETCH_TIMEOUT_S
        return await http1_client.exchange(
            self.session,
            "GET",
            self.url,
            _read_list,
            params=query,
            timeout=http1_client.make_timeout(timeout_s, CONNECT_TIMEOUT_S),
        )

    def apply(self, document: object) -> None:
        """Apply a list or set of changes from parsed JSON. Raises MalformedListError."""
        self._apply(endpoint_list.decode(document, self.zones, self.kinds), age_ns=0)

    def _apply(self, update: EndpointList, age_ns: int) -> None:
        if not update.is_whole and self.version is not None and update.version < self.version:
            # The service has restarted and counts versions from the start, so its changes do not
            # refer to the current list. Request the whole list at the next poll.
            self.version = None
            raise MalformedListError(f"seq: changes up to {update.version} of an older list")
        self._note_unreadable(update)
        if not update.is_whole and update.unnamed_reasons:
            self._apply_without_unnamed(update)
            return
        if not update.is_whole and not update.endpoints and not update.unreadable:
            self.version = update.version
            self.runtime.call_policy(self.runtime.policy.endpoints_confirmed, age_ns)
            return
        rows = self._rows(update)
        policy = self.runtime.policy
        self.runtime.call_policy(policy.endpoints_changed, update.is_whole, rows, age_ns)
        self.version = update.version
        self._after_update(update)
        if not self.ready:
            self.log.info("list_known", version=self.version, upstreams=len(self.known))
        self.ready = True

    def _apply_without_unnamed(self, update: EndpointList) -> None:
        """Apply the rows that have a name, and make the next poll fetch the whole list.

        A row without a readable name may be about any upstream. So the changes do not confirm the
        list, and their version is not taken over.
        """
        rows = self._rows(update)
        self.runtime.call_policy(self.runtime.policy.endpoints_corrected, rows)
        self.version = None
        self._after_update(update)

    def _after_update(self, update: EndpointList) -> None:
        self._log_update(update)
        self._forget_gone()
        for hook in self.extensions.listed:
            hook(self.runtime.now(), self.known.values())

    def _note_unreadable(self, update: EndpointList) -> None:
        """Count and log unreadable rows; a row with a name only once until its fault changes."""
        before = self.unreadable
        for row in update.unreadable:
            if before.get(row.name) != row.reason:
                self.counters.add("list rows unreadable")
                self.log.warning("list_row_unreadable", host=row.name, why=row.reason)
        for reason in update.unnamed_reasons:
            self.counters.add("list rows unreadable")
            self.log.warning("list_row_unreadable", why=reason)
        readable = {listed.name for listed in update.endpoints}
        unchanged = (
            {}
            if update.is_whole
            else {name: reason for name, reason in before.items() if name not in readable}
        )
        self.unreadable = unchanged | {row.name: row.reason for row in update.unreadable}

    def _log_update(self, update: EndpointList) -> None:
        """Log the rows of an update, so that the log shows when each change was received."""
        rows = " ".join(f"{listed.name}:{listed.state}" for listed in update.endpoints)
        self.log.debug("list_applied", version=update.version, whole=update.is_whole, rows=rows)

    def _rows(self, update: EndpointList) -> list[EndpointUpdate]:
        """Return the updates for the policy, after the extensions have adjusted them."""
        superseded = self._claim_addresses(update)
        current = [listed for listed in update.endpoints if listed.name not in superseded]
        rows = [self._update_upstream(listed) for listed in current]
        rows += [self._mark_not_ready(row) for row in update.unreadable if row.name in self.known]
        rows += [self._mark_gone(name) for name in superseded if name in self.known]
        for hook in self.extensions.lists:
            rows = hook(rows)
        return rows

    def _claim_addresses(self, update: EndpointList) -> list[str]:
        """Return the upstreams whose address a process has that started later."""
        if update.is_whole:
            unreadable = {row.name for row in update.unreadable}
            self.claims.keep_only(unreadable | {listed.name for listed in update.endpoints})
        self.claims.update(update.endpoints)
        return self.claims.superseded_by(update.endpoints)

    def _mark_gone(self, name: str) -> EndpointUpdate:
        """Treat an upstream as gone whose address another process has.

        Its connections, warmth and health are those of a process that has ended.
        """
        upstream = self.known[name]
        self.counters.add("addresses taken over")
        self.log.info("address_taken_over", host=name, by=self.claims.newer_at_address_of(name))
        return EndpointUpdate(upstream, UpstreamState.GONE, upstream.started_at)

    def _mark_not_ready(self, row: UnreadableRow) -> EndpointUpdate:
        """Treat an upstream with an unreadable row as draining, or as gone if the row says so.

        The unreadable part may announce a drain.
        """
        upstream = self.known[row.name]
        state = UpstreamState.GONE if row.is_gone else UpstreamState.DRAINING
        return EndpointUpdate(upstream, state, upstream.started_at)

    def _update_upstream(self, listed: ListedEndpoint) -> EndpointUpdate:
        upstream = self.known.get(listed.name)
        if upstream is None:
            # By name, which is the same at every balancer, not by dial address, so that the rings
            # from which they choose their subsets have the same order.
            upstream = self.known[listed.name] = Upstream(listed.name.encode())
        if upstream.is_known and upstream.state is not listed.state:
            self.log.info(
                "upstream_state",
                host=listed.name,
                previous=upstream.state,
                state=listed.state,
                started_ms=listed.started_at // NS_PER_MS,
            )
        upstream.zone = listed.zone
        upstream.kind = listed.kind
        upstream.cell = listed.cell
        upstream.units = listed.units
        self.upstreams.update_endpoint(upstream, listed.address, listed.started_at, listed.protocol)
        return EndpointUpdate(upstream, listed.state, listed.started_at)

    def _forget_gone(self) -> None:
        for name, upstream in list(self.known.items()):
            if upstream.state == UpstreamState.GONE:
                del self.known[name]
                self.upstreams.remove_endpoint(upstream)

    async def close(self) -> None:
        """Cancel the polls and close the connections."""
        self.is_closed = True
        tasks = [*self.tasks.values(), *self.late_answers]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *self.closing, return_exceptions=True)
        await self.session.close()


class WatchGivenUpError(PepperhookError, TimeoutError):
    """The service was silent beyond the wait of a watch."""


class ListRefusedError(PepperhookError):
    """The service answered without a list; ``retry_after_ns``: the wait it requests, or 0."""

    def __init__(self, status: int, retry_after: str | None) -> None:
        """``status``: not 200; ``retry_after``: the value of the Retry-After header."""
        super().__init__(f"status {status}")
        self.retry_after_ns = _parse_retry_after(retry_after)


def _parse_retry_after(value: str | None) -> int:
    """Return a Retry-After header in nanoseconds; 0 if it is absent or not a number of seconds."""
    try:
        seconds = float(value or 0)
    except ValueError:
        return 0
    return int(min(max(seconds, 0.0), MAX_RETRY_AFTER_S) * NS_PER_S)


def _waits_for_change(query: Query, wait_ms: int) -> bool:
    return bool(query) and wait_ms > FIRST_WAIT_MS


def _give_up_after_s(query: Query, wait_ms: int) -> float | None:
    """Return after how long another poll is begun; None: the poll has a timeout of its own."""
    if _waits_for_change(query, wait_ms):
        return wait_ms / MS_PER_S + WATCH_MARGIN_S
    return None


def _age_of_answer(update: EndpointList, duration_ns: int, wait_ns: int) -> int:
    """Return how old a list may be that arrived ``duration_ns`` after its poll was sent.

    The service may have sent it at any time since then, and the network or this process have
    delayed it. A service that reports no changes has waited for them for the whole ``wait_ns``.
    """
    waited = _is_unchanged(update) and duration_ns >= wait_ns
    return duration_ns - wait_ns if waited else duration_ns


def _is_unchanged(update: EndpointList) -> bool:
    return not (update.is_whole or update.endpoints or update.unreadable)


def _failure(error: BaseException, duration_ns: int) -> PollFailure:
    """Return the policy's classification of a poll that failed after ``duration_ns``."""
    if isinstance(error, ConnectFailedError):
        return PollFailure.UNREACHABLE
    if isinstance(error, TimeoutError):
        return PollFailure.SILENT
    if duration_ns > MAX_QUEUE_TIME_NS:
        return PollFailure.HELD
    is_lost = isinstance(error, ConnectionLostError)
    return PollFailure.INTERRUPTED if is_lost else PollFailure.REFUSED


async def _read_list(response: aiohttp.ClientResponse) -> bytes:
    if response.status != OK:
        raise ListRefusedError(response.status, response.headers.get("Retry-After"))
    return await http1_client.read_body(response, MAX_LIST_BYTES)
