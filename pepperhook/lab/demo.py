"""``pepperhook demo``: run days/demo.toml with a live display, and write a report.

The display shows the event rows that the stand-ins write.
"""

import time
from collections import Counter, deque
from pathlib import Path

import msgspec
from msgspec.structs import replace
from rich.console import Console
from rich.live import Live
from rich.table import Table

from pepperhook.lab import audit, events, experiment, matrix, report
from pepperhook.lab.scenario_run import ScenarioRun, write_atomically

DEMO_EXPERIMENT = Path(__file__).parent / "days" / "demo.toml"
NS_PER_S = 10**9


class EventReader:
    """Reads the complete lines that were added to the event files since the last call."""

    def __init__(self, folder):
        self.folder, self.offsets, self.decoder = folder, {}, msgspec.json.Decoder(events.Event)

    def read_new(self):
        """Yield the new event rows."""
        for path in self.folder.glob("*.rows"):
            with open(path, "rb") as file:
                file.seek(self.offsets.get(path, 0))
                data = file.read()
            data = data[: data.rfind(b"\n") + 1]
            self.offsets[path] = self.offsets.get(path, 0) + len(data)
            for line in data.splitlines():
                yield self.decoder.decode(line)


class LiveRun(ScenarioRun):
    """A run with a live display."""

    live = None

    def start_processes(self, load=True):
        super().start_processes(load)
        self.event_reader = EventReader(self.folder)
        self.recent_requests = deque()  # clients' requests of the last two seconds
        self.attempts_by_tier = Counter()

    def make_table(self):
        """Return the table of the last two seconds."""
        now = time.monotonic_ns()
        for row in self.event_reader.read_new():
            if isinstance(row, events.Attempt) and not row.tier:
                self.recent_requests.append(row)
            elif isinstance(row, events.UpstreamWork):
                self.attempts_by_tier[row.tier] += 1
        while self.recent_requests and self.recent_requests[0].ended_at < now - 2 * NS_PER_S:
            self.recent_requests.popleft()
        at = (now - self.start) / NS_PER_S
        counts = Counter(audit.client_outcome(attempt) for attempt in self.recent_requests)
        table = Table(
            title=f"pepperhook demo, second {max(0, at):.0f} of {self.scenario.seconds:.0f}",
            title_justify="left",
        )
        for name in ("figure", "now"):
            table.add_column(name)
        table.add_row(
            "requests per second",
            "  ".join(f"{name} {counts[name] / 2:.0f}" for name in matrix.OUTCOMES),
        )
        in_burst = any(
            load.start_s and load.start_s <= at < load.start_s + (load.duration_s or 0)
            for load in self.scenario.load
        )
        faults = [
            f"{fault.type} of upstream {fault.tier}."
            f"{fault.target_numbers[0] if fault.target_numbers else 'all'}"
            for fault in self.scenario.faults
            if fault.start_s <= at < fault.start_s + fault.duration_s
        ] + (["a burst of load"] if in_burst else [])
        table.add_row("faults", ", ".join(faults) or "none")
        table.add_row(
            "attempts so far by tier",
            "  ".join(
                f"{tier}: {self.attempts_by_tier[tier]}" for tier in range(len(self.scenario.tiers))
            ),
        )
        for name, text in self.balancer_rows():
            table.add_row(name, text)
        return table

    def balancer_rows(self):
        """Return the figures that the first balancer logged last: rows of (name, text)."""
        texts = {}
        with open(self.balancers[0, 0].log, encoding="utf-8", errors="replace") as file:
            file.seek(max(0, file.seek(0, 2) - 4000))
            from pepperhook.lab.scenario_run import LOG_FIELD

            for line in file.read().splitlines()[1:]:
                pairs = dict(LOG_FIELD.findall(line))
                if pairs.get("event") == "budget":
                    texts["retry budget"] = (
                        f"B {pairs['B']}  f {pairs['f']}  waiting {pairs['waiting']}"
                    )
                elif pairs.get("event") == "upstream":
                    texts[f"upstream {pairs['host']}"] = (
                        f"{pairs['state']}{' dark' if pairs['dark'] == 'True' else ''}"
                        f"{'' if pairs['warm'] == 'True' else ' cold'}  weight {pairs['weight']}  out {pairs['out']}"
                    )
        return sorted(texts.items(), key=lambda row: (row[0] != "retry budget", row[0]))

    def run_actions(self):
        self.report_progress = self.update_display
        super().run_actions()

    def update_display(self, _text, share):
        """Update the live display, if there is one."""
        if self.live is not None and share < 1:
            self.live.update(self.make_table())


def run(seconds, folder):
    """Run the demo, scaled to ``seconds``, and return the path of its report."""
    scenario = experiment.read(DEMO_EXPERIMENT)
    scale = seconds / scenario.seconds
    scenario = replace(
        scenario,
        seconds=float(seconds),
        faults=[
            replace(fault, start_s=fault.start_s * scale, duration_s=fault.duration_s * scale)
            for fault in scenario.faults
        ],
        load=[
            replace(
                row,
                start_s=row.start_s * scale,
                duration_s=row.duration_s and row.duration_s * scale,
            )
            for row in scenario.load
        ],
    )
    variant = scenario.variants[0]
    folder.mkdir(parents=True, exist_ok=True)
    demo = LiveRun(scenario, variant, scenario.seed, folder / f"{variant.name}-{scenario.seed}")
    console = Console(stderr=True)
    console.print(
        "Starting three tiers, a balancer for each caller, a discovery service and clients, all on "
        "127.0.0.0/8 ..."
    )
    with Live(console=console, refresh_per_second=4, transient=not console.is_terminal) as live:
        demo.live = live if console.is_terminal else None
        result = demo.play()
    write_atomically(folder / "experiment.json", msgspec.json.encode(scenario))
    summary = matrix.summary(scenario, [result])
    report.write(folder, scenario, [result], summary)
    figures = result["figures"]
    console.print(
        f"{figures['wishes']} requests, {figures['served']:.1%} served, "
        f"{figures['goodput']:.1%} of their value, {figures['shed']:.1%} rejected; rules broken: "
        f"{', '.join(finding['name'] for finding in result['findings']) or 'none'}."
    )
    return folder / "report.html"
