"""The upstreams of a pool that get no work because they fail."""

import random
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

MAX_EJECTED_SHARE = 0.5
FAILURES_IN_A_ROW = 3
FAILURE_RATE = 0.4
RATE_ATTEMPTS = 8
RATE_WEIGHT = 0.15
EJECT_S = 2.0
MAX_EJECT_S = 15.0
EJECT_JITTER = 0.25
PROBES_TO_RETURN = 2
PROBE_TIMEOUT_S = 5.0
RAMP_S = 10.0
RAMP_START = 0.1


class Result(Enum):
    """Name how an attempt on an upstream ended, as far as its health goes."""

    OK = "ok"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class _Health:
    pool: str = ""
    in_a_row: int = 0
    attempts: int = 0
    failure_rate: float = 0.0
    times_out: int = 0
    out_until: float | None = None
    probing_until: float = 0.0
    probes_ok: int = 0
    back_at: float | None = None


class Ejector:
    """Take failing upstreams out, a bounded share of each pool at once.

    An upstream goes out when it is unreachable or fails several times in a row, or
    when most of its recent attempts fail. It is probed after a time that doubles
    with each ejection in close succession, and gets a growing part of its normal
    work once probes succeed. Where more would be out than the bound, the others
    stay in: a pool that is all failing is still tried.

    Parameters
    ----------
    rng : random.Random
        Spreads the probes of many processes.
    max_share : float, default=0.5
        The most of a pool that may be out at once.
    eject_s : float, default=2
        Time to the first probe, in seconds.
    ramp_s : float, default=10
        Time of the slow start, in seconds.

    References
    ----------
    Outlier detection and slow start as in the documentation of Envoy, "Upstream
    clusters"; panic threshold likewise.
    """

    __slots__ = ("_eject_s", "_health", "_max_share", "_out", "_ramp_s", "_rng")

    def __init__(
        self,
        rng: random.Random,
        *,
        max_share: float = MAX_EJECTED_SHARE,
        eject_s: float = EJECT_S,
        ramp_s: float = RAMP_S,
    ) -> None:
        self._rng = rng
        self._max_share = max_share
        self._eject_s = eject_s
        self._ramp_s = ramp_s
        self._health: dict[str, _Health] = {}
        self._out: set[str] = set()

    @property
    def ejected(self) -> frozenset[str]:
        """Return the upstreams that are out."""
        return frozenset(self._out)

    def update(
        self,
        members: Iterable[str],
        now: float,
        *,
        pools: Mapping[str, str] | None = None,
    ) -> None:
        """Set the upstreams; newcomers after the first call start slowly.

        Parameters
        ----------
        members : iterable of str
            Names of all upstreams.
        now : float
            Seconds on the monotonic clock.
        pools : mapping of str to str, optional
            The pool of each by name, such as its model; one pool by default.
        """
        names = set(members)
        first = not self._health
        for name in self._health.keys() - names:
            del self._health[name]
            self._out.discard(name)
        for name in names - self._health.keys():
            self._health[name] = _Health(back_at=None if first else now)
        for name, health in self._health.items():
            health.pool = pools.get(name, "") if pools else ""
        self._return_surplus(now)

    def weight(self, upstream: str, now: float) -> float:
        """Return the part of its normal work that an upstream may get.

        Parameters
        ----------
        upstream : str
            Its name; one that is not known gets all.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            0 while it is out, then from 0.1 to 1.
        """
        health = self._health.get(upstream)
        if health is None:
            return 1.0
        if health.out_until is not None:
            return 0.0
        if health.back_at is None:
            return 1.0
        part = (now - health.back_at) / self._ramp_s
        if part >= 1.0:
            health.back_at = None
            return 1.0
        return RAMP_START + (1.0 - RAMP_START) * max(0.0, part)

    def record(self, upstream: str, result: Result, now: float) -> bool:
        """Count an attempt, which may take the upstream out.

        Parameters
        ----------
        upstream : str
            Its name.
        result : Result
            How the attempt ended.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether this attempt took the upstream out.
        """
        health = self._health.get(upstream)
        if health is None or health.out_until is not None:
            return False
        self._count(health, result)
        if not self._failing(health, result) or not self._room(health.pool):
            return False
        self._eject(upstream, health, now)
        return True

    def due(self, now: float) -> list[str]:
        """Return the upstreams to probe now, each for one probe at a time.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        list of str
        """
        names = []
        for name in sorted(self._out):
            health = self._health[name]
            if now >= max(health.out_until or 0.0, health.probing_until):
                health.probing_until = now + PROBE_TIMEOUT_S
                names.append(name)
        return names

    def probed(self, upstream: str, result: Result, now: float) -> bool:
        """Count a probe; the upstream returns after enough good ones.

        Parameters
        ----------
        upstream : str
            Its name.
        result : Result
            How the probe ended.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether this probe brought the upstream back.
        """
        health = self._health.get(upstream)
        if health is None or health.out_until is None:
            return False
        health.probing_until = now
        if result is not Result.OK:
            self._eject(upstream, health, now)
            return False
        health.probes_ok += 1
        if health.probes_ok < PROBES_TO_RETURN:
            return False
        self._return(upstream, health, now)
        return True

    def _count(self, health: _Health, result: Result) -> None:
        failed = result is not Result.OK
        health.in_a_row = health.in_a_row + 1 if failed else 0
        health.attempts += 1
        health.failure_rate += RATE_WEIGHT * (failed - health.failure_rate)
        if health.failure_rate < FAILURE_RATE / 4 and health.attempts > RATE_ATTEMPTS:
            health.times_out = 0

    def _failing(self, health: _Health, result: Result) -> bool:
        if result is Result.OK:
            return False
        if result is Result.UNREACHABLE or health.in_a_row >= FAILURES_IN_A_ROW:
            return True
        return health.attempts >= RATE_ATTEMPTS and health.failure_rate > FAILURE_RATE

    def _room(self, pool: str) -> bool:
        out = sum(self._health[name].pool == pool for name in self._out)
        size = sum(health.pool == pool for health in self._health.values())
        return out + 1 <= int(self._max_share * size)

    def _eject(self, upstream: str, health: _Health, now: float) -> None:
        wait_s = min(MAX_EJECT_S, self._eject_s * 2**health.times_out)
        health.times_out = min(health.times_out + 1, 16)
        health.out_until = now + wait_s * self._rng.uniform(1.0, 1.0 + EJECT_JITTER)
        health.probes_ok = 0
        self._out.add(upstream)

    def _return(self, upstream: str, health: _Health, now: float) -> None:
        self._out.discard(upstream)
        fresh = _Health(pool=health.pool, times_out=health.times_out, back_at=now)
        self._health[upstream] = fresh

    def _return_surplus(self, now: float) -> None:
        sizes = Counter(health.pool for health in self._health.values())
        kept: Counter[str] = Counter()
        longest = sorted(
            self._out, key=lambda name: self._health[name].out_until or 0.0
        )
        for name in reversed(longest):
            health = self._health[name]
            kept[health.pool] += 1
            if kept[health.pool] > int(self._max_share * sizes[health.pool]):
                self._return(name, health, now)
