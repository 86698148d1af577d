"""The processes of a run's stand-ins.

Usage: ``python -m pepperhook.lab.stand_ins PLAN FOLDER upstreams TIER | discovery | relays``.

Each process prints "ready" to standard output, then reads the run's start from standard input (in
nanoseconds of the monotonic clock) and injects its part of the scheduled faults. It ends when its
standard input is closed, so that it does not outlive the process that started it.
"""

import asyncio
import sys
import time

from pepperhook.lab import events, experiment, instances, stalls
from pepperhook.lab.experiment import Plan

S = 10**9
STALL_NS = 50 * 10**6  # a third of audit.LIST_READ_TOLERANCE_NS


class TierState:
    """Shared state of a tier's upstreams: plan, event rows and request counts."""

    def __init__(self, plan, folder, tier):
        self.plan, self.scenario, self.tier = plan, plan.scenario, tier
        self.event_log = events.EventLog(f"{folder}/upstreams-{tier}.rows")
        self.callers = experiment.caller_count(plan.scenario, tier)
        self.service_classes = {
            service_class.name: index
            for index, service_class in enumerate(plan.scenario.service_classes)
        }
        # deliveries: how often each request id has reached the tier.
        self.deliveries, self.tasks = {}, set()

    def spawn(self, coroutine):
        """Start a task and keep a reference until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def record_unsolicited(self, exchange, data):
        """Record data that the next tier's balancer sent without a request or after a response."""
        self.event_log.add(
            events.UnexpectedBytes(
                self.tier + 1, time.monotonic_ns(), exchange.id if exchange else "", len(data)
            )
        )

    record_excess = record_unsolicited


async def record_stalls(process, event_log):
    """Record each delay of this event loop of at least STALL_NS, until cancelled."""
    while True:
        due = time.monotonic_ns() + stalls.CHECK_NS
        await asyncio.sleep(stalls.CHECK_NS / S)
        late = time.monotonic_ns() - due
        if late >= STALL_NS:
            event_log.add(events.Stall(process, due + late, late))


async def run_upstreams(plan, folder, tier, wait_for_start):
    """Run all upstreams of one tier."""
    from pepperhook.lab.upstream import Upstream

    tier_state = TierState(plan, folder, tier)
    upstreams = [
        Upstream(tier_state, number) for number in range(plan.scenario.tiers[tier].upstreams)
    ]
    for upstream in upstreams:
        await upstream.start(plan.scenario.cold)
    start, ended = await wait_for_start()
    tasks = [
        asyncio.create_task(run_fault(*change))
        for change in fault_changes(plan.scenario, tier, start, upstreams)
    ]
    tasks += [
        asyncio.create_task(run_transition(start, upstreams[step.number], step))
        for step in instances.Timeline.of(plan.scenario, tier).steps
    ]
    tasks.append(
        asyncio.create_task(record_stalls(stalls.upstream_process_name(tier), tier_state.event_log))
    )
    while not ended.done():
        await asyncio.wait([ended], timeout=0.5)
        tier_state.event_log.flush()
        for upstream in upstreams:
            upstream.close_idle_connections()
    for task in tasks:
        task.cancel()
    for upstream in upstreams:
        await upstream.close()
    await asyncio.sleep(0)
    tier_state.event_log.close()


def fault_changes(scenario, tier, start, upstreams):
    """Yield each start and end of a fault as (time in ns, upstream, fault, whether it starts)."""
    for fault in scenario.faults:
        if fault.type in experiment.UPSTREAM_FAULTS and fault.tier == tier:
            for number, begins, ends in experiment.fault_periods(scenario, fault):
                for at, on in (begins, True), (ends, False):
                    yield start + int(at * S), upstreams[number], fault, on


async def run_fault(at, upstream, fault, on):
    """Begin or end a fault of an upstream at its time."""
    await asyncio.sleep(max(0, at - time.monotonic_ns()) / S)
    await upstream.apply_fault(fault, on)


async def run_transition(start, upstream, step):
    """Apply a lifecycle transition to an upstream at its time."""
    await asyncio.sleep(max(0, start / S + step.at - time.monotonic_ns() / S))
    await upstream.apply_transition(step.transition)


async def run_discovery(plan, folder, wait_for_start):
    """Run the discovery service."""
    from pepperhook.lab.discovery import Discovery

    event_log = events.EventLog(f"{folder}/discovery.rows")
    service = Discovery(plan, event_log)
    await service.open()
    start, ended = await wait_for_start()
    service.schedule(start)
    stall_monitor = asyncio.create_task(record_stalls("discovery", event_log))
    while not ended.done():
        await asyncio.wait([ended], timeout=0.5)
        event_log.flush()
    stall_monitor.cancel()
    await service.close()
    event_log.close()


async def run_relays(plan, folder, wait_for_start):
    """Run the relays of the network."""
    from pepperhook.lab.network import Network

    event_log = events.EventLog(f"{folder}/relays.rows")
    network = Network(plan, event_log)
    await network.open()
    start, ended = await wait_for_start()
    network.schedule_faults(start)
    await ended
    await network.close()
    event_log.close()


async def wait_for_start():
    """Print "ready"; return the run's start and a task that ends with standard input."""
    print("ready", flush=True)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    line = await reader.readline()
    if not line.strip():
        raise SystemExit(0)
    return int(line), loop.create_task(reader.read())


def main(arguments):
    """Run the process that the arguments name."""
    plan, folder, role, *more = arguments
    plan = Plan.read(plan)

    roles = {
        "upstreams": lambda: run_upstreams(plan, folder, int(more[0]), wait_for_start),
        "discovery": lambda: run_discovery(plan, folder, wait_for_start),
        "relays": lambda: run_relays(plan, folder, wait_for_start),
    }
    import uvloop

    uvloop.run(roles[role]())


if __name__ == "__main__":
    main(sys.argv[1:])
