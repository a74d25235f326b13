"""The record of a group's expert map in the platform's table."""

from dataclasses import dataclass
from typing import Annotated

import orjson
from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass as checked_dataclass

from toucanspool.backing.objects import Objects
from toucanspool.backing.table import (
    Check,
    Table,
    TableUnavailable,
    TableUncertain,
    Write,
)

Count = Annotated[int, Field(ge=0)]


@checked_dataclass(slots=True, frozen=True)
class GroupRecord:
    """Hold what is recorded of a group.

    Parameters
    ----------
    committed : int, default=0
        Version of the map that the group is known to have used; 0 for none.
    intended : int, default=0
        Version of the map that a switch goes to; `committed` where none is under
        way.
    fence : int, default=0
        The highest fencing token given out.
    """

    committed: Count = 0
    intended: Count = 0
    fence: Count = 0


@dataclass(slots=True, frozen=True)
class Stored:
    """Hold a record as read.

    Parameters
    ----------
    record : GroupRecord
        The record; all zero where there is none.
    row_version : int
        Version of the row, for a compare-and-set; 0 where there is none.
    """

    record: GroupRecord
    row_version: int


_RECORD = TypeAdapter(GroupRecord)


class RecordStore:
    """Read and write the record of one group.

    Parameters
    ----------
    table : Table
        The platform's table.
    group : str
        The group's name.
    """

    __slots__ = ("_key", "_table")

    def __init__(self, table: Table, group: str) -> None:
        self._table = table
        self._key = f"group/{group}"

    def read(self) -> Stored:
        """Return the record.

        Returns
        -------
        Stored

        Raises
        ------
        TableUnavailable
            The table did not answer.
        """
        row = self._table.get([self._key]).get(self._key)
        if row is None:
            return Stored(GroupRecord(), 0)
        return Stored(_RECORD.validate_json(row.value), row.version)

    def write(self, record: GroupRecord, *, row_version: int) -> None:
        """Replace the record if its row is still at a version.

        A lost answer is read back: no two writers use the same fencing token, so
        the record found tells whether this write took effect.

        Parameters
        ----------
        record : GroupRecord
            The new record.
        row_version : int
            Version of the row as read.

        Raises
        ------
        TableConflict
            The row has changed; nothing was written.
        TableUnavailable
            The table did not answer; nothing was written.
        TableUncertain
            The answer was lost, and the read that followed did not tell the outcome.
        """
        checks = [Check(self._key, row_version)]
        writes = [Write(self._key, orjson.dumps(record))]
        try:
            self._table.commit(checks, writes)
        except TableUncertain:
            if not self._took_effect(record):
                raise

    def _took_effect(self, record: GroupRecord) -> bool:
        try:
            return self.read().record == record
        except TableUnavailable:
            return False

    def highest_fence(self) -> int:
        """Return the highest fencing token; implements `fence.FenceSource`."""
        return self.read().record.fence


class MapStore:
    """Keep a group's expert maps by version; a version is written once.

    Parameters
    ----------
    objects : Objects
        The platform's object store.
    group : str
        The group's name.
    """

    __slots__ = ("_group", "_kept", "_objects")

    def __init__(self, objects: Objects, group: str) -> None:
        self._objects = objects
        self._group = group
        self._kept: dict[int, bytes] = {}

    def put(self, version: int, experts: bytes) -> None:
        """Store a map.

        Parameters
        ----------
        version : int
            The map's version.
        experts : bytes
            The map.

        Raises
        ------
        toucanspool.backing.objects.ObjectsUnavailable
            The object store did not answer.
        """
        self._objects.put(self._name(version), experts)
        self._kept[version] = experts

    def get(self, version: int) -> bytes | None:
        """Return a map, or None where there is none of that version.

        Parameters
        ----------
        version : int
            The map's version.

        Returns
        -------
        bytes or None

        Raises
        ------
        toucanspool.backing.objects.ObjectsUnavailable
            The object store did not answer.
        """
        if version not in self._kept:
            experts = self._objects.get(self._name(version))
            if experts is None:
                return None
            self._kept[version] = experts
        return self._kept[version]

    def keep_only(self, versions: set[int]) -> None:
        """Forget the maps in memory but for some versions.

        Parameters
        ----------
        versions : set of int
            The versions kept.
        """
        self._kept = {v: self._kept[v] for v in versions if v in self._kept}

    def _name(self, version: int) -> str:
        return f"group/{self._group}/map/{version}"
