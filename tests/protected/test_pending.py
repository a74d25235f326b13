"""Failed writes are retried, and their memory is bounded."""

from toucanspool.backing.table import TableUnavailable
from toucanspool.protected.pending import PendingWrites


class FlakyWrite:
    """Fail a number of times before succeeding."""

    def __init__(self, *, failures=0, size=10):
        self.failures = failures
        self.bytes = size

    def attempt(self):
        """Try once."""
        if self.failures:
            self.failures -= 1
            raise TableUnavailable

    def size(self):
        """Return the bytes held in memory."""
        return self.bytes

    def discard_body(self):
        """Free the body."""
        self.bytes = 0


def test_failed_writes_are_kept_until_they_succeed():
    pending = PendingWrites()
    assert not pending.run(FlakyWrite(failures=2))
    assert pending.retry() == 1
    assert pending.retry() == 0


def test_writes_beyond_the_byte_limit_discard_their_bodies():
    pending = PendingWrites(max_bytes=25)
    writes = [FlakyWrite(failures=1) for _ in range(4)]
    for write in writes:
        pending.run(write)
    assert [write.bytes for write in writes] == [10, 10, 0, 0]
    pending.retry()
    assert len(pending) == 0


def test_full_from_the_limit_on():
    pending = PendingWrites(max_writes=1)
    assert not pending.full
    pending.add(FlakyWrite())
    assert pending.full


def test_flush_waits_for_the_background_and_retries_what_failed():
    pending = PendingWrites()
    for failures in (0, 1):
        pending.start(FlakyWrite(failures=failures))
    assert len(pending) == 2
    assert pending.flush(1.0) == 0
