"""Storage of a group's switch record and of its expert maps."""

from dataclasses import dataclass
from typing import Annotated

import orjson
from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass as pydantic_dataclass

from toucanspool.backing.objects import Objects
from toucanspool.backing.table import (
    Check,
    Table,
    TableUnavailable,
    TableUncertain,
    Write,
)

NonNegative = Annotated[int, Field(ge=0)]


@pydantic_dataclass(slots=True, frozen=True)
class GroupRecord:
    """Hold the switch record of a group.

    Parameters
    ----------
    committed : int, default=0
        Version of the map that the group is known to have used; 0 for none.
    intended : int, default=0
        Version that the current switch goes to; equal to `committed` if there is no
        switch.
    fence : int, default=0
        The highest fencing token issued.
    """

    committed: NonNegative = 0
    intended: NonNegative = 0
    fence: NonNegative = 0


@dataclass(slots=True, frozen=True)
class StoredRecord:
    """Hold a record as read from the table.

    Parameters
    ----------
    record : GroupRecord
        The record; all fields are 0 if the row does not exist.
    row_version : int
        Version of the row, for compare-and-set; 0 if the row does not exist.
    """

    record: GroupRecord
    row_version: int


_RECORD_ADAPTER = TypeAdapter(GroupRecord)


class RecordStore:
    """Read and write the record of one group.

    Parameters
    ----------
    table : Table
        The platform's table.
    group : str
        Name of the group.
    """

    __slots__ = ("_key", "_table")

    def __init__(self, table: Table, group: str) -> None:
        self._table = table
        self._key = f"group/{group}"

    def read(self) -> StoredRecord:
        """Read the record from the table.

        Returns
        -------
        StoredRecord

        Raises
        ------
        TableUnavailable
            The table did not respond.
        """
        row = self._table.get([self._key]).get(self._key)
        if row is None:
            return StoredRecord(GroupRecord(), 0)
        return StoredRecord(_RECORD_ADAPTER.validate_json(row.value), row.version)

    def write(self, record: GroupRecord, *, row_version: int) -> None:
        """Replace the record if its row still has the given version.

        When the response to the write is lost, the record is read again. No two
        writers use the same fencing token, so the record in the table shows whether
        this write took effect.

        Parameters
        ----------
        record : GroupRecord
            The new record.
        row_version : int
            Version of the row when it was read.

        Raises
        ------
        TableConflict
            The row has changed; nothing was written.
        TableUnavailable
            The table did not respond; nothing was written.
        TableUncertain
            The response was lost, and reading the record again did not show that
            the write took effect.
        """
        checks = [Check(self._key, row_version)]
        writes = [Write(self._key, orjson.dumps(record))]
        try:
            self._table.commit(checks, writes)
        except TableUncertain:
            if not self._is_written(record):
                raise

    def _is_written(self, record: GroupRecord) -> bool:
        try:
            return self.read().record == record
        except TableUnavailable:
            return False

    def highest_fence(self) -> int:
        """Return the highest fencing token; implements `fence.FenceSource`."""
        return self.read().record.fence


class MapStore:
    """Store a group's expert maps by version, with a cache in memory.

    Each version is written once.

    Parameters
    ----------
    objects : Objects
        The platform's object store.
    group : str
        Name of the group.
    """

    __slots__ = ("_cache", "_group", "_objects")

    def __init__(self, objects: Objects, group: str) -> None:
        self._objects = objects
        self._group = group
        self._cache: dict[int, bytes] = {}

    def put(self, version: int, experts: bytes) -> None:
        """Store a map.

        Parameters
        ----------
        version : int
            Version of the map.
        experts : bytes
            The encoded expert map.

        Raises
        ------
        toucanspool.backing.objects.ObjectsUnavailable
            The object store did not respond.
        """
        self._objects.put(self._object_name(version), experts)
        self._cache[version] = experts

    def get(self, version: int) -> bytes | None:
        """Return a map, or None if that version is not stored.

        Parameters
        ----------
        version : int
            Version of the map.

        Returns
        -------
        bytes or None

        Raises
        ------
        toucanspool.backing.objects.ObjectsUnavailable
            The object store did not respond.
        """
        if version not in self._cache:
            experts = self._objects.get(self._object_name(version))
            if experts is None:
                return None
            self._cache[version] = experts
        return self._cache[version]

    def trim_cache(self, versions: set[int]) -> None:
        """Drop all maps from the cache except some versions.

        Parameters
        ----------
        versions : set of int
            The versions to keep in the cache.
        """
        self._cache = {v: self._cache[v] for v in versions if v in self._cache}

    def _object_name(self, version: int) -> str:
        return f"group/{self._group}/map/{version}"
