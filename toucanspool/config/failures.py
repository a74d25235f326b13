"""Exceptions raised for proposed changes, with messages for the operator."""

from collections.abc import Sequence
from dataclasses import dataclass

from toucanspool.backing.table import TableError
from toucanspool.config.rows import RecordKey


class ApplyError(Exception):
    """Base of the errors of a proposed change.

    Parameters
    ----------
    sentence : str
        Message for the operator: what happened and how to proceed.
    """

    def __init__(self, sentence: str) -> None:
        super().__init__(sentence)
        self.sentence = sentence


class BadProposal(ApplyError):
    """Report an invalid proposal; nothing changed.

    Parameters
    ----------
    errors : sequence of str
        Validation errors, one sentence each.
    """

    def __init__(self, errors: Sequence[str]) -> None:
        super().__init__(" ".join(errors))
        self.errors = tuple(errors)


@dataclass(slots=True, frozen=True)
class Conflict:
    """Describe a record that was changed after the proposal's base revision.

    Parameters
    ----------
    key : RecordKey
        The record.
    operator : str
        Operator who made the later change.
    revision : int
        Revision of the later change.
    removed : bool
        Whether the later change removed the record.
    """

    key: RecordKey
    operator: str
    revision: int
    removed: bool

    def sentence(self) -> str:
        """Return the conflict in words."""
        verb = "removed" if self.removed else "changed"
        return f"{self.operator} {verb} {self.key} at revision {self.revision}"


class RecordConflict(ApplyError):
    """Report records that changed after the base revision; nothing changed.

    Parameters
    ----------
    conflicts : sequence of Conflict
        One entry for each record in conflict.
    """

    def __init__(self, conflicts: Sequence[Conflict]) -> None:
        causes = " and ".join(c.sentence() for c in conflicts)
        super().__init__(
            f"Your change was not made, because {causes}, after the revision that "
            "you saw; look at it again and repeat your change with a new change id."
        )
        self.conflicts = tuple(conflicts)


class StaleBase(ApplyError):
    """Report a base revision too old to detect conflicts; nothing changed.

    Parameters
    ----------
    base : int
        The proposal's base revision.
    oldest : int
        The oldest base revision for which conflicts can be detected.
    """

    def __init__(self, base: int, oldest: int) -> None:
        super().__init__(
            f"Your change was not made, because revision {base} that you saw is older "
            f"than {oldest}, the oldest that can be compared; look again."
        )
        self.base = base
        self.oldest = oldest


class ChangeIdReused(ApplyError):
    """Report a change id already used for another change; nothing changed.

    Parameters
    ----------
    change_id : str
        The change id.
    revision : int
        Revision of the change that already uses the id.
    """

    def __init__(self, change_id: str, revision: int) -> None:
        super().__init__(
            f"Your change was not made, because change id {change_id} already stands "
            f"for another change at revision {revision}; use a new change id."
        )
        self.change_id = change_id
        self.revision = revision


class ApplyUnavailable(ApplyError):
    """Report that the table can't be reached; this call changed nothing.

    An earlier call with the same change id may have made the change.

    Parameters
    ----------
    change_id : str
        The change id to repeat the call with.
    """

    def __init__(self, change_id: str) -> None:
        super().__init__(
            "This call changed nothing, because the table can't be reached; repeat it "
            f"later with the same change id {change_id}, which also tells what became "
            "of an earlier call."
        )
        self.change_id = change_id


class ApplyBusy(ApplyError):
    """Report that all attempts lost against concurrent changes.

    This call changed nothing.

    Parameters
    ----------
    change_id : str
        The change id to repeat the call with.
    attempts : int
        Number of attempts made.
    """

    def __init__(self, change_id: str, attempts: int) -> None:
        super().__init__(
            f"This call changed nothing, because other changes came first {attempts} "
            f"times in a row; repeat it with the same change id {change_id}."
        )
        self.change_id = change_id
        self.attempts = attempts


class ApplyUncertain(ApplyError):
    """Report that it is unknown whether the change was made.

    The response to a commit was lost, and the table can't be read to find out.

    Parameters
    ----------
    change_id : str
        The change id to repeat the call with.
    """

    def __init__(self, change_id: str) -> None:
        super().__init__(
            "Your change may or may not have been made, because the table's answer "
            f"was lost; a repeat with the same change id {change_id} is harmless and "
            "will tell."
        )
        self.change_id = change_id


class ChangesPruned(Exception):
    """Report that requested changes have been pruned.

    Parameters
    ----------
    after : int
        The revision after which changes were requested.
    oldest : int
        The oldest revision still in the table.
    """

    def __init__(self, after: int, oldest: int) -> None:
        super().__init__(f"changes {after + 1} to {oldest - 1} are no longer kept")
        self.after = after
        self.oldest = oldest


class TornRead(TableError):
    """Report that the table changed too fast for a consistent read."""

    def __init__(self) -> None:
        super().__init__("the configuration changed too fast for a consistent read")
