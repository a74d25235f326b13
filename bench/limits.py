"""Compare methods of enforcing teams' shares without a central counter.

The first table sets the error of the enforced rate against control traffic. The
second compares `Admission` on every entry with a plain queue, with and without a
team at ten times its share. Capacity is relative to the mean number of requests in
flight at full utilization.
"""

import heapq
import itertools
import random
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import numpy as np
from absl import app, flags

from bench.entry_count import entry_count, share_per_entry
from bench.quotas import (
    ENTRIES,
    GREEDY_FACTOR,
    METHODS,
    TEAMS,
    TOTAL_REQUESTS_PER_S,
    simulate,
    team_rates,
)
from bench.tables import format_spread
from toucanspool.limits.admission import Admission
from toucanspool.limits.shed import Shed
from toucanspool.limits.ticket import Ticket, TicketState

SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds.")
PROCESSES = flags.DEFINE_integer("processes", 4, "Runs at once.")

SERVICE_S = 4.0
UTILIZATION = 0.8
DURATION_S = 40.0
WARM_UP_S = 15.0
MAX_WAIT_S = 0.2


class PlainQueue:
    """Admit requests in order of arrival, up to a capacity and a longest wait."""

    def __init__(
        self,
        capacity: float,
        rng: random.Random,
        *,
        max_wait_s: float,
        on_settled: Callable[[Ticket], None],
    ) -> None:
        self._capacity, self._max_wait_s = capacity, max_wait_s
        self._on_settled = on_settled
        self._waiting: deque[Ticket] = deque()
        self._running = 0

    def admit(
        self, team: str, share: float, priority: int, cost: float, now: float
    ) -> Ticket:
        """Admit a request or queue it."""
        ticket = Ticket(team, share, priority, cost, now + self._max_wait_s)
        self._waiting.append(ticket)
        self._admit_waiting(now)
        return ticket

    def release(self, ticket: Ticket, now: float) -> None:
        """Release the capacity that a ticket holds."""
        ticket.state = TicketState.RELEASED
        self._running -= 1
        self._admit_waiting(now)

    def _admit_waiting(self, now: float) -> None:
        while self._waiting and self._waiting[0].expires_at < now:
            self._waiting.popleft().state = TicketState.SHED
        while self._waiting and self._running < self._capacity:
            ticket = self._waiting.popleft()
            ticket.state = TicketState.ADMITTED
            self._running += 1
            self._on_settled(ticket)


@dataclass(slots=True)
class Simulation:
    """Simulate one kind of admission on all entries."""

    admission_type: type
    capacity_factor: float
    greedy_team: int | None
    seed: int
    now: float = 0.0
    sequence: itertools.count = field(default_factory=itertools.count)
    events: list = field(default_factory=list)
    admissions: list = field(default_factory=list)
    first_token_ms: dict = field(default_factory=dict)
    requests: dict = field(default_factory=dict)

    def run(self) -> "Simulation":
        """Process all events and return the simulation."""
        rng = np.random.default_rng(self.seed)
        rates = team_rates(rng)
        counts = [entry_count(rate, rates.sum(), ENTRIES) for rate in rates]
        team_entries = [rng.choice(ENTRIES, count, replace=False) for count in counts]
        demand = rates * UTILIZATION
        factor = np.ones(TEAMS)
        if self.greedy_team is not None:
            factor[self.greedy_team] = GREEDY_FACTOR
        capacity = float(
            np.ceil(self.capacity_factor * TOTAL_REQUESTS_PER_S * SERVICE_S / ENTRIES)
        )
        for entry in range(ENTRIES):
            admission_rng = random.Random(self.seed * ENTRIES + entry)
            options = {"max_wait_s": MAX_WAIT_S, "on_settled": self._start_request}
            self.admissions.append(
                self.admission_type(capacity, admission_rng, **options)
            )
        for team in range(TEAMS):
            team_rng = np.random.default_rng((self.seed, team))
            request_count = team_rng.poisson(demand[team] * factor[team] * DURATION_S)
            times = np.sort(team_rng.uniform(0.0, DURATION_S, request_count))
            entries = team_rng.choice(team_entries[team], request_count)
            share = share_per_entry(rates[team], counts[team])
            for arrival, entry in zip(times.tolist(), entries.tolist(), strict=True):
                event = (arrival, next(self.sequence), "arrive", (team, share, entry))
                self.events.append(event)
        heapq.heapify(self.events)
        self._process_events(np.random.default_rng(self.seed + 1000))
        return self

    def _process_events(self, rng: np.random.Generator) -> None:
        while self.events:
            self.now, _, event, args = heapq.heappop(self.events)
            if event == "arrive":
                self._arrive(*args, rng)
            else:
                admission, ticket = args
                admission.release(ticket, self.now)

    def _arrive(
        self, team: int, share: float, entry: int, rng: np.random.Generator
    ) -> None:
        admission, team_entry = self.admissions[entry], (team, entry)
        service_s = float(rng.gamma(4.0, SERVICE_S / 4.0))
        engine_ms = 1000.0 * float(rng.lognormal(np.log(0.1), 0.6))
        measured = self.now > WARM_UP_S
        if measured:
            self.requests[team_entry] = self.requests.get(team_entry, 0) + 1
        try:
            ticket = admission.admit(str(team), share, 0, 1.0, self.now)
        except Shed:
            return
        ticket.waiter = (
            admission,
            team_entry,
            self.now,
            service_s,
            engine_ms,
            measured,
        )
        if ticket.state is TicketState.ADMITTED:
            self._start_request(ticket)

    def _start_request(self, ticket: Ticket) -> None:
        if ticket.state is not TicketState.ADMITTED or ticket.waiter is None:
            return
        admission, team_entry, arrived_at, service_s, engine_ms, measured = (
            ticket.waiter
        )
        end_at = self.now + service_s
        heapq.heappush(
            self.events, (end_at, next(self.sequence), "end", (admission, ticket))
        )
        if measured:
            first_token_ms = 1000.0 * (self.now - arrived_at) + engine_ms
            self.first_token_ms.setdefault(team_entry, []).append(first_token_ms)


def admit_us(waiting: int, rounds: int = 20_000) -> float:
    """Return the mean time to admit and release a request while others wait.

    Parameters
    ----------
    waiting : int
        Number of requests in the queue.
    rounds : int, default=20000
        Number of requests timed.

    Returns
    -------
    float
        Microseconds.
    """
    admission = Admission(1000.0, random.Random(1), max_wait_s=60.0)
    rng = random.Random(2)
    tickets = deque()
    for n in range(1000 + waiting):
        tickets.append(admission.admit(f"t{n % TEAMS}", 1.0, n % 4, 1.0, 0.0))
    began = time.perf_counter()
    for _ in range(rounds):
        admission.release(tickets.popleft(), 0.0)
        team = f"t{rng.randrange(TEAMS)}"
        tickets.append(admission.admit(team, 1.0, rng.randrange(4), 1.0, 0.0))
    return 1e6 * (time.perf_counter() - began) / rounds


GREEDY_TEAMS = {"largest": 0, "30th": 29}
ADMISSION_KINDS = {
    "admission, capacity 1.0": (Admission, 1.0),
    "admission, capacity 1.5": (Admission, 1.5),
    "plain queue, capacity 1.0": (PlainQueue, 1.0),
}


def measure_impact(task: tuple[str, str, int]) -> tuple[float, float, float, float]:
    """Return the effect of a greedy team on the other teams of its entries.

    Returns
    -------
    tuple of float
        p95 of the other teams' time to first token without and with the greedy team,
        in milliseconds, and the fraction of their requests shed without and with it.
    """
    kind, name, seed = task
    greedy_team = GREEDY_TEAMS[name]
    baseline = Simulation(*ADMISSION_KINDS[kind], None, seed).run()
    overloaded = Simulation(*ADMISSION_KINDS[kind], greedy_team, seed).run()
    shared_entries = {
        entry for team, entry in overloaded.requests if team == greedy_team
    }
    cells = []
    for simulation in (baseline, overloaded):
        keys = [
            k
            for k in simulation.requests
            if k[1] in shared_entries and k[0] != greedy_team
        ]
        first_token_ms = [
            ms for key in keys for ms in simulation.first_token_ms.get(key, ())
        ]
        requests = sum(simulation.requests[key] for key in keys)
        cells.append(
            (
                float(np.percentile(first_token_ms, 95)),
                1.0 - len(first_token_ms) / requests,
            )
        )
    return cells[0][0], cells[1][0], cells[0][1], cells[1][1]


def main(argv: list[str]) -> None:
    """Print the tables."""
    seeds = [int(seed) for seed in SEEDS.value]
    with ProcessPoolExecutor(PROCESSES.value) as pool:
        method_runs = list(itertools.product(METHODS, seeds))
        method_results = list(pool.map(simulate, *zip(*method_runs, strict=True)))
        tasks = list(itertools.product(ADMISSION_KINDS, GREEDY_TEAMS, seeds))
        impacts = list(pool.map(measure_impact, tasks))
    print(f"{TEAMS} teams, {ENTRIES} entries, seeds {seeds}: median (least-greatest)\n")
    print(
        "| way | error at 10x % | refused below share % | bytes/s an entry"
        " | table writes/s |"
    )
    print("|" + " --- |" * 5)
    for method in METHODS:
        rows = [
            result
            for (run_method, _), result in zip(method_runs, method_results, strict=True)
            if run_method is method
        ]
        error = format_spread([100 * row.greedy_error for row in rows], 1)
        refused = format_spread([100 * row.refused for row in rows], 2)
        traffic = f"{rows[0].bytes_per_s:.0f} | {rows[0].writes_per_s:.0f}"
        print(f"| {method.name} | {error} | {refused} | {traffic} |")
    timings = ", ".join(f"{admit_us(n):.1f} us with {n}" for n in (0, 100, 10_000))
    print(f"\nadmit and release, by requests that wait: {timings}")
    print(
        "\n| admission | team at 10x | p95 without, ms | p95 with, ms | change %"
        " | shed without % | shed with % |"
    )
    print("|" + " --- |" * 7)
    for kind, name in itertools.product(ADMISSION_KINDS, GREEDY_TEAMS):
        rows = [
            row
            for task, row in zip(tasks, impacts, strict=True)
            if task[:2] == (kind, name)
        ]
        change = format_spread([100 * (row[1] / row[0] - 1) for row in rows], 1)
        cells = [
            format_spread([row[0] for row in rows]),
            format_spread([row[1] for row in rows]),
        ]
        cells += [change, format_spread([100 * row[2] for row in rows], 2)]
        cells += [format_spread([100 * row[3] for row in rows], 2)]
        print(f"| {kind} | {name} | {' | '.join(cells)} |")


if __name__ == "__main__":
    app.run(main)
