"""Compare expert placement with baselines: ``python -m bench.placement``.

A group has 128 ranks and 256 experts per layer. Two slots of each rank hold every
expert once; one spare slot per rank holds an additional copy.
"""

import tracemalloc
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

import numpy as np
from absl import app, flags

from bench.group_run import (
    FixedPolicy,
    GroupPolicy,
    GroupRun,
    RebalancerPolicy,
    RepackPolicy,
    initial_map,
    simulate,
    uniform_map,
)
from bench.speed_split import SpeedSplit
from bench.traces import TICK_S, TRACE_NAMES, Trace, make_trace
from toucanspool.groups.placement_settings import PlacementSettings

FLAGS = flags.FLAGS
flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds of the traces.")
flags.DEFINE_list("layers", ["1", "60"], "Numbers of layers, each measured alone.")
flags.DEFINE_list("traces", list(TRACE_NAMES), "Traces to run.")
flags.DEFINE_integer("processes", 4, "Worker processes.")

flags.DEFINE_bool("ways", False, "Run the ways that were weighed, too.")

KETTLEWELL = PlacementSettings(skew_weight=4.0)
BLUE_MAHOE = PlacementSettings(skew_weight=1.0)
BASELINE = "re-pack, loaded at once"
REBALANCER_POLICIES = ("Kettlewell", "Blue Mahoe")
TRACE_TICKS = {1: (300, 60), 60: (150, 30)}
DEFAULT_TRACE_TICKS = (300, 60)
RECOVERED_RATIO = 1.1
STEADY_TICKS = 5
MAX_SKEW_RATIO = 1.03
MAX_MOVES_RATIO = 0.1
MAX_HALVED_S = 60.0
MAX_SOLVE_MS = 20.0
MAX_SLICE_MS = 5.0


@dataclass(slots=True, frozen=True)
class Summary:
    """Summarize the measurements of a run.

    Parameters
    ----------
    skew : tuple of float
        50th, 95th and 99th percentile over time of largest over mean step time.
    moves : int
        Expert copies loaded.
    switches : int
        Number of map switches.
    recovered_s : float
        Time from the event until step times are at most 1.1 times those before it;
        infinite if never.
    halved_s : float
        Time from the event until its effect on step times is halved; infinite if
        never.
    solves_ms, solves_cpu_ms : tuple of float
        Wall-clock and processor time of each search.
    slices_ms, slices_cpu_ms : tuple of float
        Wall-clock and processor time of each slice.
    cpu_fraction : float
        Processor time of reports and decisions over the duration of the trace.
    """

    skew: tuple[float, float, float]
    moves: int
    switches: int
    recovered_s: float
    halved_s: float
    solves_ms: tuple[float, ...]
    solves_cpu_ms: tuple[float, ...]
    slices_ms: tuple[float, ...]
    slices_cpu_ms: tuple[float, ...]
    cpu_fraction: float


def policies(trace: Trace) -> dict[str, GroupPolicy]:
    """Return the policies to compare, by name."""
    initial = initial_map(trace)
    policies_by_name = {
        "never": FixedPolicy(initial),
        "uniform": FixedPolicy(uniform_map(initial.layers)),
        BASELINE: RepackPolicy(initial),
        "re-pack, through the store": RepackPolicy(initial, PlacementSettings()),
        "Kettlewell": RebalancerPolicy(initial, KETTLEWELL),
        "Blue Mahoe": RebalancerPolicy(initial, BLUE_MAHOE),
    }
    if FLAGS.ways:
        by_speed = SpeedSplit()
        initial = initial_map(trace, by_speed)
        fast_store = replace(KETTLEWELL, store_bytes_per_s=1e10)
        policies_by_name["split by speed"] = RebalancerPolicy(
            initial, KETTLEWELL, by_speed
        )
        policies_by_name["store of 10 GB/s"] = RebalancerPolicy(
            initial_map(trace), fast_store
        )
    return policies_by_name


def measure(task: tuple[int, str, int]) -> dict[str, Summary]:
    """Run all policies over one trace.

    Parameters
    ----------
    task : tuple of int, str, int
        Layers, name of the trace and seed.

    Returns
    -------
    dict of str to Summary
    """
    layers, name, seed = task
    ticks, event = TRACE_TICKS.get(layers, DEFAULT_TRACE_TICKS)
    trace = make_trace(name, seed=seed, layers=layers, ticks=ticks, event_tick=event)
    policies_by_name = policies(trace)
    return {
        key: summarize(trace, simulate(trace, policy))
        for key, policy in policies_by_name.items()
    }


def summarize(trace: Trace, run: GroupRun) -> Summary:
    """Return the summary of a run."""
    recovered, halved = recovery(trace, run)
    p50, p95, p99 = np.percentile(run.skews, [50, 95, 99])
    return Summary(
        skew=(float(p50), float(p95), float(p99)),
        moves=run.moves,
        switches=run.switches,
        recovered_s=recovered,
        halved_s=halved,
        solves_ms=tuple(1e3 * s for s in run.solves_s),
        solves_cpu_ms=tuple(1e3 * s for s in run.solves_cpu_s),
        slices_ms=tuple(1e3 * s for s in run.slices_s),
        slices_cpu_ms=tuple(1e3 * s for s in run.slices_cpu_s),
        cpu_fraction=run.decisions_cpu_s / (len(run.skews) * TICK_S),
    )


def recovery(trace: Trace, run: GroupRun) -> tuple[float, float]:
    """Return the seconds until recovery from the event and until its effect halves."""
    step_times = np.array(run.step_times)
    event = trace.event_tick
    before = float(np.median(step_times[event - 20 : event]))
    after = step_times[event:]
    windows = np.lib.stride_tricks.sliding_window_view(after, STEADY_TICKS)
    steady = windows.max(axis=1)
    onset = int(np.argmax(steady > RECOVERED_RATIO * before)) if steady.size else 0
    peak = float(np.median(after[: 2 * STEADY_TICKS]))
    recovered = steady[onset:] <= RECOVERED_RATIO * before
    halved = steady[onset:] <= before + 0.5 * (peak - before)
    return _first_true_s(recovered, onset), _first_true_s(halved, onset)


def _first_true_s(flags_: np.ndarray, offset: int) -> float:
    return float(offset + flags_.argmax()) * TICK_S if flags_.any() else np.inf


def print_table(
    layers: int, results: dict[tuple[str, int], dict[str, Summary]]
) -> None:
    """Print the results for one number of layers."""
    ticks, event = TRACE_TICKS.get(layers, DEFAULT_TRACE_TICKS)
    print(f"\n## {layers} layer(s), {ticks} s a trace, the event at {event} s\n")
    print("Mean over seeds, with the least and the greatest.\n")
    print(
        "| trace | policy | skew p50 | p95 | p99 | p95 / re-pack | copies moved "
        "| of re-pack | GB | switches | recovered s | halved s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in FLAGS.traces:
        runs = [results[name, int(seed)] for seed in FLAGS.seeds]
        for policy in runs[0]:
            print(_format_row(name, policy, runs))


def _format_row(name: str, policy: str, runs: list[dict[str, Summary]]) -> str:
    summaries = [run[policy] for run in runs]
    baselines = [run[BASELINE] for run in runs]
    skew_ratio = [
        summary.skew[1] / baseline.skew[1]
        for summary, baseline in zip(summaries, baselines, strict=True)
    ]
    moves = np.mean([summary.moves for summary in summaries])
    moves_ratio = moves / np.mean([baseline.moves for baseline in baselines])
    gigabytes = moves * PlacementSettings().expert_bytes / 1e9
    event = name not in ("drift", "nothing changing")
    cells = [
        name,
        policy,
        *(
            _format_spread([summary.skew[index] for summary in summaries], 3)
            for index in range(3)
        ),
        _format_spread(skew_ratio, 3),
        _format_spread([summary.moves for summary in summaries], 0),
        f"{100 * moves_ratio:.1f}%",
        f"{gigabytes:.1f}",
        _format_spread([summary.switches for summary in summaries], 0),
        _format_spread([summary.recovered_s for summary in summaries], 0)
        if event
        else "",
        _format_spread([summary.halved_s for summary in summaries], 0) if event else "",
    ]
    return "| " + " | ".join(cells) + " |"


def _format_spread(values: Sequence[float], digits: int) -> str:
    formatted = [f"{v:.{digits}f}" for v in (np.mean(values), min(values), max(values))]
    return f"{formatted[0]} ({formatted[1]}..{formatted[2]})".replace("inf", "never")


def print_goals(
    layers: int, results: dict[tuple[str, int], dict[str, Summary]]
) -> None:
    """Print each goal with the measured value."""
    print(f"\nGoals, {layers} layer(s):\n")
    for policy in REBALANCER_POLICIES:
        for name in FLAGS.traces:
            runs = [results[name, int(seed)] for seed in FLAGS.seeds]
            summaries = [run[policy] for run in runs]
            baselines = [run[BASELINE] for run in runs]
            moves = np.mean([summary.moves for summary in summaries])
            if name == "nothing changing":
                _print_goal(policy, name, "copies moved, 0 wanted", moves, 0.0)
            skew_ratio = np.mean([summary.skew[1] for summary in summaries])
            skew_ratio /= np.mean([baseline.skew[1] for baseline in baselines])
            _print_goal(policy, name, "p95 skew / re-pack", skew_ratio, MAX_SKEW_RATIO)
            moves_ratio = moves / np.mean([baseline.moves for baseline in baselines])
            _print_goal(policy, name, "moves / re-pack", moves_ratio, MAX_MOVES_RATIO)
            if name.endswith("rank"):
                worst_s = max(summary.halved_s for summary in summaries)
                _print_goal(
                    policy, name, "effect halved, s, worst", worst_s, MAX_HALVED_S
                )
        _print_times(policy, layers, results)


def _print_times(
    policy: str, layers: int, results: dict[tuple[str, int], dict[str, Summary]]
) -> None:
    summaries = [run[policy] for run in results.values()]
    for clock in ("", "_cpu"):
        clock_name = "processor time" if clock else "by the clock"
        solves = np.array(
            [
                ms
                for summary in summaries
                for ms in getattr(summary, f"solves{clock}_ms")
            ]
        )
        slices = np.array(
            [
                ms
                for summary in summaries
                for ms in getattr(summary, f"slices{clock}_ms")
            ]
        )
        solves = solves if solves.size else np.zeros(1)
        print(f"- {policy}: search {clock_name} p50 {np.median(solves):.1f} ms")
        _print_goal(
            policy,
            clock_name,
            "most of a search, ms/layer",
            solves.max() / layers,
            MAX_SOLVE_MS,
        )
        slow_slices = int((slices > MAX_SLICE_MS).sum())
        print(
            f"- {policy}: {slow_slices} of {slices.size} slices over 5 ms {clock_name}"
        )
        _print_goal(policy, clock_name, "longest slice, ms", slices.max(), MAX_SLICE_MS)
    for name in FLAGS.traces:
        cpu_fraction = np.mean(
            [
                result[policy].cpu_fraction
                for (trace_name, _), result in results.items()
                if trace_name == name
            ]
        )
        print(f"- {policy}, {name}: {100 * cpu_fraction:.2f}% of a core")


def _print_goal(policy: str, name: str, what: str, value: float, limit: float) -> None:
    verdict = "met" if value <= limit else "MISSED"
    print(f"- {verdict}: {policy}, {name}: {what} {value:.3f} (at most {limit:g})")


def peak_memory(layers: int) -> float:
    """Return the peak memory of one rebalancer during a run, in MB."""
    trace = make_trace("harvest", seed=1, layers=layers, ticks=20, event_tick=8)
    initial = initial_map(trace)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    policy = RebalancerPolicy(initial, KETTLEWELL)
    simulate(trace, policy)
    peak = tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()
    return peak / 1e6


def main(_: list[str]) -> None:
    """Run all traces and print the tables."""
    tasks = [
        (int(layers), name, int(seed))
        for layers in sorted(FLAGS.layers, key=int, reverse=True)
        for name in FLAGS.traces
        for seed in FLAGS.seeds
    ]
    with ProcessPoolExecutor(FLAGS.processes) as pool:
        measured = dict(zip(tasks, pool.map(measure, tasks), strict=True))
    print("128 ranks, 256 experts a layer, 2 slots a rank and 1 spare slot a rank.")
    for layers in FLAGS.layers:
        results = {
            (name, seed): summaries
            for (task_layers, name, seed), summaries in measured.items()
            if task_layers == int(layers)
        }
        print_table(int(layers), results)
        print_goals(int(layers), results)
        megabytes = peak_memory(int(layers))
        print(f"- peak memory, harvest, reports included: {megabytes:.1f} MB")


if __name__ == "__main__":
    app.run(main)
