"""Measure protected calls per second against a table with a limited commit rate.

Agents in one process claim, run and finish calls that arrive at random, with one
claim per transaction or with group commit. A tenth of the calls repeat a key at
another agent; the last column counts the keys that ran twice.

Run with ``python -m bench.claims``.
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

MAX_BACKLOG_S = 0.25
DEADLINE_S = 2.0
SERVICE_S = 0.02
REPEAT_RATIO = 0.1
HOP_LATENCY_S = 0.001
DRAIN_INTERVAL_S = 0.05
LATENCY_SIGMA = 0.4
MAX_WAIT_US = 60_000_000
BODY = b"seat 12A, run 7, paid" * 10


@dataclass(slots=True, frozen=True)
class Case:
    """Describe the case of a row in the printed table.

    Parameters
    ----------
    name : str
        Name of the case.
    agents : int
        Number of agents.
    rate : float
        Calls offered per second.
    max_batch : int
        Maximum number of claims in a commit.
    concurrent_commits : int
        Number of commits in flight per agent.
    linger_s : float, default=0.0
        Longest wait of a recorded answer for its commit, in seconds.
    writers : int, default=0
        Number of processes that commit for all agents; 0 if agents commit themselves.
    """

    name: str
    agents: int
    rate: float
    max_batch: int
    concurrent_commits: int
    linger_s: float = 0.0
    writers: int = 0


@dataclass(slots=True)
class Result:
    """Hold the measurements of a run.

    Parameters
    ----------
    executions : dict of str to int
        Number of executions by key.
    keys : int
        Number of keys offered.
    started_in_window : int
        Executions started before the arrivals ended.
    commits : int
        Number of successful commits.
    seconds : float
        Duration of the arrivals.
    wait_us : HdrHistogram
        Microseconds from a call's arrival to its claim, for calls that ran.
    """

    executions: dict[str, int] = field(default_factory=dict)
    keys: int = 0
    started_in_window: int = 0
    commits: int = 0
    seconds: float = 0.0
    wait_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_WAIT_US, 3)
    )


class RemoteSubmitter:
    """Simulate a committer in another process; implements `Submitter`.

    Parameters
    ----------
    committer : Committer
        Committer of the other process.
    """

    __slots__ = ("_committer",)

    def __init__(self, committer: Committer) -> None:
        self._committer = committer

    def submit(self, checks, writes, *, timeout_s, linger_s=0.0):
        """Commit with the latency of a network hop in each direction."""
        gevent.sleep(HOP_LATENCY_S)
        try:
            return self._committer.submit(
                checks, writes, timeout_s=timeout_s, linger_s=linger_s
            )
        finally:
            gevent.sleep(HOP_LATENCY_S)


class LimitedTable(MemoryTable):
    """Limit the commit rate and add a random latency to each commit.

    Parameters
    ----------
    rng : random.Random
        Random source of the latencies.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng
        self._next_slot = 0.0

    def commit(self, checks, writes):
        """Wait for a slot, commit, and return after the latency."""
        now = time.monotonic()
        slot = max(now, self._next_slot)
        if slot - now > MAX_BACKLOG_S:
            gevent.sleep(self._latency_s())
            raise TableThrottled("too many commits")
        self._next_slot = slot + 1.0 / COMMITS.value
        latency_s = self._latency_s()
        gevent.sleep(slot - now + latency_s / 2)
        try:
            return super().commit(checks, writes)
        finally:
            gevent.sleep(latency_s / 2)

    def _latency_s(self) -> float:
        return self._rng.lognormvariate(0.0, LATENCY_SIGMA) * LATENCY_MS.value / 1e3


class ClaimRun:
    """Run one case with one seed."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.table = LimitedTable(random.Random(seed + 1))
        self.result = Result()
        count = case.writers or case.agents
        self.committers = [self._make_committer(seed, i) for i in range(count)]
        self.agents = [self._make_agent(i) for i in range(case.agents)]
        self.arrivals_end = 0.0
        self.jobs = Group()

    def run(self) -> Result:
        """Offer calls for `SECONDS`, then wait until all calls and commits end."""
        started_at = time.monotonic()
        self.arrivals_end = started_at + SECONDS.value
        arrived_at = started_at
        for number in itertools.count():
            arrived_at += self.rng.expovariate(self.case.rate)
            if arrived_at > self.arrivals_end:
                break
            gevent.sleep(max(0.0, arrived_at - time.monotonic()))
            self._arrive(number, arrived_at)
        self.result.seconds = SECONDS.value
        self.jobs.join()
        for agent in self.agents:
            while agent.pending.flush(DEADLINE_S):
                gevent.sleep(DRAIN_INTERVAL_S)
        for committer in self.committers:
            committer.close()
        self.result.commits = self.table.commits
        return self.result

    def _make_committer(self, seed: int, index: int) -> Committer:
        committer = Committer(
            self.table,
            rng=random.Random(f"{seed} {index}"),
            workers=self.case.concurrent_commits,
            max_batch_size=self.case.max_batch,
        )
        committer.start()
        return committer

    def _make_agent(self, index: int) -> Claims:
        committer = self.committers[index % len(self.committers)]
        return Claims(
            RemoteSubmitter(committer) if self.case.writers else committer,
            self.table,
            MemoryObjects(),
            f"agent-{index}",
            finish_linger_s=self.case.linger_s,
        )

    def _arrive(self, number: int, arrived_at: float) -> None:
        agents = self.rng.sample(self.agents, 2)
        key = f"{number:08d}"
        self.result.keys += 1
        self.jobs.spawn(self._call, agents[0], key, arrived_at)
        if self.rng.random() < REPEAT_RATIO:
            self.jobs.spawn(self._call, agents[1], key, arrived_at)

    def _call(self, agent: Claims, key: str, arrived_at: float) -> None:
        result = self.result
        deadline = time.monotonic() + DEADLINE_S
        try:
            begun = agent.begin("team", key, key, "hash", deadline=deadline)
        except ClaimRefused:
            return
        now = time.monotonic()
        if isinstance(begun, Started):
            result.wait_us.record_value(int((now - arrived_at) * 1e6))
            result.started_in_window += now < self.arrivals_end
            result.executions[key] = result.executions.get(key, 0) + 1
            gevent.sleep(SERVICE_S)
            agent.finish(begun.claim, BufferedResponse(200, {}, BODY))


def _cases() -> list[Case]:
    single = [
        Case("one claim a transaction", 3, rate, 1, 16) for rate in (140.0, 300.0)
    ]
    grouped = [Case("group commit", 3, rate, 256, 1) for rate in (140.0, 300.0, 900.0)]
    grouped.append(
        Case("group commit, answers wait 0.05 s", 3, 300.0, 256, 1, linger_s=0.05)
    )
    many_agents = [
        Case(f"group commit, answers wait {linger:g} s", 120, 300.0, 256, 1, linger)
        for linger in (0.0, 1.0)
    ]
    shared = [Case("group commit by 3 writers", 120, 300.0, 256, 1, writers=3)]
    return single + grouped + many_agents + shared


def _format_spread(values: list[float], digits: int) -> str:
    median = statistics.median(values)
    return f"{median:.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def _format_row(case: Case, results: list[Result]) -> str:
    totals = [sum(r.executions.values()) for r in results]
    started_per_s = [r.started_in_window / r.seconds for r in results]
    commits_per_call = [
        r.commits / max(1, total) for total, r in zip(totals, results, strict=True)
    ]
    cells = [
        case.name,
        str(case.agents),
        f"{case.rate:g}",
        _format_spread(started_per_s, 0),
        _format_spread([float(r.keys - len(r.executions)) for r in results], 0),
        _format_spread(
            [r.wait_us.get_value_at_percentile(50) / 1e3 for r in results], 1
        ),
        _format_spread(
            [r.wait_us.get_value_at_percentile(99) / 1e3 for r in results], 1
        ),
        _format_spread(commits_per_call, 2),
        str(sum(total > 1 for r in results for total in r.executions.values())),
    ]
    return "| " + " | ".join(cells) + " |"


def main(argv: list[str]) -> None:
    """Run all cases with all seeds and print a table.

    Parameters
    ----------
    argv : list of str
        Arguments left by absl.
    """
    headers = [
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
    print("| " + " | ".join(headers) + " |")
    print("| " + " | ".join(["---"] * len(headers)) + " |")
    for case in _cases():
        results = [ClaimRun(case, int(seed)).run() for seed in SEEDS.value]
        print(_format_row(case, results), flush=True)


if __name__ == "__main__":
    app.run(main)
