"""Check of fencing tokens at the resource that they protect."""

from toucanspool.backing.table import Table
from toucanspool.recovery.lease import lease_key
from toucanspool.recovery.lease_row import decode_lease


class StaleToken(Exception):
    """Report an order from a lease holder that has been replaced.

    Parameters
    ----------
    token : int
        Fencing token of the order.
    highest : int
        Highest token seen.
    """

    def __init__(self, token: int, highest: int) -> None:
        super().__init__(f"fencing token {token} is older than {highest}")
        self.token = token
        self.highest = highest


class FenceNotReady(Exception):
    """Report that nothing can be admitted, since the highest token isn't known yet."""


class Fence:
    """Admit orders with the highest token seen, and reject older ones.

    A restarted process reads the token from the lease row. Every token was issued
    by a commit on that row, so the row's token is no lower than that of any order
    admitted before the restart.

    Parameters
    ----------
    table : Table
        Table that holds the lease row.
    name : str
        Name of the lease that issues the tokens.
    """

    __slots__ = ("_highest", "_key", "_table")

    def __init__(self, table: Table, name: str) -> None:
        self._table = table
        self._key = lease_key(name)
        self._highest: int | None = None

    def restore(self) -> int:
        """Read the highest token issued; call it before `admit`.

        Returns
        -------
        int
            Highest token known.

        Raises
        ------
        TableError
            The table did not answer. Nothing is admitted until a later call succeeds.
        """
        found = self._table.get([self._key]).get(self._key)
        self._highest = max(self._highest or 0, decode_lease(found).token)
        return self._highest

    def admit(self, token: int) -> None:
        """Admit an order, and keep its token as the highest.

        Parameters
        ----------
        token : int
            Fencing token of the order.

        Raises
        ------
        FenceNotReady
            `restore` has not succeeded yet.
        StaleToken
            An order or a lease row with a higher token was seen.
        """
        if self._highest is None:
            raise FenceNotReady("the highest fencing token is not known yet")
        if token < self._highest:
            raise StaleToken(token, self._highest)
        self._highest = token
