"""Run a balancer with an injected defect: ``python -m pepperhook.lab.defects DEFECT``.

A scenario that is played with one of its defects must fail, which shows that its checks detect it.
"""

from pepperhook.server.process_signals import block_signals

if __name__ == "__main__":
    block_signals()  # before the other imports, as in pepperhook.__main__

import sys  # noqa: E402

from pepperhook import __main__ as program  # noqa: E402
from pepperhook.domain import Outcome, UpstreamState  # noqa: E402

DRAIN_DELAY_S = 8.0  # of drain-heard-late
RELOAD_PAUSE_S = 0.5  # of reload-lost: a reload requested this soon after another is ignored


def forward_full_time_limit():
    """Forward the time limit unreduced by the time already spent."""
    from pepperhook.request_context import messages
    from pepperhook.request_context.context_policy import ContextPolicy

    original = ContextPolicy.attempt_started

    def attempt_started(self, now, state, deadline, is_retry):
        context = original(self, now, state, deadline, is_retry)
        if context is not None:
            context.remaining_ms = messages.MAX_MS
        return context

    ContextPolicy.attempt_started = attempt_started


def forward_full_retry_allowance():
    """Give each tier and each attempt the whole retry allowance."""
    from pepperhook.request_context.context_policy import ContextPolicy

    original = ContextPolicy.attempt_started

    def attempt_started(self, now, state, deadline, is_retry):
        state.allowance.retries, state.retry_stop = 3, None
        context = original(self, now, state, deadline, is_retry)
        context.retries = 3
        return context

    ContextPolicy.attempt_started = attempt_started


def trust_any_context():
    """Trust the request context header whoever sent it."""
    from pepperhook.request_context import context_header

    original = context_header.read_members
    context_header.read_members = lambda text, keys, is_trusted: original(text, keys, True)


def disable_loop_detection():
    """Detect no request loops."""
    from pepperhook.request_context.loop_detection import LoopDetector

    assert LoopDetector.is_loop
    LoopDetector.is_loop = lambda self, state: False


def treat_reset_stream_as_never_executed():
    """Treat a reset stream as a request that was never executed."""
    from pepperhook.http2.client_connection import ClientConnection
    from pepperhook.server.attempt_errors import ConnectionLostError, OverloadedError

    original = ClientConnection.finish
    ClientConnection.finish = lambda self, exchange, error: original(
        self,
        exchange,
        OverloadedError("injected defect reset-never-ran")
        if isinstance(error, ConnectionLostError)
        else error,
    )


def ignore_goaway():
    """Ignore the last stream id of a GOAWAY: keep waiting for the streams above it."""
    from pepperhook.http2.client_connection import ClientConnection

    assert callable(ClientConnection.end_streams_above)
    ClientConnection.end_streams_above = lambda self, last_stream_id: None


def send_end_stream_twice():
    """Send END_STREAM twice for each stream."""
    from hyperframe.frame import DataFrame, GoAwayFrame

    from pepperhook.http2.server_stream import ServerStream

    original = ServerStream.write_response

    async def write_response(self, status, headers, body):
        self.connection.flush()
        await original(self, status, headers, body)
        goaway = GoAwayFrame(0, last_stream_id=self.connection.last_stream_id, error_code=0)
        second_end = DataFrame(self.stream_id, body, flags=["END_STREAM"])
        self.connection.transport.write(goaway.serialize() + second_end.serialize())

    ServerStream.write_response = write_response


def withhold_window_updates():
    """Return no flow-control window for received data.

    Only the one large increment at the start of a connection, over 500 000 bytes, is sent.
    """
    from pepperhook.http2.connection import Http2Connection

    original = Http2Connection.increment_flow_control_window
    Http2Connection.increment_flow_control_window = lambda self, size, stream=None: (
        original(self, size, stream) if size > 500_000 else None
    )


def evict_running_entries():
    """Evict entries of running requests, too, when the store is full."""
    from pepperhook.idempotency import store

    original = store.IdempotencyStore.make_room

    def make_room(self, now_ns, partition, size, new_entries=1):
        if not original(self, now_ns, partition, size, new_entries):
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


def record_at_end():
    """Write the record of a request only when it has ended, not before its first attempt."""
    from pepperhook.idempotency import recorder

    def record_started(self, keyed):
        durable = self.runtime.loop.create_future()
        durable.set_result(None)
        return durable

    recorder.RequestRecorder.record_started = record_started


def cancel_when_first_client_leaves():
    """Cancel the running attempt when the first client leaves, even if others wait for it."""
    from pepperhook.idempotency import extension

    def leaving(self, now_ns, request):
        self.leave(self.store.client_left(request).abandoned)
        return False

    extension.Idempotency.leaving = leaving


def dispatch_all_waiting():
    """Send all waiting requests when the first was never executed, instead of one of them."""
    from pepperhook.idempotency import store
    from pepperhook.idempotency.entries import Decision, Resolution, Verdict

    original = store.IdempotencyStore.hand_over

    def hand_over(self, entry):
        resolutions = original(self, entry)
        for waiter in self.waiters.remove_all(entry):
            self.running[waiter] = entry
            resolutions.append(Resolution(waiter, Decision(Verdict.NEW)))
        return resolutions

    store.IdempotencyStore.hand_over = hand_over


def read_clock():
    """Let the policy read a clock, so that its decisions do not replay."""
    import time

    from pepperhook.policy import completion

    original = completion.Completion.handle

    def handle(self, now, request):
        # A request near its deadline ends at a time that depends on the clock.
        request.deadline -= time.perf_counter_ns() % 1000
        return original(self, now, request)

    completion.Completion.handle = handle


def iterate_in_set_order():
    """Iterate over the members of the subset in the order of a set."""
    from pepperhook.policy import selection

    original = selection.Selection.handle

    def handle(self, now, request):
        subset = self.balancer.subset
        by_address = {bytes(member.address): member for member in subset.members}
        subset.members = [by_address[address] for address in set(by_address)]
        return original(self, now, request)

    selection.Selection.handle = handle


def skip_block_checksum():
    """Accept blocks whose checksum does not match."""
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


# Defects of the policy.


def retry_unsafe_requests():
    """Allow a retry of every request, unsafe ones included."""
    from pepperhook.policy import guard

    guard.Guard.may_retry = lambda self, now, request, upstream, own: True


def ignore_retry_window():
    """Retry a keyed request even after its retry window has ended."""
    from pepperhook.policy import guard

    original = guard.Guard.may_retry

    def may_retry(self, now, request, upstream, own):
        executed = request.possibly_executed(own)
        first_sent_at = min(now, executed[0].sent_at) if executed else now
        return original(self, first_sent_at, request, upstream, own)

    guard.Guard.may_retry = may_retry


def ignore_upstream_group():
    """Retry a keyed request outside its group of upstreams, too."""
    from pepperhook.policy import guard

    original = guard.Guard.may_retry
    guard.Guard.may_retry = lambda self, now, request, upstream, own: original(
        self, now, request, None, own
    )


def reject_unanswered_requests():
    """Reject every request without a response, even one that may have been executed."""
    from pepperhook.actions import FailRequest, RejectRequest
    from pepperhook.policy import completion

    original = completion.Completion.finish

    def finish(self, now, request):
        original(self, now, request)
        actions = self.balancer.actions
        if actions and actions[-1] == FailRequest(request):
            actions[-1] = RejectRequest(request, 0)

    completion.Completion.finish = finish


def treat_lost_response_as_never_executed():
    """Treat a reset connection or a malformed response as a request that was never executed."""
    from pepperhook import domain

    domain.NEVER_EXECUTED |= {Outcome.RESET, Outcome.MALFORMED_RESPONSE}


def treat_draining_as_ready():
    """Treat an upstream that is listed as draining as ready."""
    from pepperhook.policy import subset

    original = subset.Subset.apply

    def apply(self, now, whole, updates):
        altered = [
            update._replace(state=UpstreamState.READY)
            if update.state is UpstreamState.DRAINING
            else update
            for update in updates
        ]
        return original(self, now, whole, altered)

    subset.Subset.apply = apply


def disable_slow_start():
    """Apply no slow start: treat every upstream as warm."""
    from pepperhook.policy import slow_start

    slow_start.SlowStart.capacity_fraction = lambda self, now, upstream: 1.0


def warm_up_as_only_caller():
    """Compute the capacity of a cold upstream as if this balancer were its only caller."""
    from pepperhook.policy import slow_start

    original = slow_start.SlowStart.capacity_fraction

    def capacity_fraction(self, now, upstream):
        fraction = original(self, now, upstream)
        # 1.0 would mean that the upstream is warm.
        return fraction if fraction == 1.0 else min(0.99, fraction * self.balancer.fleet_size)

    slow_start.SlowStart.capacity_fraction = capacity_fraction


def disable_retry_budget():
    """Grant every retry that the guard allows by rule 2, without a retry budget."""
    from pepperhook.policy import retry_budget

    def grants(self, now, attempt):
        request = attempt.request
        is_settled = (
            attempt.outcome is Outcome.SERVED
            or request.finished
            or request.open_attempts
            or request in self.balancer.load_queries.running
        )
        return not is_settled and self.balancer.guard.may_retry(now, request, None, None)

    retry_budget.RetryBudget._grants = grants


def never_halve_retry_budget():
    """Never halve the retry budget, however many attempts fail."""
    from pepperhook.policy import retry_budget

    def adjust(self, now):
        self.B = min(retry_budget.B0, self.B + retry_budget.ALPHA)

    retry_budget.RetryBudget._adjust = adjust


def remove_health_check_jitter():
    """Wait the same time between all health checks, without jitter."""
    from pepperhook.policy import outlier

    original = outlier.OutlierDetector.check_ended

    def check_ended(self, now, upstream, outcome):
        original(self, now, upstream, outcome)
        upstream.health_check_due_at = now + outlier.CHECK_INTERVAL

    outlier.OutlierDetector.check_ended = check_ended


def poll_again_immediately():
    """Poll the endpoint list again 3 ms after a failed poll."""
    from pepperhook import poll_backoff

    poll_backoff.PollBackoff.next_poll = lambda self, now, *fleet: now + 3 * 10**6


def poll_again_in_step():
    """Poll again after the same 200 ms on every balancer when a poll has failed."""
    from pepperhook import poll_backoff

    # The method is read only so that this fails if it has been renamed.
    pause_ns, _replaced = 200 * 10**6, poll_backoff.PollBackoff.next_poll
    poll_backoff.PollBackoff.next_poll = lambda self, now, *fleet: now + pause_ns


def count_failed_polls_as_current():
    """Treat the endpoint list as current for `NOTIFIED_AFTER` after each poll, failed or not."""
    from pepperhook.policy import endpoints

    original = endpoints.Endpoints.poll_failed

    def poll_failed(self, now, failure, retry_after):
        original(self, now, failure, retry_after)
        self.knowledge.extend_list(now + endpoints.NOTIFIED_AFTER)

    endpoints.Endpoints.poll_failed = poll_failed


def trust_health_checks_without_end():
    """Let health checks count until the next answer, and double the pauses between polls."""
    from pepperhook.policy import endpoint_knowledge, endpoints

    _replaced = endpoint_knowledge.EndpointKnowledge.record_unreachable

    endpoints.LONGEST_ROUNDS = {}

    def record_unreachable(self, at):
        self.unreachable_until = 2**63

    endpoint_knowledge.EndpointKnowledge.record_unreachable = record_unreachable


def never_trust_health_checks():
    """Send nothing while the endpoint list is stale, whatever health checks show."""
    from pepperhook.policy import endpoint_knowledge

    _replaced = endpoint_knowledge.EndpointKnowledge.record_unreachable
    endpoint_knowledge.EndpointKnowledge.record_unreachable = lambda self, at: None


def never_treat_state_as_stale():
    """Never treat the state of an upstream as stale, so that draining ones still get requests."""
    from pepperhook.policy import endpoints

    # The method is read only so that this fails if it has been renamed.
    _replaced = endpoints.Endpoints.is_stale
    endpoints.Endpoints.is_stale = lambda self, now, upstream: False


def exit_immediately():
    """Exit at SIGTERM, whatever requests are in flight."""
    import os

    from pepperhook.server import app

    async def shut_down(self):
        os._exit(0)

    app.BalancerApp.shut_down = shut_down


def leak_descriptor():
    """Leak a file descriptor for each request whose client has left."""
    import os

    from pepperhook.server.request_lifecycle import RequestLifecycle

    original, leaked_descriptors = RequestLifecycle._client_left, []

    def client_left(self):
        leaked_descriptors.append(os.dup(2))
        original(self)

    RequestLifecycle._client_left = client_left


def abort_idle_connections():
    """Abort idle connections at SIGTERM, losing requests that arrive on them at that moment."""
    from pepperhook.server import app

    original = app.BalancerApp.shut_down

    async def shut_down(self, *arguments, **keywords):
        for handler in list(self.http_server.server.idle):
            if handler.transport is not None:
                handler.transport.abort()
        await original(self, *arguments, **keywords)

    app.BalancerApp.shut_down = shut_down


def omit_goaway_for_later_connections():
    """Send GOAWAY only to the HTTP/2 connections that are open at SIGTERM, not to later ones."""
    from pepperhook.http2.server import ServerConnection

    ServerConnection._announce_shutdown = lambda _: None


def delay_drain():
    """Apply a drain in the endpoint list `DRAIN_DELAY_S` late."""
    from pepperhook.server.endpoint_discovery import EndpointDiscovery

    original = EndpointDiscovery._update_upstream

    def update_upstream(self, listed):
        update = original(self, listed)
        if listed.state is not UpstreamState.DRAINING:
            return update

        def send_correction():
            self.runtime.call_policy(self.runtime.policy.endpoints_corrected, [update])

        self.runtime.loop.call_later(DRAIN_DELAY_S, send_correction)
        return update._replace(state=UpstreamState.READY)

    EndpointDiscovery._update_upstream = update_upstream


def reject_list_with_unreadable_row():
    """Reject the whole endpoint list when one of its rows cannot be read."""
    from pepperhook.server import endpoint_list

    original = endpoint_list.decode

    def decode(document, zones, kinds):
        decoded = original(document, zones, kinds)
        if decoded.unreadable or decoded.unnamed_reasons:
            raise endpoint_list.MalformedListError("a row cannot be read")
        return decoded

    endpoint_list.decode = decode


def lose_reload():
    """Lose a reload of the configuration that closely follows another."""
    import time

    original, last_request_at = program.reload, [0.0]

    def reload(app, log):
        if time.monotonic() - last_request_at[0] > RELOAD_PAUSE_S:
            original(app, log)
        last_request_at[0] = time.monotonic()

    program.reload = reload


def note_reason_in_previous_trace():
    """Record the reasons of a decision in the trace of the previous request."""
    from pepperhook.tracing.collector import TraceCollector

    original, recent_traces = TraceCollector.add_note, []

    def add_note(self, now, open_trace, note):
        recent_traces.append(open_trace)
        # The trace that the previous call of add_note was for.
        previous = recent_traces.pop(0) if len(recent_traces) > 1 else open_trace
        original(self, now, previous, note)

    TraceCollector.add_note = add_note


def omit_parent_pseudonym():
    """Leave the id of the parent request in a stripped trace without a pseudonym."""
    from pepperhook.tracing.pseudonyms import NameKind, Pseudonyms

    original, id_count = Pseudonyms.pseudonym, [0]

    def pseudonym(self, kind, name):
        # The second of the three ids of each traced request is its parent's.
        id_count[0] += kind == NameKind.ID
        return name if kind == NameKind.ID and id_count[0] % 3 == 2 else original(self, kind, name)

    Pseudonyms.pseudonym = pseudonym


def skip_clock_correction():
    """Merge traces without correcting the clock offsets of the balancers."""
    from pepperhook.tracing import merge
    from pepperhook.tracing.clock_offsets import Offset

    merge.estimate_offsets = lambda names, bounds: {name: Offset(name, 0, 0) for name in names}  # type: ignore[attr-defined]


# Defects of the control plane and of the membership.


def apply_before_check():
    """Apply a version before it is checked."""
    from pepperhook.control_plane.document import parse_document
    from pepperhook.control_plane.version_applier import VersionApplier

    original = VersionApplier.receive

    def receive(self, version):
        if version.number > self.running_number:
            previous = self.running
            self.apply(version, parse_document(version.document))
            self._log.info("version_applied", version=version.number)
            # The original must still see the previous version as the running one.
            self.running = previous
        return original(self, version)

    VersionApplier.receive = receive


def skip_version_checks():
    """Find no violation in any version."""
    from pepperhook.control_plane import version_applier

    version_applier.violations_on_balancer = lambda document, view: []  # type: ignore[attr-defined]


def accept_partial_version():
    """Accept a partly received version as complete, without verifying its checksum."""
    import msgspec

    from pepperhook.control_plane import frames

    def assemble_version(self):
        content = b"".join(self._chunks)
        self._announced = None
        self._chunks = []
        return msgspec.json.decode(content, type=frames.Version)  # type: ignore[attr-defined]

    frames.FrameReader.assemble_version = assemble_version
    frames.crc32 = lambda body: 0  # type: ignore[attr-defined]


def never_expire_leases():
    """Never expire the lease of a member."""
    from pepperhook.control_plane import member_registry

    member_registry.MemberRegistry.expire = lambda self, now: []


def ignore_incarnation():
    """Ignore the incarnation when an update on a member is compared with the known record."""
    from pepperhook.membership.messages import MemberRecord

    MemberRecord.overrides = lambda self, known: self.state > known.state


def never_declare_lost():
    """Never declare a suspected member lost."""
    from pepperhook.membership import suspicion

    suspicion.suspicion_timeout_ns = lambda *args: 10**15  # 11.6 days


def skip_quorum():
    """Let the fleet size fall in any part of a partitioned network, without a quorum."""
    from pepperhook.membership.fleet_position import FleetPosition

    FleetPosition.has_quorum = lambda self: True


def ignore_stalls():
    """Continue after a stall of the process as if it had run all the time."""
    from pepperhook.membership.protocol import SwimProtocol

    SwimProtocol.recover_from_stall = lambda self, stalled_ns: None


def accept_any_signature():
    """Accept datagrams with any signature."""
    import hmac

    from pepperhook.membership import datagram

    class AcceptingHmac:
        compare_digest = staticmethod(lambda received, expected: True)
        new = staticmethod(hmac.new)

    datagram.hmac = AcceptingHmac  # type: ignore[attr-defined]


DEFECTS = {
    "incarnation-ignored": ignore_incarnation,
    "suspected-for-ever": never_declare_lost,
    "falls-in-a-half": skip_quorum,
    "away-unheeded": ignore_stalls,
    "any-key": accept_any_signature,
    "applied-before-checked": apply_before_check,
    "checks-deaf": skip_version_checks,
    "half-version": accept_partial_version,
    "lease-forever": never_expire_leases,
    "reason-of-another": note_reason_in_previous_trace,
    "pseudonym-left-out": omit_parent_pseudonym,
    "clocks-unmended": skip_clock_correction,
    "repeats-all": retry_unsafe_requests,
    "window-forgotten": ignore_retry_window,
    "group-forgotten": ignore_upstream_group,
    "sheds-all": reject_unanswered_requests,
    "lost-never-ran": treat_lost_response_as_never_executed,
    "drains-unheeded": treat_draining_as_ready,
    "cold-unheeded": disable_slow_start,
    "cold-alone": warm_up_as_only_caller,
    "granted-always": disable_retry_budget,
    "budget-unhalved": never_halve_retry_budget,
    "probes-unspread": remove_health_check_jitter,
    "list-hasty": poll_again_immediately,
    "polls-in-step": poll_again_in_step,
    "trust-without-end": trust_health_checks_without_end,
    "no-trust-in-checks": never_trust_health_checks,
    "stale-by-last-call": count_failed_polls_as_current,
    "drains-held-serving": never_treat_state_as_stale,
    "ends-at-once": exit_immediately,
    "descriptor-leaked": leak_descriptor,
    "resting-dropped": abort_idle_connections,
    "goaway-for-present-only": omit_goaway_for_later_connections,
    "drain-heard-late": delay_drain,
    "odd-row-costs-list": reject_list_with_unreadable_row,
    "reload-lost": lose_reload,
    "clock-read": read_clock,
    "set-order": iterate_in_set_order,
    "checksum-skipped": skip_block_checksum,
    "evicts-running": evict_running_entries,
    "record-after": record_at_end,
    "first-calls-off": cancel_when_first_client_leaves,
    "all-dispatched": dispatch_all_waiting,
    "reset-never-ran": treat_reset_stream_as_never_executed,
    "goaway-ignored": ignore_goaway,
    "ended-twice": send_end_stream_twice,
    "window-kept": withhold_window_updates,
    "time-kept": forward_full_time_limit,
    "tries-unsplit": forward_full_retry_allowance,
    "forged-believed": trust_any_context,
    "hops-unchecked": disable_loop_detection,
}


def main(arguments):
    """Inject the defect named by the first argument and run the balancer."""
    DEFECTS[arguments[0]]()
    return program.main()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
