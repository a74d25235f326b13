"""Where claims give their small transactions."""

from collections.abc import Sequence
from typing import Protocol

from toucanspool.backing.table import Check, Write


class Submitter(Protocol):
    """Commit small transactions, here or through another process.

    A claim is safe whatever the submitter does with it, as long as its errors are
    true: compare-and-set and reading back are the claim's own.
    """

    def submit(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        *,
        timeout_s: float,
        linger_s: float = 0.0,
    ) -> int:
        """Commit a small transaction, perhaps together with others.

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
            Nothing was written, nor will be.
        TableUncertain
            It may have taken effect, or may still do so.
        """
        ...
