"""Transactions that wait for the next group commit."""

from collections import deque
from collections.abc import Iterable

from toucanspool.backing.table import TableError
from toucanspool.protected.transaction import Transaction, fail

MAX_BATCH_BYTES = 1 << 20


class TransactionQueue:
    """Hold transactions in order of arrival, and put batches together.

    Parameters
    ----------
    max_batch : int
        Transactions in a batch at most.
    """

    __slots__ = ("_entries", "_max_batch")

    def __init__(self, max_batch: int) -> None:
        self._max_batch = max_batch
        self._entries: deque[Transaction] = deque()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: Transaction) -> None:
        """Put a transaction at the end.

        Parameters
        ----------
        entry : Transaction
            The transaction.
        """
        self._entries.append(entry)

    def drop(self, entry: Transaction) -> None:
        """Take out a transaction that nobody waits for, unless it was sent.

        Parameters
        ----------
        entry : Transaction
            The transaction.
        """
        entry.dropped = True
        if not entry.sent and not entry.result.ready():
            self._entries.remove(entry)

    def due(self) -> float:
        """Return the moment at which the first must be sent.

        Returns
        -------
        float
        """
        return min(entry.due for entry in self._entries)

    def take(self) -> list[Transaction]:
        """Take out a batch in which no two share a key.

        Returns
        -------
        list of Transaction
        """
        batch: list[Transaction] = []
        left: deque[Transaction] = deque()
        seen: set[str] = set()
        size = 0
        for entry in self._entries:
            fits = len(batch) < self._max_batch and size < MAX_BATCH_BYTES
            if fits and seen.isdisjoint(entry.keys):
                batch.append(entry)
                size += entry.size
                entry.sent = True
            else:
                left.append(entry)
            seen |= entry.keys
        self._entries = left
        return batch

    def put_back(self, batch: Iterable[Transaction]) -> None:
        """Put a batch that was certainly not written in front again.

        Parameters
        ----------
        batch : iterable of Transaction
            The batch.
        """
        kept = [entry for entry in batch if not entry.dropped]
        for entry in kept:
            entry.sent = False
        self._entries.extendleft(reversed(kept))

    def refuse(self, exc: TableError) -> None:
        """Fail all that wait.

        Parameters
        ----------
        exc : TableError
            The failure.
        """
        entries, self._entries = self._entries, deque()
        fail(entries, exc)
