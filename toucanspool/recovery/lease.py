"""A lease on an elected duty, kept in one row of the table.

No wall clock is compared. A holder writes the row again and again; others take it
after its version stood still for the whole TTL of their own monotonic clock. The
holder stops earlier, counted from before its last write was sent, so that clocks
may run apart by `DRIFT`.
"""

import secrets
from collections.abc import Callable

from toucanspool.backing.table import (
    Check,
    Row,
    Table,
    TableConflict,
    TableError,
    TableUncertain,
    Write,
)
from toucanspool.recovery.lease_row import LeaseRow, decode_lease, encode_lease

PREFIX = "lease/"
LEASE_TTL_S = 9.0
DRIFT = 0.2
RENEWALS_PER_TTL = 3
HOLDER_ID_BYTES = 8


class LeaseLost(Exception):
    """Report that a lease is not held.

    Parameters
    ----------
    name : str
        The lease.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"the lease {name} is not held")
        self.name = name


def lease_key(name: str) -> str:
    """Return the key of a lease's row.

    Parameters
    ----------
    name : str
        The lease.

    Returns
    -------
    str
    """
    return PREFIX + name


class Lease:
    """Take, keep and give up one lease.

    A task calls `step` every `interval_s`. What the holder orders carries `token`,
    which grows with each change of holder.

    Parameters
    ----------
    table : Table
        The platform's table.
    name : str
        The lease.
    holder : str
        This process's name, for the record.
    ttl_s : float, default=9.0
        Seconds for which the row must stand still before another may take it.
    now : callable
        Monotonic seconds.
    new_id : callable, optional
        Draws an identity that was never drawn before.

    Attributes
    ----------
    token : int
        Fencing token of the last holding; 0 before the first.
    """

    __slots__ = (
        "_beat",
        "_closed",
        "_holder",
        "_key",
        "_name",
        "_now",
        "_row",
        "_seen_s",
        "_table",
        "_until_s",
        "interval_s",
        "token",
        "ttl_s",
    )

    def __init__(
        self,
        table: Table,
        name: str,
        holder: str,
        *,
        ttl_s: float = LEASE_TTL_S,
        now: Callable[[], float],
        new_id: Callable[[], str] | None = None,
    ) -> None:
        self._table = table
        self._name = name
        self._key = lease_key(name)
        self._holder = f"{holder}/{(new_id or _random_id)()}"
        self._now = now
        self._row: Row | None = None
        self._seen_s: float | None = None
        self._until_s: float | None = None
        self._beat = 0
        self._closed = False
        self.ttl_s = ttl_s
        self.interval_s = ttl_s / RENEWALS_PER_TTL
        self.token = 0

    def held(self, now: float) -> bool:
        """Return whether the lease is held at a moment.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            False well before another process may take the lease.
        """
        if self._closed or self._until_s is None:
            return False
        return now < self._until_s

    def guard(self) -> int:
        """Return the fencing token for an order to be given at once.

        Returns
        -------
        int

        Raises
        ------
        LeaseLost
            The lease is not held.
        """
        if not self.held(self._now()):
            raise LeaseLost(self._name)
        return self.token

    def check(self) -> Check:
        """Return a check that fails once another process took the lease.

        It fails after a renewal as well: commit with it, then `step`.

        Returns
        -------
        Check

        Raises
        ------
        LeaseLost
            The lease is not held.
        """
        self.guard()
        assert self._row is not None
        return Check(self._key, self._row.version)

    def step(self) -> bool:
        """Renew the lease, or take it where that is allowed.

        Returns
        -------
        bool
            Whether the lease is held.
        """
        if self._closed:
            return False
        try:
            if not self.held(self._now()) or self._row is None:
                self._observe()
            if self._may_write():
                self._write()
        except TableError:
            pass
        return self.held(self._now())

    def release(self) -> None:
        """Give the lease up for good, so that another may take it at once.

        Raises
        ------
        TableError
            It may not be recorded; others then wait for the TTL.
        """
        self._closed = True
        lease = decode_lease(self._row)
        if lease.holder != self._holder:
            return
        free = LeaseRow("", lease.token, 0)
        checks = [Check(self._key, _version(self._row))]
        self._table.commit(checks, [Write(self._key, encode_lease(free))])

    def _observe(self) -> None:
        found = self._table.get([self._key]).get(self._key)
        changed = _version(found) != _version(self._row)
        if changed or self._seen_s is None:
            self._seen_s = self._now()
        self._row = found

    def _may_write(self) -> bool:
        lease = decode_lease(self._row)
        if lease.holder in ("", self._holder):
            return True
        assert self._seen_s is not None
        return self._now() - self._seen_s >= self.ttl_s

    def _write(self) -> None:
        lease = decode_lease(self._row)
        token = lease.token + (lease.holder != self._holder)
        self._beat += 1
        mine = LeaseRow(self._holder, token, self._beat)
        sent_s = self._now()
        data = encode_lease(mine)
        checks = [Check(self._key, _version(self._row))]
        try:
            version = self._table.commit(checks, [Write(self._key, data)])
        except TableConflict:
            self._observe_loss()
        except TableUncertain:
            self._observe()
            if decode_lease(self._row) == mine:
                self._hold(token, sent_s)
        else:
            self._row = Row(self._key, data, version)
            self._hold(token, sent_s)

    def _observe_loss(self) -> None:
        self._observe()
        if decode_lease(self._row).holder != self._holder:
            self._until_s = None

    def _hold(self, token: int, sent_s: float) -> None:
        self.token = token
        self._seen_s = self._now()
        self._until_s = sent_s + self.ttl_s * (1.0 - DRIFT)


def _version(row: Row | None) -> int:
    return row.version if row else 0


def _random_id() -> str:
    return secrets.token_hex(HOLDER_ID_BYTES)
