"""API keys of teams and operators; only their hashes are stored."""

import hashlib

from toucanspool.config.failures import BadProposal
from toucanspool.config.records import Change, Operator, Record, Team
from toucanspool.config.rows import RecordKey


class KeyIndex:
    """Look up teams and operators by the hashes of their keys."""

    __slots__ = ("_owners",)

    def __init__(self) -> None:
        self._owners: dict[tuple[str, str], Team | Operator] = {}

    def copy(self) -> "KeyIndex":
        """Return an independent copy of the index.

        Returns
        -------
        KeyIndex
        """
        index = KeyIndex()
        index._owners = dict(self._owners)
        return index

    def owner(self, kind: str, digest: str) -> Team | Operator | None:
        """Return the record that lists the hash of a key, or None.

        Parameters
        ----------
        kind : {"team", "operator"}
            Kind of the record.
        digest : str
            The key's SHA-256, in hexadecimal.

        Returns
        -------
        Team or Operator or None
        """
        return self._owners.get((kind, digest))

    def add(self, record: Record) -> None:
        """Index the keys of a record, if it has any.

        Parameters
        ----------
        record : Record
            Any record; kinds without keys are ignored.
        """
        if isinstance(record, Team | Operator):
            for digest in record.key_hashes:
                self._owners[record.kind, digest] = record

    def discard(self, record: Record | None) -> None:
        """Remove the keys of a record from the index, if it has any.

        Parameters
        ----------
        record : Record or None
            Any record; None and kinds without keys are ignored.
        """
        if isinstance(record, Team | Operator):
            for digest in record.key_hashes:
                if self._owners.get((record.kind, digest)) is record:
                    del self._owners[record.kind, digest]


def key_hash(key: str) -> str:
    """Return the hash under which a key is stored.

    Parameters
    ----------
    key : str
        The key in plain text.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def check_keys(index: KeyIndex, change: Change) -> None:
    """Check that no two teams and no two operators share a key after a change.

    Parameters
    ----------
    index : KeyIndex
        The keys before the change.
    change : Change
        The proposed change.

    Raises
    ------
    BadProposal
        A key belongs to another record of the same kind.
    """
    changed = {RecordKey(item.kind, item.name) for item in change.puts}
    changed.update(RecordKey(item.kind, item.name) for item in change.removals)
    owners: dict[tuple[str, str], str] = {}
    errors = []
    for record in change.puts:
        if not isinstance(record, Team | Operator):
            continue
        for digest in record.key_hashes:
            holder = index.owner(record.kind, digest)
            if (
                holder is not None
                and RecordKey(holder.kind, holder.name) not in changed
            ):
                owners[record.kind, digest] = holder.name
            owner = owners.setdefault((record.kind, digest), record.name)
            if owner != record.name:
                errors.append(
                    f"A key of {record.kind} {record.name} belongs to {owner} already."
                )
    if errors:
        raise BadProposal(errors)
