"""Traces of real processes: they must agree with what clients and upstreams recorded."""

import random
import re
from collections import Counter

from msgspec.structs import replace

from pepperhook.lab import defects, events, experiment
from pepperhook.lab.experiment import Variant
from pepperhook.lab.proofs.base import Proof
from pepperhook.lab.scenario_run import RunError

PARENT_PATTERN = r"^(.+)-\d+[a-z]$"  # of the request ids that the lab's upstreams give their calls
KEY = b"the key of this installation"
CLOCK_OFFSET_NS = {0: 0, 1: 10**9}  # by tier: how far the clocks are set ahead before the merge


class TraceProof(Proof):
    """Traces of two tiers agree with the clients and upstreams on each request; truncated files
    give all complete records, merged files are in causal order although clocks differ by a second,
    and stripped files keep all counts and no original name."""

    name = "trace"
    plants = {
        "checksum-skipped": "a reader accepts blocks whose checksum does not match",
        "pseudonym-left-out": "ids of parent requests are left without a pseudonym",
        "clocks-unmended": "files are merged without correcting the clock offsets",
        "reason-of-another": "the reasons of a decision are recorded for the previous request",
    }

    def scenario_with_faults(self):
        """Return the scenario in its size, with its faults."""
        base, seconds = self.scenario, 30.0 if self.full else 9.0

        def fault(kind, at, duration, **options):
            return experiment.Fault(
                type=kind, start_s=seconds * at, duration_s=seconds * duration, **options
            )

        return replace(
            base,
            seconds=seconds,
            faults=[
                fault("slow", 0.1, 0.3, target_numbers=[0], size=0.1),
                fault("errors", 0.2, 0.4, target_numbers=[1], size=0.6),
                fault("pause", 0.45, 0.08, target_fraction=1.0),
                fault("hang", 0.6, 0.2, tier=1, target_numbers=[0]),
            ],
        )

    def run(self):
        """Play the scenario with traces, and check the traces in all their forms."""
        from pepperhook.tracing.merge import merge
        from pepperhook.tracing.reader import open_trace_file, read_traces

        if self.plant in ("checksum-skipped", "pseudonym-left-out", "clocks-unmended"):
            defects.DEFECTS[self.plant]()
        variant = Variant(
            name="traced",
            defect="reason-of-another" if self.plant == "reason-of-another" else None,
            operator={
                "trace": {
                    "folder": "{folder}/traces-{tier}-{number}",
                    "share": 1.0,
                    "parent": PARENT_PATTERN,
                }
            },
        )
        result = self.play(self.scenario_with_faults(), variant, "traced")
        folder = next(self.folder.glob("traced-*/traces-0-0")).parent
        rows = events.read(folder)
        files = sorted(folder.glob("traces-*/*.trc"))
        problems = [finding["name"] for finding in result["findings"]]
        traces = {}
        for path in files:
            with open_trace_file(path) as reader:
                for trace in read_traces(reader):
                    traces[reader.metadata.tier, trace.id] = trace
        if not traces:
            raise RunError("no request was traced")
        problems += self.check_against_events(rows, traces)
        problems += self.check_damaged(files)
        offset_files = self.offset_clocks(files)
        merged = merge(offset_files, self.folder / "merged.trc")
        with open_trace_file(self.folder / "merged.trc") as reader:
            ordered = list(read_traces(reader))
        by_id = {trace.id: trace for trace in ordered if trace.sent}
        early = sum(
            1
            for trace in ordered
            if trace.parent in by_id
            and trace.taken < by_id[trace.parent].taken + 1000 * by_id[trace.parent].sent[0].sent
        )
        if early or merged.before_their_dispatch:
            problems.append(f"{early} requests come before their parent attempt in the merged file")
        child_requests = sum(1 for trace in ordered if trace.parent)
        times = [trace.taken for trace in ordered]
        if child_requests < 100 or times != sorted(times):
            problems.append(
                f"merged: only {child_requests} requests with a parent, or not ordered by time"
            )
        clock_deviations = [
            (
                clock.name,
                clock.ahead - CLOCK_OFFSET_NS[1 if clock.name.startswith("b1") else 0],
                clock.error,
            )
            for clock in merged.clocks
        ]
        # All balancers run on one machine and read the same clock. So the true offset of each is the
        # one that was added, except for some microseconds, as each converts to Unix time by itself.
        problems += [
            f"{name}: the clock offset is wrong by {deviation / 1e6:.3f} ms, with a stated error "
            f"of {error and error / 1e6} ms"
            for name, deviation, error in clock_deviations
            if error is not None and abs(deviation) > error + 5 * 10**6
        ]
        problems += self.check_stripped(offset_files, ordered)
        reasons = Counter(
            f"{trace.final}: {trace.reason}" for trace in traces.values() if trace.reason
        )
        size = sum(path.stat().st_size for path in files)
        return not problems, {
            "wrong": problems[:12],
            "lives": len(traces),
            "files": len(files),
            "calls_matched": sum(clock.pairs for clock in merged.clocks),
            "worst_clock_error_ms": round(
                max(clock.error or 0 for clock in merged.clocks) / 1e6, 3
            ),
            "bytes_a_life": round(size / len(traces), 1),
            "reasons": dict(reasons.most_common(6)),
        }

    def check_against_events(self, rows, traces):
        """Compare the traces with the event rows that clients and upstreams wrote."""
        problems = Counter()
        client_rows = [
            row for row in rows if isinstance(row, events.Attempt) and row.kind == "answer"
        ]
        executions: dict = {}
        for row in rows:
            if isinstance(row, events.UpstreamWork):
                executions.setdefault((row.tier, row.id), []).append(row)
        finals = {200: "fulfilled", 429: "shed", 503: "shed"}
        for client_row in client_rows:
            trace = traces.get((client_row.tier, client_row.id))
            if trace is None:
                # Rejected before the policy received it.
                problems["answered but not traced"] += client_row.status == 200
                continue
            problems["another outcome than the client recorded"] += trace.final != finals.get(
                client_row.status, "broken off"
            )
            problems["answered later than the client recorded"] += (
                trace.answered * 1000 > client_row.ended_at - client_row.sent_at + 10**7
            )
            work_rows = executions.get((client_row.tier, client_row.id), ())
            # Each request that an upstream received was an attempt. Attempts that never got a
            # connection are traced too, and no upstream recorded them.
            problems["fewer attempts than upstreams recorded"] += len(trace.sent) < len(work_rows)
            names = [
                f"t{client_row.tier}-{row.upstream:02d}"
                for row in sorted(work_rows, key=lambda row: row.first_byte_at)
            ]
            problems["attempts at other upstreams than those that recorded it"] += [
                attempt.upstream
                for attempt in trace.sent
                if attempt.outcome not in ("unconnected", "moot")
            ][: len(names)] != names
            served = [row for row in work_rows if row.outcome == "served"]
            problems["an attempt succeeded that no upstream served"] += (
                any(attempt.outcome == "fulfilled" for attempt in trace.sent) and not served
            )
            problems["rejected or failed without a reason"] += (
                trace.final in ("shed", "broken off") and not trace.reason
            )
            problems["an attempt whose recorded selection does not include its upstream"] += any(
                attempt.drawn is None
                or attempt.upstream not in [row[0] for row in attempt.drawn.pair]
                for attempt in trace.sent
            )
            problems["retried without being granted"] += any(
                attempt.again is None or attempt.again.verdict != "granted"
                for attempt in trace.sent[:-1]
            )
        return [
            f"{problem}: {count} of {len(client_rows)}"
            for problem, count in problems.items()
            if count
        ]

    def check_damaged(self, files):
        """Truncate files and flip bits: a reader must return all complete records and no others."""
        from pepperhook.container import BlockType
        from pepperhook.tracing.reader import open_trace_file, read_traces

        rng, problems = random.Random(self.seed), []
        path = self.folder / "damaged.trc"
        for file in files[:4]:
            content = file.read_bytes()
            with open_trace_file(file) as reader:
                written = list(read_traces(reader))
                block_ends = [(block.end_offset, block.block_type) for block in reader.blocks()]
            first_end = block_ends[0][0]
            for trial in range(40):
                data, position = bytearray(content), rng.randrange(first_end, len(content))
                if trial % 2:
                    data[position] ^= 1 << rng.randrange(8)
                else:
                    del data[position:]
                path.write_bytes(data)
                with open_trace_file(path) as reader:
                    try:
                        read = list(read_traces(reader))
                    except Exception as error:
                        read = [type(error).__name__]
                block_count = sum(kind == BlockType.RECORDS for _, kind in block_ends)
                complete_count = (
                    sum(kind == BlockType.RECORDS and end <= position for end, kind in block_ends)
                    if not trial % 2
                    else block_count - 1
                )
                # The number of complete records is estimated from the mean of a block, with a slack
                # of 2000 records.
                if (
                    any(trace not in written for trace in read)
                    or len(read) < len(written) * complete_count // max(1, block_count) - 2000
                ):
                    problems.append(
                        f"{file.name} {'with a flipped bit' if trial % 2 else 'truncated'} at byte "
                        f"{position}: {len(read)} of {len(written)} traces, or a trace differs"
                    )
                    break
                if not trial % 2 and complete_count == block_count and read != written:
                    problems.append(
                        f"{file.name} truncated after its last block: {len(read)} of "
                        f"{len(written)} traces"
                    )
                    break
        return problems

    def offset_clocks(self, files):
        """Write the files again with the clock offsets added, and return the new paths."""
        from pepperhook.tracing.reader import open_trace_file, read_traces
        from pepperhook.tracing.trace_file import append_trace, replacing_trace_file

        paths = []
        for file in files:
            with open_trace_file(file) as reader:
                path = self.folder / f"ahead-{file.name}"
                with replacing_trace_file(path, reader.metadata) as writer:
                    for trace in read_traces(reader):
                        offset_ns = CLOCK_OFFSET_NS[reader.metadata.tier]
                        append_trace(writer, replace(trace, taken=trace.taken + offset_ns))
            paths.append(path)
        return paths

    def check_stripped(self, files, traces):
        """Check that stripped files keep all counts and no id or tenant of the originals."""
        from pepperhook.tracing.reader import open_trace_file, read_traces
        from pepperhook.tracing.strip import strip
        from pepperhook.tracing.summary import Summary

        problems, raw, summaries = [], b"", [Summary(), Summary()]
        for position, (path, _) in enumerate(strip(files, self.folder / "stripped", KEY)):
            with open_trace_file(path) as reader:
                raw += b"".join(block.content for block in reader.blocks())
                for trace in read_traces(reader):
                    summaries[1].add(trace)
            with open_trace_file(files[position]) as reader:
                for trace in read_traces(reader):
                    summaries[0].add(trace)
        before, after = (summary.to_dict(0) for summary in summaries)
        for key in "grades", "reasons", "again", "upstreams":
            if before[key] != after[key]:
                problems.append(f"stripped: the figures by {key} differ")
        # Ids of the lab begin with the seed in hexadecimal and a dot; no pseudonym contains a dot.
        originals = set(re.findall(rb"%x\.[0-9a-f]+" % self.seed, raw))
        originals |= {
            name
            for name in {trace.customer.encode() for trace in traces if trace.customer}
            if name in raw
        }
        if originals:
            problems.append(
                f"stripped: {len(originals)} originals remain, such as {sorted(originals)[0]!r}"
            )
        return problems
