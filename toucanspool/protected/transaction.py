"""One small transaction that waits for a group commit."""

from collections.abc import Iterable, Sequence

from gevent.event import AsyncResult

from toucanspool.backing.table import Check, TableConflict, TableUncertain, Write


class Transaction:
    """Hold checks, writes and the result that a greenlet waits for.

    Parameters
    ----------
    checks : sequence of Check
        What must hold.
    writes : sequence of Write
        What is written.
    due : float
        Moment of the clock at which it must be sent.

    Attributes
    ----------
    keys : frozenset of str
        Keys checked or written.
    size : int
        Bytes written.
    result : AsyncResult
        The version written, or the failure.
    sent : bool
        Whether it is part of a commit in flight.
    dropped : bool
        Whether nobody waits for it any more.
    """

    __slots__ = ("checks", "dropped", "due", "keys", "result", "sent", "size", "writes")

    def __init__(
        self, checks: Sequence[Check], writes: Sequence[Write], due: float
    ) -> None:
        self.checks = checks
        self.writes = writes
        self.due = due
        checked = frozenset(check.key for check in checks)
        self.keys = checked.union(write.key for write in writes)
        self.size = sum(len(write.value or b"") for write in writes)
        self.result = AsyncResult()
        self.sent = False
        self.dropped = False


def succeed(batch: Iterable[Transaction], version: int) -> None:
    """Give transactions their version.

    Parameters
    ----------
    batch : iterable of Transaction
        What was committed.
    version : int
        The version written.
    """
    for entry in batch:
        entry.result.set(version)


def fail(batch: Iterable[Transaction], exc: Exception) -> None:
    """Give transactions their failure.

    Parameters
    ----------
    batch : iterable of Transaction
        What failed.
    exc : Exception
        The failure.
    """
    for entry in batch:
        entry.result.set_exception(exc)


def fail_conflicting(
    batch: Iterable[Transaction], exc: TableConflict
) -> list[Transaction]:
    """Fail the transactions of a batch whose checks failed.

    Parameters
    ----------
    batch : iterable of Transaction
        What was not committed.
    exc : TableConflict
        Names the keys that failed.

    Returns
    -------
    list of Transaction
        The others that somebody still waits for.
    """
    failed = set(exc.keys)
    hit = [entry for entry in batch if not failed.isdisjoint(entry.keys)]
    for entry in hit or batch:
        own = [key for key in exc.keys if key in entry.keys]
        entry.result.set_exception(TableConflict(own))
    return [e for e in batch if not e.dropped and not e.result.ready()]


def broken_off(exc: BaseException) -> TableUncertain:
    """Return the failure of a commit that ended by no failure of the table.

    Parameters
    ----------
    exc : BaseException
        What ended it.

    Returns
    -------
    TableUncertain
    """
    return TableUncertain(f"the commit broke off: {exc!r}")
