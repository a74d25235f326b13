"""A lease on an elected duty, stored in one row of the table.

No wall-clock times are compared. The holder renews the row at an interval. Another
process may take the lease after the row's version has not changed for a full TTL on
that process's own monotonic clock. The holder's own time is shorter by
`MAX_CLOCK_DRIFT` and counts from before its last write was sent, so that the rates
of the clocks may differ by that fraction.
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

LEASE_PREFIX = "lease/"
LEASE_TTL_S = 9.0
MAX_CLOCK_DRIFT = 0.2
RENEWALS_PER_TTL = 3
HOLDER_ID_BYTES = 8


class LeaseLost(Exception):
    """Report that this process does not hold a lease.

    Parameters
    ----------
    name : str
        Name of the lease.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"the lease {name} is not held")
        self.name = name


def lease_key(name: str) -> str:
    """Return the key of a lease's row.

    Parameters
    ----------
    name : str
        Name of the lease.

    Returns
    -------
    str
    """
    return LEASE_PREFIX + name


class Lease:
    """Acquire, renew and release one lease.

    A task calls `step` every `interval_s`. The holder's orders carry `token`, which
    increases with each change of holder.

    Parameters
    ----------
    table : Table
        Table that holds the lease row.
    name : str
        Name of the lease.
    holder : str
        Name of this process, stored in the row for diagnosis.
    ttl_s : float, default=9.0
        Time without a write to the row, in seconds, after which another process may
        take the lease.
    now : callable
        Returns the monotonic time in seconds.
    new_id : callable, optional
        Returns an identifier that was never used before, so that a restarted process
        is another holder.

    Attributes
    ----------
    token : int
        Fencing token of the last time the lease was held; 0 before the first.
    """

    __slots__ = (
        "_beat",
        "_closed",
        "_holder",
        "_key",
        "_name",
        "_now",
        "_row",
        "_unchanged_since_s",
        "_table",
        "_held_until_s",
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
        self._unchanged_since_s: float | None = None
        self._held_until_s: float | None = None
        self._beat = 0
        self._closed = False
        self.ttl_s = ttl_s
        self.interval_s = ttl_s / RENEWALS_PER_TTL
        self.token = 0

    def held(self, now: float) -> bool:
        """Return whether this process holds the lease at a given time.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False some time before another process may take the lease.
        """
        if self._closed or self._held_until_s is None:
            return False
        return now < self._held_until_s

    def guard(self) -> int:
        """Return the fencing token for an order that is sent immediately.

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
        """Return a check that fails after another process has taken the lease.

        It also fails after a renewal, so commit with it before the next `step`.

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
        """Renew the lease, or try to acquire it if it is free or has expired.

        Returns
        -------
        bool
            Whether this process holds the lease.
        """
        if self._closed:
            return False
        try:
            if not self.held(self._now()) or self._row is None:
                self._read_row()
            if self._may_write():
                self._write_row()
        except TableError:
            pass
        return self.held(self._now())

    def release(self) -> None:
        """Release the lease permanently, so that another process can take it at once.

        Raises
        ------
        TableError
            The release may not be recorded. Other processes then wait for the TTL.
        """
        self._closed = True
        lease = decode_lease(self._row)
        if lease.holder != self._holder:
            return
        released = LeaseRow("", lease.token, 0)
        checks = [Check(self._key, _version(self._row))]
        self._table.commit(checks, [Write(self._key, encode_lease(released))])

    def _read_row(self) -> None:
        found = self._table.get([self._key]).get(self._key)
        changed = _version(found) != _version(self._row)
        if changed or self._unchanged_since_s is None:
            self._unchanged_since_s = self._now()
        self._row = found

    def _may_write(self) -> bool:
        lease = decode_lease(self._row)
        if lease.holder in ("", self._holder):
            return True
        assert self._unchanged_since_s is not None
        return self._now() - self._unchanged_since_s >= self.ttl_s

    def _write_row(self) -> None:
        lease = decode_lease(self._row)
        token = lease.token + (lease.holder != self._holder)
        self._beat += 1
        claimed = LeaseRow(self._holder, token, self._beat)
        sent_s = self._now()
        data = encode_lease(claimed)
        checks = [Check(self._key, _version(self._row))]
        try:
            version = self._table.commit(checks, [Write(self._key, data)])
        except TableConflict:
            self._check_lost()
        except TableUncertain:
            self._read_row()
            if decode_lease(self._row) == claimed:
                self._mark_held(token, sent_s)
        else:
            self._row = Row(self._key, data, version)
            self._mark_held(token, sent_s)

    def _check_lost(self) -> None:
        self._read_row()
        if decode_lease(self._row).holder != self._holder:
            self._held_until_s = None

    def _mark_held(self, token: int, sent_s: float) -> None:
        self.token = token
        self._unchanged_since_s = self._now()
        self._held_until_s = sent_s + self.ttl_s * (1.0 - MAX_CLOCK_DRIFT)


def _version(row: Row | None) -> int:
    return row.version if row else 0


def _random_id() -> str:
    return secrets.token_hex(HOLDER_ID_BYTES)
