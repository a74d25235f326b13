"""Interface to which claims submit their transactions."""

from collections.abc import Sequence
from typing import Protocol

from toucanspool.backing.table import Check, Write


class Submitter(Protocol):
    """Commit small transactions, in this process or through another one.

    Claims do compare-and-set and read back uncertain commits themselves. Their safety
    depends only on the submitter raising the correct error.
    """

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
            Nothing was written, and nothing will be.
        TableUncertain
            The transaction may have taken effect, or still may.
        """
        ...
