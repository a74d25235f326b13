"""The entries that callers may use, listed in the table and probed by each other."""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import orjson
import structlog

from toucanspool.backing.checked_values import text
from toucanspool.backing.json_row import read_json
from toucanspool.backing.table import Row
from toucanspool.membership.peer_reports import PeerReports

ENTRY_PREFIX = "entry/"
MISSED_PROBE_THRESHOLD = 2

_log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class EntryRecord:
    """Hold the record that an entry publishes in the table.

    Parameters
    ----------
    name : str
        Name of the entry's instance.
    address : str
        Host and port that callers connect to.
    probe : str
        Host and port of its readiness page.
    """

    name: str
    address: str
    probe: str

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return orjson.dumps(self)


def decode_entry(row: Row) -> EntryRecord | None:
    """Return the record in a row, or None if it can't be read.

    Parameters
    ----------
    row : Row
        Row of an entry.

    Returns
    -------
    EntryRecord or None
    """
    return read_json(
        row,
        lambda data: EntryRecord(
            text(data["name"]), text(data["address"]), text(data["probe"])
        ),
        error_event="unreadable entry",
    )


class Entries:
    """Track which entries are listed and answer probes.

    Parameters
    ----------
    own : EntryRecord
        Record of this entry.

    Attributes
    ----------
    leaving : bool
        Whether this entry is stopping.
    reports : PeerReports
        What the other entries report.
    """

    __slots__ = (
        "_probe_queue",
        "_listed",
        "_missed_probes",
        "_own",
        "leaving",
        "reports",
    )

    def __init__(self, own: EntryRecord) -> None:
        self._own = own
        self._listed: dict[str, EntryRecord] = {own.name: own}
        self._missed_probes: dict[str, int] = {}
        self._probe_queue: list[str] = []
        self.leaving = False
        self.reports = PeerReports()

    @property
    def live(self) -> list[EntryRecord]:
        """Return the entries to use, by name; all listed ones if none answers."""
        listed = sorted(self._listed.values(), key=lambda entry: entry.name)
        if self.leaving:
            listed = [entry for entry in listed if entry != self._own] or listed
        live = [e for e in listed if self._missed_by(e) < MISSED_PROBE_THRESHOLD]
        return live or listed

    @property
    def own_name(self) -> str:
        """Return the name of this entry."""
        return self._own.name

    @property
    def position(self) -> float:
        """Return this entry's position among the live ones, from 0 up to below 1."""
        names = [entry.name for entry in self.live]
        if self._own.name not in names:
            return 0.0
        return names.index(self._own.name) / len(names)

    @property
    def peers(self) -> list[EntryRecord]:
        """Return the other listed entries."""
        return [entry for entry in self._listed.values() if entry != self._own]

    @property
    def lost(self) -> list[str]:
        """Return the names of the entries that missed too many probes."""
        return [
            e.name for e in self.peers if self._missed_by(e) >= MISSED_PROBE_THRESHOLD
        ]

    def probe_targets(self, max_in_turn: int, rng: random.Random) -> list[EntryRecord]:
        """Return the entries to probe now: all suspects, and some others in turn.

        Parameters
        ----------
        max_in_turn : int
            Largest number of entries taken in turn, besides suspects.
        rng : random.Random
            Source of the order of the turns.

        Returns
        -------
        list of EntryRecord
        """
        suspects = [entry for entry in self.peers if self._missed_by(entry)]
        others = {e.name: e for e in self.peers if not self._missed_by(e)}
        in_turn: dict[str, EntryRecord] = {}
        while len(in_turn) < min(max_in_turn, len(others)):
            if not self._probe_queue:
                self._probe_queue = rng.sample(sorted(others), len(others))
            name = self._probe_queue.pop()
            if name in others:
                in_turn[name] = others[name]
        return suspects + list(in_turn.values())

    def peer_streams(self, service: str, now: float) -> list[float]:
        """Return the streams of a service that live peers reported in recent probes.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        list of float
            Average number of streams, for each peer that reported it.
        """
        names = [entry.name for entry in self.live]
        return self.reports.streams(service, names, now)

    def loads(
        self, service: str, own_load: float, now: float
    ) -> dict[str, float | None]:
        """Return the calls a second of this entry and of all live ones.

        Parameters
        ----------
        service : str
            Name of the service.
        own_load : float
            Calls a second of this entry.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        dict of str to float or None
            None for entries without a recent report.
        """
        names = self._live_names(now)
        loads = {name: self.reports.load(service, name, now) for name in names}
        loads[self._own.name] = own_load
        return loads

    def known_fraction(self, now: float) -> float:
        """Return the fraction of the live entries that this entry knows.

        It knows few right after its start, and as long as it can't read the list.
        """
        known = self.count(now)
        return known / max(known, self.reports.highest_count(now))

    def count(self, now: float) -> int:
        """Return the number of live entries, with those that send probes."""
        return len(self._live_names(now))

    def replace(self, rows: Iterable[Row]) -> None:
        """Replace the listed entries.

        Parameters
        ----------
        rows : iterable of Row
            All rows of entries.
        """
        self._listed = {self._own.name: self._own}
        for row in rows:
            self.put(row)

    def put(self, row: Row) -> None:
        """Add or update an entry.

        Parameters
        ----------
        row : Row
            New or changed row of an entry.
        """
        entry = decode_entry(row)
        if entry is None or entry.name == self._own.name:
            return
        if self._listed.get(entry.name) != entry:
            _log.info("entry listed", entry=entry.name, address=entry.address)
        self._listed[entry.name] = entry
        self._missed_probes.pop(entry.name, None)

    def drop(self, key: str) -> None:
        """Remove an entry whose row was deleted.

        Parameters
        ----------
        key : str
            Key of the deleted row.
        """
        name = key.removeprefix(ENTRY_PREFIX)
        self.reports.drop(name)
        if name != self._own.name and self._listed.pop(name, None) is not None:
            _log.info("entry left", entry=name)

    def record_probe(
        self,
        name: str,
        *,
        ready: bool,
        now: float,
        streams: Mapping[str, float] | None = None,
        loads: Mapping[str, float] | None = None,
        count: int = 0,
        lost: Iterable[str] = (),
    ) -> None:
        """Record the result of a probe.

        Parameters
        ----------
        name : str
            Name of the probed entry.
        ready : bool
            Whether the entry answered that it is ready.
        now : float
            Seconds on the monotonic clock.
        streams : mapping of str to float, optional
            Average number of streams that the entry reported, by service.
        loads : mapping of str to float, optional
            Calls a second that the entry reported, by service.
        count : int, default=0
            Number of live entries that the entry reported.
        lost : iterable of str, optional
            Names of entries that the probed entry lost; this entry probes them next.
        """
        self.reports.record(name, now, streams=streams, loads=loads, count=count)
        for other in lost:
            known = other in self._listed and other != self._own.name
            if known and not self._missed_probes.get(other):
                self._missed_probes[other] = 1
                _log.info("entry suspected", entry=other, told_by=name)
        before = self._missed_probes.get(name, 0)
        self._missed_probes[name] = 0 if ready else before + 1
        if ready and before >= MISSED_PROBE_THRESHOLD:
            _log.info("entry back", entry=name, missed_probes=before)
        elif self._missed_probes[name] == MISSED_PROBE_THRESHOLD:
            _log.warning("entry lost", entry=name, missed_probes=MISSED_PROBE_THRESHOLD)

    def _live_names(self, now: float) -> set[str]:
        names = {entry.name for entry in self.live} | self.reports.probers(now)
        return names | {self._own.name}

    def _missed_by(self, entry: EntryRecord) -> int:
        return self._missed_probes.get(entry.name, 0)
