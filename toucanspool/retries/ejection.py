"""Outlier ejection of failing upstreams, with health probes and slow start."""

import random
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

MAX_EJECTED_FRACTION = 0.5
FAILURES_TO_EJECT = 3
MAX_FAILURE_RATE = 0.4
MIN_RATE_ATTEMPTS = 8
FAILURE_RATE_WEIGHT = 0.15
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 15.0
EJECTION_JITTER = 0.25
PROBES_TO_RESTORE = 2
PROBE_TIMEOUT_S = 5.0
SLOW_START_S = 10.0
SLOW_START_WEIGHT = 0.1


class AttemptResult(Enum):
    """Classify an attempt or a probe as evidence of an upstream's health."""

    OK = "ok"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class _Health:
    pool: str = ""
    consecutive_failures: int = 0
    attempts: int = 0
    failure_rate: float = 0.0
    ejection_count: int = 0
    ejected_until: float | None = None
    probing_until: float = 0.0
    successful_probes: int = 0
    slow_start_at: float | None = None


class Ejector:
    """Eject failing upstreams, up to a limited fraction of each pool at a time.

    An upstream is ejected when it is unreachable, fails several times in a row, or
    has a high failure rate over its recent attempts. It is probed after a backoff
    that doubles with each ejection in close succession. Once enough probes succeed,
    it is restored with a weight that rises during a slow start. Upstreams beyond the
    limit are not ejected, so that a pool in which all fail is still tried.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter that spreads the probes of many processes.
    max_fraction : float, default=0.5
        Largest fraction of a pool that may be ejected at a time.
    base_ejection_s : float, default=2
        Time from an ejection to the first probe, in seconds.
    slow_start_s : float, default=10
        Duration of the slow start, in seconds.

    References
    ----------
    Outlier detection, slow start and panic threshold as in the documentation of
    Envoy, "Upstream clusters".
    """

    __slots__ = (
        "_base_ejection_s",
        "_ejected",
        "_health",
        "_max_fraction",
        "_rng",
        "_slow_start_s",
    )

    def __init__(
        self,
        rng: random.Random,
        *,
        max_fraction: float = MAX_EJECTED_FRACTION,
        base_ejection_s: float = BASE_EJECTION_S,
        slow_start_s: float = SLOW_START_S,
    ) -> None:
        self._rng = rng
        self._max_fraction = max_fraction
        self._base_ejection_s = base_ejection_s
        self._slow_start_s = slow_start_s
        self._health: dict[str, _Health] = {}
        self._ejected: set[str] = set()

    @property
    def ejected(self) -> frozenset[str]:
        """Return the names of the ejected upstreams."""
        return frozenset(self._ejected)

    def update(
        self,
        members: Iterable[str],
        now: float,
        *,
        pools: Mapping[str, str] | None = None,
    ) -> None:
        """Replace the upstreams; additions to a non-empty set start slowly.

        Parameters
        ----------
        members : iterable of str
            Names of all upstreams.
        now : float
            Seconds on the monotonic clock.
        pools : mapping of str to str, optional
            Pool of each upstream by its name, such as the model that it serves; by
            default, all are in one pool.
        """
        names = set(members)
        was_empty = not self._health
        for name in self._health.keys() - names:
            del self._health[name]
            self._ejected.discard(name)
        for name in names - self._health.keys():
            self._health[name] = _Health(slow_start_at=None if was_empty else now)
        for name, health in self._health.items():
            health.pool = pools.get(name, "") if pools else ""
        self._restore_excess(now)

    def weight(self, upstream: str, now: float) -> float:
        """Return the weight of an upstream relative to its normal weight.

        Parameters
        ----------
        upstream : str
            Name of the upstream; an unknown one has weight 1.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            0 while it is ejected; rises from 0.1 to 1 during the slow start.
        """
        health = self._health.get(upstream)
        if health is None:
            return 1.0
        if health.ejected_until is not None:
            return 0.0
        if health.slow_start_at is None:
            return 1.0
        progress = (now - health.slow_start_at) / self._slow_start_s
        if progress >= 1.0:
            health.slow_start_at = None
            return 1.0
        return SLOW_START_WEIGHT + (1.0 - SLOW_START_WEIGHT) * max(0.0, progress)

    def start_slowly(self, upstream: str, now: float) -> None:
        """Begin the slow start of an upstream, unless it is ejected."""
        health = self._health.get(upstream)
        if health is not None and health.ejected_until is None:
            health.slow_start_at = now

    def record(self, upstream: str, result: AttemptResult, now: float) -> bool:
        """Record an attempt, which may eject the upstream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        result : AttemptResult
            How the attempt ended.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether this attempt ejected the upstream.
        """
        health = self._health.get(upstream)
        if health is None or health.ejected_until is not None:
            return False
        self._update_health(health, result)
        if not self._is_failing(health, result) or not self._may_eject(health.pool):
            return False
        self._eject(upstream, health, now)
        return True

    def due_probes(self, now: float) -> list[str]:
        """Return the upstreams to probe now.

        An upstream is not returned again until its probe is recorded or times out.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        list of str
        """
        names = []
        for name in sorted(self._ejected):
            health = self._health[name]
            if now >= max(health.ejected_until or 0.0, health.probing_until):
                health.probing_until = now + PROBE_TIMEOUT_S
                names.append(name)
        return names

    def record_probe(self, upstream: str, result: AttemptResult, now: float) -> bool:
        """Record a probe; enough successful ones restore the upstream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        result : AttemptResult
            How the probe ended.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether this probe restored the upstream.
        """
        health = self._health.get(upstream)
        if health is None or health.ejected_until is None:
            return False
        health.probing_until = now
        if result is not AttemptResult.OK:
            self._eject(upstream, health, now)
            return False
        health.successful_probes += 1
        if health.successful_probes < PROBES_TO_RESTORE:
            return False
        self._restore(upstream, health, now)
        return True

    def _update_health(self, health: _Health, result: AttemptResult) -> None:
        failed = result is not AttemptResult.OK
        health.consecutive_failures = health.consecutive_failures + 1 if failed else 0
        health.attempts += 1
        health.failure_rate += FAILURE_RATE_WEIGHT * (failed - health.failure_rate)
        if (
            health.failure_rate < MAX_FAILURE_RATE / 4
            and health.attempts > MIN_RATE_ATTEMPTS
        ):
            health.ejection_count = 0

    def _is_failing(self, health: _Health, result: AttemptResult) -> bool:
        if result is AttemptResult.OK:
            return False
        if (
            result is AttemptResult.UNREACHABLE
            or health.consecutive_failures >= FAILURES_TO_EJECT
        ):
            return True
        return (
            health.attempts >= MIN_RATE_ATTEMPTS
            and health.failure_rate > MAX_FAILURE_RATE
        )

    def _may_eject(self, pool: str) -> bool:
        ejected_count = sum(self._health[name].pool == pool for name in self._ejected)
        size = sum(health.pool == pool for health in self._health.values())
        return ejected_count + 1 <= int(self._max_fraction * size)

    def _eject(self, upstream: str, health: _Health, now: float) -> None:
        ejection_s = min(
            MAX_EJECTION_S, self._base_ejection_s * 2**health.ejection_count
        )
        health.ejection_count = min(health.ejection_count + 1, 16)
        health.ejected_until = now + ejection_s * self._rng.uniform(
            1.0, 1.0 + EJECTION_JITTER
        )
        health.successful_probes = 0
        self._ejected.add(upstream)

    def _restore(self, upstream: str, health: _Health, now: float) -> None:
        self._ejected.discard(upstream)
        restored = _Health(
            pool=health.pool, ejection_count=health.ejection_count, slow_start_at=now
        )
        self._health[upstream] = restored

    def _restore_excess(self, now: float) -> None:
        sizes = Counter(health.pool for health in self._health.values())
        kept_count: Counter[str] = Counter()
        by_ejection_end = sorted(
            self._ejected, key=lambda name: self._health[name].ejected_until or 0.0
        )
        for name in reversed(by_ejection_end):
            health = self._health[name]
            kept_count[health.pool] += 1
            if kept_count[health.pool] > int(self._max_fraction * sizes[health.pool]):
                self._restore(name, health, now)
