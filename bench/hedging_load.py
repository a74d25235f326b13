"""Play load through the decisions on second attempts, without a network or a clock.

Run as a program, it prints the figures of docs/design/hedging.md.
"""

import heapq
import itertools
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from toucanspool.retries.ejection import AttemptResult, Ejector
from toucanspool.retries.hedging import HedgedCall, HedgeDecision, HedgePolicy
from toucanspool.retries.shared_budget import SharedBudget
from toucanspool.routing.balancer import LeastLoadBalancer
from toucanspool.routing.second_choice import SecondChoice
from toucanspool.routing.upstream import Listing
from toucanspool.routing.upstreams import UpstreamList
from toucanspool.settings.hedging import Hedging

SERVICE = "desk"
KIND = (SERVICE, "r", 1)
MAX_ATTEMPTS = 2
TIMEOUT_S = 5.0
MEDIAN_S, SIGMA = 0.2, 0.35
HICCUP_FACTOR = 6.0
MAX_QUEUE = 5
PAUSE_S = 0.5
WARM_UP_S = 30.0
RETRY_RATIO = 0.2


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Describe upstreams, entries and load."""

    upstreams: int = 12
    slots: int = 5
    slow: int = 0
    slow_factor: float = 4.0
    failing: int = 0
    fail_rate: float = 0.3
    hiccups: float = 0.02
    entries: int = 4
    calls_per_s: float = 25.0
    seconds: float = 150.0


@dataclass(slots=True)
class Result:
    """Hold what a run gave."""

    latencies: list[float] = field(default_factory=list)
    calls: list[float] = field(default_factory=list)
    hedges: list[float] = field(default_factory=list)
    decisions: dict[str, int] = field(default_factory=dict)
    refused: int = 0

    def percentile_ms(self, percent: float) -> int:
        """Return a percentile of the calls' times."""
        times = sorted(self.latencies)
        return round(1000 * times[min(len(times) - 1, int(len(times) * percent / 100))])

    @property
    def share(self) -> float:
        """Return second attempts per call."""
        return len(self.hedges) / len(self.calls)

    def worst_share(self, window_s: float = 60.0) -> float:
        """Return the largest share of second attempts in a whole window."""
        last = max(self.calls)
        shares = [0.0]
        for at in self.hedges:
            until = at + window_s
            if until <= last:
                calls = sum(at <= t < until for t in self.calls)
                shares.append(sum(at <= t < until for t in self.hedges) / calls)
        return max(shares)


class _Server:
    """One upstream: slots, and a short queue."""

    def __init__(self, play: "Play", number: int, fleet: Fleet) -> None:
        self.play, self.fleet = play, fleet
        self.slow = number < fleet.slow
        self.failing = number < fleet.failing
        self.running: set[_Try] = set()
        self.queue: list[_Try] = []

    def accept(self, one: "_Try") -> bool:
        if len(self.running) < self.fleet.slots:
            self._run(one)
        elif len(self.queue) < MAX_QUEUE:
            self.queue.append(one)
        else:
            return False
        return True

    def leave(self, one: "_Try") -> None:
        if one in self.queue:
            self.queue.remove(one)
        if one in self.running:
            self.running.remove(one)
            if self.queue:
                self._run(self.queue.pop(0))

    def _run(self, one: "_Try") -> None:
        self.running.add(one)
        rng = self.play.rng
        seconds = rng.lognormvariate(0.0, SIGMA) * MEDIAN_S
        if rng.random() < self.fleet.hiccups:
            seconds *= HICCUP_FACTOR
        if self.slow:
            seconds *= self.fleet.slow_factor
        fails = self.failing and rng.random() < self.fleet.fail_rate
        self.play.after(seconds, lambda: one.end(not fails))


class _Entry:
    """One entry with its own view of the upstreams."""

    def __init__(self, play: "Play", fleet: Fleet, cfg: Hedging | None) -> None:
        self.list = UpstreamList()
        listings = [
            Listing(
                name=f"u{n:02}",
                service=SERVICE,
                host="h",
                port=n,
                failure_domain=f"d{n % 3}",
                slots=fleet.slots,
            )
            for n in range(fleet.upstreams)
        ]
        self.list.replace(listings, 1, now=0.0)
        self.ejector = Ejector(play.rng)
        pools = {listing.name: SERVICE for listing in listings}
        self.ejector.update(pools, 0.0, pools=pools)
        self.balancer = LeastLoadBalancer(self.list, self.ejector, "d0", play.rng)
        self.second = SecondChoice(self.list, self.ejector)
        self.budget = SharedBudget(
            ratio=RETRY_RATIO, window_s=10.0, extra=0.0, started_at=0.0
        )
        self.policy = HedgePolicy(cfg) if cfg else None


class _Try:
    """One attempt."""

    def __init__(self, call: "_Call", upstream, at: float) -> None:
        self.call, self.upstream, self.started_at = call, upstream, at
        self.server = call.play.servers[upstream.listing.port]
        self.open = True
        upstream.start_request(at)

    def end(self, ok: bool) -> None:
        if self.open:
            self.close()
            self.call.ended(self, ok)

    def close(self) -> None:
        self.open = False
        self.upstream.in_flight -= 1
        self.server.leave(self)
        self.upstream.report_load(
            len(self.server.running), len(self.server.queue), self.call.play.now
        )


class _Call:
    """One call, decided on as the gateway does."""

    def __init__(self, play: "Play", entry: _Entry) -> None:
        self.play, self.entry, self.began_at = play, entry, play.now
        self.runs = 0
        self.tries: list[_Try] = []
        self.tried: set[str] = set()
        self.done = False
        entry.budget.record_request(SERVICE, play.now)
        if entry.policy:
            entry.policy.record_call(SERVICE, play.now)
        self.send()
        if self.tries:
            delay_s = play._delay_s(entry.policy) if entry.policy else None
            if delay_s is not None:
                play.after(delay_s, self.consider)

    def send(self, upstream=None) -> None:
        play, entry = self.play, self.entry
        while True:
            upstream = upstream or entry.balancer.choose(
                SERVICE, self.tried, play.now, prefer_local=True
            )
            if upstream is None:
                self.refuse()
                return
            one = _Try(self, upstream, play.now)
            if one.server.accept(one):
                self.tries.append(one)
                self.runs += 1
                return
            one.close()
            self.tried.add(upstream.name)
            upstream.pause(play.now, PAUSE_S)
            if entry.policy:
                entry.policy.record_scarcity(SERVICE, play.now)
            if any(t.open for t in self.tries):
                return
            upstream = None

    def consider(self) -> None:
        play, policy = self.play, self.entry.policy
        if self.done or self.tried or len(self.tries) != 1 or not self.tries[0].open:
            return
        other = self.entry.second.choose(self.tries[0].upstream, play.now)
        decision = policy.decide(
            HedgedCall(
                service=SERVICE,
                repeatable=True,
                runs=self.runs,
                max_attempts=MAX_ATTEMPTS,
                left_s=self.began_at + TIMEOUT_S - play.now,
            ),
            play.now,
            has_upstream=other is not None,
            withdraw=lambda: self.entry.budget.try_withdraw(SERVICE, play.now),
        )
        counts = play.result.decisions
        counts[decision.name] = counts.get(decision.name, 0) + 1
        if decision is HedgeDecision.ALLOWED:
            play.result.hedges.append(play.now)
            self.send(other)

    def ended(self, one: _Try, ok: bool) -> None:
        play, entry = self.play, self.entry
        result = AttemptResult.OK if ok else AttemptResult.FAILED
        entry.ejector.record(one.upstream.name, result, play.now)
        if self.done:
            return
        if ok:
            self.finish(one)
            return
        self.tried.add(one.upstream.name)
        if any(other.open for other in self.tries):
            return
        if self.runs < MAX_ATTEMPTS and entry.budget.try_withdraw(SERVICE, play.now):
            self.send()
        else:
            self.refuse()

    def finish(self, winner: _Try) -> None:
        self.done = True
        play, entry, first = self.play, self.entry, self.tries[0]
        for other in self.tries:
            if other.open:
                other.close()
                if other is first:
                    entry.ejector.record(
                        other.upstream.name, AttemptResult.FAILED, play.now
                    )
        if entry.policy and not self.tried:
            entry.policy.record_latency(KIND, play.now - first.started_at, play.now)
            play.seen.append(play.now - first.started_at)
        if self.began_at >= WARM_UP_S:
            play.result.latencies.append(play.now - self.began_at)

    def refuse(self) -> None:
        self.done = True
        self.play.result.refused += 1
        if self.entry.policy:
            self.entry.policy.record_scarcity(SERVICE, self.play.now)


Delay = Callable[["Play", HedgePolicy], float | None]


def percentile_delay(play: "Play", policy: HedgePolicy) -> float | None:
    """Return the delay that the gateway uses."""
    return policy.delay_s(KIND, play.now)


class Play:
    """Play one load."""

    def __init__(
        self,
        fleet: Fleet,
        cfg: Hedging | None,
        *,
        seed: int = 1,
        delay: Delay = percentile_delay,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.result = Result()
        self.seen: list[float] = []
        self._delay = delay
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.servers = [_Server(self, n, fleet) for n in range(fleet.upstreams)]
        self.fleet, self.cfg = fleet, cfg
        self.entries = [_Entry(self, fleet, cfg) for _ in range(fleet.entries)]

    def _delay_s(self, policy: HedgePolicy) -> float | None:
        return self._delay(self, policy)

    def after(self, seconds: float, func: Callable[[], None]) -> None:
        """Call a function later."""
        at = self.now + seconds
        heapq.heappush(self._events, (at, next(self._numbers), func))

    def run(self, *, restart_at: float | None = None) -> Result:
        """Play the load to its end; entries may be restarted meanwhile."""
        for number in range(len(self.entries)):
            self._arrive(number)
        for second in range(int(self.fleet.seconds)):
            self.after(second, self._probe)
        if restart_at is not None:
            self.after(restart_at, self._restart)
        while self._events:
            self.now, _, func = heapq.heappop(self._events)
            func()
        return self.result

    def _arrive(self, number: int) -> None:
        if self.now > self.fleet.seconds:
            return
        if self.now:
            self.result.calls.append(self.now)
            _Call(self, self.entries[number])
        gap_s = self.rng.expovariate(self.fleet.calls_per_s)
        self.after(gap_s, lambda: self._arrive(number))

    def _probe(self) -> None:
        for entry in self.entries:
            for name in entry.ejector.due_probes(self.now):
                entry.ejector.record_probe(name, AttemptResult.OK, self.now)

    def _restart(self) -> None:
        self.entries = [
            _Entry(self, self.fleet, self.cfg) for _ in range(self.fleet.entries)
        ]


def settings(ratio: float = 0.05, **more: object) -> Hedging:
    """Return settings of second attempts."""
    return Hedging(ratio=ratio, **more)


def _fixed(seconds: float) -> Delay:
    return lambda play, policy: seconds


def _expected_cost(play: Play, policy: HedgePolicy) -> float | None:
    """Return the delay of least expected time, where extra work costs time as well."""
    recent = sorted(play.seen[-400:])
    if len(recent) < 20:
        return None
    price = 2.0
    best = (float("inf"), 0.0)
    for rank in range(0, len(recent), 20):
        delay_s = recent[rank]
        late = len(recent) - rank
        spared = sum(max(0.0, t - delay_s - MEDIAN_S) for t in recent[rank:])
        cost = price * MEDIAN_S * late - spared
        best = min(best, (cost, delay_s))
    return best[1] if best[0] < 0.0 else None


FLEETS = {
    "sound": Fleet(),
    "one of 12 slow (x4)": Fleet(slow=1),
    "one of 12 failing (30 %)": Fleet(failing=1),
    "full load": Fleet(calls_per_s=64.0),
    "beyond full load": Fleet(calls_per_s=80.0),
}
WAYS: dict[str, tuple[Hedging | None, Delay]] = {
    "none": (None, percentile_delay),
    "fixed 0.3 s": (settings(), _fixed(0.3)),
    "fixed 1 s": (settings(), _fixed(1.0)),
    "percentile 95": (settings(), percentile_delay),
    "percentile 99": (settings(percentile=99), percentile_delay),
    "expected cost": (settings(), _expected_cost),
    "two at once": (settings(), _fixed(0.0)),
    "two at once, no limit": (
        Hedging.model_construct(
            ratio=1.0, percentile=95.0, min_delay_ms=1.0, services=None
        ),
        _fixed(0.0),
    ),
}


def main() -> None:
    """Print the figures."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for load, fleet in FLEETS.items():
        for way, (cfg, delay) in WAYS.items():
            result = Play(fleet, cfg, delay=delay).run()
            print(
                f"| {load} | {way} | {result.percentile_ms(50)} | "
                f"{result.percentile_ms(99)} | {result.percentile_ms(99.9)} | "
                f"{100 * result.share:.1f} | {result.refused} | "
                f"{dict(sorted(result.decisions.items()))}",
                flush=True,
            )


if __name__ == "__main__":
    main()
