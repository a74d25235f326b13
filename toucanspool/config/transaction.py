"""One attempt to make a change: the rows read, checked and written."""

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
    """Hold the rows that a proposal depends on, as read at one moment.

    Parameters
    ----------
    proposal : Proposal
        What is to be changed.
    rows : mapping of str to Row
        The rows present among `row_keys`.

    Attributes
    ----------
    revision : int
        The configuration's revision when the rows were read.
    counter_version : int
        Version of the counter's row; 0 without a row.
    """

    __slots__ = ("_proposal", "_rows", "counter_version", "revision")

    def __init__(self, proposal: Proposal, rows: Mapping[str, Row]) -> None:
        self._proposal = proposal
        self._rows = rows
        self.revision = decode_revision(rows.get(REVISION_KEY))
        self.counter_version = self._version(REVISION_KEY)

    @classmethod
    def read(cls, table: Table, proposal: Proposal) -> "Transaction":
        """Read the rows of a proposal.

        Parameters
        ----------
        table : Table
            The platform's table.
        proposal : Proposal
            The proposal.

        Returns
        -------
        Transaction

        Raises
        ------
        TableUnavailable
            The table did not answer.
        """
        return cls(proposal, table.get(row_keys(proposal)))

    def earlier(self) -> Change | None:
        """Return the change that an earlier call with the change id made, or None.

        Returns
        -------
        Change or None

        Raises
        ------
        ChangeIdReused
            The change id stands for other content.
        """
        proposal = self._proposal
        row = self._rows.get(change_id_key(proposal.change_id))
        if row is None:
            return None
        made = decode_change_id_row(row)
        if made.fingerprint != proposal.fingerprint():
            raise ChangeIdReused(proposal.change_id, made.revision)
        return _change(proposal, made.revision, made.at, made.sentence)

    def check(self, kept: int = KEPT_CHANGES) -> None:
        """Check that the operator saw the records as they are.

        Parameters
        ----------
        kept : int, default=4096
            For how many changes a removal leaves a trace.

        Raises
        ------
        RecordConflict
            Records were changed since.
        StaleBase
            A record is absent, and the trace of its removal may be gone.
        BadProposal
            The base revision does not exist, or a record removed does not.
        """
        proposal = self._proposal
        if proposal.base > self.revision:
            raise BadProposal(
                [f"Revision {proposal.base} is newer than the newest, {self.revision}."]
            )
        held = {key: self._record_row(key) for key in proposal.record_keys()}
        conflicts = [
            Conflict(key, row.operator, row.revision, row.record is None)
            for key, row in held.items()
            if row is not None and row.revision > proposal.base_revision(key)
        ]
        if conflicts:
            raise RecordConflict(conflicts)
        oldest = self.revision - kept
        for key, row in held.items():
            if row is None and proposal.base_revision(key) < oldest:
                raise StaleBase(proposal.base_revision(key), oldest)
        _check_removals(proposal, held)

    def draft(self, at: float, sentence: str = "") -> Change:
        """Return the change as it would be accepted.

        Parameters
        ----------
        at : float
            Seconds since the epoch.
        sentence : str, default=""
            What it means.

        Returns
        -------
        Change
        """
        return _change(self._proposal, self.revision + 1, at, sentence)

    def checks(self) -> list[Check]:
        """Return what must hold when the change takes effect: nothing moved."""
        return [Check(key, self._version(key)) for key in row_keys(self._proposal)]

    def writes(self, change: Change) -> list[Write]:
        """Return the rows of a change.

        Parameters
        ----------
        change : Change
            The change drafted.

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
        The proposal.

    Returns
    -------
    list of str
    """
    records = [record_key(key) for key in proposal.record_keys()]
    return [REVISION_KEY, change_id_key(proposal.change_id), *records]


def _check_removals(
    proposal: Proposal, held: Mapping[RecordKey, RecordRow | None]
) -> None:
    keys = [RecordKey(item.kind, item.name) for item in proposal.removals]
    missing = [key for key in keys if held[key] is None or held[key].record is None]
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
