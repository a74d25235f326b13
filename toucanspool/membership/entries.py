"""The entries that callers may use: listed in the table, and probed by each other."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import orjson
import structlog

from toucanspool.backing.json_row import read_json
from toucanspool.backing.table import Row

PREFIX = "entry/"
MISSES_TO_DROP = 2

_log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class EntryRecord:
    """Hold what an entry lists of itself.

    Parameters
    ----------
    name : str
        Its instance.
    address : str
        Where callers connect.
    probe : str
        Where its readiness page is.
    """

    name: str
    address: str
    probe: str

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return orjson.dumps(self)


def decode_entry(row: Row) -> EntryRecord | None:
    """Return the record in a row, or None where it can't be read.

    Parameters
    ----------
    row : Row
        The row.

    Returns
    -------
    EntryRecord or None
    """
    return read_json(
        row,
        lambda data: EntryRecord(data["name"], data["address"], data["probe"]),
        error_event="unreadable entry",
    )


class Entries:
    """Keep the entries that are listed and answer probes.

    Parameters
    ----------
    own : EntryRecord
        This entry.
    """

    __slots__ = ("_carried", "_due", "_listed", "_misses", "_own", "leaving")

    def __init__(self, own: EntryRecord) -> None:
        self._own = own
        self._listed: dict[str, EntryRecord] = {own.name: own}
        self._misses: dict[str, int] = {}
        self._carried: dict[str, Mapping[str, float]] = {}
        self._due: list[str] = []
        self.leaving = False

    @property
    def live(self) -> list[EntryRecord]:
        """Return the entries to use, by name; all that are listed if none answers."""
        listed = sorted(self._listed.values(), key=lambda entry: entry.name)
        if self.leaving:
            listed = [entry for entry in listed if entry != self._own] or listed
        live = [e for e in listed if self._missed(e) < MISSES_TO_DROP]
        return live or listed

    @property
    def position(self) -> float:
        """Return this entry's place among those that live, from 0 to 1."""
        names = [entry.name for entry in self.live]
        if self._own.name not in names:
            return 0.0
        return names.index(self._own.name) / len(names)

    @property
    def peers(self) -> list[EntryRecord]:
        """Return the other entries that are listed."""
        return [entry for entry in self._listed.values() if entry != self._own]

    @property
    def lost(self) -> list[str]:
        """Return the names of entries that missed too many probes."""
        return [e.name for e in self.peers if self._missed(e) >= MISSES_TO_DROP]

    def to_probe(self, most: int, rng: random.Random) -> list[EntryRecord]:
        """Return the other entries to probe now: suspects, and some in turn.

        Parameters
        ----------
        most : int
            How many are taken in turn at most.
        rng : random.Random
            Draws their order.

        Returns
        -------
        list of EntryRecord
        """
        suspects = [entry for entry in self.peers if self._missed(entry)]
        others = {e.name: e for e in self.peers if not self._missed(e)}
        in_turn: dict[str, EntryRecord] = {}
        while len(in_turn) < min(most, len(others)):
            if not self._due:
                self._due = rng.sample(sorted(others), len(others))
            name = self._due.pop()
            if name in others:
                in_turn[name] = others[name]
        return suspects + list(in_turn.values())

    def carried(self, service: str) -> list[float]:
        """Return how much others that live said they carry for a service.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        list of float
        """
        told = [self._carried.get(entry.name, {}) for entry in self.live]
        return [carried[service] for carried in told if service in carried]

    def replace(self, rows: Iterable[Row]) -> None:
        """Take all rows of entries.

        Parameters
        ----------
        rows : iterable of Row
            The rows.
        """
        self._listed = {self._own.name: self._own}
        for row in rows:
            self.put(row)

    def put(self, row: Row) -> None:
        """Take a row that is new or has changed.

        Parameters
        ----------
        row : Row
            The row.
        """
        entry = decode_entry(row)
        if entry is None or entry.name == self._own.name:
            return
        if self._listed.get(entry.name) != entry:
            _log.info("entry listed", entry=entry.name, address=entry.address)
        self._listed[entry.name] = entry
        self._misses.pop(entry.name, None)

    def drop(self, key: str) -> None:
        """Forget an entry that has left.

        Parameters
        ----------
        key : str
            Key of its row.
        """
        name = key.removeprefix(PREFIX)
        self._carried.pop(name, None)
        if name != self._own.name and self._listed.pop(name, None) is not None:
            _log.info("entry left", entry=name)

    def probed(
        self,
        name: str,
        *,
        ready: bool,
        carried: Mapping[str, float] | None = None,
        lost: Iterable[str] = (),
    ) -> None:
        """Take note of a probe.

        Parameters
        ----------
        name : str
            The entry.
        ready : bool
            Whether it answered that it is ready.
        carried : mapping of str to float, optional
            What it said that it carries, by service.
        lost : iterable of str, optional
            The entries that it lost; this entry probes them at once.
        """
        self._carried[name] = carried or {}
        for other in lost:
            known = other in self._listed and other != self._own.name
            if known and not self._misses.get(other):
                self._misses[other] = 1
                _log.info("entry suspected", entry=other, told_by=name)
        before = self._misses.get(name, 0)
        self._misses[name] = 0 if ready else before + 1
        if ready and before >= MISSES_TO_DROP:
            _log.info("entry back", entry=name, missed_probes=before)
        elif self._misses[name] == MISSES_TO_DROP:
            _log.warning("entry lost", entry=name, missed_probes=MISSES_TO_DROP)

    def _missed(self, entry: EntryRecord) -> int:
        return self._misses.get(entry.name, 0)
