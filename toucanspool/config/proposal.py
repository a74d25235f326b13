"""Changes that operators propose."""

import re
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import orjson
import xxhash

from toucanspool.config.failures import BadProposal
from toucanspool.config.records import NAME_PATTERN, Record, Removal
from toucanspool.config.rows import RecordKey

MAX_CHANGE_RECORDS = 256
_CHANGE_ID = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
_NAME = re.compile(NAME_PATTERN)


@dataclass(slots=True, frozen=True)
class Proposal:
    """Describe a requested change and the revision that it is based on.

    Parameters
    ----------
    change_id : str
        Idempotency key, chosen by the operator's tool and reused in repeated calls.
    operator : str
        Name of the operator who makes the change.
    base : int
        Revision of the configuration that the operator saw. A record that was
        changed after it is a conflict.
    puts : tuple of Record, default=()
        Records to create or replace.
    removals : tuple of Removal, default=()
        Records to delete.
    seen : mapping of RecordKey to int, default={}
        Base revisions of single records, which override `base`.
    """

    change_id: str
    operator: str
    base: int
    puts: tuple[Record, ...] = ()
    removals: tuple[Removal, ...] = ()
    seen: Mapping[RecordKey, int] = field(default_factory=dict)

    def record_keys(self) -> list[RecordKey]:
        """Return the keys of all records that the proposal puts or removes."""
        return [RecordKey(item.kind, item.name) for item in self._items()]

    def base_revision(self, key: RecordKey) -> int:
        """Return the revision at which the operator saw a record.

        Parameters
        ----------
        key : RecordKey
            Key of the record.

        Returns
        -------
        int
        """
        return self.seen.get(key, self.base)

    def fingerprint(self) -> str:
        """Return a hash of the operator and the records, to compare proposals."""
        data = orjson.dumps([self.operator, self.puts, self.removals])
        return xxhash.xxh3_128_hexdigest(data)

    def validate(self) -> None:
        """Check what can be checked without reading the table.

        Raises
        ------
        BadProposal
            The proposal is invalid.
        """
        errors = self._errors()
        if errors:
            raise BadProposal(errors)

    def _items(self) -> tuple[Record | Removal, ...]:
        return (*self.puts, *self.removals)

    def _errors(self) -> list[str]:
        errors = []
        keys = self.record_keys()
        if not _CHANGE_ID.match(self.change_id):
            errors.append(
                "The change id must be 1 to 128 letters, digits, dots, dashes or "
                "underscores."
            )
        if not _NAME.match(self.operator):
            errors.append("The operator's name is not a valid name.")
        if not keys:
            errors.append("The change touches no record.")
        if len(keys) > MAX_CHANGE_RECORDS:
            errors.append(
                f"The change touches {len(keys)} records; at most {MAX_CHANGE_RECORDS} "
                "may change at once."
            )
        if self.base < 0:
            errors.append("The base revision is negative.")
        duplicates = [key for key, count in Counter(keys).items() if count > 1]
        errors.extend(f"The change touches {key} more than once." for key in duplicates)
        return errors
