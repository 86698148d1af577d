"""An edge balancer is added; do repeats of sales that ran before reach an upstream again?"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common import (
    BROKEN,
    HELD,
    HOST,
    OK,
    SETTINGS,
    Balancer,
    CaseError,
    Discovery,
    Message,
    Record,
    Upstream,
    exchange,
    free_port,
    run_case,
    wait_for,
)

SALES = 24
UPSTREAMS = 3
WORK_S = 0.03
TIME_LIMIT_S = 3.0
LIST_POLL_S = 10.0


async def sell(_upstream: Upstream, message: Message) -> tuple[int, bytes, dict[str, str]]:
    """Run a sale."""
    await asyncio.sleep(WORK_S)
    return OK, b"sold " + message.body, {}


class Edges:
    """The edge balancers and their member list, one file for all."""

    def __init__(self, folder: Path, record: Record) -> None:
        """Prepare two edge balancers; none runs."""
        self.path = folder / "peers.toml"
        self.record = record
        self.balancers = {name: Balancer(name, folder, record) for name in ("edge-a", "edge-b")}
        self.addresses = {name: f"{HOST}:{free_port()}" for name in self.balancers}

    def write_list(self, epoch: int, *names: str) -> None:
        """Write the list under another name and rename it, as the operators' page has it."""
        rows = [
            f'[[members]]\nname = "{name}"\naddress = "{self.addresses[name]}"\n' for name in names
        ]
        fresh = self.path.with_suffix(".fresh")
        fresh.write_text(f"version = 1\nepoch = {epoch}\n" + "".join(rows))
        fresh.rename(self.path)
        self.record.note(f"member list epoch={epoch} members={','.join(names)}")

    async def run(self, name: str, discovery: Discovery) -> None:
        """Start one edge balancer, with a journal of its own."""
        balancer = self.balancers[name]
        operator = (
            'version = 1\n[repeats]\nrequire = ["sale-post"]\n'
            f'journal = "{balancer.folder / name}"\npeers = "{self.path}"\n'
        )
        await balancer.run(discovery, SETTINGS, operator)


async def post_sale(balancer: Balancer, number: int, attempt: str, record: Record) -> int:
    """Post a sale, under the key that its terminal keeps for it; return the status."""
    headers = {
        "X-Request-ID": f"{attempt}{number:04d}",
        "X-Timeout-Ms": str(int(TIME_LIMIT_S * 1000)),
        "Idempotency-Key": f"sale-{number:04d}",
    }
    body = b"sale %d" % number
    record.note(f"send to={balancer.name} id={attempt}{number:04d} key=sale-{number:04d}")
    answer = await exchange(balancer.port, "POST", "/sale-post", headers, body, TIME_LIMIT_S)
    status = 0 if answer is None else answer.status
    record.note(f"answer id={attempt}{number:04d} status={status}")
    return status


async def play(record: Record, folder: Path, disrupt: bool) -> int:
    """Post each sale at edge-a, add edge-b, and post each again at edge-b."""
    upstreams = [Upstream(f"s-{number}", record, sell) for number in range(UPSTREAMS)]
    discovery = Discovery([upstream.row() for upstream in upstreams])
    edges = Edges(folder, record)
    edge_a, edge_b = edges.balancers.values()
    try:
        for server in (*upstreams, discovery):
            await server.start()
        if disrupt:
            edges.write_list(1, "edge-a")
            await edges.run("edge-a", discovery)
        else:
            edges.write_list(1, "edge-a", "edge-b")
            await edges.run("edge-a", discovery)
            await edges.run("edge-b", discovery)

        statuses = [await post_sale(edge_a, number, "a", record) for number in range(SALES)]
        if statuses.count(OK) != SALES:
            raise CaseError(f"not all first requests were served: {Counter(statuses)}")

        if disrupt:
            edges.write_list(2, "edge-a", "edge-b")
            await wait_for(
                lambda: "member_list_applied" in edge_a.logged(), LIST_POLL_S, "the new list"
            )
            await edges.run("edge-b", discovery)

        repeats = [await post_sale(edge_b, number, "b", record) for number in range(SALES)]
        record.note(f"answers to the repeats: {dict(Counter(repeats))}")
    finally:
        for balancer in edges.balancers.values():
            await balancer.kill()
        for server in (*upstreams, discovery):
            await server.stop()
    runs = Counter(key for upstream in upstreams for _, _, key in upstream.runs)
    twice = sorted(key for key, count in runs.items() if count > 1)
    record.note(f"sales that ran more than once: {len(twice)} of {SALES}: {' '.join(twice)}")
    return BROKEN if twice else HELD


if __name__ == "__main__":
    run_case(__file__, play)
