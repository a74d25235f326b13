"""Compare routing policies on traces of 12 and 600 runners.

Reports come a second late, some runners are slow, and in some traces a failure
domain goes. Each policy sees the same requests on the same engines. Load is
against the rate at which the runners would be full with no prefix cached; "cached
load" is 80% of that with the hits that random placement has.
"""

import heapq
import itertools
import random
import time
from collections import deque
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace

import numpy as np
from absl import app, flags

from bench.engine import BLOCK_TOKENS, Engine, Job, Load
from bench.jobs import Scenario, make_jobs
from bench.policies import POLICIES
from bench.tables import spread
from toucanspool.routing.candidate import Candidate
from toucanspool.routing.expected import ExpectedRoom
from toucanspool.routing.policy import Policy, Work
from toucanspool.routing.prefix import CacheEvent, PrefixIndex

SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds of the traces.")
PROCESSES = flags.DEFINE_integer("processes", 4, "Traces run at once.")
LOAD = flags.DEFINE_float("load", None, "Load in place of each trace's own.")
POLICY = flags.DEFINE_string("policy", "", "Run only policies with this in their name.")
ONLY = flags.DEFINE_string("only", "", "Run only scenarios with this in their name.")

REPORT_EVERY_S = 1.0
REPORT_LAG_S = 1.0
LOST_EVENTS = 0.05
WARM_UP_S = 7.0
RESEND_S = 0.5
CACHE_BLOCKS = 120
EVENTS_AT_MOST_ENTRIES = 7

SCENARIOS = [
    Scenario("12 runners", 12, 7, 3, 10, 0.8),
    Scenario("12 runners, cached load", 12, 7, 3, 10, 1.13),
    Scenario("12 runners, domain gone", 12, 7, 3, 10, 0.8, lost_domains=1),
    Scenario("600 runners", 600, 370, 8, 4500, 0.8, seconds=14.0),
    Scenario("600, domain gone", 600, 370, 8, 4500, 0.8, lost_domains=1, seconds=14.0),
]


@dataclass(slots=True)
class Figures:
    """Hold what one run measured."""

    first_ms: np.ndarray
    token_ms: np.ndarray
    hits: float
    decisions_per_s: float
    imbalance: float
    undone: int


@dataclass(slots=True)
class Run:
    """Drive one policy through one trace."""

    scenario: Scenario
    policy_name: str
    seed: int
    engines: list[Engine] = field(default_factory=list)
    policies: list[Policy] = field(default_factory=list)
    views: list[list[Candidate]] = field(default_factory=list)
    eligible: list[list[Candidate]] = field(default_factory=list)
    sends: list[deque] = field(default_factory=list)
    events: list[tuple] = field(default_factory=list)
    gone: set[int] = field(default_factory=set)
    lags: list[float] = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)
    choosing_s: float = 0.0
    decisions: int = 0

    def go(self) -> Figures:
        """Return the figures of the run."""
        scenario, rng = self.scenario, np.random.default_rng(self.seed)
        slow = scenario.slow(rng)
        jobs = make_jobs(scenario, scenario.rate(slow), rng)
        self._build(slow)
        for job in jobs:
            self._at(job.arrived, self._arrive, job)
        if scenario.lost_domains:
            self._at(scenario.seconds / 2, self._lose, scenario.lost_domains)
        self._loop(scenario.seconds * 2)
        return self._figures(jobs)

    def _build(self, slow: np.ndarray) -> None:
        scenario, rng = self.scenario, random.Random(self.seed)
        self.engines = [Engine(float(factor), CACHE_BLOCKS) for factor in slow]
        self.sends = [deque() for _ in self.engines]
        for entry in range(scenario.entries):
            self.policies.append(POLICIES[self.policy_name](random.Random(entry)))
            view = [
                Candidate(str(n), str(n % scenario.domains))
                for n in range(scenario.runners)
            ]
            self.views.append(view)
            self.eligible.append(list(view))
        for number in range(scenario.runners):
            self._at(rng.random() * REPORT_EVERY_S, self._report, number)

    def _at(self, when: float, call, *args) -> None:
        heapq.heappush(self.events, (when, next(self.order), call, args))

    def _loop(self, end: float) -> None:
        events = self.events
        while events and events[0][0] < end:
            when, _, call, args = heapq.heappop(events)
            call(when, *args)

    def _arrive(self, now: float, job: Job) -> None:
        policy, domain = self.policies[job.entry], job.entry % self.scenario.domains
        work = Work(str(domain), job.prefixes, job.prompt_tokens)
        began = time.perf_counter()
        choice = policy.choose(work, self.eligible[job.entry], now)
        self.choosing_s += time.perf_counter() - began
        self.decisions += 1
        job.engine = int(choice.candidate.upstream)
        choice.candidate.in_flight += 1
        choice.candidate.since_report += 1
        self.sends[job.engine].append((now, job.entry))
        engine = self.engines[job.engine]
        engine.add(job)
        if not engine.stepping:
            self._step(now, job.engine)

    def _step(self, now: float, number: int) -> None:
        step_s = self.engines[number].start_step()
        if step_s is not None:
            self._at(now + step_s, self._stepped, number)

    def _stepped(self, now: float, number: int) -> None:
        if number in self.gone:
            return
        for job in self.engines[number].end_step(now):
            self.views[job.entry][number].in_flight -= 1
        self._step(now, number)

    def _report(self, now: float, number: int) -> None:
        if number in self.gone or now > self.scenario.seconds:
            return
        load = self.engines[number].report(now)
        self._at(now + REPORT_LAG_S, self._reported, number, load)
        self._at(now + REPORT_EVERY_S, self._report, number)
        if number == 0 or (number == self.scenario.domains - 1):
            self._sample(now)

    def _reported(self, now: float, number: int, load: Load) -> None:
        sends = self.sends[number]
        while sends and sends[0][0] <= load.at:
            sends.popleft()
        for view in self.views:
            candidate = view[number]
            candidate.running, candidate.waiting = load.running, load.waiting
            candidate.step_ms, candidate.reported_at = load.step_ms, load.at
            candidate.since_report = 0
        for _, entry in sends:
            self.views[entry][number].since_report += 1
        self._cache_event(now, number, load)

    def _cache_event(self, now: float, number: int, load: Load) -> None:
        if len(self.views) > EVENTS_AT_MOST_ENTRIES:
            return
        event = CacheEvent(str(number), load.seq, load.stored, load.removed)
        for entry, policy in enumerate(self.policies):
            index = getattr(policy, "_prefixes", None)
            lost = hash((entry, number, load.seq)) % 1000 < 1000 * LOST_EVENTS
            if index is not None and not lost:
                index.apply(event, now)

    def _lose(self, now: float, domains: int) -> None:
        count = self.scenario.domains
        self.gone = {n for n in range(len(self.engines)) if n % count < domains}
        for entry, view in enumerate(self.views):
            kept = [c for c in view if int(c.upstream) not in self.gone]
            self.eligible[entry] = kept
        for number in self.gone:
            for job in self.engines[number].drain():
                self._at(now + RESEND_S, self._arrive, job)

    def _sample(self, now: float) -> None:
        alive = [e for n, e in enumerate(self.engines) if n not in self.gone]
        loads = [len(e.queue) + len(e.batch) for e in alive]
        if now > WARM_UP_S:
            self.lags.append(max(loads) / max(1.0, sum(loads) / len(loads)))

    def _figures(self, jobs: list[Job]) -> Figures:
        jobs = [job for job in jobs if job.arrived >= WARM_UP_S]
        begun = [job for job in jobs if job.first_at >= 0.0]
        ended = [job for job in begun if job.done_at > 0.0 and job.output_tokens > 1]
        first = [1000.0 * (job.first_at - job.arrived) for job in begun]
        token = [
            1000.0 * (job.done_at - job.first_at) / (job.output_tokens - 1)
            for job in ended
        ]
        shared = sum(len(job.prefixes) * BLOCK_TOKENS for job in begun)
        return Figures(
            first_ms=np.array(first),
            token_ms=np.array(token),
            hits=sum(job.cached_tokens for job in begun) / max(1, shared),
            decisions_per_s=self.decisions / self.choosing_s,
            imbalance=float(np.mean(self.lags)),
            undone=len(jobs) - len(begun),
        )


def measure(task: tuple[Scenario, str, int]) -> Figures:
    """Return the figures of one scenario, policy and seed."""
    return Run(*task).go()


def percentiles(figures: list[Figures], name: str, digits: int = 0) -> str:
    """Return p50, p95 and p99 over seeds in three cells."""
    cells = []
    for percent in (50, 95, 99):
        values = [np.percentile(getattr(f, name), percent) for f in figures]
        cells.append(spread(values, digits))
    return " | ".join(cells)


def decision_us(runners: int = 600, rounds: int = 3000) -> tuple[float, float]:
    """Return the median and 99th percentile of a decision's time.

    Parameters
    ----------
    runners : int, default=600
        Number of candidates.
    rounds : int, default=3000
        Decisions timed.

    Returns
    -------
    tuple of float
        Both in microseconds.
    """
    rng = random.Random(1)
    index = PrefixIndex()
    policy = ExpectedRoom(rng, prefixes=index)
    view = [
        Candidate(f"runner-{n}", str(n % 8), running=n % 50, step_ms=20.0)
        for n in range(runners)
    ]
    times = []
    for n in range(rounds):
        prefixes = tuple(f"{n % 200}.{block}" for block in range(16))
        work = Work("0", prefixes, 2000)
        began = time.perf_counter()
        policy.choose(work, view, 1.0)
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
        found = dict(zip(tasks, pool.map(measure, tasks), strict=True))
    print(f"seeds {seeds}; median over seeds (least-greatest); times in ms\n")
    print(
        "| trace | policy | first p50 | first p95 | first p99 | token p50 | token p95"
        " | token p99 | prefix hits % | decisions/s | max/mean load | not begun |"
    )
    print("|" + " --- |" * 12)
    for scenario, name in itertools.product(scenarios, policies):
        figures = [found[scenario, name, seed] for seed in seeds]
        hits = spread([100 * f.hits for f in figures])
        rate = spread([f.decisions_per_s for f in figures])
        skew = spread([f.imbalance for f in figures], 2)
        undone = spread([f.undone for f in figures])
        print(
            f"| {scenario.name} | {name} | {percentiles(figures, 'first_ms')} |"
            f" {percentiles(figures, 'token_ms', 1)} | {hits} | {rate} | {skew} |"
            f" {undone} |"
        )
    half, most = decision_us()
    print(f"\ndecision among 600 runners: p50 {half:.0f} us, p99 {most:.0f} us")


if __name__ == "__main__":
    app.run(main)
