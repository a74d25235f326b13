"""Compare routing policies on traces with 12 and 600 runners.

Load reports are one second late, some runners are slow, and in some traces a failure
domain is lost. Each policy gets the same requests and engines. Load is relative to
the rate that saturates the runners when no prefix is cached; "cached load" is 80% of
the saturating rate at the hit ratio of random placement.
"""

import itertools
import random
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

import numpy as np
from absl import app, flags

from bench.jobs import Scenario
from bench.policies import POLICIES
from bench.routed_run import Run, RunResult
from bench.tables import format_spread
from toucanspool.routing.candidate import Candidate
from toucanspool.routing.headroom import HeadroomPolicy
from toucanspool.routing.policy import RoutingRequest
from toucanspool.routing.prefix import PrefixIndex

SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds of the traces.")
PROCESSES = flags.DEFINE_integer("processes", 4, "Traces run at once.")
LOAD = flags.DEFINE_float("load", None, "Load in place of each trace's own.")
POLICY = flags.DEFINE_string("policy", "", "Run only policies with this in their name.")
ONLY = flags.DEFINE_string("only", "", "Run only scenarios with this in their name.")


SCENARIOS = [
    Scenario("12 runners", 12, 7, 3, 10, 0.8),
    Scenario("12 runners, cached load", 12, 7, 3, 10, 1.13),
    Scenario("12 runners, domain gone", 12, 7, 3, 10, 0.8, lost_domains=1),
    Scenario("600 runners", 600, 370, 8, 4500, 0.8, seconds=14.0),
    Scenario("600, domain gone", 600, 370, 8, 4500, 0.8, lost_domains=1, seconds=14.0),
]


def run_scenario(task: tuple[Scenario, str, int]) -> RunResult:
    """Return the result of one scenario, policy and seed."""
    return Run(*task).run()


def percentiles(results: list[RunResult], name: str, digits: int = 0) -> str:
    """Return three table cells with p50, p95 and p99 of a field over all seeds."""
    formatted = []
    for percent in (50, 95, 99):
        values = [np.percentile(getattr(result, name), percent) for result in results]
        formatted.append(format_spread(values, digits))
    return " | ".join(formatted)


def decision_us(runners: int = 600, rounds: int = 3000) -> tuple[float, float]:
    """Return the median and 99th percentile of the time of a decision.

    Parameters
    ----------
    runners : int, default=600
        Number of candidates.
    rounds : int, default=3000
        Number of decisions timed.

    Returns
    -------
    tuple of float
        Both in microseconds.
    """
    rng = random.Random(1)
    index = PrefixIndex()
    policy = HeadroomPolicy(rng, prefixes=index)
    candidates = [
        Candidate(f"runner-{n}", str(n % 8), running=n % 50, step_ms=20.0)
        for n in range(runners)
    ]
    times = []
    for n in range(rounds):
        prefixes = tuple(f"{n % 200}.{block}" for block in range(16))
        request = RoutingRequest("0", prefixes, 2000)
        began = time.perf_counter()
        policy.choose(request, candidates, 1.0)
        times.append(1e6 * (time.perf_counter() - began))
    return float(np.percentile(times, 50)), float(np.percentile(times, 99))


def main(argv: list[str]) -> None:
    """Print the tables."""
    seeds = [int(seed) for seed in SEEDS.value]
    scenarios = [s for s in SCENARIOS if ONLY.value in s.name]
    if LOAD.value is not None:
        scenarios = [replace(s, load=LOAD.value) for s in scenarios]
    policies = [name for name in POLICIES if POLICY.value in name]
    tasks = list(itertools.product(scenarios, policies, seeds))
    tasks.sort(key=lambda task: -task[0].runners)
    with ProcessPoolExecutor(PROCESSES.value) as pool:
        results_by_task = dict(zip(tasks, pool.map(run_scenario, tasks), strict=True))
    print(f"seeds {seeds}; median over seeds (least-greatest); times in ms\n")
    print(
        "| trace | policy | first p50 | first p95 | first p99 | token p50 | token p95"
        " | token p99 | prefix hits % | decisions/s | max/mean load | not begun |"
    )
    print("|" + " --- |" * 12)
    for scenario, name in itertools.product(scenarios, policies):
        results = [results_by_task[scenario, name, seed] for seed in seeds]
        hits = format_spread([100 * result.hit_ratio for result in results])
        rate = format_spread([result.decisions_per_s for result in results])
        skew = format_spread([result.imbalance for result in results], 2)
        unstarted = format_spread([result.not_started for result in results])
        print(
            f"| {scenario.name} | {name} | {percentiles(results, 'first_token_ms')} |"
            f" {percentiles(results, 'inter_token_ms', 1)} | {hits} | {rate} | {skew} |"
            f" {unstarted} |"
        )
    p50_us, p99_us = decision_us()
    print(f"\ndecision among 600 runners: p50 {p50_us:.0f} us, p99 {p99_us:.0f} us")


if __name__ == "__main__":
    app.run(main)
