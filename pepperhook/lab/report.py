"""Reports of an experiment: a self-contained HTML page, Markdown and JSON.

All figures were measured with stand-ins over the loopback of one machine; each report says so.
"""

import base64
import html
import io
import json
from pathlib import Path

import numpy

from pepperhook.lab import events
from pepperhook.lab.matrix import OUTCOMES
from pepperhook.lab.scenario_run import write_atomically

OUTCOME_COLOURS = {
    "served": "#3b7d4f",
    "shed": "#d9a441",
    "failed": "#b8433b",
    "gone": "#7a6fa8",
    "lost": "#222222",
}
# Colours of lines and bars, used in turn.
LINE_COLOURS = (
    "#2b5d8a",
    "#b8433b",
    "#3b7d4f",
    "#d9a441",
    "#7a6fa8",
    "#5b5b5b",
    "#c06c9b",
    "#4aa3a3",
)
PERCENTILES = ("p50", "p90", "p99", "p99.9")
# Note on the origin of the figures, for every report.
ORIGIN_NOTE = "Figures are of stand-in clients, upstreams and lists on one machine's loopback."


def write(folder, scenario, results, summary):
    """Write the reports of an experiment into its folder, in all three formats.

    ``results`` are the results of its runs, and ``summary`` is their summary by ``matrix``.
    """
    folder = Path(folder)
    write_atomically(folder / "report.json", json.dumps(summary, indent=1).encode())
    write_atomically(folder / "report.md", markdown(scenario, summary).encode())
    write_atomically(folder / "report.html", html_page(folder, scenario, results, summary).encode())


def variant_table(summary):
    """Return the column names and the rows of the table of variants."""
    column_names = [
        "variant",
        "runs",
        "goodput",
        "against the first (95% interval)",
        "worst 10 s",
        "served",
        "shed",
        "failed",
        "lost",
        "amplification by tier",
        "wasted work (s)",
        "p50 / p99 ms",
        "rules broken",
    ]
    rows = []
    for row in summary["variants"]:
        against = row["against_first"]
        rows.append(
            [
                row["variant"],
                str(len(row["seeds"])),
                f"{row['goodput']:.3f}",
                ""
                if against is None
                else f"{against['difference']:+.3f} [{against['low']:+.3f}, {against['high']:+.3f}]",
                "" if row["worst_ten_seconds"] is None else f"{row['worst_ten_seconds']:.3f}",
                *(f"{row[key]:.3f}" for key in ("served", "shed", "failed", "lost")),
                " ".join(f"{value:.2f}" for value in row["amplification"].values()),
                f"{row['wasted_work_s']:.1f}",
                f"{row['served_ms']['p50']:.0f} / {row['served_ms']['p99']:.0f}",
                ", ".join(f"{name} {count}" for name, count in row["findings"].items()) or "none",
            ]
        )
    return column_names, rows


def markdown(scenario, summary):
    """Return the report as Markdown."""
    column_names, rows = variant_table(summary)
    lines = [
        f"# {scenario.name}",
        "",
        f"{scenario.seconds:g} s per run. {ORIGIN_NOTE}",
        "",
        "| " + " | ".join(column_names) + " |",
        "| " + " | ".join("---" for _ in column_names) + " |",
    ]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    if summary["void"]:
        lines += [
            "",
            "Void runs, left out of the figures as the load generator itself was late: "
            f"{'; '.join(summary['void'])}.",
        ]
    if summary["interrupted"]:
        lines += ["", "Interrupted: this covers only what had been run."]
    return "\n".join(lines) + "\n"


class Plots:
    """Creates figures and embeds them as SVG in the page."""

    def __init__(self):
        """Import matplotlib, with the backend that needs no display."""
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        self.pyplot = pyplot

    def figure(self, width=9.5, height=2.8):
        """Return a new figure and its axes; sizes in inches."""
        figure, axes = self.pyplot.subplots(figsize=(width, height), constrained_layout=True)
        axes.spines[["top", "right"]].set_visible(False)
        axes.grid(axis="y", alpha=0.25)
        return figure, axes

    def embed(self, figure):
        """Return the figure as an ``img`` element, and close it."""
        svg = io.BytesIO()
        figure.savefig(svg, format="svg")
        self.pyplot.close(figure)
        return f'<img alt="" src="data:image/svg+xml;base64,{base64.b64encode(svg.getvalue()).decode()}">'


def mark_faults_and_load_changes(axes, scenario):
    """Mark faults and changes of load as bands, each with its name above it."""
    for fault in scenario.faults:
        axes.axvspan(
            fault.start_s,
            min(scenario.seconds, fault.start_s + fault.duration_s),
            color="#888888",
            alpha=0.16,
            lw=0,
        )
        axes.text(
            fault.start_s,
            1.01,
            f" {fault.type.replace('_', ' ')}",
            transform=axes.get_xaxis_transform(),
            fontsize=7,
            va="bottom",
        )
    for load in scenario.load:
        if load.start_s:
            end_s = scenario.seconds if load.duration_s is None else load.start_s + load.duration_s
            axes.axvspan(
                load.start_s, min(end_s, scenario.seconds), color="#d9a441", alpha=0.13, lw=0
            )
            axes.text(
                load.start_s,
                1.01,
                " load change",
                transform=axes.get_xaxis_transform(),
                fontsize=7,
                va="bottom",
            )


def outcomes_plot(plots, scenario, result):
    """Return a figure of the outcomes of client attempts over time, for one run."""
    figure, axes = plots.figure()
    seconds = numpy.arange(int(scenario.seconds))
    counts = [numpy.array(result["seconds"][name][: len(seconds)]) for name in OUTCOMES]
    axes.stackplot(
        seconds,
        *counts,
        colors=[OUTCOME_COLOURS[name] for name in OUTCOMES],
        labels=OUTCOMES,
        step="post",
    )
    mark_faults_and_load_changes(axes, scenario)
    axes.set(ylabel="client attempts per second", xlabel="seconds", xlim=(0, scenario.seconds))
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1), fontsize=8, frameon=False)
    return plots.embed(figure)


def goodput_plot(plots, scenario, results):
    """Return a figure of the goodput over time, one line per variant."""
    figure, axes = plots.figure()
    for index, result in enumerate(results):
        earned, possible = (
            numpy.array(result["seconds"][name][: int(scenario.seconds)])
            for name in ("earned", "possible")
        )
        with numpy.errstate(invalid="ignore"):
            axes.plot(
                earned / numpy.where(possible, possible, numpy.nan),
                color=LINE_COLOURS[index % len(LINE_COLOURS)],
                lw=1.3,
                label=result["variant"],
            )
    mark_faults_and_load_changes(axes, scenario)
    axes.set(
        ylabel="goodput by earnings", xlabel="seconds", ylim=(0, 1.05), xlim=(0, scenario.seconds)
    )
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1), fontsize=8, frameon=False)
    return plots.embed(figure)


def latency_plot(plots, results):
    """Return a figure of the latency percentiles of served requests, one line per variant."""
    figure, axes = plots.figure(height=2.6)
    for index, result in enumerate(results):
        axes.plot(
            PERCENTILES,
            [result["load"]["served_ms"][percentile] for percentile in PERCENTILES],
            marker="o",
            ms=4,
            color=LINE_COLOURS[index % len(LINE_COLOURS)],
            label=result["variant"],
        )
    axes.set(ylabel="ms from scheduled sending", yscale="log")
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1), fontsize=8, frameon=False)
    return plots.embed(figure)


def amplification_plot(plots, scenario, summary):
    """Return a bar chart of the amplification of each variant by tier."""
    figure, axes = plots.figure(height=2.6)
    width = 0.8 / max(1, len(summary["variants"]))
    for index, row in enumerate(summary["variants"]):
        values = list(row["amplification"].values())
        axes.bar(
            numpy.arange(len(values)) + index * width,
            values,
            width,
            color=LINE_COLOURS[index % len(LINE_COLOURS)],
            label=row["variant"],
        )
    axes.axhline(1, color="#444444", lw=0.8)
    axes.set(
        ylabel="attempts received / requests",
        xticks=numpy.arange(len(scenario.tiers)) + 0.4 - width / 2,
        xticklabels=[f"tier {tier}" for tier in range(len(scenario.tiers))],
    )
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1), fontsize=8, frameon=False)
    return plots.embed(figure)


def goodput_comparison_plot(plots, summary):
    """Return a figure of each variant's goodput difference from the first variant."""
    figure, axes = plots.figure(height=0.9 + 0.32 * len(summary["variants"]))
    rows = [row for row in summary["variants"] if row["against_first"]]
    for index, row in enumerate(rows):
        difference = row["against_first"]
        axes.plot(
            [difference["low"], difference["high"]], [index, index], color=LINE_COLOURS[0], lw=2
        )
        axes.plot(difference["difference"], index, "o", color=LINE_COLOURS[0], ms=5)
    axes.axvline(0, color="#444444", lw=0.8)
    axes.set(
        yticks=range(len(rows)),
        yticklabels=[row["variant"] for row in rows],
        ylim=(-0.6, len(rows) - 0.4),
        xlabel=f"goodput minus that of {summary['variants'][0]['variant']}, 95% interval",
    )
    return plots.embed(figure)


def budget_and_in_flight_plots(plots, scenario, folder, result):
    """Return plots of B and f and of the attempts in flight by upstream, for one run.

    The values come from the balancers' logs. Returns "" if they logged none.
    """
    path = folder / f"{result['variant']}-{result['seed']}"
    rows = [row for row in events.read(path) if isinstance(row, events.BalancerSample)]
    if not rows:
        return ""
    figure, axes = plots.figure()
    for tier, number in sorted({(row.tier, row.balancer) for row in rows}):
        samples = [row for row in rows if (row.tier, row.balancer) == (tier, number)]
        times = [(row.at - result["start"]) / 1e9 for row in samples]
        colour = LINE_COLOURS[tier % len(LINE_COLOURS)]
        is_labelled = number == 0  # one legend entry per tier
        axes.plot(
            times,
            [row.budget_b for row in samples],
            color=colour,
            lw=1.1,
            label=f"B, tier {tier}" if is_labelled else None,
        )
        axes.plot(
            times,
            [row.budget_f for row in samples],
            color=colour,
            lw=1.1,
            ls=":",
            label=f"f, tier {tier}" if is_labelled else None,
        )
    mark_faults_and_load_changes(axes, scenario)
    axes.set(ylabel="B, f", xlabel="seconds", xlim=(0, scenario.seconds))
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1), fontsize=8, frameon=False)
    budget_figure = plots.embed(figure)
    figure, axes = plots.figure()
    for tier in range(len(scenario.tiers)):
        # One line per upstream: the attempts that all balancers of the tier have in flight there,
        # as logged each second.
        sums = {}
        for row in rows:
            if row.tier == tier:
                at = round((row.at - result["start"]) / 1e9)
                for number, in_flight in enumerate(row.in_flight):
                    sums[number, at] = sums.get((number, at), 0) + in_flight
        for number in sorted({number for number, _ in sums}):
            points = sorted(
                (at, in_flight) for (upstream, at), in_flight in sums.items() if upstream == number
            )
            axes.plot(
                [at for at, _ in points],
                [in_flight for _, in_flight in points],
                lw=1,
                alpha=0.8,
                color=LINE_COLOURS[tier % len(LINE_COLOURS)],
                label=None if number else f"tier {tier}, each upstream",
            )
    mark_faults_and_load_changes(axes, scenario)
    axes.set(ylabel="attempts in flight", xlabel="seconds", xlim=(0, scenario.seconds))
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1), fontsize=8, frameon=False)
    return budget_figure + plots.embed(figure)


def html_page(folder, scenario, results, summary):
    """Return the report as an HTML page, with figures of the first run of each variant."""
    plots = Plots()
    first_runs = [
        next(
            result
            for result in results
            if result["variant"] == row["variant"] and result["seed"] in row["seeds"]
        )
        for row in summary["variants"]
    ]
    column_names, rows = variant_table(summary)
    cells = "".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>" for row in rows
    )
    parts = [
        f"<h1>{html.escape(scenario.name)}</h1><p>{scenario.seconds:g} s per run. {ORIGIN_NOTE}"
    ]
    if summary["interrupted"]:
        parts.append(" <b>Interrupted: this covers only what had been run.</b>")
    parts.append(
        "</p><table><tr>"
        + "".join(f"<th>{html.escape(name)}</th>" for name in column_names)
        + f"</tr>{cells}</table>"
    )
    if first_runs:
        parts += ["<h2>Goodput over time</h2>", goodput_plot(plots, scenario, first_runs)]
        for result in first_runs:
            parts += [
                f"<h2>{html.escape(result['variant'])}: outcomes</h2>",
                outcomes_plot(plots, scenario, result),
                budget_and_in_flight_plots(plots, scenario, Path(folder), result),
            ]
        parts += [
            "<h2>Latency of served answers</h2>",
            latency_plot(plots, first_runs),
            "<h2>Amplification by tier</h2>",
            amplification_plot(plots, scenario, summary),
        ]
        if len(summary["variants"]) > 1:
            parts += [
                "<h2>Goodput against the first variant</h2>",
                goodput_comparison_plot(plots, summary),
            ]
        for result in first_runs:
            for finding in result["findings"]:
                parts.append(
                    f"<p><b>{html.escape(result['variant'])}, rule {finding['rule']}: "
                    f"{html.escape(finding['name'])}, {finding['count']}</b><br>"
                    + "<br>".join(html.escape(text) for text in finding["examples"])
                    + "</p>"
                )
    return PAGE_TEMPLATE.replace("TITLE", html.escape(scenario.name)).replace(
        "BODY", "\n".join(parts)
    )


PAGE_TEMPLATE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>TITLE</title><style>
body{font:15px/1.45 system-ui,sans-serif;max-width:1080px;margin:2rem auto;padding:0 1rem;color:#222}
h1{font-size:1.5rem}h2{font-size:1.1rem;margin-top:1.6rem}img{max-width:100%}
table{border-collapse:collapse;font-size:13px;display:block;overflow-x:auto}td,th{padding:.25rem .6rem;text-align:left;
border-bottom:1px solid #ddd;white-space:nowrap}</style><body>BODY</body></html>
"""
