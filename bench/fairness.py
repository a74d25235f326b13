"""Measure the effect of a team at ten times its share on other teams.

Each entry admits requests by share and routes them by headroom to engines that all
entries share, so the effect includes the load on the runners.
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
from bench.jobs import Scenario, make_jobs, team_fractions
from bench.routed_run import WARM_UP_S, Run
from bench.tables import format_spread
from toucanspool.limits.admission import Admission
from toucanspool.limits.shed import Shed
from toucanspool.limits.ticket import Ticket, TicketState

SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds.")
PROCESSES = flags.DEFINE_integer("processes", 4, "Runs at once.")

SERVICE_S = 2.5
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
    slow_fraction=0.1,
    seconds=30.0,
    entries_factor=ENTRIES_FACTOR,
)


def team_of(job: Job) -> int:
    """Return the index of the team that sent a job."""
    return int(job.prefixes[0].split(".")[0])


@dataclass(slots=True)
class LimitedRun(Run):
    """Simulate a run in which jobs pass admission before routing.

    Parameters
    ----------
    capacity : float
        Maximum number of requests in flight at each entry; 0 for no limit.
    deprioritize : bool
        Whether engines run requests over their team's quota at low priority.
    """

    capacity: float = 0.0
    deprioritize: bool = False
    admissions: list[Admission] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)
    tickets: dict[Job, Ticket] = field(default_factory=dict)
    now: float = 0.0

    def create_admissions(self) -> None:
        """Create an `Admission` for each entry."""
        scenario, fractions = self.scenario, team_fractions(self.scenario.teams)
        counts = [
            entry_count(fraction, 1.0, scenario.entries) for fraction in fractions
        ]
        pairs = zip(fractions, counts, strict=True)
        self.shares = [
            share_per_entry(float(fraction), count) for fraction, count in pairs
        ]
        for entry in range(scenario.entries):
            rng = random.Random(self.seed * 1000 + entry)
            admission = Admission(self.capacity, rng, on_settled=self._start_ticket)
            self.admissions.append(admission)

    def _arrive(self, now: float, job: Job) -> None:
        if not self.capacity:
            Run._arrive(self, now, job)
            return
        self.now = now
        team = team_of(job)
        try:
            ticket = self.admissions[job.entry].admit(
                str(team), self.shares[team], 0, 1.0, now
            )
        except Shed:
            return
        ticket.waiter = job
        if ticket.state is TicketState.ADMITTED:
            self._start_ticket(ticket)

    def _start_ticket(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.ADMITTED and ticket.waiter is not None:
            self.tickets[ticket.waiter] = ticket
            ticket.waiter.low_priority = self.deprioritize and not ticket.within_quota
            Run._arrive(self, self.now, ticket.waiter)

    def _on_complete(self, now: float, job: Job) -> None:
        ticket = self.tickets.pop(job, None)
        if ticket is not None:
            self.now = now
            self.admissions[job.entry].release(ticket, now)


def add_greedy(jobs: list[Job], team: int, seconds: float, seed: int) -> list[Job]:
    """Return the jobs with those of one team repeated at random times."""
    rng = np.random.default_rng(seed + 7000)
    team_jobs = [job for job in jobs if team_of(job) == team]
    extra_jobs = [
        replace(job, arrived=float(rng.uniform(0.0, seconds)))
        for job in team_jobs
        for _ in range(GREEDY_FACTOR - 1)
    ]
    return sorted([*jobs, *extra_jobs], key=lambda job: job.arrived)


def measure_others(
    jobs: Iterable[Job], entries: set[int], team: int
) -> tuple[float, float]:
    """Measure the other teams' requests at some entries.

    Returns
    -------
    tuple of float
        p95 of the time to first token in milliseconds, and the fraction of requests
        without a first token.
    """
    requests = [
        job
        for job in jobs
        if job.entry in entries and job.arrived > WARM_UP_S and team_of(job) != team
    ]
    started = [job for job in requests if job.first_token_at >= 0.0]
    first_token_ms = [1000.0 * (job.first_token_at - job.arrived) for job in started]
    return float(np.percentile(first_token_ms, 95)), 1.0 - len(started) / len(requests)


def measure_impact(task: tuple[str, str, int]) -> tuple[float, float, float, float]:
    """Return the effect of a greedy team on the other teams of its entries.

    Returns
    -------
    tuple of float
        p95 of the other teams' time to first token without and with the greedy team,
        in milliseconds, and the fraction of their requests shed without and with it.
    """
    limit, name, seed = task
    team, cells, entries = GREEDY_TEAMS[name], [], set()
    for greedy in (True, False):
        rng = np.random.default_rng(seed)
        slowdowns = SCENARIO.slowdowns(rng)
        jobs = make_jobs(SCENARIO, SCENARIO.rate(slowdowns), rng)
        full_capacity = (
            SCENARIO.rate(slowdowns) / SCENARIO.load * SERVICE_S / SCENARIO.entries
        )
        if greedy:
            jobs = add_greedy(jobs, team, SCENARIO.seconds, seed)
            entries = {job.entry for job in jobs if team_of(job) == team}
        capacity_factor, deprioritize = LIMITS[limit]
        run = LimitedRun(SCENARIO, "expected", seed, deprioritize=deprioritize)
        run.capacity = float(np.ceil(capacity_factor * full_capacity))
        run.create_admissions()
        run.simulate(jobs, slowdowns)
        cells.append(measure_others(jobs, entries, team))
    (loaded_ms, loaded_shed), (baseline_ms, baseline_shed) = cells
    return baseline_ms, loaded_ms, baseline_shed, loaded_shed


def main(argv: list[str]) -> None:
    """Print the table."""
    seeds = [int(seed) for seed in SEEDS.value]
    tasks = list(itertools.product(LIMITS, GREEDY_TEAMS, seeds))
    with ProcessPoolExecutor(PROCESSES.value) as pool:
        impacts = dict(zip(tasks, pool.map(measure_impact, tasks), strict=True))
    print(f"{SCENARIO.name}, {SCENARIO.entries} entries, seeds {seeds}\n")
    print(
        "| limit | team at 10x | p95 without, ms | p95 with, ms | change %"
        " | shed without % | shed with % |"
    )
    print("|" + " --- |" * 7)
    for limit, name in itertools.product(LIMITS, GREEDY_TEAMS):
        rows = [impacts[limit, name, seed] for seed in seeds]
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
