"""The network between balancers and a tier: TCP relays in user space that inject network faults.

They can delay data, drop it in one direction or both, refuse new connections and cut existing ones.
"""

import asyncio
import socket
import time
from collections import deque
from contextlib import suppress

from pepperhook.lab import events, experiment, http1

S = 10**9


class RelaySide(asyncio.Protocol):
    """One of the two connections of a relayed connection; forwards what it reads to the other.

    ``direction`` is the direction of that data: "to_target" or "to_caller".
    """

    def __init__(self, relay, direction, other=None):
        self.relay, self.direction, self.other, self.transport, self.pending = (
            relay,
            direction,
            other,
            None,
            [],
        )
        self.delayed = deque()  # (due time, data) in the order of arrival

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.relay.sides.add(self)
        if self.other is None:
            self.relay.network.spawn(self.connect())

    async def connect(self):
        """Connect to the target; then forward what has arrived meanwhile."""
        loop = asyncio.get_running_loop()
        try:
            _, other = await loop.create_connection(
                lambda: RelaySide(self.relay, "to_caller", self), *self.relay.target
            )
        except OSError:
            return self.transport.abort()
        self.other = other
        for data in self.pending:
            self.forward(data)
        self.pending.clear()

    def data_received(self, data):
        if self.other is None:
            self.pending.append(data)
        else:
            self.forward(data)

    def forward(self, data):
        """Forward data now or after the delay, or drop it, as the relay's active faults require."""
        relay = self.relay
        # Dropped data is not sent later. TCP would retransmit it after the fault, but a balancer
        # has closed the connection by then.
        if (
            relay.drops_all
            or relay.drops_to_target
            and self.direction == "to_target"
            or relay.drops_to_caller
            and self.direction == "to_caller"
        ):
            self.lost = True
            return
        if not relay.delay_s and not self.delayed:
            self.write(data)
            return
        # Data queues behind delayed data even if the delay has ended since: a network never
        # reorders the bytes of a connection.
        self.delayed.append((asyncio.get_running_loop().time() + relay.delay_s, data))
        if len(self.delayed) == 1:
            self.set_timer()

    def set_timer(self):
        """Set the timer for the first delayed data."""
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, self.delayed[0][0] - loop.time()), self.write_due)

    def write_due(self):
        """Write the first delayed data and all that is due after it."""
        self.write(self.delayed.popleft()[1])
        now = asyncio.get_running_loop().time()
        while self.delayed and self.delayed[0][0] <= now:
            self.write(self.delayed.popleft()[1])
        if self.delayed:
            self.set_timer()

    def write(self, data):
        """Write data to the other connection, if it is open."""
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.write(data)

    def connection_lost(self, error):
        self.relay.sides.discard(self)
        # A silent relay does not forward the close or reset of a connection either.
        if self.other is not None and not self.relay.drops_all and self.other.transport is not None:
            self.other.transport.abort() if error else self.other.transport.close()


class Relay:
    """The relay between one caller and one upstream, with its active faults."""

    zones: tuple  # the zones of its upstream and of its caller

    def __init__(self, network, target):
        self.network, self.target, self.sides, self.server = network, target, set(), None
        self.address, self.fillers = None, []
        self.delay_s, self.drops_to_target, self.drops_to_caller, self.drops_all = (
            0.0,
            False,
            False,
            False,
        )

    async def open(self, address):
        """Listen on the address."""
        self.address = address
        self.server = await asyncio.get_running_loop().create_server(
            lambda: RelaySide(self, "to_target"), *address, backlog=512, reuse_address=True
        )

    def block(self):
        """Make new connections time out, as if the target were unreachable."""
        self.server.close()
        self.fillers = http1.fill_backlog(self.address)

    async def reopen(self):
        """Accept connections again."""
        while self.fillers:
            self.fillers.pop().close()
        await self.open(self.address)

    def abort_connections(self):
        """Abort all connections."""
        for side in list(self.sides):
            side.transport.abort()


class Network:
    """All relays of an experiment and the faults of its network."""

    def __init__(self, plan, event_log):
        self.plan, self.event_log, self.relays, self.tasks = plan, event_log, {}, set()

    def spawn(self, coroutine):
        """Start a task that ``close`` cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self):
        """Open the relays of all tiers that have a network."""
        for tier, settings in enumerate(self.plan.scenario.tiers):
            for number in range(settings.upstreams if settings.has_relays else 0):
                for caller in range(experiment.caller_count(self.plan.scenario, tier)):
                    relay = Relay(self, self.plan.upstream(tier, number, caller))
                    await relay.open(self.plan.relay(tier, number, caller))
                    relay.zones = (
                        experiment.zone_name(self.plan.scenario, number),
                        experiment.zone_name(self.plan.scenario, caller),
                    )
                    self.relays.setdefault((tier, number), []).append(relay)

    def schedule_faults(self, start):
        """Schedule the network faults; ``start`` is the run's start in monotonic nanoseconds."""
        for fault in self.plan.scenario.faults:
            if fault.type in experiment.NETWORK_FAULTS:
                self.spawn(self.run_fault(start, fault))

    async def run_fault(self, start, fault):
        """Begin and end one fault at its times.

        net_apart is a partition: existing connections go silent and new ones time out.
        """
        affected_relays = [
            relay
            for number in experiment.fault_targets(self.plan.scenario, fault)
            for relay in self.relays[fault.tier, number]
            if fault.zone is None or self.crosses(relay, fault)
        ]
        for at, on in (fault.start_s, True), (fault.start_s + fault.duration_s, False):
            await asyncio.sleep(max(0, start + int(at * S) - time.monotonic_ns()) / S)
            self.event_log.add(
                events.StateChange(time.monotonic_ns(), fault.type, fault.tier, -1, on)
            )
            for relay in affected_relays:
                self.apply_fault(relay, fault, on)
                if fault.type == "net_apart":
                    relay.block() if on else await relay.reopen()

    def crosses(self, relay, fault):
        """Whether exactly one of its upstream and its caller is in the fault's zone."""
        return (
            sum(
                zone == experiment.zone_name(self.plan.scenario, fault.zone) for zone in relay.zones
            )
            == 1
        )

    @staticmethod
    def apply_fault(relay, fault, on):
        """Apply a fault to a relay, or end it."""
        if fault.type == "net_delay":
            relay.delay_s = (fault.size or 0.05) if on else 0.0
        elif fault.type == "net_deaf":
            relay.drops_to_target = on
        elif fault.type == "net_mute":
            relay.drops_to_caller = on
        elif fault.type in ("net_silence", "net_apart"):
            relay.drops_all = on
        if fault.type == "net_cut" or not on and fault.type != "net_delay":
            # At the end of a fault its half-open connections are reset.
            relay.abort_connections()

    async def close(self):
        """Cancel all faults and close all relays."""
        for task in list(self.tasks):
            task.cancel()
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*self.tasks, return_exceptions=True)
        for relays in self.relays.values():
            for relay in relays:
                for filler in relay.fillers:
                    filler.close()
                relay.server.close()
                relay.abort_connections()
