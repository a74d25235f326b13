"""Simulate retries, ejection and slow start while a third of the runners fail.

Entries send requests to a pool of runners. For part of the run a third of the runners
fail all requests, refuse connections or fail half of their requests; in one fault
more runners fail than may be ejected at once. A runner that has recovered starts
cold, with capacity for one request.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import numpy as np
from absl import app, flags

from bench.tables import format_spread
from toucanspool.retries.budget import RetryBudget
from toucanspool.retries.deadline import Deadline
from toucanspool.retries.decision import RequestState, RetryDecision, may_retry
from toucanspool.retries.ejection import AttemptResult, Ejector
from toucanspool.wire.gen.messages.ttypes import Outcome

SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds.")
PROCESSES = flags.DEFINE_integer("processes", 4, "Runs at once.")

RUNNERS = 12
ENTRIES = 7
REQUESTS_PER_S = 100.0
FAIL_AT_S, RECOVER_AT_S, END_S = 20.0, 60.0, 100.0
SERVICE_S = 0.5
FAILURE_S = 0.05
TIMEOUT_S = 5.0
PROBE_INTERVAL_S = 0.5
CAPACITY, COLD_CAPACITY = 16, 1
WARM_UP_S = 10.0


class UnlimitedBudget(RetryBudget):
    """Allow every retry."""

    def try_withdraw(self, now: float) -> bool:
        """Allow the retry and count it."""
        self.retries += 1
        return True


class NoEjector(Ejector):
    """Eject no upstream."""

    def record(self, upstream: str, result: AttemptResult, now: float) -> bool:
        """Ignore the result."""
        return False


class NoSlowStart(Ejector):
    """Restore ejected upstreams at full weight at once."""

    def weight(self, upstream: str, now: float) -> float:
        """Return 0 for an ejected upstream, otherwise 1."""
        return 1.0 if super().weight(upstream, now) else 0.0


@dataclass(slots=True, frozen=True)
class Setting:
    """Combine a retry budget with an ejector."""

    name: str
    budget: type[RetryBudget] = RetryBudget
    ejector: type[Ejector] = Ejector


SETTINGS = [
    Setting("retries without bound", UnlimitedBudget, NoEjector),
    Setting("budget only", RetryBudget, NoEjector),
    Setting("ejection only", UnlimitedBudget, Ejector),
    Setting("budget and ejection, no slow start", RetryBudget, NoSlowStart),
    Setting("budget, ejection and slow start", RetryBudget, Ejector),
]
FAULTS: dict[str, tuple[AttemptResult, float, int]] = {
    "4 of 12 fail all": (AttemptResult.FAILED, 1.0, 4),
    "4 of 12 unreachable": (AttemptResult.UNREACHABLE, 1.0, 4),
    "4 of 12 fail half": (AttemptResult.FAILED, 0.5, 4),
    "10 of 12 fail all": (AttemptResult.FAILED, 1.0, 10),
}


@dataclass(slots=True)
class PendingRequest:
    """Track the attempts of a request."""

    entry: int
    deadline: Deadline
    attempts: int = 0
    tried: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Simulation:
    """Simulate one setting during one fault."""

    setting: Setting
    fault: str
    seed: int
    rng: random.Random = field(init=False)
    events: list = field(default_factory=list)
    sequence: itertools.count = field(default_factory=itertools.count)
    budgets: list = field(default_factory=list)
    ejectors: list = field(default_factory=list)
    attempts_sent: int = 0
    succeeded: int = 0
    failed: int = 0
    max_ejected: int = 0
    recovered_after_s: dict = field(default_factory=dict)
    in_flight: dict = field(default_factory=dict)
    warm_up_started_at: dict = field(default_factory=dict)
    cold_attempts: int = 0
    cold_rejections: int = 0

    def run(self) -> "Simulation":
        """Process all events and return the simulation."""
        self.rng = random.Random(self.seed)
        names = [f"u{n}" for n in range(RUNNERS)]
        for entry in range(ENTRIES):
            self.budgets.append(self.setting.budget(0.0))
            ejector = self.setting.ejector(random.Random(self.seed * 100 + entry))
            ejector.update(names, 0.0)
            self.ejectors.append(ejector)
            self._schedule(self.rng.random() * PROBE_INTERVAL_S, self._probe, entry)
        arrival_rng = np.random.default_rng(self.seed)
        for when in np.sort(
            arrival_rng.uniform(0.0, END_S, arrival_rng.poisson(REQUESTS_PER_S * END_S))
        ):
            entry = int(arrival_rng.integers(ENTRIES))
            self._schedule(float(when), self._arrive, entry)
        while self.events and self.events[0][0] < END_S:
            when, _, callback, args = heapq.heappop(self.events)
            callback(when, *args)
        return self

    def _schedule(self, when: float, callback: Callable, *args: object) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), callback, args))

    def _arrive(self, now: float, entry: int) -> None:
        self.budgets[entry].record_request(now)
        self._attempt(now, PendingRequest(entry, Deadline.after(TIMEOUT_S, now)))

    def _attempt(self, now: float, request: PendingRequest) -> None:
        name = self._choose(now, request)
        request.attempts += 1
        request.tried.add(name)
        self.attempts_sent += self._in_fault_window(now)
        result, took_s = self._result(name, now), FAILURE_S
        if result is AttemptResult.OK and self._is_full(name, now):
            result = AttemptResult.FAILED
        if result is AttemptResult.OK:
            took_s = self.rng.expovariate(1.0 / SERVICE_S)
            self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self._schedule(now + took_s, self._finish, request, name, result)

    def _choose(self, now: float, request: PendingRequest) -> str:
        ejector = self.ejectors[request.entry]
        names = [f"u{n}" for n in range(RUNNERS)]
        weights = [0.0 if n in request.tried else ejector.weight(n, now) for n in names]
        if not any(weights):
            weights = [1.0] * RUNNERS
        return self.rng.choices(names, weights)[0]

    def _result(self, name: str, now: float) -> AttemptResult:
        result, probability, count = FAULTS[self.fault]
        faulty = int(name[1:]) < count and FAIL_AT_S <= now < RECOVER_AT_S
        return (
            result if faulty and self.rng.random() < probability else AttemptResult.OK
        )

    def _is_full(self, name: str, now: float) -> bool:
        capacity = float(CAPACITY)
        if int(name[1:]) < FAULTS[self.fault][2] and now >= RECOVER_AT_S:
            recovered_s = now - self.warm_up_started_at.setdefault(name, now)
            capacity = min(
                capacity,
                COLD_CAPACITY + (CAPACITY - COLD_CAPACITY) * recovered_s / WARM_UP_S,
            )
            if recovered_s < WARM_UP_S:
                self.cold_attempts += 1
                self.cold_rejections += self.in_flight.get(name, 0) >= capacity
        return self.in_flight.get(name, 0) >= capacity

    def _finish(
        self, now: float, request: PendingRequest, name: str, result: AttemptResult
    ) -> None:
        ejector = self.ejectors[request.entry]
        ejector.record(name, result, now)
        self.max_ejected = max(self.max_ejected, len(ejector.ejected))
        if result is AttemptResult.OK:
            self.in_flight[name] -= 1
            self.succeeded += self._in_fault_window(now)
            return
        outcome = (
            Outcome.NOT_RUN if result is AttemptResult.UNREACHABLE else Outcome.UNKNOWN
        )
        state = RequestState(
            attempts=request.attempts, idempotent=True, deadline=request.deadline
        )
        decision = may_retry(outcome, state, self.budgets[request.entry], now)
        if decision is RetryDecision.ALLOWED:
            self._attempt(now, request)
        else:
            self.failed += self._in_fault_window(now)

    def _probe(self, now: float, entry: int) -> None:
        ejector = self.ejectors[entry]
        for name in ejector.due_probes(now):
            ejector.record_probe(name, self._result(name, now), now)
        if (
            now >= RECOVER_AT_S
            and not ejector.ejected
            and entry not in self.recovered_after_s
        ):
            self.recovered_after_s[entry] = now - RECOVER_AT_S
        if now < END_S:
            self._schedule(now + PROBE_INTERVAL_S, self._probe, entry)

    def _in_fault_window(self, now: float) -> bool:
        return FAIL_AT_S <= now < RECOVER_AT_S


def simulate(task: tuple[Setting, str, int]) -> Simulation:
    """Return the completed simulation of a setting, fault and seed."""
    return Simulation(*task).run()


def main(argv: list[str]) -> None:
    """Print the table."""
    seeds = [int(seed) for seed in SEEDS.value]
    tasks = list(itertools.product(SETTINGS, FAULTS, seeds))
    with ProcessPoolExecutor(PROCESSES.value) as pool:
        simulations = list(pool.map(simulate, tasks))
    print(f"{RUNNERS} runners, {ENTRIES} entries, seeds {seeds}\n")
    print(
        "| setting | fault | offered/served | offered/asked | requests failed % |"
        " most out of 12 | all back after, s | refused while cold % |"
    )
    print("|" + " --- |" * 8)
    for setting, fault in itertools.product(SETTINGS, FAULTS):
        runs = [
            run for run in simulations if run.setting == setting and run.fault == fault
        ]
        cells = [
            format_spread([run.attempts_sent / run.succeeded for run in runs], 2),
            format_spread(
                [run.attempts_sent / (run.failed + run.succeeded) for run in runs], 2
            ),
            format_spread(
                [100 * run.failed / (run.failed + run.succeeded) for run in runs], 2
            ),
            format_spread([run.max_ejected for run in runs]),
            format_spread([max(run.recovered_after_s.values()) for run in runs], 1),
            format_spread(
                [100 * run.cold_rejections / run.cold_attempts for run in runs], 1
            ),
        ]
        print(f"| {setting.name} | {fault} | {' | '.join(cells)} |")


if __name__ == "__main__":
    app.run(main)
