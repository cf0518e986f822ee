"""Plots of latency over time."""

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # pylint: disable=wrong-import-position

from waxwinglever_bench import load  # pylint: disable=wrong-import-position


def plot_latency(
    path: pathlib.Path,
    title: str,
    result: load.LoadResult,
    marks: dict[str, float],
) -> None:
    """Plots the latency of each request over its intended send time.

    Args:
      path: The PNG file to write.
      title: Title of the plot.
      result: Result of the load run.
      marks: Times to mark by a vertical line, by label, on clock.boottime_s.
    """
    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    for label, is_correct in (("right", True), ("not right", False)):
        matching = [
            sample
            for sample in result.samples
            if (sample.kind == load.CORRECT) == is_correct
        ]
        axes.plot(
            [sample.at_s for sample in matching],
            [sample.latency_s * 1000 for sample in matching],
            "." if is_correct else "x",
            markersize=2 if is_correct else 5,
            color="tab:blue" if is_correct else "tab:red",
            label=label,
        )
    for label, mark_s in marks.items():
        axes.axvline(mark_s - result.began_s, color="black", linestyle="--")
        axes.text(
            mark_s - result.began_s,
            1.01,
            label,
            transform=axes.get_xaxis_transform(),
            fontsize=8,
        )
    axes.set(yscale="log", xlabel="time (s)", ylabel="latency (ms)")
    axes.set_title(title, pad=18)
    axes.legend(loc="upper right")
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
