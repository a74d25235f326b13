"""Failures of a proposed change, each with its sentence for the operator."""

from collections.abc import Sequence
from dataclasses import dataclass

from toucanspool.backing.table import TableError
from toucanspool.config.rows import RecordKey


class ApplyError(Exception):
    """Base of the failures of a proposed change.

    Parameters
    ----------
    sentence : str
        What happened and what the operator can do, in plain words.
    """

    def __init__(self, sentence: str) -> None:
        super().__init__(sentence)
        self.sentence = sentence


class BadProposal(ApplyError):
    """Report a proposal that can't be accepted; nothing changed.

    Parameters
    ----------
    mistakes : sequence of str
        One sentence each.
    """

    def __init__(self, mistakes: Sequence[str]) -> None:
        super().__init__(" ".join(mistakes))
        self.mistakes = tuple(mistakes)


@dataclass(slots=True, frozen=True)
class Conflict:
    """Hold a record that another operator changed first.

    Parameters
    ----------
    key : RecordKey
        The record.
    operator : str
        Who changed it.
    revision : int
        The revision of that change.
    removed : bool
        Whether the change removed the record.
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
    """Report records changed since the operator saw them; nothing changed.

    Parameters
    ----------
    conflicts : sequence of Conflict
        Every record in conflict.
    """

    def __init__(self, conflicts: Sequence[Conflict]) -> None:
        winners = " and ".join(c.sentence() for c in conflicts)
        super().__init__(
            f"Your change was not made, because {winners}, after the revision that "
            "you saw; look at it again and repeat your change with a new change id."
        )
        self.conflicts = tuple(conflicts)


class StaleBase(ApplyError):
    """Report a base revision too old to tell what changed since; nothing changed.

    Parameters
    ----------
    base : int
        The revision that the operator saw.
    oldest : int
        The oldest revision that may be named.
    """

    def __init__(self, base: int, oldest: int) -> None:
        super().__init__(
            f"Your change was not made, because revision {base} that you saw is older "
            f"than {oldest}, the oldest that can be compared; look again."
        )
        self.base = base
        self.oldest = oldest


class ChangeIdReused(ApplyError):
    """Report a change id that stands for another change; nothing changed.

    Parameters
    ----------
    change_id : str
        The change id.
    revision : int
        Revision of the change that it stands for.
    """

    def __init__(self, change_id: str, revision: int) -> None:
        super().__init__(
            f"Your change was not made, because change id {change_id} already stands "
            f"for another change at revision {revision}; use a new change id."
        )
        self.change_id = change_id
        self.revision = revision


class ApplyUnavailable(ApplyError):
    """Report that the table was out of reach; this call changed nothing.

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
    """Report that other changes came first each time; this call changed nothing.

    Parameters
    ----------
    change_id : str
        The change id to repeat the call with.
    attempts : int
        How often it was tried.
    """

    def __init__(self, change_id: str, attempts: int) -> None:
        super().__init__(
            f"This call changed nothing, because other changes came first {attempts} "
            f"times in a row; repeat it with the same change id {change_id}."
        )
        self.change_id = change_id
        self.attempts = attempts


class ApplyUncertain(ApplyError):
    """Report that the table's answer was lost and can't be read back.

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
    """Report that changes asked for are no longer kept.

    Parameters
    ----------
    after : int
        The revision after which changes were asked for.
    oldest : int
        The oldest revision kept.
    """

    def __init__(self, after: int, oldest: int) -> None:
        super().__init__(f"changes {after + 1} to {oldest - 1} are no longer kept")
        self.after = after
        self.oldest = oldest


class LoadTorn(TableError):
    """Report that the table changed too fast to be read whole."""

    def __init__(self) -> None:
        super().__init__("the configuration changed too fast to be read whole")
