"""Simulated agents, callers and an upstream, shared by the fault tests of claims.

The oracle, `World.check`, reads only the calls that the upstream executed and the
outcomes that callers got.
"""

import itertools
import random
from dataclasses import dataclass

import gevent

from standins.memory import MemoryObjects
from standins.virtual import GatedTable, Gates, VirtualClock, settle
from toucanspool.backing.table import Check, TableUncertain, Write
from toucanspool.protected.claims import BufferedResponse, Claims, Replay
from toucanspool.protected.committer import Committer
from toucanspool.protected.errors import ClaimRefused, InProgress
from toucanspool.protected.writes import WRITE_TIMEOUT_S, ReleaseWrite
from toucanspool.wire.gen.messages.ttypes import Outcome

TIMEOUT_S = 10.0
STEPS = (
    "commit.before",
    "commit.after",
    "get.before",
    "get.after",
    "connect",
    "execute.before",
    "execute.after",
)


class UpstreamRefused(Exception):
    """Report a refused connection: the upstream got nothing."""


class UpstreamBroke(Exception):
    """Report a connection that broke after the call was sent."""


@dataclass(slots=True, frozen=True)
class Execution:
    """Hold one call that the upstream ran."""

    key: str
    delivery: int
    body: str


class Upstream:
    """Run every call, and record it."""

    def __init__(self, gates):
        self.gates = gates
        self.executions = []
        self.refuse = 0
        self.breaks = 0

    def execute(self, key, delivery, body):
        """Run a call, or fail as configured."""
        self.gates.cross("connect")
        if self.refuse:
            self.refuse -= 1
            raise UpstreamRefused
        self.gates.cross("execute.before")
        self.executions.append(Execution(key, delivery, body))
        self.gates.cross("execute.after")
        if self.breaks:
            self.breaks -= 1
            raise UpstreamBroke
        return BufferedResponse(200, {}, f"{key} {delivery} {body}".encode())


class Agent:
    """Simulate one agent process, which can be killed."""

    def __init__(self, world, name):
        self.world = world
        self.committer = world.committer_cls(
            world.table, clock=world.clock, rng=random.Random(1), workers=2
        )
        self.committer.start()
        ids = (f"{name}/{i}" for i in itertools.count())
        self.claims = world.claims_cls(
            self.committer,
            world.table,
            world.objects,
            name,
            clock=world.clock,
            new_id=lambda: next(ids),
        )
        self.jobs = []

    def call(self, delivery, key, body, attempt):
        """Serve one delivery in its own greenlet."""
        self.jobs.append(gevent.spawn(self.serve, delivery, key, body, attempt))
        settle()

    def retry(self):
        """Retry the pending writes."""
        self.jobs.append(gevent.spawn(self.claims.retry_pending))
        settle()

    def kill(self):
        """Kill all greenlets of the process, wherever they wait."""
        recording = self.claims.pending._running.greenlets
        greenlets = [*self.jobs, *self.committer._greenlets, *recording]
        gevent.killall(greenlets, block=False)
        settle()

    def serve(self, delivery, key, body, attempt):
        """Serve a call as an agent does, at most once."""
        world = self.world
        deadline = world.clock.now() + TIMEOUT_S
        try:
            result = self.claims.begin("team", key, attempt, body, deadline=deadline)
        except ClaimRefused as exc:
            if not (world.rerun_unknown and isinstance(exc, InProgress)):
                world.report(delivery, exc.outcome)
                return
            result = None
        if isinstance(result, Replay):
            world.report(delivery, Outcome.COMPLETED, result.response)
            return
        self.send_upstream(delivery, key, body, result)

    def send_upstream(self, delivery, key, body, result):
        """Send a claimed call to the upstream."""
        world = self.world
        try:
            response = world.upstream.execute(key, delivery, body)
        except UpstreamRefused:
            world.report(delivery, Outcome.NOT_RUN)
            self.claims.release(result.claim)
        except UpstreamBroke:
            world.report(delivery, Outcome.UNKNOWN)
            if world.release_broken:
                self.claims.release(result.claim)
        else:
            world.report(delivery, Outcome.COMPLETED, response)
            if result is not None:
                self.claims.finish(result.claim, response)


class World:
    """Own the simulation, and check the reported outcomes against the executions.

    The arguments disable mechanisms of the software, to show that the checks fail
    without them.
    """

    def __init__(
        self,
        *,
        table_cls=GatedTable,
        claims_cls=Claims,
        committer_cls=Committer,
        rerun_unknown=False,
        release_broken=False,
    ):
        self.clock = VirtualClock()
        self.gates = Gates()
        self.table = table_cls(self.gates)
        self.objects = MemoryObjects()
        self.upstream = Upstream(self.gates)
        self.claims_cls = claims_cls
        self.committer_cls = committer_cls
        self.rerun_unknown = rerun_unknown
        self.release_broken = release_broken
        self.deliveries = []
        self.reported = {}
        self.agent_numbers = itertools.count()
        self.agents = [
            Agent(self, f"agent-{next(self.agent_numbers)}") for _ in range(3)
        ]
        self.deaths = 0
        self.keys_at_dead_agents = set()

    def call(self, agent, key="k", body="b", attempt=None):
        """Deliver an attempt to an agent, and return the number of the delivery."""
        delivery = len(self.deliveries)
        self.deliveries.append((agent, key, body))
        self.agents[agent].call(delivery, key, body, attempt or f"a{delivery}")
        return delivery

    def report(self, delivery, outcome, response=None):
        """Report an outcome to a caller that has none yet."""
        self.reported.setdefault(delivery, (outcome, response))

    def replace(self, index):
        """Kill an agent, and start another in its place."""
        self.deaths += 1
        self.agents[index].kill()
        for delivery, (agent, key, _) in enumerate(self.deliveries):
            if agent == index:
                self.report(delivery, Outcome.UNKNOWN)
                self.keys_at_dead_agents.add(key)
        self.agents[index] = Agent(self, f"agent-{next(self.agent_numbers)}")

    def heal(self):
        """Clear all faults, and let all calls and writes finish."""
        self.table.faults.clear()
        self.table.lose_requests = self.table.repeat_requests = 0
        self.upstream.refuse = self.upstream.breaks = 0
        self.gates.open()
        for _ in range(3):
            self.clock.advance(TIMEOUT_S)
            for agent in self.agents:
                agent.retry()
        self.clock.advance(TIMEOUT_S)

    def close(self):
        """End all greenlets."""
        for agent in self.agents:
            agent.kill()

    def check(self):
        """Check the reported outcomes against the calls that the upstream ran."""
        runs = self.upstream.executions
        keys = [run.key for run in runs]
        assert len(keys) == len(set(keys)), f"run twice: {runs}"
        ran = {run.delivery for run in runs}
        runs_by_body = {
            f"{run.key} {run.delivery} {run.body}".encode(): run for run in runs
        }
        for delivery, (outcome, response) in self.reported.items():
            if outcome == Outcome.NOT_RUN:
                assert delivery not in ran, f"reported as not run: {delivery}"
            if outcome == Outcome.COMPLETED:
                _, key, body = self.deliveries[delivery]
                run = runs_by_body.get(response.body)
                assert run, f"response of no execution: {delivery}"
                assert (run.key, run.body) == (key, body), f"foreign answer: {run}"

    def check_live(self):
        """Check after `heal` that each call has an outcome and free keys can run.

        Keys of calls that a killed agent had are exempt, since it can't free them.
        """
        self.check()
        assert len(self.reported) == len(self.deliveries)
        outcomes = {}
        for delivery, (_, key, _) in enumerate(self.deliveries):
            outcomes.setdefault(key, set()).add(self.reported[delivery][0])
        for key, reported in outcomes.items():
            if reported == {Outcome.NOT_RUN} and key not in self.keys_at_dead_agents:
                last = self.call(0, key)
                self.clock.advance(TIMEOUT_S)
                outcome = self.reported[last][0]
                assert outcome == Outcome.COMPLETED, f"{key} is stuck: {outcome}"
        self.check()


class NoCompareAndSet(GatedTable):
    """Commit without checks."""

    def arrive(self, checks, writes):
        """Apply a commit without its checks, or lose it."""
        return super().arrive((), writes)


class NoReadBack(Claims):
    """Assume that an uncertain commit took effect."""

    def _commit(self, claim, deadline):
        try:
            return super()._commit(claim, deadline)
        except TableUncertain:
            return 0


class CallerClaimId(Claims):
    """Identify claims by the caller's attempt instead of an identity of their own."""

    def begin(self, team, key, attempt, body_hash, *, deadline):
        """Claim a key."""
        self._new_id = lambda: attempt
        return super().begin(team, key, attempt, body_hash, deadline=deadline)


class NoBodyHash(Claims):
    """Ignore the body that a key was used with."""

    def begin(self, team, key, attempt, body_hash, *, deadline):
        """Claim a key."""
        return super().begin(team, key, attempt, "", deadline=deadline)


class NoRelease(Claims):
    """Refuse calls without freeing their keys."""

    def release(self, claim, *, defer=False):
        """Do nothing."""


class RemovingWrite(ReleaseWrite):
    """Remove the row of a claim whose call was never sent."""

    __slots__ = ()

    def _submit(self, row, linger_s):
        self._committer.submit(
            [Check(self._claim.key, self._version)],
            [Write(self._claim.key, None)],
            timeout_s=WRITE_TIMEOUT_S,
        )


class RemovingRelease(Claims):
    """Free keys by removing their rows."""

    def release(self, claim, *, defer=False):
        """Remove the row."""
        write = RemovingWrite(claim, self._committer, self._table)
        if defer:
            self.pending.add(write)
        else:
            self.pending.run(write)


# Mechanism: arguments of World that disable it, and the failure that checks report.
SWITCHED_OFF = {
    "compare-and-set": ({"table_cls": NoCompareAndSet}, "run twice"),
    "read-back": ({"claims_cls": NoReadBack}, "run twice"),
    "own identity": ({"claims_cls": CallerClaimId}, "run twice"),
    "body hash": ({"claims_cls": NoBodyHash}, "foreign answer"),
    "no retry after unknown": ({"rerun_unknown": True}, "run twice"),
    "no release after a break": ({"release_broken": True}, "run twice"),
    "release of refused claims": ({"claims_cls": NoRelease}, "is stuck"),
    "free row in place of none": ({"claims_cls": RemovingRelease}, "is stuck"),
}
