"""Writes of claims that are retried until the table accepts them."""

from collections import deque
from typing import Protocol

from gevent.event import Event
from gevent.pool import Group, Pool

from toucanspool.backing.objects import ObjectsUnavailable
from toucanspool.backing.table import TableError

MAX_PENDING_WRITES = 20_000
MAX_PENDING_BYTES = 32 << 20
MAX_CONCURRENT_RETRIES = 64


class PendingWrite(Protocol):
    """Define a write that is safe to retry."""

    def attempt(self) -> None:
        """Try once.

        Raises
        ------
        TableError, ObjectsUnavailable
            The write must be retried.
        """
        ...

    def size(self) -> int:
        """Return the bytes held in memory."""
        ...

    def discard_body(self) -> None:
        """Free the response body, so that `size` becomes 0."""
        ...


class PendingWrites:
    """Retry writes until they take effect, in bounded memory.

    Parameters
    ----------
    max_writes : int, default=20000
        Number of pending writes from which `full` is true.
    max_bytes : int, default=32 MiB
        Limit on the bytes of failed writes. A write that would exceed it discards
        its body.
    """

    __slots__ = ("_bytes", "_failed", "_max_bytes", "_max_writes", "_running")

    def __init__(
        self,
        *,
        max_writes: int = MAX_PENDING_WRITES,
        max_bytes: int = MAX_PENDING_BYTES,
    ) -> None:
        self._max_writes = max_writes
        self._max_bytes = max_bytes
        self._failed: deque[PendingWrite] = deque()
        self._running = Group()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._failed) + len(self._running)

    @property
    def full(self) -> bool:
        """Whether new claims must be refused."""
        return len(self) >= self._max_writes

    def add(self, write: PendingWrite) -> None:
        """Queue a write for the next `retry`.

        Parameters
        ----------
        write : PendingWrite
            The write.
        """
        if self._bytes + write.size() > self._max_bytes:
            write.discard_body()
        self._bytes += write.size()
        self._failed.append(write)

    def start(self, write: PendingWrite) -> Event:
        """Try a write in the background, and queue it for a retry if it fails.

        Parameters
        ----------
        write : PendingWrite
            The write.

        Returns
        -------
        Event
            Set after the first try, whether it succeeded or not.
        """
        tried = Event()
        self._running.spawn(self.run, write).link(lambda _: tried.set())
        return tried

    def run(self, write: PendingWrite) -> bool:
        """Try a write now, and queue it for a retry if it fails.

        Parameters
        ----------
        write : PendingWrite
            The write.

        Returns
        -------
        bool
            Whether it took effect.
        """
        succeeded = False
        try:
            write.attempt()
            succeeded = True
        except (TableError, ObjectsUnavailable):
            pass
        finally:
            if not succeeded:
                self.add(write)
        return succeeded

    def retry(self) -> int:
        """Retry the failed writes, and stop early when one fails again.

        Returns
        -------
        int
            Writes that are still pending.
        """
        pool = Pool(MAX_CONCURRENT_RETRIES)
        stop = Event()
        for _ in range(len(self._failed)):
            pool.wait_available()
            if stop.is_set() or not self._failed:
                break
            write = self._failed.popleft()
            self._bytes -= write.size()
            pool.spawn(self._retry_one, write, stop)
        pool.join()
        return len(self)

    def flush(self, timeout_s: float) -> int:
        """Wait for the writes in the background, then retry the failed ones.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds for the writes in the background; the retry is
            not bounded by it.

        Returns
        -------
        int
            Writes that are still pending.
        """
        self._running.join(timeout=timeout_s)
        return self.retry()

    def _retry_one(self, write: PendingWrite, stop: Event) -> None:
        if not self.run(write):
            stop.set()
