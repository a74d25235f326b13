"""Measure retries, ejection and slow start while a third of the runners fail.

Entries send requests to a pool of runners; part of the trace a third of them fails
each request that they get, refuses connections, or fails half of its requests, and
in one trace more fail than may be out at once. A
runner that is mended is cold: at first it has room for one request.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import numpy as np
from absl import app, flags

from bench.tables import spread
from toucanspool.retries.budget import RetryBudget
from toucanspool.retries.deadline import Deadline
from toucanspool.retries.decision import RequestState, RetryDecision, may_retry
from toucanspool.retries.ejection import AttemptResult, Ejector
from toucanspool.wire.gen.messages.ttypes import Outcome

SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds.")
PROCESSES = flags.DEFINE_integer("processes", 4, "Runs at once.")

RUNNERS = 12
ENTRIES = 7
RATE = 100.0
FAIL_AT_S, MEND_AT_S, END_S = 20.0, 60.0, 100.0
SERVICE_S = 0.5
FAILURE_S = 0.05
TIMEOUT_S = 5.0
PROBE_EVERY_S = 0.5
PLACES, COLD_PLACES = 16, 1
WARM_S = 10.0


class NoBudget(RetryBudget):
    """Grant every retry."""

    def try_withdraw(self, now: float) -> bool:
        """Grant a retry."""
        self.retries += 1
        return True


class NoEjector(Ejector):
    """Take no upstream out."""

    def record(self, upstream: str, result: AttemptResult, now: float) -> bool:
        """Count nothing."""
        return False


class NoRamp(Ejector):
    """Return upstreams at full weight."""

    def weight(self, upstream: str, now: float) -> float:
        """Return 0 or 1."""
        return 1.0 if super().weight(upstream, now) else 0.0


@dataclass(slots=True, frozen=True)
class Setting:
    """Name a set of mechanisms."""

    name: str
    budget: type[RetryBudget] = RetryBudget
    ejector: type[Ejector] = Ejector


SETTINGS = [
    Setting("retries without bound", NoBudget, NoEjector),
    Setting("budget only", RetryBudget, NoEjector),
    Setting("ejection only", NoBudget, Ejector),
    Setting("budget and ejection, no slow start", RetryBudget, NoRamp),
    Setting("budget, ejection and slow start", RetryBudget, Ejector),
]
FAULTS: dict[str, tuple[AttemptResult, float, int]] = {
    "4 of 12 fail all": (AttemptResult.FAILED, 1.0, 4),
    "4 of 12 unreachable": (AttemptResult.UNREACHABLE, 1.0, 4),
    "4 of 12 fail half": (AttemptResult.FAILED, 0.5, 4),
    "10 of 12 fail all": (AttemptResult.FAILED, 1.0, 10),
}


@dataclass(slots=True)
class Caller:
    """Hold one request and its attempts."""

    entry: int
    deadline: Deadline
    attempts: int = 0
    tried: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Trace:
    """Drive one setting through one fault."""

    setting: Setting
    fault: str
    seed: int
    rng: random.Random = field(init=False)
    events: list = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)
    budgets: list = field(default_factory=list)
    ejectors: list = field(default_factory=list)
    offered: int = 0
    served: int = 0
    lost: int = 0
    most_out: int = 0
    back_at: dict = field(default_factory=dict)
    busy: dict = field(default_factory=dict)
    warm_from: dict = field(default_factory=dict)
    sent_cold: int = 0
    refused_cold: int = 0

    def go(self) -> "Trace":
        """Run the trace."""
        self.rng = random.Random(self.seed)
        names = [f"u{n}" for n in range(RUNNERS)]
        for entry in range(ENTRIES):
            self.budgets.append(self.setting.budget(0.0))
            ejector = self.setting.ejector(random.Random(self.seed * 100 + entry))
            ejector.update(names, 0.0)
            self.ejectors.append(ejector)
            self._at(self.rng.random() * PROBE_EVERY_S, self._probe, entry)
        draws = np.random.default_rng(self.seed)
        for when in np.sort(draws.uniform(0.0, END_S, draws.poisson(RATE * END_S))):
            entry = int(draws.integers(ENTRIES))
            self._at(float(when), self._arrive, entry)
        while self.events and self.events[0][0] < END_S:
            when, _, call, args = heapq.heappop(self.events)
            call(when, *args)
        return self

    def _at(self, when: float, call: Callable, *args: object) -> None:
        heapq.heappush(self.events, (when, next(self.order), call, args))

    def _arrive(self, now: float, entry: int) -> None:
        self.budgets[entry].record_request(now)
        self._attempt(now, Caller(entry, Deadline.after(TIMEOUT_S, now)))

    def _attempt(self, now: float, caller: Caller) -> None:
        name = self._choose(now, caller)
        caller.attempts += 1
        caller.tried.add(name)
        self.offered += self._counted(now)
        result, took_s = self._result(name, now), FAILURE_S
        if result is AttemptResult.OK and self._full(name, now):
            result = AttemptResult.FAILED
        if result is AttemptResult.OK:
            took_s = self.rng.expovariate(1.0 / SERVICE_S)
            self.busy[name] = self.busy.get(name, 0) + 1
        self._at(now + took_s, self._ended, caller, name, result)

    def _choose(self, now: float, caller: Caller) -> str:
        ejector = self.ejectors[caller.entry]
        names = [f"u{n}" for n in range(RUNNERS)]
        weights = [0.0 if n in caller.tried else ejector.weight(n, now) for n in names]
        if not any(weights):
            weights = [1.0] * RUNNERS
        return self.rng.choices(names, weights)[0]

    def _result(self, name: str, now: float) -> AttemptResult:
        result, odds, count = FAULTS[self.fault]
        broken = int(name[1:]) < count and FAIL_AT_S <= now < MEND_AT_S
        return result if broken and self.rng.random() < odds else AttemptResult.OK

    def _full(self, name: str, now: float) -> bool:
        room = float(PLACES)
        if int(name[1:]) < FAULTS[self.fault][2] and now >= MEND_AT_S:
            since_s = now - self.warm_from.setdefault(name, now)
            room = min(room, COLD_PLACES + (PLACES - COLD_PLACES) * since_s / WARM_S)
            if since_s < WARM_S:
                self.sent_cold += 1
                self.refused_cold += self.busy.get(name, 0) >= room
        return self.busy.get(name, 0) >= room

    def _ended(
        self, now: float, caller: Caller, name: str, result: AttemptResult
    ) -> None:
        ejector = self.ejectors[caller.entry]
        ejector.record(name, result, now)
        self.most_out = max(self.most_out, len(ejector.ejected))
        if result is AttemptResult.OK:
            self.busy[name] -= 1
            self.served += self._counted(now)
            return
        outcome = (
            Outcome.NOT_RUN if result is AttemptResult.UNREACHABLE else Outcome.UNKNOWN
        )
        state = RequestState(
            attempts=caller.attempts, idempotent=True, deadline=caller.deadline
        )
        verdict = may_retry(outcome, state, self.budgets[caller.entry], now)
        if verdict is RetryDecision.ALLOWED:
            self._attempt(now, caller)
        else:
            self.lost += self._counted(now)

    def _probe(self, now: float, entry: int) -> None:
        ejector = self.ejectors[entry]
        for name in ejector.due_probes(now):
            ejector.record_probe(name, self._result(name, now), now)
        if now >= MEND_AT_S and not ejector.ejected and entry not in self.back_at:
            self.back_at[entry] = now - MEND_AT_S
        if now < END_S:
            self._at(now + PROBE_EVERY_S, self._probe, entry)

    def _counted(self, now: float) -> bool:
        return FAIL_AT_S <= now < MEND_AT_S


def measure(task: tuple[Setting, str, int]) -> Trace:
    """Return a trace that has run."""
    return Trace(*task).go()


def main(argv: list[str]) -> None:
    """Print the table."""
    seeds = [int(seed) for seed in SEEDS.value]
    tasks = list(itertools.product(SETTINGS, FAULTS, seeds))
    with ProcessPoolExecutor(PROCESSES.value) as pool:
        traces = list(pool.map(measure, tasks))
    print(f"{RUNNERS} runners, {ENTRIES} entries, seeds {seeds}\n")
    print(
        "| setting | fault | offered/served | offered/asked | requests failed % |"
        " most out of 12 | all back after, s | refused while cold % |"
    )
    print("|" + " --- |" * 8)
    for setting, fault in itertools.product(SETTINGS, FAULTS):
        rows = [t for t in traces if t.setting == setting and t.fault == fault]
        cells = [
            spread([t.offered / t.served for t in rows], 2),
            spread([t.offered / (t.lost + t.served) for t in rows], 2),
            spread([100 * t.lost / (t.lost + t.served) for t in rows], 2),
            spread([t.most_out for t in rows]),
            spread([max(t.back_at.values()) for t in rows], 1),
            spread([100 * t.refused_cold / t.sent_cold for t in rows], 1),
        ]
        print(f"| {setting.name} | {fault} | {' | '.join(cells)} |")


if __name__ == "__main__":
    app.run(main)
