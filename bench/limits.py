"""Compare ways of holding teams to their shares without a central counter.

The first table weighs the error of the enforced rate against control bytes. The
second drives `Admission` on every entry, with and without a team at ten times its
share, against a plain queue. Capacity is against the mean in flight at full use.
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

from bench.entry_count import entry_count, local_share
from bench.quotas import (
    ENTRIES,
    GREEDY_FACTOR,
    RATE,
    TEAMS,
    WAYS,
    enforce,
    team_rates,
)
from bench.tables import spread
from toucanspool.limits.admission import Admission
from toucanspool.limits.shed import Shed
from toucanspool.limits.ticket import Ticket, TicketState

SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds.")
PROCESSES = flags.DEFINE_integer("processes", 4, "Runs at once.")

HOLD_S = 4.0
USED_AT_RATE = 0.8
TRACE_S = 40.0
WARM_UP_S = 15.0
MAX_WAIT_S = 0.2


class PlainQueue:
    """Admit in order of arrival with the same capacity and longest wait."""

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
        """Admit a request or let it wait."""
        ticket = Ticket(team, share, priority, cost, now + self._max_wait_s)
        self._waiting.append(ticket)
        self._serve(now)
        return ticket

    def release(self, ticket: Ticket, now: float) -> None:
        """Give a place back."""
        ticket.state = TicketState.RELEASED
        self._running -= 1
        self._serve(now)

    def _serve(self, now: float) -> None:
        while self._waiting and self._waiting[0].expires_at < now:
            self._waiting.popleft().state = TicketState.SHED
        while self._waiting and self._running < self._capacity:
            ticket = self._waiting.popleft()
            ticket.state = TicketState.ADMITTED
            self._running += 1
            self._on_settled(ticket)


@dataclass(slots=True)
class Trace:
    """Drive one kind of admission on all entries."""

    kind: type
    over_part: float
    greedy: int | None
    seed: int
    clock: float = 0.0
    order: itertools.count = field(default_factory=itertools.count)
    events: list = field(default_factory=list)
    gates: list = field(default_factory=list)
    first_ms: dict = field(default_factory=dict)
    asked: dict = field(default_factory=dict)

    def go(self) -> "Trace":
        """Run the trace."""
        rng = np.random.default_rng(self.seed)
        rates = team_rates(rng)
        counts = [entry_count(rate, rates.sum(), ENTRIES) for rate in rates]
        homes = [rng.choice(ENTRIES, count, replace=False) for count in counts]
        demand = rates * USED_AT_RATE
        factor = np.ones(TEAMS)
        if self.greedy is not None:
            factor[self.greedy] = GREEDY_FACTOR
        capacity = float(np.ceil(self.over_part * RATE * HOLD_S / ENTRIES))
        for entry in range(ENTRIES):
            rand = random.Random(self.seed * ENTRIES + entry)
            options = {"max_wait_s": MAX_WAIT_S, "on_settled": self._settled}
            self.gates.append(self.kind(capacity, rand, **options))
        for team in range(TEAMS):
            own = np.random.default_rng((self.seed, team))
            amount = own.poisson(demand[team] * factor[team] * TRACE_S)
            times = np.sort(own.uniform(0.0, TRACE_S, amount))
            entries = own.choice(homes[team], amount)
            share = local_share(rates[team], counts[team])
            for when, entry in zip(times.tolist(), entries.tolist(), strict=True):
                row = (when, next(self.order), "arrive", (team, share, entry))
                self.events.append(row)
        heapq.heapify(self.events)
        self._loop(np.random.default_rng(self.seed + 1000))
        return self

    def _loop(self, rng: np.random.Generator) -> None:
        while self.events:
            self.clock, _, kind, args = heapq.heappop(self.events)
            if kind == "arrive":
                self._arrive(*args, rng)
            else:
                gate, ticket = args
                gate.release(ticket, self.clock)

    def _arrive(
        self, team: int, share: float, entry: int, rng: np.random.Generator
    ) -> None:
        gate, key = self.gates[entry], (team, entry)
        hold_s = float(rng.gamma(4.0, HOLD_S / 4.0))
        engine_ms = 1000.0 * float(rng.lognormal(np.log(0.1), 0.6))
        counted = self.clock > WARM_UP_S
        if counted:
            self.asked[key] = self.asked.get(key, 0) + 1
        try:
            ticket = gate.admit(str(team), share, 0, 1.0, self.clock)
        except Shed:
            return
        ticket.waiter = (gate, key, self.clock, hold_s, engine_ms, counted)
        if ticket.state is TicketState.ADMITTED:
            self._settled(ticket)

    def _settled(self, ticket: Ticket) -> None:
        if ticket.state is not TicketState.ADMITTED or ticket.waiter is None:
            return
        gate, key, came, hold_s, engine_ms, counted = ticket.waiter
        ends = self.clock + hold_s
        heapq.heappush(self.events, (ends, next(self.order), "end", (gate, ticket)))
        if counted:
            first_ms = 1000.0 * (self.clock - came) + engine_ms
            self.first_ms.setdefault(key, []).append(first_ms)


def admit_us(waiting: int, rounds: int = 20_000) -> float:
    """Return the mean time to admit and release while others wait.

    Parameters
    ----------
    waiting : int
        Requests that wait meanwhile.
    rounds : int, default=20000
        Requests timed.

    Returns
    -------
    float
        Microseconds.
    """
    admission = Admission(1000.0, random.Random(1), max_wait_s=60.0)
    rand = random.Random(2)
    held = deque()
    for n in range(1000 + waiting):
        held.append(admission.admit(f"t{n % TEAMS}", 1.0, n % 4, 1.0, 0.0))
    began = time.perf_counter()
    for _ in range(rounds):
        admission.release(held.popleft(), 0.0)
        team = f"t{rand.randrange(TEAMS)}"
        held.append(admission.admit(team, 1.0, rand.randrange(4), 1.0, 0.0))
    return 1e6 * (time.perf_counter() - began) / rounds


GREEDY_TEAMS = {"largest": 0, "30th": 29}
KINDS = {
    "admission, capacity 1.0": (Admission, 1.0),
    "admission, capacity 1.5": (Admission, 1.5),
    "plain queue, capacity 1.0": (PlainQueue, 1.0),
}


def harm(task: tuple[str, str, int]) -> tuple[float, float, float, float]:
    """Return what a greedy team does to the others on its entries.

    Returns
    -------
    tuple of float
        p95 of their first token without and with it, in milliseconds, and the
        part of their requests shed without and with it.
    """
    kind, name, seed = task
    greedy = GREEDY_TEAMS[name]
    calm = Trace(*KINDS[kind], None, seed).go()
    busy = Trace(*KINDS[kind], greedy, seed).go()
    shared = {entry for team, entry in busy.asked if team == greedy}
    cells = []
    for trace in (calm, busy):
        keys = [k for k in trace.asked if k[1] in shared and k[0] != greedy]
        first = [ms for key in keys for ms in trace.first_ms.get(key, ())]
        asked = sum(trace.asked[key] for key in keys)
        cells.append((float(np.percentile(first, 95)), 1.0 - len(first) / asked))
    return cells[0][0], cells[1][0], cells[0][1], cells[1][1]


def main(argv: list[str]) -> None:
    """Print the tables."""
    seeds = [int(seed) for seed in SEEDS.value]
    with ProcessPoolExecutor(PROCESSES.value) as pool:
        ways = list(itertools.product(WAYS, seeds))
        enforced = list(pool.map(enforce, *zip(*ways, strict=True)))
        tasks = list(itertools.product(KINDS, GREEDY_TEAMS, seeds))
        harms = list(pool.map(harm, tasks))
    print(f"{TEAMS} teams, {ENTRIES} entries, seeds {seeds}: median (least-greatest)\n")
    print(
        "| way | error at 10x % | refused below share % | bytes/s an entry"
        " | table writes/s |"
    )
    print("|" + " --- |" * 5)
    for way in WAYS:
        rows = [e for (w, _), e in zip(ways, enforced, strict=True) if w is way]
        error = spread([100 * row.greedy_error for row in rows], 1)
        refused = spread([100 * row.refused for row in rows], 2)
        cost = f"{rows[0].bytes_per_s:.0f} | {rows[0].writes_per_s:.0f}"
        print(f"| {way.name} | {error} | {refused} | {cost} |")
    times = ", ".join(f"{admit_us(n):.1f} us with {n}" for n in (0, 100, 10_000))
    print(f"\nadmit and release, by requests that wait: {times}")
    print(
        "\n| admission | team at 10x | p95 without, ms | p95 with, ms | change %"
        " | shed without % | shed with % |"
    )
    print("|" + " --- |" * 7)
    for kind, name in itertools.product(KINDS, GREEDY_TEAMS):
        rows = [
            row
            for task, row in zip(tasks, harms, strict=True)
            if task[:2] == (kind, name)
        ]
        change = spread([100 * (row[1] / row[0] - 1) for row in rows], 1)
        cells = [spread([row[0] for row in rows]), spread([row[1] for row in rows])]
        cells += [change, spread([100 * row[2] for row in rows], 2)]
        cells += [spread([100 * row[3] for row in rows], 2)]
        print(f"| {kind} | {name} | {' | '.join(cells)} |")


if __name__ == "__main__":
    app.run(main)
