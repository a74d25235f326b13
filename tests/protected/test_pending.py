"""Writes wait for the table in bounded memory."""

from toucanspool.backing.table import TableUnavailable
from toucanspool.protected.pending import PendingWrites


class Task:
    """Fail so many times."""

    def __init__(self, *, failures=0, size=10):
        self.failures = failures
        self.bytes = size

    def attempt(self):
        """Try once."""
        if self.failures:
            self.failures -= 1
            raise TableUnavailable

    def size(self):
        """Return the bytes held."""
        return self.bytes

    def shrink(self):
        """Let go of them."""
        self.bytes = 0


def test_failed_writes_are_kept_until_they_succeed():
    pending = PendingWrites()
    assert not pending.run(Task(failures=2))
    assert pending.retry() == 1
    assert pending.retry() == 0


def test_bytes_beyond_the_limit_shrink():
    pending = PendingWrites(max_bytes=25)
    tasks = [Task(failures=1) for _ in range(4)]
    for task in tasks:
        pending.run(task)
    assert [task.bytes for task in tasks] == [10, 10, 0, 0]
    pending.retry()
    assert len(pending) == 0


def test_full_says_so():
    pending = PendingWrites(max_tasks=1)
    assert not pending.full
    pending.add(Task())
    assert pending.full


def test_settle_waits_for_the_background_and_repeats_what_failed():
    pending = PendingWrites()
    for failures in (0, 1):
        pending.start(Task(failures=failures))
    assert len(pending) == 2
    assert pending.settle(1.0) == 0
