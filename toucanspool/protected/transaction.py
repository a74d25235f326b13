"""A transaction submitted to a group commit, and its result."""

from collections.abc import Iterable, Sequence

from gevent.event import AsyncResult

from toucanspool.backing.table import Check, TableConflict, TableUncertain, Write


class QueuedTransaction:
    """Hold checks, writes and the result that the submitter waits for.

    Parameters
    ----------
    checks : sequence of Check
        Versions that the rows must still have.
    writes : sequence of Write
        Rows to set or delete.
    due_at : float
        Time on the clock at which it must be sent at the latest.

    Attributes
    ----------
    keys : frozenset of str
        All keys that it checks or writes.
    size : int
        Size of the written values in bytes.
    result : AsyncResult
        The version of the written rows, or the exception.
    sent : bool
        Whether it was sent to the table and not queued again.
    cancelled : bool
        Whether its submitter no longer waits for the result.
    """

    __slots__ = (
        "cancelled",
        "checks",
        "due_at",
        "keys",
        "result",
        "sent",
        "size",
        "writes",
    )

    def __init__(
        self, checks: Sequence[Check], writes: Sequence[Write], due_at: float
    ) -> None:
        self.checks = checks
        self.writes = writes
        self.due_at = due_at
        checked = frozenset(check.key for check in checks)
        self.keys = checked.union(write.key for write in writes)
        self.size = sum(len(write.value or b"") for write in writes)
        self.result = AsyncResult()
        self.sent = False
        self.cancelled = False


def succeed(batch: Iterable[QueuedTransaction], version: int) -> None:
    """Set the result of committed transactions.

    Parameters
    ----------
    batch : iterable of QueuedTransaction
        The committed transactions.
    version : int
        The version of the written rows.
    """
    for transaction in batch:
        transaction.result.set(version)


def fail(batch: Iterable[QueuedTransaction], exc: Exception) -> None:
    """Set an exception as the result of transactions.

    Parameters
    ----------
    batch : iterable of QueuedTransaction
        The failed transactions.
    exc : Exception
        The exception.
    """
    for transaction in batch:
        transaction.result.set_exception(exc)


def fail_conflicting(
    batch: Iterable[QueuedTransaction], exc: TableConflict
) -> list[QueuedTransaction]:
    """Fail the transactions of a batch that caused a conflict.

    If none can be identified by its keys, all fail.

    Parameters
    ----------
    batch : iterable of QueuedTransaction
        The batch that was not committed.
    exc : TableConflict
        The conflict, with the keys whose checks failed.

    Returns
    -------
    list of QueuedTransaction
        The others that were not cancelled.
    """
    failed_keys = set(exc.keys)
    conflicting = [t for t in batch if not failed_keys.isdisjoint(t.keys)]
    for transaction in conflicting or batch:
        own_keys = [key for key in exc.keys if key in transaction.keys]
        transaction.result.set_exception(TableConflict(own_keys))
    return [t for t in batch if not t.cancelled and not t.result.ready()]


def uncertain_failure(exc: BaseException) -> TableUncertain:
    """Return the result of a commit that raised an unexpected exception.

    Parameters
    ----------
    exc : BaseException
        The exception.

    Returns
    -------
    TableUncertain
    """
    return TableUncertain(f"the commit broke off: {exc!r}")
