"""Crashes of upstreams that an entry reports to the others, and their encoding."""

import time
from collections import deque
from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from typing import Any

import orjson

from toucanspool.backing.checked_values import integer, list_of, number, numbers, text
from toucanspool.backing.json_row import read_json
from toucanspool.backing.table import Row
from toucanspool.retries.crash_evidence import EVIDENCE_S, CrashId, Traits
from toucanspool.retries.quarantine import BLOCK_S

REPORT_PREFIX = "crash/"
MAX_REPORTED_CRASHES = 32
MAX_REPORTED_CALLS = 16
MAX_REPORTED_SOUND = 128
# Well below the size of a row; callers choose the length of parts.
MAX_REPORT_BYTES = 32 * 1024
# A time further ahead would be of age 0 for as long as the row lasts.
MAX_CLOCK_AHEAD_S = 60.0


@dataclass(slots=True, frozen=True)
class CrashReport:
    """Hold one crash as an entry saw it.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    started_ms : int
        Start time of its incarnation; see `Listing`.
    number : int
        Number of its crash; see `CrashId`.
    prompts : sequence of sequence of str
        Traits of the calls that the crash may be due to. Rows keep the name from when
        prompts were the only ones.
    at_s : float
        Unix time of the crash, in seconds.
    """

    upstream: str
    started_ms: int
    number: int
    prompts: tuple[Traits, ...]
    at_s: float


@dataclass(slots=True, frozen=True)
class EntryReport:
    """Hold what one entry reports.

    Parameters
    ----------
    crashes : sequence of CrashReport
        The latest crashes.
    blocked : mapping of str to float
        Unix times at which it blocked traits, in seconds.
    sound : mapping of str to float
        Unix times at which it last saw traits that it has cleared of a crash sound, in
        seconds.
    """

    crashes: tuple[CrashReport, ...]
    blocked: dict[str, float]
    sound: dict[str, float]

    def encode(self) -> bytes:
        """Return the report as JSON."""
        return orjson.dumps(self)


class OwnReports:
    """Collect what this entry reports.

    Attributes
    ----------
    blocked : dict of str to float
        Unix times at which this entry blocked traits, in seconds.
    """

    __slots__ = ("_crashes", "blocked")

    def __init__(self) -> None:
        self._crashes: deque[CrashReport] = deque(maxlen=MAX_REPORTED_CRASHES)
        self.blocked: dict[str, float] = {}

    def add(self, crash_id: CrashId, calls: Iterable[Traits]) -> None:
        """Add a crash that was seen now.

        Parameters
        ----------
        crash_id : CrashId
            The crash.
        calls : iterable of tuple of str
            Traits of the calls that the crash may be due to.
        """
        distinct = tuple(dict.fromkeys(calls))[:MAX_REPORTED_CALLS]
        self._crashes.append(CrashReport(*crash_id, distinct, time.time()))

    def restore(self, report: EntryReport) -> None:
        """Continue the report of an earlier process of this entry.

        Parameters
        ----------
        report : EntryReport
            The earlier report.
        """
        known = list(self._crashes)
        self._crashes.clear()
        self._crashes.extend(c for c in report.crashes if c not in known)
        self._crashes.extend(known)
        self.blocked = {**report.blocked, **self.blocked}

    def keep_blocked(self, traits: Container[str]) -> None:
        """Drop the blocks of all other traits, which have been unblocked.

        Parameters
        ----------
        traits : container of str
            Traits that are blocked.
        """
        self.blocked = {t: at for t, at in self.blocked.items() if t in traits}

    def report(self, sound: dict[str, float]) -> EntryReport:
        """Return the current report, without what no longer counts.

        Parameters
        ----------
        sound : dict of str to float
            As in `EntryReport`.

        Returns
        -------
        EntryReport
        """
        crashes = tuple(c for c in self._crashes if age_s(c.at_s) < EVIDENCE_S)
        blocked = {p: at for p, at in self.blocked.items() if age_s(at) < BLOCK_S}
        latest = sorted(sound, key=sound.__getitem__)[-MAX_REPORTED_SOUND:]
        report = EntryReport(
            crashes, blocked, {trait: sound[trait] for trait in latest}
        )
        while report.crashes and len(report.encode()) > MAX_REPORT_BYTES:
            report = replace(report, crashes=report.crashes[1:], sound={})
        return report


def age_s(at_s: float) -> float:
    """Return the seconds since a Unix time.

    Entries' clocks differ by little against the time for which reports count.
    """
    return max(0.0, time.time() - at_s)


def decode_report(row: Row) -> EntryReport | None:
    """Return the report in a row, or None if it can't be read.

    Parameters
    ----------
    row : Row
        Row of an entry's report.

    Returns
    -------
    EntryReport or None
    """
    return read_json(row, _decode_fields, error_event="unreadable crash report")


def _decode_fields(data: Any) -> EntryReport:
    latest_s = time.time() + MAX_CLOCK_AHEAD_S
    return EntryReport(
        tuple(
            CrashReport(
                text(crash["upstream"]),
                integer(crash["started_ms"]),
                integer(crash.get("number", 1)),
                tuple(tuple(map(str, call)) for call in list_of(crash["prompts"])),
                number(crash["at_s"], high=latest_s),
            )
            for crash in list_of(data["crashes"])
        ),
        numbers(data["blocked"], high=latest_s),
        numbers(data["sound"], high=latest_s),
    )
