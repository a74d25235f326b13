"""Exchange of crash reports among the entries, through rows of a table."""

import time
from collections import Counter
from collections.abc import Iterable

from toucanspool.backing.table import Row, Table
from toucanspool.membership.own_row import OwnRow
from toucanspool.retries.crash_reports import (
    REPORT_PREFIX,
    EntryReport,
    OwnReports,
    age_s,
    decode_report,
)
from toucanspool.retries.quarantine import EVIDENCE_S, Prompt, PromptQuarantine


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
    quarantine : PromptQuarantine
        Receives all crashes.
    """

    __slots__ = ("_key", "_own", "_quarantine", "_reports", "_row")

    def __init__(self, table: Table, entry: str, quarantine: PromptQuarantine) -> None:
        self._key = REPORT_PREFIX + entry
        self._quarantine = quarantine
        self._own = OwnReports()
        self._reports: dict[str, EntryReport] = {}
        self._row = OwnRow(table, self._key)

    def stop(self) -> None:
        """Stop writing the report."""
        self._row.stop()

    def report(
        self, upstream: str, started_ms: int, prompts: tuple[Prompt, ...]
    ) -> None:
        """Record a crash that this entry saw, and report it.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        started_ms : int
            Start time of its incarnation; see `Listing`.
        prompts : tuple of tuple of str
            Prompts whose answers the crash may be due to.
        """
        self._own.add(upstream, started_ms, prompts)
        self._record((upstream, started_ms), prompts, time.monotonic())
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
        for part, sound_at in report.sound.items():
            self._quarantine.record_sound([part], now - age_s(sound_at))

    def _adopt_blocks(self) -> None:
        """Block the parts that at least half of the reporting entries have blocked."""
        now = time.monotonic()
        counts = Counter(p for report in self._reports.values() for p in report.blocked)
        for part, count in counts.items():
            if 2 * count < len(self._reports):
                continue
            times = [
                r.blocked[part] for r in self._reports.values() if part in r.blocked
            ]
            if self._quarantine.adopt(part, now - age_s(max(times)), now):
                self._own.blocked[part] = max(times)

    def _record_crashes(self, report: EntryReport) -> None:
        now = time.monotonic()
        for crash in report.crashes:
            if age_s(crash.at_s) >= EVIDENCE_S:
                continue
            incarnation = crash.upstream, crash.started_ms
            self._record(incarnation, crash.prompts, now - age_s(crash.at_s))

    def _record(
        self, incarnation: tuple[str, int], prompts: tuple[Prompt, ...], at: float
    ) -> None:
        blocked = self._quarantine.record_crash(incarnation, prompts, at)
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
