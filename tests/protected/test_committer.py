"""Each transaction of a group commit gets its own result."""

import random

import gevent
import pytest

from standins.memory import MemoryTable
from standins.virtual import GatedTable, Gates, VirtualClock, settle
from toucanspool.backing.table import (
    Check,
    TableConflict,
    TableThrottled,
    TableUnavailable,
    TableUncertain,
    Write,
)
from toucanspool.protected.committer import Committer, QueueFull, TableStalled


class ThrottlingTable(MemoryTable):
    """Throttle a number of commits before accepting any."""

    throttled = 3

    def commit(self, checks, writes):
        """Commit, or raise `TableThrottled`."""
        if self.throttled:
            self.throttled -= 1
            raise TableThrottled("too many")
        return super().commit(checks, writes)


class BrokenTable(MemoryTable):
    """Raise an exception that the interface does not define."""

    def commit(self, checks, writes):
        """Commit, then raise."""
        super().commit(checks, writes)
        raise RuntimeError("a bug of the adapter")


@pytest.fixture
def clock():
    return VirtualClock()


@pytest.fixture
def gates():
    return Gates()


def start_committer(table, clock, **options):
    committer = Committer(table, clock=clock, rng=random.Random(1), **options)
    committer.start()
    return committer


def submit(committer, key, *, version=0, timeout_s=5.0, linger_s=0.0):
    job = gevent.spawn(
        committer.submit,
        [Check(key, version)],
        [Write(key, b"x")],
        timeout_s=timeout_s,
        linger_s=linger_s,
    )
    settle()
    return job


def test_what_arrives_during_a_commit_goes_with_the_next(clock, gates):
    table = GatedTable(gates)
    committer = start_committer(table, clock)
    gates.close(["commit.after"])
    jobs = [submit(committer, f"k{i}") for i in range(10)]
    gates.open()
    assert [job.get(block=False) for job in jobs] == [1] + [2] * 9
    assert (committer.commits, committer.transactions) == (2, 10)


def test_batch_is_bounded_in_bytes(clock, gates, monkeypatch):
    monkeypatch.setattr("toucanspool.protected.transaction_queue.MAX_BATCH_BYTES", 3)
    committer = start_committer(GatedTable(gates), clock)
    gates.close(["commit.before"])
    for index in range(7):
        submit(committer, f"k{index}")
    gates.open()
    assert (committer.commits, committer.transactions) == (3, 7)


def test_conflict_fails_only_its_own_transaction(clock, gates):
    table = GatedTable(gates)
    table.arrive([], [Write("k1", b"taken")])
    committer = start_committer(table, clock)
    gates.close(["commit.before"])
    jobs = [submit(committer, f"k{i}") for i in range(3)]
    gates.open()
    with pytest.raises(TableConflict) as caught:
        jobs[1].get(block=False)
    assert caught.value.keys == ("k1",)
    assert all(jobs[i].get(block=False) for i in (0, 2))


def test_two_on_one_key_never_share_a_commit(clock, gates):
    table = GatedTable(gates)
    committer = start_committer(table, clock)
    gates.close(["commit.before"])
    jobs = [submit(committer, key) for key in ("first", "same", "same", "other")]
    gates.open()
    with pytest.raises(TableConflict):
        jobs[2].get(block=False)
    assert all(jobs[i].get(block=False) for i in (0, 1, 3))


@pytest.mark.parametrize(
    ("faults", "failure"),
    [({"down": True}, TableUnavailable), ({"lose_answers": 1}, TableUncertain)],
)
def test_failure_reaches_each_waiter(clock, gates, faults, failure):
    table = GatedTable(gates)
    committer = start_committer(table, clock)
    gates.close(["commit.before"])
    jobs = [submit(committer, "first"), *(submit(committer, k) for k in "ab")]
    gates.let()
    table.faults.set(**faults)
    gates.open()
    assert jobs[0].get(block=False) == 1
    for job in jobs[1:]:
        with pytest.raises(failure):
            job.get(block=False)


def test_timeout_in_the_queue_writes_nothing(clock, gates):
    table = GatedTable(gates)
    committer = start_committer(table, clock)
    gates.close(["commit.before"])
    jobs = [submit(committer, "sent"), submit(committer, "queued")]
    clock.advance(6.0)
    for job, failure in zip(jobs, (TableUncertain, TableUnavailable), strict=True):
        with pytest.raises(failure):
            job.get(block=False)
    gates.open()
    assert table.get(["sent", "queued"]).keys() == {"sent"}


def test_overdue_commit_refuses_new_ones_at_once(clock, gates):
    committer = start_committer(GatedTable(gates), clock)
    gates.close(["commit.before"])
    submit(committer, "sent")
    clock.advance(1.5)
    with pytest.raises(TableStalled):
        submit(committer, "new").get(block=False)


@pytest.mark.parametrize("overdue", [False, True])
def test_what_waits_is_refused_only_after_an_overdue_failure(clock, gates, overdue):
    table = GatedTable(gates)
    committer = start_committer(table, clock)
    gates.close(["commit.after"])
    table.faults.set(lose_answers=1)
    submit(committer, "sent")
    queued = submit(committer, "queued")
    clock.advance(1.5 if overdue else 0.5)
    gates.open()
    if overdue:
        with pytest.raises(TableStalled):
            queued.get(block=False)
    assert table.get(["queued"]).keys() == (set() if overdue else {"queued"})


def test_throttled_commit_is_retried(clock):
    table = ThrottlingTable()
    job = submit(start_committer(table, clock), "k")
    clock.advance(1.0)
    assert job.get(block=False) == 1


def test_throttling_beyond_the_timeout_writes_nothing(clock):
    table = ThrottlingTable()
    table.throttled = 1000
    job = submit(start_committer(table, clock), "k")
    clock.advance(6.0)
    table.throttled = 0
    clock.advance(6.0)
    with pytest.raises(TableUnavailable):
        job.get(block=False)
    assert not table.get(["k"])


def test_unexpected_exception_is_uncertain_and_stops_no_worker(clock):
    committer = start_committer(BrokenTable(), clock)
    for key in "ab":
        with pytest.raises(TableUncertain):
            submit(committer, key).get(block=False)


def test_lingering_write_goes_with_the_next_commit(clock):
    committer = start_committer(MemoryTable(), clock)
    lingering = submit(committer, "lazy", linger_s=1.0)
    assert not lingering.ready()
    urgent = submit(committer, "urgent")
    assert lingering.get(block=False) == urgent.get(block=False)


def test_lingering_write_goes_alone_when_due(clock):
    committer = start_committer(MemoryTable(), clock)
    lingering = submit(committer, "lazy", linger_s=1.0)
    clock.advance(1.0)
    assert lingering.get(block=False) == 1


def test_full_queue_refuses_at_once(clock, gates):
    table = GatedTable(gates)
    committer = start_committer(table, clock, max_queued=1)
    gates.close(["commit.before"])
    submit(committer, "sent")
    submit(committer, "queued")
    with pytest.raises(QueueFull):
        committer.submit([], [Write("k", b"")], timeout_s=1.0)


def test_close_commits_what_waits(clock):
    committer = start_committer(MemoryTable(), clock)
    lingering = submit(committer, "lazy", linger_s=60.0)
    committer.close()
    assert lingering.get(block=False) == 1
    with pytest.raises(QueueFull):
        committer.submit([], [], timeout_s=1.0)
