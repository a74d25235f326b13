"""Discrete-event simulation of a routing policy with entries and engines.

Load reports arrive late, and a part of the cache events is lost.
"""

import heapq
import itertools
import random
import time
from collections import deque
from dataclasses import dataclass, field

import numpy as np

from bench.engine import BLOCK_TOKENS, Engine, Job, Load
from bench.jobs import Scenario, make_jobs
from bench.policies import POLICIES
from toucanspool.routing.candidate import Candidate
from toucanspool.routing.policy import Policy, RoutingRequest
from toucanspool.routing.prefix import CacheEvent

REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 1.0
EVENT_LOSS_RATIO = 0.05
WARM_UP_S = 7.0
RESEND_DELAY_S = 0.5
CACHE_BLOCKS = 120
MAX_ENTRIES_WITH_EVENTS = 7


@dataclass(slots=True)
class RunResult:
    """Hold the measurements of a run."""

    first_token_ms: np.ndarray
    inter_token_ms: np.ndarray
    hit_ratio: float
    decisions_per_s: float
    imbalance: float
    not_started: int


@dataclass(slots=True)
class Run:
    """Simulate one policy on one trace."""

    scenario: Scenario
    policy_name: str
    seed: int
    engines: list[Engine] = field(default_factory=list)
    policies: list[Policy] = field(default_factory=list)
    views: list[list[Candidate]] = field(default_factory=list)
    eligible: list[list[Candidate]] = field(default_factory=list)
    recent_sends: list[deque] = field(default_factory=list)
    events: list[tuple] = field(default_factory=list)
    lost_runners: set[int] = field(default_factory=set)
    imbalances: list[float] = field(default_factory=list)
    sequence: itertools.count = field(default_factory=itertools.count)
    decision_s: float = 0.0
    decisions: int = 0

    def run(self) -> RunResult:
        """Run the trace and return the measurements."""
        scenario, rng = self.scenario, np.random.default_rng(self.seed)
        slowdowns = scenario.slowdowns(rng)
        jobs = make_jobs(scenario, scenario.rate(slowdowns), rng)
        self.simulate(jobs, slowdowns)
        return self._result(jobs)

    def simulate(self, jobs: list[Job], slowdowns: np.ndarray) -> None:
        """Simulate jobs on engines; `slowdowns` are factors on their step times."""
        scenario = self.scenario
        self._build(slowdowns)
        for job in jobs:
            self._schedule(job.arrived, self._arrive, job)
        if scenario.lost_domains:
            self._schedule(
                scenario.seconds / 2, self._lose_domains, scenario.lost_domains
            )
        self._process_events(scenario.seconds * 2)

    def _build(self, slowdowns: np.ndarray) -> None:
        scenario, rng = self.scenario, random.Random(self.seed)
        self.engines = [Engine(float(factor), CACHE_BLOCKS) for factor in slowdowns]
        self.recent_sends = [deque() for _ in self.engines]
        for entry in range(scenario.entries):
            self.policies.append(POLICIES[self.policy_name](random.Random(entry)))
            view = [
                Candidate(str(n), str(n % scenario.domains))
                for n in range(scenario.runners)
            ]
            self.views.append(view)
            self.eligible.append(list(view))
        for number in range(scenario.runners):
            self._schedule(rng.random() * REPORT_INTERVAL_S, self._send_report, number)

    def _schedule(self, when: float, callback, *args) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), callback, args))

    def _process_events(self, end: float) -> None:
        events = self.events
        while events and events[0][0] < end:
            when, _, callback, args = heapq.heappop(events)
            callback(when, *args)

    def _arrive(self, now: float, job: Job) -> None:
        policy, domain = self.policies[job.entry], job.entry % self.scenario.domains
        request = RoutingRequest(str(domain), job.prefixes, job.prompt_tokens)
        began = time.perf_counter()
        choice = policy.choose(request, self.eligible[job.entry], now)
        self.decision_s += time.perf_counter() - began
        self.decisions += 1
        job.engine = int(choice.candidate.upstream)
        choice.candidate.in_flight += 1
        choice.candidate.sent_since_report += 1
        self.recent_sends[job.engine].append((now, job.entry))
        engine = self.engines[job.engine]
        engine.add(job)
        if not engine.stepping:
            self._start_step(now, job.engine)

    def _start_step(self, now: float, number: int) -> None:
        step_s = self.engines[number].start_step()
        if step_s is not None:
            self._schedule(now + step_s, self._end_step, number)

    def _end_step(self, now: float, number: int) -> None:
        if number in self.lost_runners:
            return
        for job in self.engines[number].end_step(now):
            self.views[job.entry][number].in_flight -= 1
            self._on_complete(now, job)
        self._start_step(now, number)

    def _on_complete(self, now: float, job: Job) -> None:
        """Handle the completion of a job; does nothing by default."""

    def _send_report(self, now: float, number: int) -> None:
        if number in self.lost_runners or now > self.scenario.seconds:
            return
        load = self.engines[number].report(now)
        self._schedule(now + REPORT_LAG_S, self._receive_report, number, load)
        self._schedule(now + REPORT_INTERVAL_S, self._send_report, number)
        if number == 0 or (number == self.scenario.domains - 1):
            self._sample_imbalance(now)

    def _receive_report(self, now: float, number: int, load: Load) -> None:
        recent_sends = self.recent_sends[number]
        while recent_sends and recent_sends[0][0] <= load.sampled_at:
            recent_sends.popleft()
        for view in self.views:
            candidate = view[number]
            candidate.running, candidate.waiting = load.running, load.waiting
            candidate.step_ms, candidate.reported_at = load.step_ms, load.sampled_at
            candidate.sent_since_report = 0
        for _, entry in recent_sends:
            self.views[entry][number].sent_since_report += 1
        self._send_cache_event(now, number, load)

    def _send_cache_event(self, now: float, number: int, load: Load) -> None:
        if len(self.views) > MAX_ENTRIES_WITH_EVENTS:
            return
        event = CacheEvent(str(number), load.seq, load.stored, load.removed)
        for entry, policy in enumerate(self.policies):
            index = getattr(policy, "_prefixes", None)
            dropped = hash((entry, number, load.seq)) % 1000 < 1000 * EVENT_LOSS_RATIO
            if index is not None and not dropped:
                index.apply(event, now)

    def _lose_domains(self, now: float, domains: int) -> None:
        count = self.scenario.domains
        self.lost_runners = {n for n in range(len(self.engines)) if n % count < domains}
        for entry, view in enumerate(self.views):
            remaining = [c for c in view if int(c.upstream) not in self.lost_runners]
            self.eligible[entry] = remaining
        for number in self.lost_runners:
            for job in self.engines[number].drain():
                self._schedule(now + RESEND_DELAY_S, self._arrive, job)

    def _sample_imbalance(self, now: float) -> None:
        alive = [e for n, e in enumerate(self.engines) if n not in self.lost_runners]
        loads = [len(e.queue) + len(e.low_priority) + len(e.batch) for e in alive]
        if now > WARM_UP_S:
            self.imbalances.append(max(loads) / max(1.0, sum(loads) / len(loads)))

    def _result(self, jobs: list[Job]) -> RunResult:
        jobs = [job for job in jobs if job.arrived >= WARM_UP_S]
        started = [job for job in jobs if job.first_token_at >= 0.0]
        completed = [
            job for job in started if job.completed_at > 0.0 and job.output_tokens > 1
        ]
        first_token_ms = [
            1000.0 * (job.first_token_at - job.arrived) for job in started
        ]
        inter_token_ms = [
            1000.0 * (job.completed_at - job.first_token_at) / (job.output_tokens - 1)
            for job in completed
        ]
        shared_tokens = sum(len(job.prefixes) * BLOCK_TOKENS for job in started)
        return RunResult(
            first_token_ms=np.array(first_token_ms),
            inter_token_ms=np.array(inter_token_ms),
            hit_ratio=sum(job.cached_tokens for job in started) / max(1, shared_tokens),
            decisions_per_s=self.decisions / self.decision_s,
            imbalance=float(np.mean(self.imbalances)),
            not_started=len(jobs) - len(started),
        )
