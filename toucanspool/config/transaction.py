"""The rows that one attempt to make a change reads, checks and writes."""

from collections.abc import Mapping

from toucanspool.backing.table import Check, Row, Table, Write
from toucanspool.config.failures import (
    BadProposal,
    ChangeIdReused,
    Conflict,
    RecordConflict,
    StaleBase,
)
from toucanspool.config.proposal import Proposal
from toucanspool.config.records import Change, encode
from toucanspool.config.rows import (
    KEPT_CHANGES,
    REVISION_KEY,
    ChangeIdRow,
    RecordKey,
    RecordRow,
    change_id_key,
    change_key,
    decode_change_id_row,
    decode_record_row,
    decode_revision,
    encode_row,
    record_key,
)


class Transaction:
    """Build the transaction of a proposal from a consistent read of its rows.

    Parameters
    ----------
    proposal : Proposal
        The requested change.
    rows : mapping of str to Row
        Existing rows among `row_keys`, by key.

    Attributes
    ----------
    revision : int
        The configuration's revision when the rows were read.
    counter_version : int
        Version of the counter's row; 0 if the row does not exist.
    """

    __slots__ = ("_proposal", "_rows", "counter_version", "revision")

    def __init__(self, proposal: Proposal, rows: Mapping[str, Row]) -> None:
        self._proposal = proposal
        self._rows = rows
        self.revision = decode_revision(rows.get(REVISION_KEY))
        self.counter_version = self._version(REVISION_KEY)

    @classmethod
    def read(cls, table: Table, proposal: Proposal) -> "Transaction":
        """Read the rows that a proposal depends on.

        Parameters
        ----------
        table : Table
            The platform's table.
        proposal : Proposal
            The requested change.

        Returns
        -------
        Transaction

        Raises
        ------
        TableUnavailable
            The table did not answer.
        """
        return cls(proposal, table.get(row_keys(proposal)))

    def existing_change(self) -> Change | None:
        """Return the change that an earlier call made with this change id, or None.

        Returns
        -------
        Change or None

        Raises
        ------
        ChangeIdReused
            The change id was used for another change.
        """
        proposal = self._proposal
        row = self._rows.get(change_id_key(proposal.change_id))
        if row is None:
            return None
        id_row = decode_change_id_row(row)
        if id_row.fingerprint != proposal.fingerprint():
            raise ChangeIdReused(proposal.change_id, id_row.revision)
        return _change(proposal, id_row.revision, id_row.at, id_row.sentence)

    def validate(self, kept: int = KEPT_CHANGES) -> None:
        """Check that no record changed after the revision that the operator saw.

        Parameters
        ----------
        kept : int, default=4096
            Number of changes for which the tombstone of a removed record is kept.

        Raises
        ------
        RecordConflict
            Records changed after their base revisions.
        StaleBase
            A record is absent, and its tombstone may have been pruned.
        BadProposal
            The base revision or a record to remove does not exist.
        """
        proposal = self._proposal
        if proposal.base > self.revision:
            raise BadProposal(
                [f"Revision {proposal.base} is newer than the newest, {self.revision}."]
            )
        current = {key: self._record_row(key) for key in proposal.record_keys()}
        conflicts = [
            Conflict(key, row.operator, row.revision, row.record is None)
            for key, row in current.items()
            if row is not None and row.revision > proposal.base_revision(key)
        ]
        if conflicts:
            raise RecordConflict(conflicts)
        oldest = self.revision - kept
        for key, row in current.items():
            if row is None and proposal.base_revision(key) < oldest:
                raise StaleBase(proposal.base_revision(key), oldest)
        _check_removals(proposal, current)

    def build_change(self, at: float, sentence: str = "") -> Change:
        """Return the change with the revision that follows the current one.

        Parameters
        ----------
        at : float
            Time of the change, in seconds since the epoch.
        sentence : str, default=""
            Description of the change.

        Returns
        -------
        Change
        """
        return _change(self._proposal, self.revision + 1, at, sentence)

    def checks(self) -> list[Check]:
        """Return the preconditions of the commit: no row has another version."""
        return [Check(key, self._version(key)) for key in row_keys(self._proposal)]

    def writes(self, change: Change) -> list[Write]:
        """Return the writes of the commit.

        Parameters
        ----------
        change : Change
            The change, as returned by `build_change`.

        Returns
        -------
        list of Write
        """
        id_row = ChangeIdRow(
            change.revision,
            change.operator,
            change.at,
            change.sentence,
            self._proposal.fingerprint(),
        )
        return [
            Write(REVISION_KEY, str(change.revision).encode()),
            Write(change_key(change.revision), encode(change)),
            Write(change_id_key(change.change_id), encode_row(id_row)),
            *_record_writes(change),
        ]

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else 0

    def _record_row(self, key: RecordKey) -> RecordRow | None:
        row = self._rows.get(record_key(key))
        return decode_record_row(row) if row else None


def row_keys(proposal: Proposal) -> list[str]:
    """Return the keys of all rows that a proposal depends on.

    Parameters
    ----------
    proposal : Proposal
        The requested change.

    Returns
    -------
    list of str
    """
    records = [record_key(key) for key in proposal.record_keys()]
    return [REVISION_KEY, change_id_key(proposal.change_id), *records]


def _check_removals(
    proposal: Proposal, current: Mapping[RecordKey, RecordRow | None]
) -> None:
    keys = [RecordKey(item.kind, item.name) for item in proposal.removals]
    missing = [
        key for key in keys if current[key] is None or current[key].record is None
    ]
    if missing:
        raise BadProposal([f"There is no {key} to remove." for key in missing])


def _change(proposal: Proposal, revision: int, at: float, sentence: str) -> Change:
    return Change(
        revision=revision,
        change_id=proposal.change_id,
        operator=proposal.operator,
        at=at,
        sentence=sentence,
        puts=proposal.puts,
        removals=proposal.removals,
    )


def _record_writes(change: Change) -> list[Write]:
    rows = {RecordKey(r.kind, r.name): r for r in change.puts}
    removed = {RecordKey(r.kind, r.name): None for r in change.removals}
    return [
        Write(
            record_key(key),
            encode_row(RecordRow(change.revision, change.operator, record)),
        )
        for key, record in (rows | removed).items()
    ]
