"""Queue of the transactions that wait for a group commit."""

from collections import deque
from collections.abc import Iterable

from toucanspool.backing.table import TableError
from toucanspool.protected.transaction import QueuedTransaction, fail

MAX_BATCH_BYTES = 1 << 20


class TransactionQueue:
    """Queue transactions in order of arrival, and form batches of them.

    Parameters
    ----------
    max_batch_size : int
        Maximum number of transactions in a batch.
    """

    __slots__ = ("_max_batch_size", "_queued")

    def __init__(self, max_batch_size: int) -> None:
        self._max_batch_size = max_batch_size
        self._queued: deque[QueuedTransaction] = deque()

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, transaction: QueuedTransaction) -> None:
        """Append a transaction.

        Parameters
        ----------
        transaction : QueuedTransaction
            The transaction.
        """
        self._queued.append(transaction)

    def cancel(self, transaction: QueuedTransaction) -> None:
        """Remove a transaction unless it was sent.

        Called when its submitter no longer waits. A sent one is only marked, so that
        it is not queued again.

        Parameters
        ----------
        transaction : QueuedTransaction
            The transaction.
        """
        transaction.cancelled = True
        if not transaction.sent and not transaction.result.ready():
            self._queued.remove(transaction)

    def due_at(self) -> float:
        """Return the earliest time at which a transaction must be sent.

        Returns
        -------
        float
        """
        return min(transaction.due_at for transaction in self._queued)

    def take_batch(self) -> list[QueuedTransaction]:
        """Remove and return a batch in which no two transactions share a key.

        Transactions on the same key stay in order.

        Returns
        -------
        list of QueuedTransaction
        """
        batch: list[QueuedTransaction] = []
        remaining: deque[QueuedTransaction] = deque()
        seen_keys: set[str] = set()
        size = 0
        for transaction in self._queued:
            fits = len(batch) < self._max_batch_size and size < MAX_BATCH_BYTES
            if fits and seen_keys.isdisjoint(transaction.keys):
                batch.append(transaction)
                size += transaction.size
                transaction.sent = True
            else:
                remaining.append(transaction)
            seen_keys |= transaction.keys
        self._queued = remaining
        return batch

    def requeue(self, batch: Iterable[QueuedTransaction]) -> None:
        """Put a batch back at the front of the queue.

        The batch was certainly not written. Cancelled transactions are left out.

        Parameters
        ----------
        batch : iterable of QueuedTransaction
            The batch.
        """
        active = [transaction for transaction in batch if not transaction.cancelled]
        for transaction in active:
            transaction.sent = False
        self._queued.extendleft(reversed(active))

    def fail_all(self, exc: TableError) -> None:
        """Remove all transactions, and set an exception as their result.

        Parameters
        ----------
        exc : TableError
            The exception.
        """
        queued, self._queued = self._queued, deque()
        fail(queued, exc)
