"""What the other entries report in the probes between entries."""

from collections.abc import Iterable, Mapping

# Load changes within seconds. With many entries, most of the reports are older than
# this, and the newer ones are a sample of all.
MAX_REPORT_AGE_S = 2.0
# Calls a second are averages over seconds. Up to `MAX_WEIGHTED_ENTRIES`, each entry is
# probed more often than this.
MAX_LOAD_AGE_S = 6.0
# An entry that has sent a probe this recently lives, whether it is listed or not.
MAX_PROBER_AGE_S = 3.0


class PeerReports:
    """Hold the latest report of each other entry, and who has probed this one."""

    __slots__ = ("_counts", "_loads", "_probers", "_streams")

    def __init__(self) -> None:
        self._streams: dict[str, tuple[float, Mapping[str, float]]] = {}
        self._loads: dict[str, tuple[float, Mapping[str, float]]] = {}
        self._counts: dict[str, tuple[float, int]] = {}
        self._probers: dict[str, float] = {}

    def record(
        self,
        name: str,
        now: float,
        *,
        streams: Mapping[str, float] | None,
        loads: Mapping[str, float] | None,
        count: int,
    ) -> None:
        """Record the report of an entry; see `Entries.record_probe`."""
        self._streams[name] = now, streams or {}
        if loads is not None:
            self._loads[name] = now, loads
        self._counts[name] = now, count

    def drop(self, name: str) -> None:
        """Forget the report of an entry that has left."""
        for reports in (self._streams, self._loads, self._counts):
            reports.pop(name, None)

    def record_prober(self, name: str, now: float) -> None:
        """Record that another entry has probed this one.

        Parameters
        ----------
        name : str
            Name of the entry.
        now : float
            Seconds on the monotonic clock.
        """
        recent = self.probers(now)
        self._probers = {n: at for n, at in self._probers.items() if n in recent}
        self._probers[name] = now

    def probers(self, now: float) -> set[str]:
        """Return the names of the entries that have recently probed this one."""
        return {n for n, at in self._probers.items() if now - at <= MAX_PROBER_AGE_S}

    def streams(self, service: str, names: Iterable[str], now: float) -> list[float]:
        """Return the average numbers of streams that entries have recently reported.

        Parameters
        ----------
        service : str
            Name of the service.
        names : iterable of str
            Names of the entries.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        list of float
            One for each entry that has reported it.
        """
        streams = []
        for name in names:
            reported_at, report = self._streams.get(name, (0.0, {}))
            if service in report and now - reported_at <= MAX_REPORT_AGE_S:
                streams.append(report[service])
        return streams

    def load(self, service: str, name: str, now: float) -> float | None:
        """Return the calls a second that an entry has reported.

        Parameters
        ----------
        service : str
            Name of the service.
        name : str
            Name of the entry.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float or None
            None if it has not reported recently.
        """
        if name not in self._loads:
            return None
        reported_at, report = self._loads[name]
        return report.get(service, 0.0) if now - reported_at <= MAX_LOAD_AGE_S else None

    def highest_count(self, now: float) -> int:
        """Return the highest number of live entries that one has recently reported."""
        recent = (
            count for at, count in self._counts.values() if now - at <= MAX_PROBER_AGE_S
        )
        return max(recent, default=0)
