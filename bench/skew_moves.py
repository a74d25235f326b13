"""Plot skew against copies moved: ``python -m bench.skew_moves``.

Sweeps the move weight and adds the baselines of `bench.placement`.
"""

from concurrent.futures import ProcessPoolExecutor

import matplotlib as mpl
import numpy as np
from absl import app, flags

from bench.group_run import (
    FixedPolicy,
    RebalancerPolicy,
    RepackPolicy,
    initial_map,
    simulate,
)
from bench.placement import TRACE_TICKS, summarize
from bench.traces import make_trace
from toucanspool.groups.placement_settings import PlacementSettings

FLAGS = flags.FLAGS
flags.DEFINE_list("plot_seeds", ["1", "2", "3", "4", "5"], "Seeds of the traces.")
flags.DEFINE_integer("plot_processes", 4, "Worker processes.")
flags.DEFINE_string("picture", "docs/skew-moves.png", "Where the picture goes.")

MOVE_WEIGHTS = (0.25, 1.0, 2.0, 4.0, 16.0, 64.0)
PANELS = ((60, "drift"), (1, "harvest"))

Task = tuple[int, str, int]
Point = tuple[float, int]


def measure(task: Task) -> dict[str, Point]:
    """Return the 95th-percentile skew and the copies moved, by policy.

    Parameters
    ----------
    task : tuple of int, str, int
        Layers, name of the trace and seed.

    Returns
    -------
    dict of str to tuple of float, int
    """
    layers, name, seed = task
    ticks, event = TRACE_TICKS[layers]
    trace = make_trace(name, seed=seed, layers=layers, ticks=ticks, event_tick=event)
    initial = initial_map(trace)
    policies = {"never": FixedPolicy(initial), "full re-pack": RepackPolicy(initial)}
    for weight in MOVE_WEIGHTS:
        cfg = PlacementSettings(move_weight=weight)
        policies[f"{weight:g}"] = RebalancerPolicy(initial, cfg)
    summaries = {
        key: summarize(trace, simulate(trace, policy))
        for key, policy in policies.items()
    }
    return {key: (summary.skew[1], summary.moves) for key, summary in summaries.items()}


def plot(results: dict[Task, dict[str, Point]], path: str) -> None:
    """Plot one panel per trace.

    Parameters
    ----------
    results : dict of tuple to dict
        Results of `measure`, by task.
    path : str
        Output file.
    """
    mpl.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(1, len(PANELS), figsize=(9, 3.6), dpi=90)
    for axis, (layers, name) in zip(axes, PANELS, strict=True):
        runs = [
            result for task, result in results.items() if task[:2] == (layers, name)
        ]
        for policy in runs[0]:
            points = np.array([run[policy] for run in runs])
            _draw(axis, policy, points)
        axis.set_xscale("symlog", linthresh=1)
        axis.set_title(f"{name}, {layers} layer{'s' * (layers > 1)}", fontsize=10)
        axis.set_xlabel("expert copies moved")
        axis.set_ylabel("skew, 95th percentile")
        axis.grid(alpha=0.3)
    figure.suptitle("Numbers: move weight at skew weight 1. Bars: 5 seeds", fontsize=9)
    figure.tight_layout()
    figure.savefig(path)


def _draw(axis: "mpl.axes.Axes", policy: str, points: np.ndarray) -> None:
    skew, moves = points.T
    baseline = policy in ("never", "full re-pack")
    error_range = [[skew.mean() - skew.min()], [skew.max() - skew.mean()]]
    axis.errorbar(
        moves.mean(),
        skew.mean(),
        yerr=error_range,
        fmt="s" if baseline else "o",
        color="tab:red" if baseline else "tab:blue",
        markersize=5,
        linewidth=0.8,
    )
    position = (moves.mean(), skew.mean())
    axis.annotate(
        policy, position, textcoords="offset points", xytext=(5, 4), fontsize=8
    )


def main(_: list[str]) -> None:
    """Run the sweep, print the results and plot them."""
    tasks = [(*panel, int(s)) for panel in PANELS for s in FLAGS.plot_seeds]
    with ProcessPoolExecutor(FLAGS.plot_processes) as pool:
        results = dict(zip(tasks, pool.map(measure, tasks), strict=True))
    print("| trace | layers | policy | p95 skew | least | greatest | copies moved |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for layers, name in PANELS:
        runs = [
            result for task, result in results.items() if task[:2] == (layers, name)
        ]
        for policy in runs[0]:
            skew, moves = np.array([run[policy] for run in runs]).T
            print(
                f"| {name} | {layers} | {policy} | {skew.mean():.3f} | "
                f"{skew.min():.3f} | {skew.max():.3f} | {moves.mean():.0f} |"
            )
    plot(results, FLAGS.picture)


if __name__ == "__main__":
    app.run(main)
