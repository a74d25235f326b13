"""Group commit: many small transactions in one commit of the table."""

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
    Transaction,
    broken_off,
    fail,
    fail_conflicting,
    succeed,
)
from toucanspool.protected.transaction_queue import TransactionQueue

MAX_WAITING = 4096
MAX_BATCH = 256
BACKOFF_FIRST_S = 0.01
BACKOFF_CAP_S = 1.0
STALL_S = 1.0


class QueueFull(TableUnavailable):
    """Report that too many transactions wait, so that nothing was written."""


class TableStalled(TableUnavailable):
    """Report that a commit is overdue, so that nothing else was written."""


class Committer:
    """Commit what waits together, while earlier commits are in flight.

    A transaction that fails its checks fails alone: the others are committed
    again at once. While all commits in flight are overdue, and once
    one it has failed, what waits is
    refused at once: it was certainly not written.

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
        "_in_flight",
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
        self._clock = clock or MonotonicClock()
        self._rng = rng or random.Random()
        self._workers = workers
        self._max_waiting = max_waiting
        self._waiting = TransactionQueue(max_batch)
        self._wake = Event()
        self._closing = False
        self._in_flight: list[float] = []
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
        if self._stalled():
            raise TableStalled("the table is slow to answer")
        entry = Transaction(checks, writes, self._clock.now() + linger_s)
        self._waiting.add(entry)
        self._wake.set()
        try:
            ready = self._clock.wait(entry.result, timeout_s)
        finally:
            self._waiting.drop(entry)
        if ready:
            return entry.result.get()
        if entry.sent:
            raise TableUncertain("no answer of the table in time")
        raise TableUnavailable("no commit in time")

    def _work(self) -> None:
        while self._await_due():
            batch = self._waiting.take()
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
            wait_s = self._waiting.due() - self._clock.now()
            if wait_s <= 0 or self._closing:
                return True
            self._clock.wait(self._wake, wait_s)

    def _commit(self, batch: list[Transaction]) -> None:
        pauses = 0
        while batch:
            begun = self._clock.now()
            try:
                version = self._send(batch)
            except TableConflict as exc:
                batch = fail_conflicting(batch, exc)
            except TableThrottled:
                self._waiting.put_back(batch)
                self._clock.sleep(self._backoff_s(pauses))
                pauses += 1
                batch = self._waiting.take()
            except TableError as exc:
                fail(batch, exc)
                if isinstance(exc, TableUnavailable) or self._overdue(begun):
                    self._waiting.refuse(TableStalled("the commit before has failed"))
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
        begun = self._clock.now()
        self._in_flight.append(begun)
        checks = [check for entry in batch for check in entry.checks]
        writes = [write for entry in batch for write in entry.writes]
        try:
            return self._table.commit(checks, writes)
        finally:
            self._in_flight.remove(begun)

    def _stalled(self) -> bool:
        overdue = sum(self._overdue(begun) for begun in self._in_flight)
        return overdue >= self._workers

    def _overdue(self, begun: float) -> bool:
        return self._clock.now() - begun > STALL_S

    def _backoff_s(self, pauses: int) -> float:
        ceiling = min(BACKOFF_CAP_S, BACKOFF_FIRST_S * 2**pauses)
        return ceiling * self._rng.uniform(0.5, 1.0)
