"""Keys of teams and operators, of which only hashes are kept."""

import hashlib

from toucanspool.config.failures import BadProposal
from toucanspool.config.records import Change, Operator, Record, Team
from toucanspool.config.rows import RecordKey


class KeyIndex:
    """Find the team or operator that a key belongs to."""

    __slots__ = ("_owners",)

    def __init__(self) -> None:
        self._owners: dict[tuple[str, str], Team | Operator] = {}

    def copy(self) -> "KeyIndex":
        """Return an index of the same keys that changes apart from this one.

        Returns
        -------
        KeyIndex
        """
        twin = KeyIndex()
        twin._owners = dict(self._owners)
        return twin

    def owner(self, kind: str, hashed: str) -> Team | Operator | None:
        """Return the record that lists the hash of a key, or None.

        Parameters
        ----------
        kind : {"team", "operator"}
            Kind of the record.
        hashed : str
            The key's hash, in hexadecimal.

        Returns
        -------
        Team or Operator or None
        """
        return self._owners.get((kind, hashed))

    def add(self, record: Record) -> None:
        """Take the keys of a record, if it has any.

        Parameters
        ----------
        record : Record
            The record.
        """
        if isinstance(record, Team | Operator):
            for hashed in record.key_hashes:
                self._owners[record.kind, hashed] = record

    def discard(self, record: Record | None) -> None:
        """Forget the keys of a record, if it has any.

        Parameters
        ----------
        record : Record or None
            The record.
        """
        if isinstance(record, Team | Operator):
            for hashed in record.key_hashes:
                if self._owners.get((record.kind, hashed)) is record:
                    del self._owners[record.kind, hashed]


def key_hash(key: str) -> str:
    """Return the hash kept of a key.

    Parameters
    ----------
    key : str
        The key.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def check_keys(held: KeyIndex, change: Change) -> None:
    """Check that a change gives no key to two teams or two operators.

    Parameters
    ----------
    held : KeyIndex
        The keys before the change.
    change : Change
        The change.

    Raises
    ------
    BadProposal
        A key is another's already.
    """
    touched = {RecordKey(item.kind, item.name) for item in change.puts}
    touched.update(RecordKey(item.kind, item.name) for item in change.removals)
    owners: dict[tuple[str, str], str] = {}
    mistakes = []
    for record in change.puts:
        if not isinstance(record, Team | Operator):
            continue
        for hashed in record.key_hashes:
            holder = held.owner(record.kind, hashed)
            if (
                holder is not None
                and RecordKey(holder.kind, holder.name) not in touched
            ):
                owners[record.kind, hashed] = holder.name
            owner = owners.setdefault((record.kind, hashed), record.name)
            if owner != record.name:
                mistakes.append(
                    f"A key of {record.kind} {record.name} belongs to {owner} already."
                )
    if mistakes:
        raise BadProposal(mistakes)
