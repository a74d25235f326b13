"""One policy on one trace: entries, late reports and engines as events."""

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

REPORT_EVERY_S = 1.0
REPORT_LAG_S = 1.0
LOST_EVENTS = 0.05
WARM_UP_S = 7.0
RESEND_S = 0.5
CACHE_BLOCKS = 120
EVENTS_AT_MOST_ENTRIES = 7


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
        self.play(jobs, slow)
        return self._figures(jobs)

    def play(self, jobs: list[Job], slow: np.ndarray) -> None:
        """Run the jobs on engines with these factors on their step times."""
        scenario = self.scenario
        self._build(slow)
        for job in jobs:
            self._at(job.arrived, self._arrive, job)
        if scenario.lost_domains:
            self._at(scenario.seconds / 2, self._lose, scenario.lost_domains)
        self._loop(scenario.seconds * 2)

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
        work = RoutingRequest(str(domain), job.prefixes, job.prompt_tokens)
        began = time.perf_counter()
        choice = policy.choose(work, self.eligible[job.entry], now)
        self.choosing_s += time.perf_counter() - began
        self.decisions += 1
        job.engine = int(choice.candidate.upstream)
        choice.candidate.in_flight += 1
        choice.candidate.sent_since_report += 1
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
            self._done(now, job)
        self._step(now, number)

    def _done(self, now: float, job: Job) -> None:
        """Note that a job is complete."""

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
            candidate.sent_since_report = 0
        for _, entry in sends:
            self.views[entry][number].sent_since_report += 1
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
        loads = [len(e.queue) + len(e.low) + len(e.batch) for e in alive]
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
