"""Group commit: many small transactions in one commit of the table."""

import random
from collections import deque
from collections.abc import Sequence
from contextlib import ExitStack

import gevent
from gevent.event import Event

from toucanspool.platform.table import (
    Check,
    Table,
    TableConflict,
    TableError,
    TableThrottled,
    TableUnavailable,
    TableUncertain,
    Write,
)
from toucanspool.protected.clock import Clock, HubClock
from toucanspool.protected.transaction import (
    Transaction,
    broken_off,
    fail,
    succeed,
)

MAX_WAITING = 4096
MAX_BATCH = 256
MAX_BATCH_BYTES = 1 << 20
BACKOFF_FIRST_S = 0.01
BACKOFF_CAP_S = 1.0


class QueueFull(TableUnavailable):
    """Report that too many transactions wait, so that nothing was written."""


class Committer:
    """Commit what waits together, while earlier commits are in flight.

    A transaction that fails its checks fails alone: the others are committed
    again at once.

    Parameters
    ----------
    table : Table
        The platform's table.
    clock : Clock, optional
        Time.
    rng : random.Random, optional
        Source of the jitter of the backoff.
    workers : int, default=1
        Commits in flight at most.
    max_waiting : int, default=4096
        Transactions that may wait.
    max_batch : int, default=256
        Transactions in one commit at most.

    Attributes
    ----------
    commits : int
        Commits sent to the table.
    transactions : int
        Transactions that took effect.

    References
    ----------
    .. [1] D. DeWitt et al., "Implementation techniques for main memory database
       systems", SIGMOD 1984 (group commit).
    """

    __slots__ = (
        "_clock",
        "_closing",
        "_greenlets",
        "_max_batch",
        "_max_waiting",
        "_rng",
        "_stack",
        "_table",
        "_waiting",
        "_wake",
        "_workers",
        "commits",
        "transactions",
    )

    def __init__(
        self,
        table: Table,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        workers: int = 1,
        max_waiting: int = MAX_WAITING,
        max_batch: int = MAX_BATCH,
    ) -> None:
        self._table = table
        self._clock = clock or HubClock()
        self._rng = rng or random.Random()
        self._workers = workers
        self._max_waiting = max_waiting
        self._max_batch = max_batch
        self._waiting: deque[Transaction] = deque()
        self._wake = Event()
        self._closing = False
        self._greenlets: list[gevent.Greenlet] = []
        self._stack = ExitStack()
        self.commits = 0
        self.transactions = 0

    def start(self) -> None:
        """Start the workers."""
        for _ in range(self._workers):
            worker = gevent.spawn(self._work)
            self._greenlets.append(worker)
            self._stack.callback(worker.kill)

    def close(self, *, timeout_s: float | None = None) -> None:
        """Commit what waits, then end the workers.

        Parameters
        ----------
        timeout_s : float, optional
            Seconds to wait for the last commits; None is no limit.
        """
        self._closing = True
        self._wake.set()
        gevent.joinall(self._greenlets, timeout=timeout_s)
        self._stack.close()

    def submit(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        *,
        timeout_s: float,
        linger_s: float = 0.0,
    ) -> int:
        """Commit a small transaction together with others.

        Parameters
        ----------
        checks : sequence of Check
            What must hold.
        writes : sequence of Write
            What is written.
        timeout_s : float
            Seconds to wait at most.
        linger_s : float, default=0.0
            Seconds that this one may wait for the company of others.

        Returns
        -------
        int
            The version of the written rows.

        Raises
        ------
        TableConflict
            A check did not hold; nothing was written.
        TableUnavailable
            Nothing was written, also where the time was over in the queue.
        TableUncertain
            It may have taken effect, or may still do so.
        """
        if self._closing or len(self._waiting) >= self._max_waiting:
            raise QueueFull("too many transactions wait for the table")
        entry = Transaction(checks, writes, self._clock.now() + linger_s)
        self._waiting.append(entry)
        self._wake.set()
        try:
            ready = self._clock.wait(entry.result, timeout_s)
        finally:
            self._drop(entry)
        if ready:
            return entry.result.get()
        if entry.sent:
            raise TableUncertain("no answer of the table in time")
        raise TableUnavailable("no commit in time")

    def _drop(self, entry: Transaction) -> None:
        entry.dropped = True
        if not entry.sent and not entry.result.ready():
            self._waiting.remove(entry)

    def _work(self) -> None:
        while self._await_due():
            batch = self._take()
            if batch:
                self._commit(batch)

    def _await_due(self) -> bool:
        while True:
            self._wake.clear()
            if not self._waiting:
                if self._closing:
                    return False
                self._wake.wait()
                continue
            wait_s = min(e.due for e in self._waiting) - self._clock.now()
            if wait_s <= 0 or self._closing:
                return True
            self._clock.wait(self._wake, wait_s)

    def _take(self) -> list[Transaction]:
        batch: list[Transaction] = []
        taken: set[str] = set()
        left: deque[Transaction] = deque()
        size = 0
        for entry in self._waiting:
            fits = len(batch) < self._max_batch and size < MAX_BATCH_BYTES
            if fits and taken.isdisjoint(entry.keys):
                batch.append(entry)
                size += entry.size
                entry.sent = True
            else:
                left.append(entry)
            taken |= entry.keys
        self._waiting = left
        return batch

    def _commit(self, batch: list[Transaction]) -> None:
        pauses = 0
        while batch:
            try:
                version = self._send(batch)
            except TableConflict as exc:
                batch = self._fail_conflicting(batch, exc)
            except TableThrottled:
                batch = self._put_back(batch)
                self._clock.sleep(self._backoff_s(pauses))
                pauses += 1
                batch = self._take()
            except TableError as exc:
                fail(batch, exc)
                return
            except Exception as exc:
                fail(batch, broken_off(exc))
                return
            except BaseException as exc:
                fail(batch, broken_off(exc))
                raise
            else:
                self.transactions += len(batch)
                succeed(batch, version)
                return

    def _send(self, batch: list[Transaction]) -> int:
        self.commits += 1
        checks = [check for entry in batch for check in entry.checks]
        writes = [write for entry in batch for write in entry.writes]
        return self._table.commit(checks, writes)

    def _fail_conflicting(
        self, batch: list[Transaction], exc: TableConflict
    ) -> list[Transaction]:
        failed = set(exc.keys)
        hit = [entry for entry in batch if not failed.isdisjoint(entry.keys)]
        for entry in hit or batch:
            own = [key for key in exc.keys if key in entry.keys]
            entry.result.set_exception(TableConflict(own))
        return [e for e in batch if not e.dropped and not e.result.ready()]

    def _put_back(self, batch: list[Transaction]) -> list[Transaction]:
        kept = [entry for entry in batch if not entry.dropped]
        for entry in kept:
            entry.sent = False
        self._waiting.extendleft(reversed(kept))
        return []

    def _backoff_s(self, pauses: int) -> float:
        ceiling = min(BACKOFF_CAP_S, BACKOFF_FIRST_S * 2**pauses)
        return ceiling * self._rng.uniform(0.5, 1.0)
