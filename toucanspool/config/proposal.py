"""A change that an operator proposes."""

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
    """Hold what an operator wants changed, and what the operator saw before.

    Parameters
    ----------
    change_id : str
        Chosen by the operator's tool, the same when a call is repeated.
    operator : str
        The operator's name.
    base : int
        Revision of the configuration that the operator saw; a record touched
        after it is a conflict.
    puts : tuple of Record, default=()
        Records set.
    removals : tuple of Removal, default=()
        Records deleted.
    seen : mapping of RecordKey to int, default={}
        Revisions at which single records were seen, in place of `base`.
    """

    change_id: str
    operator: str
    base: int
    puts: tuple[Record, ...] = ()
    removals: tuple[Removal, ...] = ()
    seen: Mapping[RecordKey, int] = field(default_factory=dict)

    def touched(self) -> list[RecordKey]:
        """Return the records touched."""
        return [RecordKey(item.kind, item.name) for item in self._items()]

    def seen_at(self, key: RecordKey) -> int:
        """Return the revision at which the operator saw a record.

        Parameters
        ----------
        key : RecordKey
            The record.

        Returns
        -------
        int
        """
        return self.seen.get(key, self.base)

    def fingerprint(self) -> str:
        """Return a hash of the operator and the content."""
        data = orjson.dumps([self.operator, self.puts, self.removals])
        return xxhash.xxh3_128_hexdigest(data)

    def check(self) -> None:
        """Check what can be checked without the table.

        Raises
        ------
        BadProposal
            The proposal can't be accepted.
        """
        mistakes = self._mistakes()
        if mistakes:
            raise BadProposal(mistakes)

    def _items(self) -> tuple[Record | Removal, ...]:
        return (*self.puts, *self.removals)

    def _mistakes(self) -> list[str]:
        mistakes = []
        keys = self.touched()
        if not _CHANGE_ID.match(self.change_id):
            mistakes.append(
                "The change id must be 1 to 128 letters, digits, dots, dashes or "
                "underscores."
            )
        if not _NAME.match(self.operator):
            mistakes.append("The operator's name is not a valid name.")
        if not keys:
            mistakes.append("The change touches no record.")
        if len(keys) > MAX_CHANGE_RECORDS:
            mistakes.append(
                f"The change touches {len(keys)} records; at most {MAX_CHANGE_RECORDS} "
                "may change at once."
            )
        if self.base < 0:
            mistakes.append("The base revision is negative.")
        twice = [key for key, count in Counter(keys).items() if count > 1]
        mistakes.extend(f"The change touches {key} more than once." for key in twice)
        return mistakes
