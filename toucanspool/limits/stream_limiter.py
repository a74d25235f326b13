"""Admission of one service's streams at an entry, up to an adaptive limit."""

import random
from collections.abc import Sequence

from toucanspool.limits.adaptive_limit import AdaptiveLimit
from toucanspool.limits.admission import Admission
from toucanspool.limits.gate import Gate, wake
from toucanspool.limits.shed import RetryAfter
from toucanspool.limits.spare_capacity import SpareCapacity
from toucanspool.routing.routes import EngineModel

MAX_WAIT_S = 0.25
MIN_RETRY_AFTER_S = 0.6
MIN_JITTER_S = 1.2


class StreamLimiter:
    """Admit streams up to a limit that follows pauses and the load of other entries.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter of retry delays.
    adaptive_limit : AdaptiveLimit
        Computes the limit per entry.

    Attributes
    ----------
    gate : Gate
        Gate at which streams wait for admission.
    adaptive_limit : AdaptiveLimit
        Limit to which pauses are reported.
    """

    __slots__ = ("_spare_capacity", "adaptive_limit", "gate")

    def __init__(self, rng: random.Random, adaptive_limit: AdaptiveLimit) -> None:
        delays = RetryAfter(rng, min_s=MIN_RETRY_AFTER_S, min_jitter_s=MIN_JITTER_S)
        admission = Admission(
            1.0, rng, max_wait_s=MAX_WAIT_S, on_settled=wake, retry_after=delays
        )
        self.gate = Gate(admission)
        self.adaptive_limit = adaptive_limit
        self._spare_capacity = SpareCapacity()

    @property
    def capacity(self) -> float:
        """Return the largest number of streams that may run."""
        return self.gate.admission.capacity

    @property
    def running(self) -> int:
        """Return the number of running streams."""
        return self.gate.admission.running

    @property
    def mean_running(self) -> float:
        """Return the moving average of the number of running streams."""
        return self._spare_capacity.mean_running

    @property
    def full(self) -> bool:
        """Return whether streams wait, or one more than now would have to."""
        admission = self.gate.admission
        return admission.waiting > 0 or admission.running + 1 > admission.capacity

    def adapt(
        self,
        engine: EngineModel,
        upstreams: int,
        entries: int,
        others: Sequence[float],
        now: float,
        *,
        usable: float | None = None,
    ) -> None:
        """Adapt the limit to the load since the last call.

        Parameters
        ----------
        engine, upstreams, entries, now, usable
            As for `AdaptiveLimit.adapt`.
        others : sequence of float
            Mean numbers of running streams that other entries report.
        """
        self._spare_capacity.observe(self.running, now)
        mean_running = self._spare_capacity.mean_per_entry(others)
        equal_limit = self.adaptive_limit.adapt(
            engine, upstreams, entries, mean_running, now, usable=usable
        )
        self.gate.admission.resize(self._spare_capacity.limit(equal_limit, others), now)

    def log_fields(self, others: Sequence[float]) -> dict[str, float]:
        """Return the limit and its inputs, as fields of a log event.

        Parameters
        ----------
        others : sequence of float
            Mean numbers of running streams that other entries report.

        Returns
        -------
        dict of str to float
        """
        return {
            "limit": round(self.capacity, 1),
            "part": round(self.adaptive_limit.limit, 1),
            "mean": round(self._spare_capacity.mean_per_entry(others), 1),
            "running": self.running,
            "pause_ms": round(self.adaptive_limit.mean_pause_s * 1000),
        }
