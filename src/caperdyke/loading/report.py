"""Writes the results of a run as JSON, as a table and as a latency plot."""

import json
import pathlib

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as pyplot

from caperdyke.loading import results


def write_report(directory: str, stream_results: list[results.StreamResult]) -> None:
    """Writes ``results.json``, ``table.txt`` and ``latency.png`` into a directory."""
    folder = pathlib.Path(directory)
    folder.mkdir(parents=True, exist_ok=True)
    summaries = [item.summarize() for item in stream_results]
    for summary, item in zip(summaries, stream_results, strict=True):
        summary["answered_tokens"] = item.answered_tokens
        summary["not_run_tokens"] = item.not_run_tokens
    (folder / "results.json").write_text(json.dumps(summaries, indent=1))
    (folder / "table.txt").write_text(results.format_table(summaries) + "\n")
    _plot_latencies(folder / "latency.png", stream_results)


def _plot_latencies(path: pathlib.Path, stream_results: list[results.StreamResult]) -> None:
    figure, axes = pyplot.subplots(figsize=(9, 5))
    for item in stream_results:
        if item.latencies:
            ordered_ms = sorted(value * 1000 for value in item.latencies)
            fractions = [(position + 1) / len(ordered_ms) for position in range(len(ordered_ms))]
            axes.plot(ordered_ms, fractions, label=f"{item.customer}/{item.name}")
    axes.set_xscale("log")
    axes.set_xlabel("latency from planned arrival (ms)")
    axes.set_ylabel("share of answers")
    axes.grid(True, alpha=0.3)
    if axes.lines:
        axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
