"""A key is claimed once, and each refusal reports the correct outcome."""

import itertools
import random
from dataclasses import replace

import gevent
import pytest

from standins.memory import MemoryObjects
from standins.virtual import GatedTable, Gates, VirtualClock, settle
from toucanspool.backing.table import Write
from toucanspool.protected.claims import BufferedResponse, Claims, Replay, Started
from toucanspool.protected.committer import Committer
from toucanspool.protected.errors import (
    Abandoned,
    DeadlinePassed,
    InProgress,
    KeyReused,
    ResponseUnavailable,
    TableDown,
)
from toucanspool.protected.row import ABANDONED, encode_row
from toucanspool.wire.gen.messages.ttypes import Outcome

RESPONSE = BufferedResponse(201, {"x": "y"}, b"seat 12A")
LARGE_RESPONSE = BufferedResponse(200, {}, b"z" * 100_000)


class Harness:
    """Provide two agents, a table and an object store in virtual time."""

    def __init__(self):
        self.clock = VirtualClock()
        self.gates = Gates()
        self.table = GatedTable(self.gates)
        self.objects = MemoryObjects()
        self.agents = [self.agent(f"agent-{i}") for i in range(2)]

    def agent(self, name):
        """Return the claims of a new agent."""
        committer = Committer(
            self.table, clock=self.clock, rng=random.Random(1), workers=2
        )
        committer.start()
        ids = (f"{name}/{i}" for i in itertools.count())
        return Claims(
            committer,
            self.table,
            self.objects,
            name,
            clock=self.clock,
            new_id=lambda: next(ids),
        )

    def begin(self, agent=0, *, key="k", body="h", attempt="a", deadline=10.0):
        """Claim a key through an agent."""
        return self.agents[agent].begin("team", key, attempt, body, deadline=deadline)

    def finish(self, started, response=RESPONSE, agent=0):
        """Record a response, and advance the clock until that is done."""
        self.run(self.agents[agent].finish, started.claim, response)

    def run(self, func, *args):
        """Run a function for a second of virtual time, and return its result."""
        job = gevent.spawn(func, *args)
        settle()
        self.clock.advance(1.0)
        return job.get(block=False)


@pytest.fixture
def harness():
    return Harness()


@pytest.mark.parametrize("response", [RESPONSE, LARGE_RESPONSE])
def test_finished_key_replays_its_response_at_another_agent(harness, response):
    harness.finish(harness.begin(), response)
    assert harness.begin(1, attempt="b") == Replay(response)


def test_started_key_is_in_progress_elsewhere(harness):
    harness.begin()
    with pytest.raises(InProgress) as caught:
        harness.begin(1)
    assert caught.value.outcome == Outcome.UNKNOWN


def test_key_with_another_body_is_not_run(harness):
    harness.begin()
    with pytest.raises(KeyReused) as caught:
        harness.begin(1, body="other")
    assert caught.value.outcome == Outcome.NOT_RUN


def test_released_key_runs_again(harness):
    harness.agents[0].release(harness.begin().claim)
    assert isinstance(harness.begin(1), Started)


def test_table_down_refuses_and_leaves_nothing_pending(harness):
    harness.table.faults.set(down=True)
    with pytest.raises(TableDown) as caught:
        harness.begin()
    assert caught.value.outcome == Outcome.NOT_RUN
    assert caught.value.retry_after_s > 0
    assert not len(harness.agents[0].pending)


def test_claim_with_a_lost_reply_is_read_back(harness):
    harness.table.faults.set(lose_answers=1)
    assert isinstance(harness.begin(), Started)


def test_finish_with_a_lost_reply_is_retried(harness):
    started = harness.begin()
    harness.table.faults.set(lose_answers=1)
    harness.finish(started)
    assert harness.run(harness.agents[0].retry_pending) == 0
    assert harness.begin(1) == Replay(RESPONSE)


def test_commit_slower_than_the_deadline_frees_the_key_later(harness):
    harness.gates.close(["commit.after"])
    job = gevent.spawn(harness.begin, deadline=2.0)
    settle()
    harness.clock.advance(3.0)
    with pytest.raises(DeadlinePassed):
        job.get(block=False)
    harness.gates.open()
    assert harness.agents[0].retry_pending() == 0
    assert isinstance(harness.begin(1, deadline=20.0), Started)


def test_process_paused_over_its_deadline_does_not_start(harness):
    """The reply to the commit arrived in the pause, but the deadline has passed."""
    harness.gates.close(["commit.after"])
    job = gevent.spawn(harness.begin, deadline=2.0)
    settle()
    harness.clock.time = 3.0
    harness.gates.open()
    with pytest.raises(DeadlinePassed):
        job.get(block=False)
    assert harness.run(harness.agents[0].retry_pending) == 0
    assert isinstance(harness.begin(1), Started)


def test_released_key_rejects_a_late_commit_of_its_claim(harness):
    """The commit of a refused claim reaches the table after the key was released."""
    harness.gates.close(["commit.before"])
    job = gevent.spawn(harness.begin, deadline=2.0)
    settle()
    harness.clock.advance(3.0)
    with pytest.raises(DeadlinePassed):
        job.get(block=False)
    harness.gates.closed.clear()
    assert harness.run(harness.agents[0].retry_pending) == 0
    harness.gates.open()
    assert isinstance(harness.begin(1, deadline=20.0), Started)


def test_replay_without_object_store_is_unknown(harness):
    harness.finish(harness.begin(), LARGE_RESPONSE)
    harness.objects.faults.set(down=True)
    with pytest.raises(ResponseUnavailable):
        harness.begin(1)


def test_finish_returns_after_the_record_is_written(harness):
    harness.agents[0].finish(harness.begin().claim, RESPONSE)
    assert harness.begin(1) == Replay(RESPONSE)


def test_finish_goes_on_in_the_background_at_a_slow_table(harness):
    started = harness.begin()
    harness.gates.close(["commit.before"])
    job = gevent.spawn(harness.agents[0].finish, started.claim, RESPONSE)
    settle()
    assert not job.ready()
    harness.clock.advance(1.0)
    assert job.ready()
    assert len(harness.agents[0].pending) == 1
    harness.gates.open()
    assert len(harness.agents[0].pending) == 0
    assert harness.begin(1) == Replay(RESPONSE)


def test_finish_waits_for_the_table_to_come_back(harness):
    started = harness.begin()
    harness.table.faults.set(down=True)
    harness.finish(started)
    assert len(harness.agents[0].pending) == 1
    harness.table.faults.clear()
    assert harness.run(harness.agents[0].retry_pending) == 0
    assert harness.begin(1) == Replay(RESPONSE)


def test_finish_overrides_an_abandoned_row(harness):
    """The cleaner marked the row because the agent was not listed for a while."""
    started = harness.begin()
    row = replace(started.claim.row, state=ABANDONED)
    harness.table.arrive([], [Write(started.claim.key, encode_row(row))])
    with pytest.raises(Abandoned):
        harness.begin(1)
    harness.finish(started)
    assert harness.begin(1) == Replay(RESPONSE)
