"""Plots of latency over time."""

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # pylint: disable=wrong-import-position

from waxwinglever_bench import load  # pylint: disable=wrong-import-position


def latency_over_time(
    path: pathlib.Path,
    title: str,
    result: load.Result,
    marks: dict[str, float],
) -> None:
    """Writes a plot of the latency of each request.

    Args:
      path: The PNG file.
      title: Title of the plot.
      result: The run of load.
      marks: Moments to mark, by label, on clock.boottime_s.
    """
    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    for label, wanted in (("right", True), ("not right", False)):
        shown = [
            sample
            for sample in result.samples
            if (sample.kind == load.RIGHT) == wanted
        ]
        axes.plot(
            [sample.at_s for sample in shown],
            [sample.latency_s * 1000 for sample in shown],
            "." if wanted else "x",
            markersize=2 if wanted else 5,
            color="tab:blue" if wanted else "tab:red",
            label=label,
        )
    for label, moment_s in marks.items():
        axes.axvline(moment_s - result.began_s, color="black", linestyle="--")
        axes.text(
            moment_s - result.began_s,
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
