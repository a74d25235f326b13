"""Agents, callers and an upstream that the proofs of protected calls share.

The oracle reads only what the upstream executed and what callers were told.
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
    """Report a connection refused: nothing was handed over."""


class UpstreamBroke(Exception):
    """Report a connection that broke after the hand-over."""


@dataclass(slots=True, frozen=True)
class Execution:
    """Hold what the upstream ran."""

    key: str
    delivery: int
    body: str


class Upstream:
    """Execute whatever comes, and remember it."""

    def __init__(self, gates):
        self.gates = gates
        self.executions = []
        self.refuse = 0
        self.breaks = 0

    def execute(self, key, delivery, body):
        """Run a call, or fail as ordered."""
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
    """Stand for one agent process, which can die."""

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
        """Serve one delivery in a greenlet of its own."""
        self.jobs.append(gevent.spawn(self.serve, delivery, key, body, attempt))
        settle()

    def retry(self):
        """Repeat what is pending."""
        self.jobs.append(gevent.spawn(self.claims.retry_pending))
        settle()

    def die(self):
        """End at once, wherever each greenlet stands."""
        recording = self.claims.pending._running.greenlets
        greenlets = [*self.jobs, *self.committer._greenlets, *recording]
        gevent.killall(greenlets, block=False)
        settle()

    def serve(self, delivery, key, body, attempt):
        """Do what an agent does with a protected call."""
        world = self.world
        deadline = world.clock.now() + TIMEOUT_S
        try:
            result = self.claims.begin("team", key, attempt, body, deadline=deadline)
        except ClaimRefused as exc:
            if not (world.rerun_unknown and isinstance(exc, InProgress)):
                world.tell(delivery, exc.outcome)
                return
            result = None
        if isinstance(result, Replay):
            world.tell(delivery, Outcome.COMPLETED, result.response)
            return
        self.hand_over(delivery, key, body, result)

    def hand_over(self, delivery, key, body, result):
        """Give a claimed call to the upstream."""
        world = self.world
        try:
            answer = world.upstream.execute(key, delivery, body)
        except UpstreamRefused:
            world.tell(delivery, Outcome.NOT_RUN)
            self.claims.release(result.claim)
        except UpstreamBroke:
            world.tell(delivery, Outcome.UNKNOWN)
            if world.release_broken:
                self.claims.release(result.claim)
        else:
            world.tell(delivery, Outcome.COMPLETED, answer)
            if result is not None:
                self.claims.finish(result.claim, answer)


class World:
    """Own everything, and check what was told against what was run.

    The arguments switch mechanisms off.
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
        self.told = {}
        self.names = itertools.count()
        self.agents = [Agent(self, f"agent-{next(self.names)}") for _ in range(3)]
        self.deaths = 0
        self.spoiled = set()

    def call(self, agent, key="k", body="b", attempt=None):
        """Deliver an attempt to an agent, and return the delivery's number."""
        delivery = len(self.deliveries)
        self.deliveries.append((agent, key, body))
        self.agents[agent].call(delivery, key, body, attempt or f"a{delivery}")
        return delivery

    def tell(self, delivery, outcome, answer=None):
        """BufferedResponse a caller, unless that was done."""
        self.told.setdefault(delivery, (outcome, answer))

    def replace(self, index):
        """Let an agent die, and start another in its place."""
        self.deaths += 1
        self.agents[index].die()
        for delivery, (agent, key, _) in enumerate(self.deliveries):
            if agent == index:
                self.tell(delivery, Outcome.UNKNOWN)
                self.spoiled.add(key)
        self.agents[index] = Agent(self, f"agent-{next(self.names)}")

    def heal(self):
        """Lift all faults, and let everything come to its end."""
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
            agent.die()

    def check(self):
        """Compare what callers were told with what the upstream ran."""
        runs = self.upstream.executions
        keys = [run.key for run in runs]
        assert len(keys) == len(set(keys)), f"run twice: {runs}"
        ran = {run.delivery for run in runs}
        answers = {f"{run.key} {run.delivery} {run.body}".encode(): run for run in runs}
        for delivery, (outcome, answer) in self.told.items():
            if outcome == Outcome.NOT_RUN:
                assert delivery not in ran, f"told not run: {delivery}"
            if outcome == Outcome.COMPLETED:
                _, key, body = self.deliveries[delivery]
                run = answers.get(answer.body)
                assert run, f"answer of no execution: {delivery}"
                assert (run.key, run.body) == (key, body), f"foreign answer: {run}"

    def check_live(self):
        """After `heal`: each call has an answer, and a key that is free runs.

        An agent that dies can't free a key any more, which is then no fault.
        """
        self.check()
        assert len(self.told) == len(self.deliveries)
        outcomes = {}
        for delivery, (_, key, _) in enumerate(self.deliveries):
            outcomes.setdefault(key, set()).add(self.told[delivery][0])
        for key, told in outcomes.items():
            if told == {Outcome.NOT_RUN} and key not in self.spoiled:
                last = self.call(0, key)
                self.clock.advance(TIMEOUT_S)
                outcome = self.told[last][0]
                assert outcome == Outcome.COMPLETED, f"{key} is stuck: {outcome}"
        self.check()


class NoCompareAndSet(GatedTable):
    """Commit without checks."""

    def arrive(self, checks, writes):
        """Take a commit that came through, or lose it."""
        return super().arrive((), writes)


class NoReadBack(Claims):
    """Take a commit without an answer for one that took effect."""

    def _commit(self, claim, deadline):
        try:
            return super()._commit(claim, deadline)
        except TableUncertain:
            return 0


class CallersIdentity(Claims):
    """Read back by the caller's attempt in place of the agent's own identity."""

    def begin(self, team, key, attempt, body_hash, *, deadline):
        """Claim a key."""
        self._new_id = lambda: attempt
        return super().begin(team, key, attempt, body_hash, deadline=deadline)


class NoBodyHash(Claims):
    """Take any body for the one that the key stands for."""

    def begin(self, team, key, attempt, body_hash, *, deadline):
        """Claim a key."""
        return super().begin(team, key, attempt, "", deadline=deadline)


class NoRelease(Claims):
    """Refuse without freeing what may have been claimed."""

    def release(self, claim, *, later=False):
        """Do nothing."""


class RemovedRow(ReleaseWrite):
    """Remove the row of a claim that was never handed over."""

    __slots__ = ()

    def _submit(self, row, linger_s):
        self._committer.submit(
            [Check(self._claim.key, self._version)],
            [Write(self._claim.key, None)],
            timeout_s=WRITE_TIMEOUT_S,
        )


class RemovingRelease(Claims):
    """Free keys by removing their rows."""

    def release(self, claim, *, later=False):
        """Remove the row."""
        task = RemovedRow(claim, self._committer, self._table)
        if later:
            self.pending.add(task)
        else:
            self.pending.run(task)


# What is switched off, how, and what the oracle then says.
SWITCHED_OFF = {
    "compare-and-set": ({"table_cls": NoCompareAndSet}, "run twice"),
    "read-back": ({"claims_cls": NoReadBack}, "run twice"),
    "own identity": ({"claims_cls": CallersIdentity}, "run twice"),
    "body hash": ({"claims_cls": NoBodyHash}, "foreign answer"),
    "no retry after unknown": ({"rerun_unknown": True}, "run twice"),
    "no release after a break": ({"release_broken": True}, "run twice"),
    "release of refused claims": ({"claims_cls": NoRelease}, "is stuck"),
    "free row in place of none": ({"claims_cls": RemovingRelease}, "is stuck"),
}
