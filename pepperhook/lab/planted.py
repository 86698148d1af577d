"""A balancer with a fault planted in one of its parts: ``python -m pepperhook.lab.planted FAULT``, for proofs that must fail."""

import sys

from pepperhook import __main__ as program
from pepperhook.domain import Outcome, UpstreamState

DRAIN_LATE_S = 8.0
RELOAD_PAUSE_S = 0.5  # of the planted reload that is lost


def time_kept():
    """Carried time is not reduced by what was spent."""
    from pepperhook.request_context import messages
    from pepperhook.request_context.context_policy import ContextPolicy

    plain = ContextPolicy.attempt_started

    def attempt_started(self, now, state, deadline, is_retry):
        context = plain(self, now, state, deadline, is_retry)
        if context is not None:
            context.remaining_ms = messages.MAX_MS
        return context

    ContextPolicy.attempt_started = attempt_started


def tries_unsplit():
    """Each tier, and each attempt, has the whole allowance."""
    from pepperhook.request_context.context_policy import ContextPolicy

    plain = ContextPolicy.attempt_started

    def attempt_started(self, now, state, deadline, is_retry):
        state.allowance.retries, state.retry_stop = 3, None
        context = plain(self, now, state, deadline, is_retry)
        context.retries = 3
        return context

    ContextPolicy.attempt_started = attempt_started


def forged_believed():
    """Values are believed whoever wrote them."""
    from pepperhook.request_context import context_header

    plain = context_header.read_members
    context_header.read_members = lambda text, keys, is_trusted: plain(text, keys, True)


def hops_unchecked():
    """Nobody looks whether a request has been here."""
    from pepperhook.request_context.loop_detection import LoopDetector

    assert LoopDetector.is_loop
    LoopDetector.is_loop = lambda self, state: False


def reset_never_ran():
    """A stream that was reset is taken for one that never ran."""
    from pepperhook.http2.client_connection import ClientConnection
    from pepperhook.server.attempt_errors import ConnectionLostError, OverloadedError

    plain = ClientConnection.finish
    ClientConnection.finish = lambda self, exchange, error: plain(
        self,
        exchange,
        OverloadedError("planted") if isinstance(error, ConnectionLostError) else error,
    )


def goaway_ignored():
    """A GOAWAY's last id is ignored: what is above it is waited for."""
    from pepperhook.http2.client_connection import ClientConnection

    assert callable(ClientConnection.end_streams_above)
    ClientConnection.end_streams_above = lambda self, last_stream_id: None


def ended_twice():
    """A stream's end is reported twice."""
    from hyperframe.frame import DataFrame, GoAwayFrame

    from pepperhook.http2.server_stream import ServerStream

    plain = ServerStream.write_response

    async def write_response(self, status, headers, body):
        self.connection.flush()
        await plain(self, status, headers, body)
        goaway = GoAwayFrame(0, last_stream_id=self.connection.last_stream_id, error_code=0)
        again = DataFrame(self.stream_id, body, flags=["END_STREAM"])
        self.connection.transport.write(goaway.serialize() + again.serialize())

    ServerStream.write_response = write_response


def window_kept():
    """The window of what has come is not returned."""
    from pepperhook.http2.connection import Http2Connection

    plain = Http2Connection.increment_flow_control_window
    Http2Connection.increment_flow_control_window = lambda self, size, stream=None: (
        plain(self, size, stream) if size > 500_000 else None
    )


def evicts_running():
    """When the store is full what runs is forgotten, too."""
    from pepperhook.idempotency import store

    plain = store.IdempotencyStore.make_room

    def make_room(self, now_ns, partition, size, new_entries=1):
        if not plain(self, now_ns, partition, size, new_entries):
            running = next(
                (
                    entry
                    for entry in self.running.values()
                    if entry.partition is partition and entry.key in self.table.entries
                ),
                None,
            )
            if running is not None:
                self.table.remove(running)
        return partition.fits(size, new_entries)

    store.IdempotencyStore.make_room = make_room


def record_after():
    """The record of an operation is written when it has ended, and not before its dispatch."""
    from pepperhook.idempotency import recorder

    def record_started(self, keyed):
        durable = self.runtime.loop.create_future()
        durable.set_result(None)
        return durable

    recorder.RequestRecorder.record_started = record_started


def first_calls_off():
    """When the first client leaves its dispatch is called off, whoever waits."""
    from pepperhook.idempotency import extension

    def leaving(self, now_ns, request):
        self.leave(self.store.client_left(request).abandoned)
        return False

    extension.Idempotency.leaving = leaving


def all_dispatched():
    """When the first never ran, all that wait for it are dispatched."""
    from pepperhook.idempotency import store
    from pepperhook.idempotency.entries import Decision, Resolution, Verdict

    plain = store.IdempotencyStore.hand_over

    def hand_over(self, entry):
        resolutions = plain(self, entry)
        for other in self.waiters.remove_all(entry):
            self.running[other] = entry
            resolutions.append(Resolution(other, Decision(Verdict.NEW)))
        return resolutions

    store.IdempotencyStore.hand_over = hand_over


def clock_read():
    """The policy reads a clock."""
    import time

    from pepperhook.policy import completion

    plain = completion.Completion.handle

    def handle(self, now, request):
        # Near its limit a request ends at a time that depends on it.
        request.deadline -= time.perf_counter_ns() % 1000
        return plain(self, now, request)

    completion.Completion.handle = handle


def set_order():
    """The policy takes the members of its subset in the order of a set."""
    from pepperhook.policy import selection

    plain = selection.Selection.handle

    def handle(self, now, request):
        subset = self.balancer.subset
        known = {bytes(member.address): member for member in subset.members}
        subset.members = [known[address] for address in set(known)]
        return plain(self, now, request)

    selection.Selection.handle = handle


def checksum_skipped():
    """A reader believes blocks whatever their checksum says."""
    import zstandard

    from pepperhook.container import Block, ContainerReader, blocks

    def read_block(self, offset):
        self._file.seek(offset)
        data = self._file.read(blocks.HEADER_BYTES)
        if len(data) < blocks.HEADER_BYTES:
            return None
        header = blocks.BlockHeader(*blocks.HEADER_FIELDS.unpack_from(data))
        max_output_size = min(header.raw_length, blocks.MAX_RAW_BYTES)
        try:
            content = zstandard.ZstdDecompressor().decompress(
                self._file.read(header.payload_length), max_output_size=max_output_size
            )
        except zstandard.ZstdError:
            content = b""
        end_offset = offset + blocks.HEADER_BYTES + header.payload_length
        return Block(offset, header.block_type, content, end_offset)

    ContainerReader.read_block = read_block


# In the decisions.


def repeats_all():
    """Whatever a request's effect, it may be retried."""
    from pepperhook.policy import guard

    guard.Guard.may_retry = lambda self, now, request, upstream, own: True


def window_forgotten():
    """A keyed request is retried also when its window is over."""
    from pepperhook.policy import guard

    plain = guard.Guard.may_retry

    def may_retry(self, now, request, upstream, own):
        executed = request.possibly_executed(own)
        begun = min(now, executed[0].sent_at) if executed else now
        return plain(self, begun, request, upstream, own)

    guard.Guard.may_retry = may_retry


def group_forgotten():
    """A keyed request is retried outside of its group, too."""
    from pepperhook.policy import guard

    plain = guard.Guard.may_retry
    guard.Guard.may_retry = lambda self, now, request, upstream, own: plain(
        self, now, request, None, own
    )


def sheds_all():
    """What ends unanswered is rejected, also where it may have run."""
    from pepperhook.actions import FailRequest, RejectRequest
    from pepperhook.policy import completion

    plain = completion.Completion.finish

    def finish(self, now, request):
        plain(self, now, request)
        actions = self.balancer.actions
        if actions and actions[-1] == FailRequest(request):
            actions[-1] = RejectRequest(request, 0)

    completion.Completion.finish = finish


def lost_never_ran():
    """A response that is lost or malformed is taken for a request that was never executed."""
    from pepperhook import domain

    domain.NEVER_EXECUTED |= {Outcome.RESET, Outcome.MALFORMED_RESPONSE}


def drains_unheeded():
    """An upstream that is listed as draining is taken for ready."""
    from pepperhook.policy import subset

    plain = subset.Subset.apply

    def apply(self, now, whole, updates):
        heard = [
            update._replace(state=UpstreamState.READY)
            if update.state is UpstreamState.DRAINING
            else update
            for update in updates
        ]
        return plain(self, now, whole, heard)

    subset.Subset.apply = apply


def cold_unheeded():
    """Nothing is held to be cold."""
    from pepperhook.policy import slow_start

    slow_start.SlowStart.capacity_fraction = lambda self, now, upstream: 1.0


def cold_alone():
    """What a cold upstream may be sent is reckoned as if this balancer were its only caller."""
    from pepperhook.policy import slow_start

    plain = slow_start.SlowStart.capacity_fraction

    def capacity_fraction(self, now, upstream):
        share = plain(self, now, upstream)
        return share if share == 1.0 else min(0.99, share * self.balancer.fleet_size)

    slow_start.SlowStart.capacity_fraction = capacity_fraction


def granted_always():
    """Whatever rule 2 allows is retried, without a budget."""
    from pepperhook.policy import retry_budget

    def grants(self, now, attempt):
        request = attempt.request
        is_settled = (
            attempt.outcome is Outcome.SERVED
            or request.finished
            or request.open_attempts
            or self.balancer.load_queries.is_running(request)
        )
        return not is_settled and self.balancer.guard.may_retry(now, request, None, None)

    retry_budget.RetryBudget._grants = grants


def budget_unhalved():
    """The retry budget is never cut, however many attempts fail."""
    from pepperhook.policy import retry_budget

    def adjust(self, now):
        self.B = min(retry_budget.B0, self.B + retry_budget.ALPHA)

    retry_budget.RetryBudget._adjust = adjust


def probes_unspread():
    """One health check follows another after the same wait, always."""
    from pepperhook.policy import outlier

    plain = outlier.OutlierDetector.check_ended

    def check_ended(self, now, upstream, outcome):
        plain(self, now, upstream, outcome)
        upstream.health_check_due_at = now + outlier.CHECK_INTERVAL

    outlier.OutlierDetector.check_ended = check_ended


def list_hasty():
    """When the endpoint list can't be had it is polled again within some milliseconds."""
    from pepperhook import poll_backoff

    poll_backoff.PollBackoff.next_poll = lambda self, now, *fleet: now + 3 * 10**6


def polls_in_step():
    """After a failed poll each balancer polls again after the same short pause, whoever it is."""
    from pepperhook import poll_backoff

    pause, _replaced = 200 * 10**6, poll_backoff.PollBackoff.next_poll
    poll_backoff.PollBackoff.next_poll = lambda self, now, *fleet: now + pause


def stale_by_last_call():
    """The endpoint list is good for a while after each poll, answered or not."""
    from pepperhook.policy import endpoints

    plain = endpoints.Endpoints.poll_failed

    def poll_failed(self, now, failure, retry_after):
        plain(self, now, failure, retry_after)
        self.good_until = now + endpoints.NOTIFIED_AFTER

    endpoints.Endpoints.poll_failed = poll_failed


def drains_held_serving():
    """By a list that is out of date every upstream counts as serving, draining ones too."""
    from pepperhook.policy import endpoints

    _replaced = endpoints.Endpoints.is_stale
    endpoints.Endpoints.is_stale = lambda self, now, upstream: False


def ends_at_once():
    """SIGTERM ends the program, whatever is under way."""
    import os

    from pepperhook.server import app

    async def leave(self):
        os._exit(0)

    app.BalancerApp.shut_down = leave


def descriptor_leaked():
    """Each cancelled request, whose client has left, leaves a descriptor open."""
    import os

    from pepperhook.server.request_lifecycle import RequestLifecycle

    plain, kept = RequestLifecycle._client_left, []

    def client_left(self):
        kept.append(os.dup(2))
        plain(self)

    RequestLifecycle._client_left = client_left


def resting_dropped():
    """Connections that rest at SIGTERM are closed at once, with what comes on them in that moment."""
    from pepperhook.server import app

    plain = app.BalancerApp.shut_down

    async def shut_down(self, *arguments, **named):
        for handler in list(self.http_server.server.idle):
            if handler.transport is not None:
                handler.transport.abort()
        await plain(self, *arguments, **named)

    app.BalancerApp.shut_down = shut_down


def goaway_for_present_only():
    """GOAWAY goes only to the HTTP/2 connections that are there at SIGTERM."""
    from pepperhook.http2.server import ServerConnection

    ServerConnection._announce_shutdown = lambda _: None


def drain_heard_late():
    """What the endpoint list says of a drain is heard 8 s later."""
    from pepperhook.server.endpoint_discovery import EndpointDiscovery

    plain = EndpointDiscovery._update_upstream

    def update_upstream(self, listed):
        update = plain(self, listed)
        if listed.state is not UpstreamState.DRAINING:
            return update

        def hear():
            self.runtime.call_policy(self.runtime.policy.endpoints_corrected, [update])

        self.runtime.loop.call_later(DRAIN_LATE_S, hear)
        return update._replace(state=UpstreamState.READY)

    EndpointDiscovery._update_upstream = update_upstream


def odd_row_costs_list():
    """A row of the endpoint list that cannot be read costs the whole response."""
    from pepperhook.server import endpoint_list

    plain = endpoint_list.decode

    def decode(document, zones, kinds):
        decoded = plain(document, zones, kinds)
        if decoded.unreadable or decoded.unnamed_reasons:
            raise endpoint_list.MalformedListError("an odd row")
        return decoded

    endpoint_list.decode = decode


def reload_lost():
    """A request to read the configuration again is lost where one was read a moment before."""
    import time

    plain, last = program.reload, [0.0]

    def reload(app, log):
        if time.monotonic() - last[0] > RELOAD_PAUSE_S:
            plain(app, log)
        last[0] = time.monotonic()

    program.reload = reload


def reason_of_another():
    """Reasons are laid down for the operation that was taken before."""
    from pepperhook.tracing.collector import TraceCollector

    plain, last = TraceCollector.add_note, []

    def add_note(self, now, open_trace, note):
        last.append(open_trace)
        plain(self, now, last.pop(0) if len(last) > 1 else open_trace, note)

    TraceCollector.add_note = add_note


def pseudonym_left_out():
    """What a call was made for is left under its own name."""
    from pepperhook.tracing.pseudonyms import NameKind, Pseudonyms

    plain, turn = Pseudonyms.pseudonym, [0]

    def pseudonym(self, kind, name):
        # The second of the three ids of each life is its parent's.
        turn[0] += kind == NameKind.ID
        return name if kind == NameKind.ID and turn[0] % 3 == 2 else plain(self, kind, name)

    Pseudonyms.pseudonym = pseudonym


def clocks_unmended():
    """Clocks are believed as they are."""
    from pepperhook.tracing import merge
    from pepperhook.tracing.clock_offsets import Offset

    merge.estimate_offsets = lambda names, bounds: {name: Offset(name, 0, 0) for name in names}  # type: ignore[attr-defined]


# In the control of versions.


def applied_before_checked():
    """A version is applied, and then looked at."""
    from pepperhook.control_plane.document import parse_document
    from pepperhook.control_plane.version_applier import VersionApplier

    plain = VersionApplier.receive

    def receive(self, version):
        if version.number > self.running_number:
            before = self.running
            self.apply(version, parse_document(version.document))
            self._log.info("version_applied", version=version.number)
            self.running = before
        return plain(self, version)

    VersionApplier.receive = receive


def checks_deaf():
    """No version is found to do harm."""
    from pepperhook.control_plane import version_applier

    version_applier.violations_on_balancer = lambda document, view: []  # type: ignore[attr-defined]


def half_version():
    """What came of a version counts as all of it, and no checksum is looked at."""
    import msgspec

    from pepperhook.control_plane import frames

    def assemble_version(self):
        content = b"".join(self._chunks)
        self._announced = None
        self._chunks = []
        return msgspec.json.decode(content, type=frames.Version)  # type: ignore[attr-defined]

    frames.FrameReader.assemble_version = assemble_version
    frames.crc32 = lambda body: 0  # type: ignore[attr-defined]


def lease_forever():
    """Who was there once is there for ever."""
    from pepperhook.control_plane import member_registry

    member_registry.MemberRegistry.expire = lambda self, now: []


def incarnation_ignored():
    """An update on a member counts whatever its incarnation."""
    from pepperhook.membership.messages import MemberRecord

    MemberRecord.overrides = lambda self, known: self.state > known.state


def suspected_for_ever():
    """A suspected member is never declared lost."""
    from pepperhook.membership import suspicion

    suspicion.suspicion_timeout_ns = lambda *args: 10**15


def falls_in_a_half():
    """The fleet size falls in whatever part of a split network, without a quorum."""
    from pepperhook.membership.fleet_position import FleetPosition

    FleetPosition.has_quorum = lambda self: True


def away_unheeded():
    """A process that stood still goes on as if it had run all the while."""
    from pepperhook.membership.protocol import SwimProtocol

    SwimProtocol.recover_from_stall = lambda self, stalled_ns: None


def any_key():
    """A datagram counts whoever signed it."""
    import hmac

    from pepperhook.membership import datagram

    class Believing:
        compare_digest = staticmethod(lambda one, other: True)
        new = staticmethod(hmac.new)

    datagram.hmac = Believing  # type: ignore[attr-defined]


FAULTS = {
    "incarnation-ignored": incarnation_ignored,
    "suspected-for-ever": suspected_for_ever,
    "falls-in-a-half": falls_in_a_half,
    "away-unheeded": away_unheeded,
    "any-key": any_key,
    "applied-before-checked": applied_before_checked,
    "checks-deaf": checks_deaf,
    "half-version": half_version,
    "lease-forever": lease_forever,
    "reason-of-another": reason_of_another,
    "pseudonym-left-out": pseudonym_left_out,
    "clocks-unmended": clocks_unmended,
    "repeats-all": repeats_all,
    "window-forgotten": window_forgotten,
    "group-forgotten": group_forgotten,
    "sheds-all": sheds_all,
    "lost-never-ran": lost_never_ran,
    "drains-unheeded": drains_unheeded,
    "cold-unheeded": cold_unheeded,
    "cold-alone": cold_alone,
    "granted-always": granted_always,
    "budget-unhalved": budget_unhalved,
    "probes-unspread": probes_unspread,
    "list-hasty": list_hasty,
    "polls-in-step": polls_in_step,
    "stale-by-last-call": stale_by_last_call,
    "drains-held-serving": drains_held_serving,
    "ends-at-once": ends_at_once,
    "descriptor-leaked": descriptor_leaked,
    "resting-dropped": resting_dropped,
    "goaway-for-present-only": goaway_for_present_only,
    "drain-heard-late": drain_heard_late,
    "odd-row-costs-list": odd_row_costs_list,
    "reload-lost": reload_lost,
    "clock-read": clock_read,
    "set-order": set_order,
    "checksum-skipped": checksum_skipped,
    "evicts-running": evicts_running,
    "record-after": record_after,
    "first-calls-off": first_calls_off,
    "all-dispatched": all_dispatched,
    "reset-never-ran": reset_never_ran,
    "goaway-ignored": goaway_ignored,
    "ended-twice": ended_twice,
    "window-kept": window_kept,
    "time-kept": time_kept,
    "tries-unsplit": tries_unsplit,
    "forged-believed": forged_believed,
    "hops-unchecked": hops_unchecked,
}


def main(arguments):
    FAULTS[arguments[0]]()
    return program.main()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
