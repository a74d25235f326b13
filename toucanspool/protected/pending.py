"""Writes of claims that are repeated until the table takes them."""

from collections import deque
from typing import Protocol

from gevent.event import Event
from gevent.pool import Group, Pool

from toucanspool.backing.objects import ObjectsUnavailable
from toucanspool.backing.table import TableError

MAX_TASKS = 20_000
MAX_BYTES = 32 << 20
RETRY_PARALLEL = 64


class PendingWrite(Protocol):
    """Be a write that may be tried again and again."""

    def attempt(self) -> None:
        """Try once.

        Raises
        ------
        TableError, ObjectsUnavailable
            It must be tried again.
        """
        ...

    def size(self) -> int:
        """Return the bytes held in memory."""
        ...

    def shrink(self) -> None:
        """Let go of what may be lost, so that `size` becomes 0."""
        ...


class PendingWrites:
    """Keep writes until they took effect, in bounded memory.

    Parameters
    ----------
    max_tasks : int, default=20000
        Writes kept before `full` is true.
    max_bytes : int, default=32 MiB
        Bytes kept; writes beyond shrink.
    """

    __slots__ = ("_bytes", "_max_bytes", "_max_tasks", "_running", "_tasks")

    def __init__(
        self, *, max_tasks: int = MAX_TASKS, max_bytes: int = MAX_BYTES
    ) -> None:
        self._max_tasks = max_tasks
        self._max_bytes = max_bytes
        self._tasks: deque[PendingWrite] = deque()
        self._running = Group()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._tasks) + len(self._running)

    @property
    def full(self) -> bool:
        """Whether no new claims should be started."""
        return len(self) >= self._max_tasks

    def add(self, task: PendingWrite) -> None:
        """Keep a write for later.

        Parameters
        ----------
        task : PendingWrite
            The write.
        """
        if self._bytes + task.size() > self._max_bytes:
            task.shrink()
        self._bytes += task.size()
        self._tasks.append(task)

    def start(self, task: PendingWrite) -> Event:
        """Try a write in the background, and keep it where that fails.

        Parameters
        ----------
        task : PendingWrite
            The write.

        Returns
        -------
        Event
            Set once it was tried.
        """
        tried = Event()
        self._running.spawn(self.run, task).link(lambda _: tried.set())
        return tried

    def run(self, task: PendingWrite) -> bool:
        """Try a write now, and keep it where that fails.

        Parameters
        ----------
        task : PendingWrite
            The write.

        Returns
        -------
        bool
            Whether it took effect.
        """
        settled = False
        try:
            task.attempt()
            settled = True
        except (TableError, ObjectsUnavailable):
            pass
        finally:
            if not settled:
                self.add(task)
        return settled

    def retry(self) -> int:
        """Try the writes that failed once more, until one fails again.

        Returns
        -------
        int
            Writes that are still pending.
        """
        pool = Pool(RETRY_PARALLEL)
        failed = Event()
        for _ in range(len(self._tasks)):
            pool.wait_available()
            if failed.is_set() or not self._tasks:
                break
            task = self._tasks.popleft()
            self._bytes -= task.size()
            pool.spawn(self._retry_one, task, failed)
        pool.join()
        return len(self)

    def settle(self, timeout_s: float) -> int:
        """Wait for the writes in the background, then try those that failed.

        Parameters
        ----------
        timeout_s : float
            Seconds to wait at most for the writes in the background.

        Returns
        -------
        int
            Writes that are still pending.
        """
        self._running.join(timeout=timeout_s)
        return self.retry()

    def _retry_one(self, task: PendingWrite, failed: Event) -> None:
        if not self.run(task):
            failed.set()
