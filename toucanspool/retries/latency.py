"""Recent response times of calls, by route and size."""

import math
from collections import OrderedDict

from hdrh.histogram import HdrHistogram

# Two halves of this length are kept, so that a percentile covers the last 30 to 60 s.
HALF_WINDOW_S = 30.0
# Each kind of call has two histograms of about 5 KB; the least recently used kind is
# dropped. Together they take at most 0.4 MB.
MAX_KINDS = 32
MIN_SAMPLES = 20
MAX_MS = 60_000
SIGNIFICANT_DIGITS = 2
# Bytes of a counter; two could overflow within a window.
COUNTER_BYTES = 4
MS_PER_S = 1000.0
# Sizes within a factor of four are of one class.
SIZE_CLASS_BITS = 2

LatencyKind = tuple[str, str, int]


def size_class(size: int) -> int:
    """Return the class of a size; each class is four times as large as the one before.

    Parameters
    ----------
    size : int
        Tokens or bytes.

    Returns
    -------
    int
    """
    return -(-max(0, size).bit_length() // SIZE_CLASS_BITS)


class _Samples:
    __slots__ = ("before", "began_at", "current")

    def __init__(self, now: float) -> None:
        self.began_at = now
        self.before: HdrHistogram | None = None
        self.current = _new_histogram()

    def rotate(self, now: float) -> None:
        """Start a new half window if the current one is over."""
        age_s = now - self.began_at
        if age_s < HALF_WINDOW_S:
            return
        self.before = self.current if age_s < 2.0 * HALF_WINDOW_S else None
        self.current = _new_histogram()
        self.began_at = now


class RecentLatencies:
    """Estimate how long calls of one kind take, under load that changes by the minute.

    Load condition: response times rise and fall with the load and with the upstreams
    in use, so only those of the last 30 to 60 s count.

    Parameters
    ----------
    percentile : float
        Percentile that is estimated, from 0 to 100.
    """

    __slots__ = ("_kinds", "_min_samples", "_percentile")

    def __init__(self, percentile: float) -> None:
        self._percentile = percentile
        # With fewer samples, none is expected beyond the percentile.
        beyond = 1.0 - percentile / 100.0
        self._min_samples = max(MIN_SAMPLES, math.ceil(round(1.0 / beyond, 6)))
        self._kinds: OrderedDict[LatencyKind, _Samples] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of kinds with samples."""
        return len(self._kinds)

    def record(self, kind: LatencyKind, seconds: float, now: float) -> None:
        """Record a response time.

        Parameters
        ----------
        kind : tuple of (str, str, int)
            Service, route and size class.
        seconds : float
            Response time, or the time for which a response was waited for in vain.
        now : float
            Seconds on the monotonic clock.
        """
        samples = self._kinds.get(kind)
        if samples is None:
            samples = self._kinds[kind] = _Samples(now)
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        samples.rotate(now)
        samples.current.record_value(min(MAX_MS, max(1, round(seconds * MS_PER_S))))

    def estimate_s(self, kind: LatencyKind, now: float) -> float | None:
        """Return the percentile of recent response times.

        Parameters
        ----------
        kind : tuple of (str, str, int)
            As for `record`.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float or None
            Seconds; None if there are too few samples.
        """
        samples = self._kinds.get(kind)
        if samples is None:
            return None
        samples.rotate(now)
        halves = [samples.current]
        if samples.before is not None:
            halves.append(samples.before)
        if sum(half.get_total_count() for half in halves) < self._min_samples:
            return None
        window = halves[0]
        if len(halves) > 1:
            window = _new_histogram()
            for half in halves:
                window.add(half)
        return window.get_value_at_percentile(self._percentile) / MS_PER_S


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MS, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES)
