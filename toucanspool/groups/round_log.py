"""Fencing tokens and records of one coordinator's rounds."""

from dataclasses import replace

import structlog

from toucanspool.backing.table import TableConflict, TableError, TableUncertain
from toucanspool.groups.coordinator_failures import LeaseLapsed, Superseded
from toucanspool.groups.fence import MAX_ROUND, fence_of, lease_token_of, round_of
from toucanspool.groups.record import GroupRecord, RecordStore
from toucanspool.groups.switch_intent import Intent

log = structlog.get_logger()


class RoundLog:
    """Issue fencing tokens, and record each round before its first order.

    Parameters
    ----------
    store : RecordStore
        Reads and writes the group's record.
    group : str
        Name of the group.
    ranks : int
        Number of ranks in the group.
    token : int
        Fencing token of the coordinator's lease.
    """

    __slots__ = ("_group", "_next_round", "_ranks", "_store", "_token")

    def __init__(
        self, store: RecordStore, *, group: str, ranks: int, token: int
    ) -> None:
        self._store = store
        self._group = group
        self._ranks = ranks
        self._token = token
        self._next_round = 0

    def next_fence(self, recorded: int = 0) -> int:
        """Return a new fencing token above the recorded one.

        Parameters
        ----------
        recorded : int, default=0
            The highest recorded token.

        Returns
        -------
        int

        Raises
        ------
        Superseded
            The recorded token belongs to a later lease.
        LeaseLapsed
            All round numbers of the lease are used.
        """
        if lease_token_of(recorded) > self._token:
            raise Superseded
        if lease_token_of(recorded) == self._token:
            self._next_round = max(self._next_round, round_of(recorded) + 1)
        if self._next_round > MAX_ROUND:
            raise LeaseLapsed
        fence = fence_of(self._token, self._next_round)
        self._next_round += 1
        return fence

    def open_recovery(self) -> Intent | None:
        """Record a round that finishes or undoes the recorded switch.

        Returns
        -------
        Intent or None
            None if the write conflicted with another one or its outcome is unknown.

        Raises
        ------
        Superseded
            A later coordinator is active.
        TableUnavailable
            The table did not respond.
        """
        stored = self._store.read()
        fence = self.next_fence(stored.record.fence)
        record = replace(stored.record, fence=fence)
        try:
            self._store.write(record, row_version=stored.row_version)
        except (TableConflict, TableUncertain):
            return None
        return self._intent(record, new=False)

    def open_switch(self, current: int, version: int) -> Intent:
        """Record the start of a switch.

        Parameters
        ----------
        current : int
            Version of the active map.
        version : int
            Version of the new map: a token from `next_fence`, which is also the
            fencing token of the round.

        Returns
        -------
        Intent

        Raises
        ------
        Superseded
            A later coordinator is active.
        TableConflict, TableUnavailable, TableUncertain
            The record was not written, or may not have been.
        """
        stored = self._store.read()
        if stored.record.fence >= version:
            raise Superseded
        record = GroupRecord(current, version, version)
        self._store.write(record, row_version=stored.row_version)
        return self._intent(record, new=True)

    def close(self, intent: Intent, reached: int) -> None:
        """Record the result of a round, if the table is available.

        The result may be missing: the next coordinator goes by the map versions that
        the ranks report, and the record only saves it some work.

        Parameters
        ----------
        intent : Intent
            Intent of the round.
        reached : int
            Version of the map that the group uses after the round.
        """
        record = GroupRecord(reached, reached, intent.fence)
        try:
            stored = self._store.read()
            if stored.record.fence == intent.fence and stored.record != record:
                self._store.write(record, row_version=stored.row_version)
        except TableError as exc:
            log.warning(
                "could not record the result of the map switch",
                group=self._group,
                error=str(exc),
            )

    def _intent(self, record: GroupRecord, *, new: bool) -> Intent:
        return Intent(
            group=self._group,
            ranks=self._ranks,
            fence=record.fence,
            committed=record.committed,
            intended=record.intended,
            new=new,
        )
