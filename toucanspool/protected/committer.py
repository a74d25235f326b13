"""Group commit: many transactions share one commit of the table."""

import random
from collections.abc import Sequence
from contextlib import ExitStack

import gevent
from gevent.event import Event

from toucanspool.backing.table import (
    Check,
    Table,
    TableConflict,
    TableError,
    TableThrottled,
    TableUnavailable,
    TableUncertain,
    Write,
)
from toucanspool.protected.clock import Clock, MonotonicClock
from toucanspool.protected.transaction import (
    QueuedTransaction,
    fail,
    fail_conflicting,
    succeed,
    uncertain_failure,
)
from toucanspool.protected.transaction_queue import TransactionQueue

MAX_QUEUED = 4096
MAX_BATCH_SIZE = 256
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 1.0
OVERDUE_AFTER_S = 1.0


class QueueFull(TableUnavailable):
    """Report that the queue is full or closed; the transaction was not written."""


class TableStalled(TableUnavailable):
    """Report overdue or failed commits; the transaction was not written."""


class Committer:
    """Commit the transactions that arrive during a commit together in the next.

    A transaction whose checks fail does so alone: the others of its batch are
    committed again at once. New transactions are refused while all workers wait for
    overdue commits. The queued ones are refused when a commit could not reach the
    table, or failed after it was overdue. A refused transaction was not written.

    Parameters
    ----------
    table : Table
        The platform's table.
    clock : Clock, optional
        Source of time; defaults to `MonotonicClock`.
    rng : random.Random, optional
        Source of randomness for the jitter of the backoff.
    workers : int, default=1
        Maximum number of commits in flight.
    max_queued : int, default=4096
        Maximum number of queued transactions.
    max_batch_size : int, default=256
        Maximum number of transactions in one commit.

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
        "_exit_stack",
        "_greenlets",
        "_in_flight_since",
        "_max_queued",
        "_queue",
        "_rng",
        "_table",
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
        max_queued: int = MAX_QUEUED,
        max_batch_size: int = MAX_BATCH_SIZE,
    ) -> None:
        self._table = table
        self._clock = clock or MonotonicClock()
        self._rng = rng or random.Random()
        self._workers = workers
        self._max_queued = max_queued
        self._queue = TransactionQueue(max_batch_size)
        self._wake = Event()
        self._closing = False
        self._in_flight_since: list[float] = []
        self._greenlets: list[gevent.Greenlet] = []
        self._exit_stack = ExitStack()
        self.commits = 0
        self.transactions = 0

    def start(self) -> None:
        """Start the workers."""
        for _ in range(self._workers):
            worker = gevent.spawn(self._run_worker)
            self._greenlets.append(worker)
            self._exit_stack.callback(worker.kill)

    def close(self, *, timeout_s: float | None = None) -> None:
        """Commit the queued transactions, then stop the workers.

        Parameters
        ----------
        timeout_s : float, optional
            Longest wait in seconds for the last commits; None waits without limit.
        """
        self._closing = True
        self._wake.set()
        gevent.joinall(self._greenlets, timeout=timeout_s)
        self._exit_stack.close()

    def submit(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        *,
        timeout_s: float,
        linger_s: float = 0.0,
    ) -> int:
        """Commit a transaction, possibly in one commit with others.

        Parameters
        ----------
        checks : sequence of Check
            Versions that the rows must still have.
        writes : sequence of Write
            Rows to set or delete.
        timeout_s : float
            Longest wait in seconds.
        linger_s : float, default=0.0
            Longest time in seconds that the transaction waits to share a commit.

        Returns
        -------
        int
            The version of the written rows.

        Raises
        ------
        TableConflict
            A check did not hold; nothing was written.
        TableUnavailable
            Nothing was written. This includes a timeout in the queue.
        TableUncertain
            The transaction may have taken effect, or still may.
        """
        if self._closing or len(self._queue) >= self._max_queued:
            raise QueueFull("too many transactions wait for the table")
        if self._stalled():
            raise TableStalled("the table is slow to answer")
        transaction = QueuedTransaction(checks, writes, self._clock.now() + linger_s)
        self._queue.add(transaction)
        self._wake.set()
        try:
            ready = self._clock.wait(transaction.result, timeout_s)
        finally:
            self._queue.cancel(transaction)
        if ready:
            return transaction.result.get()
        if transaction.sent:
            raise TableUncertain("no answer of the table in time")
        raise TableUnavailable("no commit in time")

    def _run_worker(self) -> None:
        while self._wait_until_due():
            batch = self._queue.take_batch()
            if batch:
                self._commit(batch)

    def _wait_until_due(self) -> bool:
        while True:
            self._wake.clear()
            if not self._queue:
                if self._closing:
                    return False
                self._wake.wait()
                continue
            wait_s = self._queue.due_at() - self._clock.now()
            if wait_s <= 0 or self._closing:
                return True
            self._clock.wait(self._wake, wait_s)

    def _commit(self, batch: list[QueuedTransaction]) -> None:
        retries = 0
        while batch:
            started_at = self._clock.now()
            try:
                version = self._send(batch)
            except TableConflict as exc:
                batch = fail_conflicting(batch, exc)
            except TableThrottled:
                self._queue.requeue(batch)
                self._clock.sleep(self._backoff_s(retries))
                retries += 1
                batch = self._queue.take_batch()
            except TableError as exc:
                fail(batch, exc)
                if isinstance(exc, TableUnavailable) or self._overdue(started_at):
                    self._queue.fail_all(TableStalled("the commit before has failed"))
                return
            except Exception as exc:
                fail(batch, uncertain_failure(exc))
                return
            except BaseException as exc:
                fail(batch, uncertain_failure(exc))
                raise
            else:
                self.transactions += len(batch)
                succeed(batch, version)
                return

    def _send(self, batch: list[QueuedTransaction]) -> int:
        self.commits += 1
        started_at = self._clock.now()
        self._in_flight_since.append(started_at)
        checks = [check for transaction in batch for check in transaction.checks]
        writes = [write for transaction in batch for write in transaction.writes]
        try:
            return self._table.commit(checks, writes)
        finally:
            self._in_flight_since.remove(started_at)

    def _stalled(self) -> bool:
        overdue = sum(self._overdue(started_at) for started_at in self._in_flight_since)
        return overdue >= self._workers

    def _overdue(self, started_at: float) -> bool:
        return self._clock.now() - started_at > OVERDUE_AFTER_S

    def _backoff_s(self, retries: int) -> float:
        ceiling = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**retries)
        return ceiling * self._rng.uniform(0.5, 1.0)
