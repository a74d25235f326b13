"""Measure protected calls a second at a table that allows few commits a second.

Agents in one process claim, run and finish calls that arrive at random, one claim a
transaction or with group commit. A tenth of the calls repeat a key at another agent;
the last column counts keys that ran twice.

Run by ``python -m bench.claims``.
"""

import itertools
import random
import statistics
import time
from dataclasses import dataclass, field

import gevent
from absl import app, flags
from gevent.pool import Group
from hdrh.histogram import HdrHistogram

from standins.memory import MemoryObjects, MemoryTable
from toucanspool.backing.table import TableThrottled
from toucanspool.protected.claims import BufferedResponse, Claims, Started
from toucanspool.protected.committer import Committer
from toucanspool.protected.errors import ClaimRefused

SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "seeds, one run each")
SECONDS = flags.DEFINE_float("seconds", 3.0, "seconds of arrivals in a run")
COMMITS = flags.DEFINE_float("commits", 300.0, "commits a second that the table takes")
LATENCY_MS = flags.DEFINE_float("latency_ms", 4.0, "median of a commit's latency")

BACKLOG_S = 0.25
DEADLINE_S = 2.0
WORK_S = 0.02
REPEATED = 0.1
HOP_S = 0.001
DRAIN_INTERVAL_S = 0.05
LATENCY_SIGMA = 0.4
MAX_WAIT_US = 60_000_000
BODY = b"seat 12A, run 7, paid" * 10


@dataclass(slots=True, frozen=True)
class Case:
    """Hold one row of the table that is printed.

    Parameters
    ----------
    name : str
        What differs.
    agents : int
        Number of agents.
    rate : float
        Calls offered a second.
    batch : int
        Claims in a commit at most.
    workers : int
        Commits in flight of an agent.
    linger_s : float, default=0.0
        Seconds that the record of an answer may wait.
    writers : int, default=0
        Processes that commit for all agents; 0 where each agent commits itself.
    """

    name: str
    agents: int
    rate: float
    batch: int
    workers: int
    linger_s: float = 0.0
    writers: int = 0


@dataclass(slots=True)
class Result:
    """Hold what one run gave.

    Parameters
    ----------
    runs : dict of str to int
        Executions by key.
    keys : int
        Keys offered.
    in_time : int
        Executions before the arrivals ended.
    commits : int
        Commits that took effect.
    seconds : float
        Seconds of arrivals.
    wait : HdrHistogram
        Microseconds from the arrival of a call that ran to its claim.
    """

    runs: dict[str, int] = field(default_factory=dict)
    keys: int = 0
    in_time: int = 0
    commits: int = 0
    seconds: float = 0.0
    wait: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_WAIT_US, 3))


class Hop:
    """Commit through another process; implements `Submitter`.

    Parameters
    ----------
    committer : Committer
        The other process's committer.
    """

    __slots__ = ("_committer",)

    def __init__(self, committer: Committer) -> None:
        self._committer = committer

    def submit(self, checks, writes, *, timeout_s, linger_s=0.0):
        """Commit after a hop there, and before a hop back."""
        gevent.sleep(HOP_S)
        try:
            return self._committer.submit(
                checks, writes, timeout_s=timeout_s, linger_s=linger_s
            )
        finally:
            gevent.sleep(HOP_S)


class LimitedTable(MemoryTable):
    """Take a limited number of commits a second, each with a latency.

    Parameters
    ----------
    rng : random.Random
        Source of the latencies.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng
        self._slot = 0.0

    def commit(self, checks, writes):
        """Wait for a slot, commit, and answer after the latency."""
        now = time.monotonic()
        slot = max(now, self._slot)
        if slot - now > BACKLOG_S:
            gevent.sleep(self._latency_s())
            raise TableThrottled("too many commits")
        self._slot = slot + 1.0 / COMMITS.value
        latency_s = self._latency_s()
        gevent.sleep(slot - now + latency_s / 2)
        try:
            return super().commit(checks, writes)
        finally:
            gevent.sleep(latency_s / 2)

    def _latency_s(self) -> float:
        return self._rng.lognormvariate(0.0, LATENCY_SIGMA) * LATENCY_MS.value / 1e3


class Bench:
    """Run one case with one seed.

    Parameters
    ----------
    case : Case
        The case.
    seed : int
        The seed.
    """

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.table = LimitedTable(random.Random(seed + 1))
        self.result = Result()
        count = case.writers or case.agents
        self.committers = [self._committer(seed, i) for i in range(count)]
        self.agents = [self._agent(i) for i in range(case.agents)]
        self.ends = 0.0
        self.jobs = Group()

    def run(self) -> Result:
        """Offer calls for a while, and let all come to their end.

        Returns
        -------
        Result
        """
        begun = time.monotonic()
        self.ends = begun + SECONDS.value
        at = begun
        for number in itertools.count():
            at += self.rng.expovariate(self.case.rate)
            if at > self.ends:
                break
            gevent.sleep(max(0.0, at - time.monotonic()))
            self._arrive(number, at)
        self.result.seconds = SECONDS.value
        self.jobs.join()
        for agent in self.agents:
            while agent.pending.flush(DEADLINE_S):
                gevent.sleep(DRAIN_INTERVAL_S)
        for committer in self.committers:
            committer.close()
        self.result.commits = self.table.commits
        return self.result

    def _committer(self, seed: int, index: int) -> Committer:
        committer = Committer(
            self.table,
            rng=random.Random(f"{seed} {index}"),
            workers=self.case.workers,
            max_batch_size=self.case.batch,
        )
        committer.start()
        return committer

    def _agent(self, index: int) -> Claims:
        committer = self.committers[index % len(self.committers)]
        return Claims(
            Hop(committer) if self.case.writers else committer,
            self.table,
            MemoryObjects(),
            f"agent-{index}",
            finish_linger_s=self.case.linger_s,
        )

    def _arrive(self, number: int, at: float) -> None:
        agents = self.rng.sample(self.agents, 2)
        key = f"{number:08d}"
        self.result.keys += 1
        self.jobs.spawn(self._call, agents[0], key, at)
        if self.rng.random() < REPEATED:
            self.jobs.spawn(self._call, agents[1], key, at)

    def _call(self, agent: Claims, key: str, at: float) -> None:
        result = self.result
        deadline = time.monotonic() + DEADLINE_S
        try:
            got = agent.begin("team", key, key, "hash", deadline=deadline)
        except ClaimRefused:
            return
        now = time.monotonic()
        if isinstance(got, Started):
            result.wait.record_value(int((now - at) * 1e6))
            result.in_time += now < self.ends
            result.runs[key] = result.runs.get(key, 0) + 1
            gevent.sleep(WORK_S)
            agent.finish(got.claim, BufferedResponse(200, {}, BODY))


def _cases() -> list[Case]:
    single = [
        Case("one claim a transaction", 3, rate, 1, 16) for rate in (140.0, 300.0)
    ]
    grouped = [Case("group commit", 3, rate, 256, 1) for rate in (140.0, 300.0, 900.0)]
    grouped.append(
        Case("group commit, answers wait 0.05 s", 3, 300.0, 256, 1, linger_s=0.05)
    )
    fleet = [
        Case(f"group commit, answers wait {linger:g} s", 120, 300.0, 256, 1, linger)
        for linger in (0.0, 1.0)
    ]
    shared = [Case("group commit by 3 writers", 120, 300.0, 256, 1, writers=3)]
    return single + grouped + fleet + shared


def _spread(values: list[float], digits: int) -> str:
    middle = statistics.median(values)
    return f"{middle:.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def _line(case: Case, results: list[Result]) -> str:
    runs = [sum(r.runs.values()) for r in results]
    rates = [r.in_time / r.seconds for r in results]
    commits = [r.commits / max(1, n) for n, r in zip(runs, results, strict=True)]
    cells = [
        case.name,
        str(case.agents),
        f"{case.rate:g}",
        _spread(rates, 0),
        _spread([float(r.keys - len(r.runs)) for r in results], 0),
        _spread([r.wait.get_value_at_percentile(50) / 1e3 for r in results], 1),
        _spread([r.wait.get_value_at_percentile(99) / 1e3 for r in results], 1),
        _spread(commits, 2),
        str(sum(n > 1 for r in results for n in r.runs.values())),
    ]
    return "| " + " | ".join(cells) + " |"


def main(argv: list[str]) -> None:
    """Run all cases with all seeds and print a table.

    Parameters
    ----------
    argv : list of str
        Arguments left by absl.
    """
    heads = [
        "way",
        "agents",
        "offered calls/s",
        "started calls/s",
        "keys not run",
        "claim p50 ms",
        "claim p99 ms",
        "commits per call",
        "ran twice",
    ]
    print("| " + " | ".join(heads) + " |")
    print("| " + " | ".join(["---"] * len(heads)) + " |")
    for case in _cases():
        results = [Bench(case, int(seed)).run() for seed in SEEDS.value]
        print(_line(case, results), flush=True)


if __name__ == "__main__":
    app.run(main)
