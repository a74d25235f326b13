"""The last check of fencing tokens, beside the resource that they protect."""

from toucanspool.backing.table import Table
from toucanspool.recovery.lease import lease_key
from toucanspool.recovery.lease_row import decode_lease


class StaleToken(Exception):
    """Report an order whose holder has been replaced.

    Parameters
    ----------
    token : int
        The order's token.
    highest : int
        The highest token known.
    """

    def __init__(self, token: int, highest: int) -> None:
        super().__init__(f"fencing token {token} is older than {highest}")
        self.token = token
        self.highest = highest


class FenceNotReady(Exception):
    """Report that the highest token is not known yet, so that nothing is admitted."""


class Fence:
    """Admit orders with the highest token seen, and no older ones.

    A process that restarts has forgotten what it saw. Every token was issued by a
    commit on the lease's row, so that the row's token is no lower than any order
    admitted before.

    Parameters
    ----------
    table : Table
        The platform's table.
    name : str
        The lease that issues the tokens.
    """

    __slots__ = ("_highest", "_key", "_table")

    def __init__(self, table: Table, name: str) -> None:
        self._table = table
        self._key = lease_key(name)
        self._highest: int | None = None

    def restore(self) -> int:
        """Read the token to start from; to be called before `admit`.

        Returns
        -------
        int
            The highest token known.

        Raises
        ------
        TableError
            The table did not answer; nothing is admitted until it does.
        """
        found = self._table.get([self._key]).get(self._key)
        self._highest = max(self._highest or 0, decode_lease(found).token)
        return self._highest

    def admit(self, token: int) -> None:
        """Let an order pass, and remember its token.

        Parameters
        ----------
        token : int
            The order's fencing token.

        Raises
        ------
        FenceNotReady
            `restore` has not succeeded yet.
        StaleToken
            A newer holder is known.
        """
        if self._highest is None:
            raise FenceNotReady("the highest fencing token is not known yet")
        if token < self._highest:
            raise StaleToken(token, self._highest)
        self._highest = token
