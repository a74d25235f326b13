"""The rounds of one coordinator, as recorded in the platform's table."""

from dataclasses import replace

import structlog

from toucanspool.backing.table import TableConflict, TableError, TableUncertain
from toucanspool.groups.coordinator_failures import LeaseLapsed, Superseded
from toucanspool.groups.fence import MAX_ROUND, fence_of, lease_token_of, round_of
from toucanspool.groups.record import GroupRecord, RecordStore
from toucanspool.groups.switch_intent import Intent

log = structlog.get_logger()


class RoundLog:
    """Give out fencing tokens, and record each round before its first order.

    Parameters
    ----------
    store : RecordStore
        The group's record.
    group : str
        The group's name.
    ranks : int
        Number of ranks.
    token : int
        Token of the coordinator's lease.
    """

    __slots__ = ("_group", "_ranks", "_rounds", "_store", "_token")

    def __init__(
        self, store: RecordStore, *, group: str, ranks: int, token: int
    ) -> None:
        self._store = store
        self._group = group
        self._ranks = ranks
        self._token = token
        self._rounds = 0

    def next_fence(self, recorded: int = 0) -> int:
        """Return a token above the recorded one, never returned before.

        Parameters
        ----------
        recorded : int, default=0
            The highest token recorded.

        Returns
        -------
        int

        Raises
        ------
        Superseded
            A later lease's token is recorded.
        LeaseLapsed
            The lease has no token left.
        """
        if lease_token_of(recorded) > self._token:
            raise Superseded
        if lease_token_of(recorded) == self._token:
            self._rounds = max(self._rounds, round_of(recorded) + 1)
        if self._rounds > MAX_ROUND:
            raise LeaseLapsed
        fence = fence_of(self._token, self._rounds)
        self._rounds += 1
        return fence

    def open_recovery(self) -> Intent | None:
        """Record a round that finishes or undoes what is recorded.

        Returns
        -------
        Intent or None
            None where another writer was faster, or may have been.

        Raises
        ------
        Superseded
            A later coordinator is at work.
        TableUnavailable
            The table did not answer.
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
        """Record a switch.

        Parameters
        ----------
        current : int
            Version of the map in use.
        version : int
            Version of the new map: a token by `next_fence`, which is the round's
            token as well.

        Returns
        -------
        Intent

        Raises
        ------
        Superseded
            A later coordinator is at work.
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
        """Record how a round ended, as far as the table answers.

        The record only saves the next coordinator some work: what the ranks say
        decides.

        Parameters
        ----------
        intent : Intent
            The round.
        reached : int
            Version of the map that the group uses now.
        """
        record = GroupRecord(reached, reached, intent.fence)
        try:
            stored = self._store.read()
            if stored.record.fence == intent.fence and stored.record != record:
                self._store.write(record, row_version=stored.row_version)
        except TableError as exc:
            log.warning("map switch not recorded", group=self._group, error=str(exc))

    def _intent(self, record: GroupRecord, *, new: bool) -> Intent:
        return Intent(
            group=self._group,
            ranks=self._ranks,
            fence=record.fence,
            committed=record.committed,
            intended=record.intended,
            new=new,
        )
