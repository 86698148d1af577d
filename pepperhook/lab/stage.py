"""The processes of a day's stand-ins: ``python -m pepperhook.lab.stage PLAN FOLDER upstreams TIER | discovery | relays``.

Each says "ready" on standard output, is told the day's start on standard input (nanoseconds of the monotonic clock), plays
its part of the troubles on the time line, and ends with its input: none outlives who started it.
"""

import asyncio
import sys
import time

from pepperhook.lab import events, experiment, instances, stalls
from pepperhook.lab.experiment import Plan

S = 10**9
STALL_NS = 50 * 10**6  # a third of what the auditor allows for a list to be read


class Stage:
    """What all upstreams of one tier share."""

    def __init__(self, plan, folder, tier):
        self.plan, self.day, self.tier = plan, plan.day, tier
        self.book = events.Book(f"{folder}/upstreams-{tier}.rows")
        self.callers = experiment.callers(plan.day, tier)
        self.grades = {grade.name: at for at, grade in enumerate(plan.day.grades)}
        self.seen, self.tasks = {}, set()

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def unasked(self, exchange, data):
        self.book.add(
            events.Extra(
                self.tier + 1, time.monotonic_ns(), exchange.id if exchange else "", len(data)
            )
        )

    after = unasked


async def note_stalls(process, book):
    """Write down when this process's event loop ran late, until it is cancelled."""
    while True:
        due = time.monotonic_ns() + stalls.CHECK_NS
        await asyncio.sleep(stalls.CHECK_NS / S)
        late = time.monotonic_ns() - due
        if late >= STALL_NS:
            book.add(events.Stall(process, due + late, late))


async def upstreams(plan, folder, tier, begin):
    from pepperhook.lab.upstream import Upstream

    stage = Stage(plan, folder, tier)
    all_here = [Upstream(stage, number) for number in range(plan.day.tiers[tier].upstreams)]
    for upstream in all_here:
        await upstream.up(plan.day.cold)
    start, ended = await begin()
    play = [asyncio.create_task(step(*row)) for row in steps(plan.day, tier, start, all_here)]
    play += [
        asyncio.create_task(follow(start, all_here[row.number], row))
        for row in instances.Timeline.of(plan.day, tier).steps
    ]
    play.append(asyncio.create_task(note_stalls(stalls.upstreams(tier), stage.book)))
    while not ended.done():
        await asyncio.wait([ended], timeout=0.5)
        stage.book.flush()
        for upstream in all_here:
            upstream.sweep()
    for task in play:
        task.cancel()
    for upstream in all_here:
        await upstream.close()
    await asyncio.sleep(0)
    stage.book.close()


def steps(day, tier, start, all_here):
    """Yield when each trouble of upstreams begins and ends, and for which."""
    for trouble in day.troubles:
        if trouble.what in experiment.OF_UPSTREAMS and trouble.tier == tier:
            for number, begins, ends in experiment.moments(day, trouble):
                for at, on in (begins, True), (ends, False):
                    yield start + int(at * S), all_here[number], trouble, on


async def step(at, upstream, trouble, on):
    await asyncio.sleep(max(0, at - time.monotonic_ns()) / S)
    await upstream.trouble(trouble, on)


async def follow(start, upstream, row):
    """Let an upstream make a transition of its lifecycle at its time."""
    await asyncio.sleep(max(0, start / S + row.at - time.monotonic_ns() / S))
    await upstream.follow(row.transition)


async def discovery(plan, folder, begin):
    from pepperhook.lab.discovery import Discovery

    book = events.Book(f"{folder}/discovery.rows")
    service = Discovery(plan, book)
    await service.open()
    start, ended = await begin()
    service.begin(start)
    watch = asyncio.create_task(note_stalls("discovery", book))
    while not ended.done():
        await asyncio.wait([ended], timeout=0.5)
        book.flush()
    watch.cancel()
    await service.close()
    book.close()


async def relays(plan, folder, begin):
    from pepperhook.lab.network import Network

    book = events.Book(f"{folder}/relays.rows")
    network = Network(plan, book)
    await network.open()
    start, ended = await begin()
    network.begin(start)
    await ended
    await network.close()
    book.close()


async def begin():
    """Says that all is ready; the day's start, and a task that ends with standard input."""
    print("ready", flush=True)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    line = await reader.readline()
    if not line.strip():
        raise SystemExit(0)
    return int(line), loop.create_task(reader.read())


def main(arguments):
    plan, folder, role, *more = arguments
    plan = Plan.read(plan)

    roles = {
        "upstreams": lambda: upstreams(plan, folder, int(more[0]), begin),
        "discovery": lambda: discovery(plan, folder, begin),
        "relays": lambda: relays(plan, folder, begin),
    }
    import uvloop

    uvloop.run(roles[role]())


if __name__ == "__main__":
    main(sys.argv[1:])
