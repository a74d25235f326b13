"""Exchange of crash reports among the entries, through rows of a table."""

import time
from collections import Counter
from collections.abc import Iterable

from toucanspool.backing.table import Row, Table
from toucanspool.membership.own_row import OwnRow
from toucanspool.retries.crash_evidence import EVIDENCE_S, CrashId, Traits
from toucanspool.retries.crash_reports import (
    REPORT_PREFIX,
    EntryReport,
    OwnReports,
    age_s,
    decode_report,
)
from toucanspool.retries.quarantine import Quarantine


class CrashExchange:
    """Report crashes to the other entries, and apply their reports.

    Each entry keeps its report in a row of its own, so that the entries find the same
    causes although each sees few crashes, and know them after a restart.

    Parameters
    ----------
    table : Table
        Holds the rows of all entries.
    entry : str
        Name of this entry.
    quarantine : Quarantine
        Receives all crashes.
    """

    __slots__ = ("_key", "_own", "_quarantine", "_reports", "_row")

    def __init__(self, table: Table, entry: str, quarantine: Quarantine) -> None:
        self._key = REPORT_PREFIX + entry
        self._quarantine = quarantine
        self._own = OwnReports()
        self._reports: dict[str, EntryReport] = {}
        self._row = OwnRow(table, self._key)

    def stop(self) -> None:
        """Stop writing the report."""
        self._row.stop()

    def report(self, crash_id: CrashId, calls: tuple[Traits, ...]) -> None:
        """Record a crash that this entry saw, and report it.

        Parameters
        ----------
        crash_id : CrashId
            The crash.
        calls : tuple of tuple of str
            Traits of the calls that the crash may be due to.
        """
        self._own.add(crash_id, calls)
        self._record(crash_id, calls, time.monotonic())
        self._write()

    def replace(self, rows: Iterable[Row]) -> None:
        """Apply all rows of the table.

        Parameters
        ----------
        rows : iterable of Row
            All rows; those that hold no reports are ignored.
        """
        rows = [row for row in rows if row.key.startswith(REPORT_PREFIX)]
        self.update(rows)
        self._row.check(rows)

    def update(self, rows: Iterable[Row]) -> None:
        """Apply changed rows of the table.

        Parameters
        ----------
        rows : iterable of Row
            Changed rows; those that hold no reports are ignored.
        """
        changed = []
        for row in rows:
            if not row.key.startswith(REPORT_PREFIX):
                continue
            report = decode_report(row)
            if report is None:
                continue
            if row.key == self._key:
                if self._row.value is not None:
                    continue
                # An earlier process of this entry has written it.
                self._row.value = row.value
                self._own.restore(report)
            self._reports[row.key] = report
            changed.append(report)
        for report in changed:
            self._record_sound(report)
        self._adopt_blocks()
        for report in changed:
            self._record_crashes(report)

    def _record_sound(self, report: EntryReport) -> None:
        now = time.monotonic()
        for trait, sound_at in report.sound.items():
            self._quarantine.record_sound([trait], now - age_s(sound_at))

    def _adopt_blocks(self) -> None:
        """Block the traits that at least half of the reporting entries have blocked."""
        now = time.monotonic()
        counts = Counter(p for report in self._reports.values() for p in report.blocked)
        for trait, count in counts.items():
            if 2 * count < len(self._reports):
                continue
            times = [
                r.blocked[trait] for r in self._reports.values() if trait in r.blocked
            ]
            if self._quarantine.adopt(trait, now - age_s(max(times)), now):
                self._own.blocked[trait] = max(times)

    def _record_crashes(self, report: EntryReport) -> None:
        now = time.monotonic()
        for crash in report.crashes:
            if age_s(crash.at_s) >= EVIDENCE_S:
                continue
            crash_id = CrashId(crash.upstream, crash.started_ms, crash.number)
            self._record(crash_id, crash.prompts, now - age_s(crash.at_s))

    def _record(self, crash_id: CrashId, calls: tuple[Traits, ...], at: float) -> None:
        blocked = self._quarantine.record_crash(crash_id, calls, at)
        self._own.blocked.update(dict.fromkeys(blocked, time.time()))
        if blocked:
            self._write()

    def _write(self) -> None:
        self._own.keep_blocked(self._quarantine.blocked)
        now, unix_now = time.monotonic(), time.time()
        sound = {
            p: unix_now - (now - at) for p, at in self._quarantine.cleared().items()
        }
        self._reports[self._key] = report = self._own.report(sound)
        self._row.write(report.encode())
