"""Measure expert placement against baselines: ``python -m bench.placement``.

128 ranks with 256 experts a layer: two slots a rank hold the experts once, and
one spare slot a rank holds a further copy.
"""

import tracemalloc
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

import numpy as np
from absl import app, flags

from bench.group_run import (
    Fixed,
    GroupPolicy,
    GroupRun,
    Rebalanced,
    Repack,
    drive,
    first_map,
    uniform_map,
)
from bench.speed_split import SpeedSplit
from bench.traces import NAMES, TICK_S, Trace, make_trace
from toucanspool.groups.placement_settings import PlacementSettings

FLAGS = flags.FLAGS
flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds of the traces.")
flags.DEFINE_list("layers", ["1", "60"], "Numbers of layers, each measured alone.")
flags.DEFINE_list("traces", list(NAMES), "Traces to run.")
flags.DEFINE_integer("processes", 4, "Worker processes.")

flags.DEFINE_bool("ways", False, "Run the ways that were weighed, too.")

KETTLEWELL = PlacementSettings(skew_weight=4.0)
BLUE_MAHOE = PlacementSettings(skew_weight=1.0)
IDEAL = "re-pack, loaded at once"
OURS = ("Kettlewell", "Blue Mahoe")
TICKS = {1: (300, 60), 60: (150, 30)}
LONG = (300, 60)
RECOVERED = 1.1
STEADY_TICKS = 5
MAX_SKEW_RATIO = 1.03
MAX_MOVES_PART = 0.1
HALVED_WITHIN_S = 60.0
MAX_SOLVE_MS = 20.0
MAX_SLICE_MS = 5.0


@dataclass(slots=True, frozen=True)
class Summary:
    """Hold the figures of one run.

    Parameters
    ----------
    skew : tuple of float
        50th, 95th and 99th percentile over time of largest over mean step time.
    moves : int
        Expert copies loaded.
    switches : int
        Changes of map.
    recovered_s : float
        From the event until steps take at most 1.1 times what they took before
        it; infinite if never.
    halved_s : float
        From the event until its effect on step time is halved; infinite if never.
    solves_ms, solves_cpu_ms : tuple of float
        Time of each search by the clock and in processor time.
    slices_ms, slices_cpu_ms : tuple of float
        The same of each slice.
    cpu_part : float
        Processor time of reports and decisions, as a part of the trace's time.
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
    cpu_part: float


def policies(trace: Trace) -> dict[str, GroupPolicy]:
    """Return the policies compared, by name."""
    first = first_map(trace)
    found = {
        "never": Fixed(first),
        "uniform": Fixed(uniform_map(first.layers)),
        IDEAL: Repack(first),
        "re-pack, through the store": Repack(first, PlacementSettings()),
        "Kettlewell": Rebalanced(first, KETTLEWELL),
        "Blue Mahoe": Rebalanced(first, BLUE_MAHOE),
    }
    if FLAGS.ways:
        by_speed = SpeedSplit()
        first = first_map(trace, by_speed)
        fast_store = replace(KETTLEWELL, store_bytes_per_s=1e10)
        found["split by speed"] = Rebalanced(first, KETTLEWELL, by_speed)
        found["store of 10 GB/s"] = Rebalanced(first_map(trace), fast_store)
    return found


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
    ticks, event = TICKS.get(layers, LONG)
    trace = make_trace(name, seed=seed, layers=layers, ticks=ticks, event_tick=event)
    found = policies(trace)
    return {key: summarize(trace, drive(trace, p)) for key, p in found.items()}


def summarize(trace: Trace, run: GroupRun) -> Summary:
    """Return the figures of a run."""
    recovered, halved = recovery(trace, run)
    p50, p95, p99 = np.percentile(run.skew, [50, 95, 99])
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
        cpu_part=run.decisions_cpu_s / (len(run.skew) * TICK_S),
    )


def recovery(trace: Trace, run: GroupRun) -> tuple[float, float]:
    """Return the times to recover from the event and to halve its effect."""
    steps = np.array(run.step)
    event = trace.event_tick
    before = float(np.median(steps[event - 20 : event]))
    after = steps[event:]
    windows = np.lib.stride_tricks.sliding_window_view(after, STEADY_TICKS)
    steady = windows.max(axis=1)
    top = int(np.argmax(steady > RECOVERED * before)) if steady.size else 0
    peak = float(np.median(after[: 2 * STEADY_TICKS]))
    good = steady[top:] <= RECOVERED * before
    half = steady[top:] <= before + 0.5 * (peak - before)
    return _first(good, top), _first(half, top)


def _first(flags_: np.ndarray, offset: int) -> float:
    return float(offset + flags_.argmax()) * TICK_S if flags_.any() else np.inf


def table(layers: int, results: dict[tuple[str, int], dict[str, Summary]]) -> None:
    """Print the figures of one number of layers, and the goals."""
    ticks, event = TICKS.get(layers, LONG)
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
            print(_row(name, policy, runs))


def _row(name: str, policy: str, runs: list[dict[str, Summary]]) -> str:
    own = [run[policy] for run in runs]
    ideal = [run[IDEAL] for run in runs]
    ratio = [o.skew[1] / i.skew[1] for o, i in zip(own, ideal, strict=True)]
    moves = np.mean([o.moves for o in own])
    part = moves / np.mean([i.moves for i in ideal])
    gigabytes = moves * PlacementSettings().expert_bytes / 1e9
    event = name not in ("drift", "nothing changing")
    cells = [
        name,
        policy,
        *(_spread([o.skew[k] for o in own], 3) for k in range(3)),
        _spread(ratio, 3),
        _spread([o.moves for o in own], 0),
        f"{100 * part:.1f}%",
        f"{gigabytes:.1f}",
        _spread([o.switches for o in own], 0),
        _spread([o.recovered_s for o in own], 0) if event else "",
        _spread([o.halved_s for o in own], 0) if event else "",
    ]
    return "| " + " | ".join(cells) + " |"


def _spread(values: Sequence[float], digits: int) -> str:
    shown = [f"{v:.{digits}f}" for v in (np.mean(values), min(values), max(values))]
    return f"{shown[0]} ({shown[1]}..{shown[2]})".replace("inf", "never")


def goals(layers: int, results: dict[tuple[str, int], dict[str, Summary]]) -> None:
    """Print each goal with what was measured."""
    print(f"\nGoals, {layers} layer(s):\n")
    for policy in OURS:
        for name in FLAGS.traces:
            runs = [results[name, int(seed)] for seed in FLAGS.seeds]
            own = [run[policy] for run in runs]
            ideal = [run[IDEAL] for run in runs]
            moves = np.mean([o.moves for o in own])
            if name == "nothing changing":
                _goal(policy, name, "copies moved, 0 wanted", moves, 0.0)
            ratio = np.mean([o.skew[1] for o in own])
            ratio /= np.mean([i.skew[1] for i in ideal])
            _goal(policy, name, "p95 skew / re-pack", ratio, MAX_SKEW_RATIO)
            part = moves / np.mean([i.moves for i in ideal])
            _goal(policy, name, "moves / re-pack", part, MAX_MOVES_PART)
            if name.endswith("rank"):
                worst = max(o.halved_s for o in own)
                _goal(policy, name, "effect halved, s, worst", worst, HALVED_WITHIN_S)
        _times(policy, layers, results)


def _times(
    policy: str, layers: int, results: dict[tuple[str, int], dict[str, Summary]]
) -> None:
    own = [run[policy] for run in results.values()]
    for clock in ("", "_cpu"):
        by = "processor time" if clock else "by the clock"
        solves = np.array([ms for o in own for ms in getattr(o, f"solves{clock}_ms")])
        slices = np.array([ms for o in own for ms in getattr(o, f"slices{clock}_ms")])
        solves = solves if solves.size else np.zeros(1)
        print(f"- {policy}: search {by} p50 {np.median(solves):.1f} ms")
        _goal(
            policy,
            by,
            "most of a search, ms/layer",
            solves.max() / layers,
            MAX_SOLVE_MS,
        )
        over = int((slices > MAX_SLICE_MS).sum())
        print(f"- {policy}: {over} of {slices.size} slices over 5 ms {by}")
        _goal(policy, by, "longest slice, ms", slices.max(), MAX_SLICE_MS)
    for name in FLAGS.traces:
        part = np.mean(
            [r[policy].cpu_part for (n, _), r in results.items() if n == name]
        )
        print(f"- {policy}, {name}: {100 * part:.2f}% of a core")


def _goal(policy: str, name: str, what: str, value: float, most: float) -> None:
    verdict = "met" if value <= most else "MISSED"
    print(f"- {verdict}: {policy}, {name}: {what} {value:.3f} (at most {most:g})")


def peak_memory(layers: int) -> float:
    """Return the most memory that one rebalancer holds in a run, in MB."""
    trace = make_trace("harvest", seed=1, layers=layers, ticks=20, event_tick=8)
    first = first_map(trace)
    tracemalloc.start()
    held = tracemalloc.get_traced_memory()[0]
    policy = Rebalanced(first, KETTLEWELL)
    drive(trace, policy)
    peak = tracemalloc.get_traced_memory()[1] - held
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
            (name, seed): found
            for (of, name, seed), found in measured.items()
            if of == int(layers)
        }
        table(int(layers), results)
        goals(int(layers), results)
        megabytes = peak_memory(int(layers))
        print(f"- peak memory, harvest, reports included: {megabytes:.1f} MB")


if __name__ == "__main__":
    app.run(main)
