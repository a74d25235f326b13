"""Measure what a team at ten times its share does to others, runners included.

Each entry admits by share and routes by room to engines that all entries use.
"""

import itertools
import random
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace

import numpy as np
from absl import app, flags

from bench.engine import Job
from bench.entry_count import ENTRIES_FACTOR, entry_count, share_per_entry
from bench.jobs import Scenario, make_jobs, team_odds
from bench.routed_run import WARM_UP_S, Run
from bench.tables import format_spread
from toucanspool.limits.admission import Admission
from toucanspool.limits.shed import Shed
from toucanspool.limits.ticket import Ticket, TicketState

SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds.")
PROCESSES = flags.DEFINE_integer("processes", 4, "Runs at once.")

HOLD_S = 2.5
GREEDY_FACTOR = 10
GREEDY_TEAMS = {"largest": 0, "10th": 9, "100th": 99}
LIMITS = {
    "no limit": (0.0, False),
    "capacity 1.0": (1.0, False),
    "capacity 1.0, engine priority": (1.0, True),
    "capacity 1.5": (1.5, False),
    "capacity 1.5, engine priority": (1.5, True),
}
SCENARIO = Scenario(
    "60 runners",
    60,
    37,
    8,
    450,
    0.8,
    slow_share=0.1,
    seconds=30.0,
    spare=ENTRIES_FACTOR,
)


def team_of(job: Job) -> int:
    """Return the team that a job belongs to."""
    return int(job.prefixes[0].split(".")[0])


@dataclass(slots=True)
class LimitedRun(Run):
    """Drive jobs through admission, then routing.

    Parameters
    ----------
    capacity : float
        The most in flight at each entry; 0 for no bound.
    ranked : bool
        Whether engines put work beyond its team's part last.
    """

    capacity: float = 0.0
    ranked: bool = False
    gates: list[Admission] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)
    tickets: dict[Job, Ticket] = field(default_factory=dict)
    now: float = 0.0

    def prepare(self) -> None:
        """Make the admission of each entry."""
        scenario, odds = self.scenario, team_odds(self.scenario.teams)
        counts = [entry_count(odd, 1.0, scenario.entries) for odd in odds]
        pairs = zip(odds, counts, strict=True)
        self.shares = [share_per_entry(float(odd), count) for odd, count in pairs]
        for entry in range(scenario.entries):
            rng = random.Random(self.seed * 1000 + entry)
            gate = Admission(self.capacity, rng, on_settled=self._settled)
            self.gates.append(gate)

    def _arrive(self, now: float, job: Job) -> None:
        if not self.capacity:
            Run._arrive(self, now, job)
            return
        self.now = now
        team = team_of(job)
        try:
            ticket = self.gates[job.entry].admit(
                str(team), self.shares[team], 0, 1.0, now
            )
        except Shed:
            return
        ticket.waiter = job
        if ticket.state is TicketState.ADMITTED:
            self._settled(ticket)

    def _settled(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.ADMITTED and ticket.waiter is not None:
            self.tickets[ticket.waiter] = ticket
            ticket.waiter.low = self.ranked and not ticket.within_quota
            Run._arrive(self, self.now, ticket.waiter)

    def _done(self, now: float, job: Job) -> None:
        ticket = self.tickets.pop(job, None)
        if ticket is not None:
            self.now = now
            self.gates[job.entry].release(ticket, now)


def add_greedy(jobs: list[Job], team: int, seconds: float, seed: int) -> list[Job]:
    """Return the jobs with those of a team repeated at other times."""
    rng = np.random.default_rng(seed + 7000)
    own = [job for job in jobs if team_of(job) == team]
    more = [
        replace(job, arrived=float(rng.uniform(0.0, seconds)))
        for job in own
        for _ in range(GREEDY_FACTOR - 1)
    ]
    return sorted([*jobs, *more], key=lambda job: job.arrived)


def others(jobs: Iterable[Job], entries: set[int], team: int) -> tuple[float, float]:
    """Return the p95 of first tokens in ms, and the part that got none."""
    asked = [
        job
        for job in jobs
        if job.entry in entries and job.arrived > WARM_UP_S and team_of(job) != team
    ]
    begun = [job for job in asked if job.first_at >= 0.0]
    first = [1000.0 * (job.first_at - job.arrived) for job in begun]
    return float(np.percentile(first, 95)), 1.0 - len(begun) / len(asked)


def harm(task: tuple[str, str, int]) -> tuple[float, float, float, float]:
    """Return p95 without and with a greedy team, and shed without and with."""
    limit, name, seed = task
    team, cells, entries = GREEDY_TEAMS[name], [], set()
    for greedy in (True, False):
        rng = np.random.default_rng(seed)
        slow = SCENARIO.slow(rng)
        jobs = make_jobs(SCENARIO, SCENARIO.rate(slow), rng)
        full = SCENARIO.rate(slow) / SCENARIO.load * HOLD_S / SCENARIO.entries
        if greedy:
            jobs = add_greedy(jobs, team, SCENARIO.seconds, seed)
            entries = {job.entry for job in jobs if team_of(job) == team}
        part, ranked = LIMITS[limit]
        run = LimitedRun(SCENARIO, "expected", seed, ranked=ranked)
        run.capacity = float(np.ceil(part * full))
        run.prepare()
        run.play(jobs, slow)
        cells.append(others(jobs, entries, team))
    (busy_ms, busy_shed), (calm_ms, calm_shed) = cells
    return calm_ms, busy_ms, calm_shed, busy_shed


def main(argv: list[str]) -> None:
    """Print the table."""
    seeds = [int(seed) for seed in SEEDS.value]
    tasks = list(itertools.product(LIMITS, GREEDY_TEAMS, seeds))
    with ProcessPoolExecutor(PROCESSES.value) as pool:
        found = dict(zip(tasks, pool.map(harm, tasks), strict=True))
    print(f"{SCENARIO.name}, {SCENARIO.entries} entries, seeds {seeds}\n")
    print(
        "| limit | team at 10x | p95 without, ms | p95 with, ms | change %"
        " | shed without % | shed with % |"
    )
    print("|" + " --- |" * 7)
    for limit, name in itertools.product(LIMITS, GREEDY_TEAMS):
        rows = [found[limit, name, seed] for seed in seeds]
        cells = [
            format_spread([row[0] for row in rows]),
            format_spread([row[1] for row in rows]),
        ]
        cells.append(format_spread([100 * (row[1] / row[0] - 1) for row in rows], 1))
        cells.append(format_spread([100 * row[2] for row in rows], 2))
        cells.append(format_spread([100 * row[3] for row in rows], 2))
        print(f"| {limit} | {name} | {' | '.join(cells)} |")


if __name__ == "__main__":
    app.run(main)
