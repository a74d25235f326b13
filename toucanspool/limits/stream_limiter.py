"""Admission of one service's streams at an entry, up to an adaptive limit."""

import random
from collections.abc import Sequence
from contextlib import AbstractContextManager

from toucanspool.limits.adaptive_limit import AdaptiveLimit
from toucanspool.limits.admission import Admission
from toucanspool.limits.gate import Gate, wake
from toucanspool.limits.priority_admission import PriorityAdmission
from toucanspool.limits.shed import RetryAfter
from toucanspool.limits.spare_capacity import SpareCapacity
from toucanspool.limits.ticket import Ticket
from toucanspool.routing.routes import EngineModel

MAX_WAIT_S = 0.25
MIN_RETRY_AFTER_S = 0.6
MIN_JITTER_S = 1.2


class StreamLimiter:
    """Admit streams up to a limit that follows pauses and the load of other entries.

    Where the streams of a service differ in urgency, the most urgent are admitted
    first; elsewhere teams share the limit.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter of retry delays.
    adaptive_limit : AdaptiveLimit
        Computes the limit per entry.

    Attributes
    ----------
    adaptive_limit : AdaptiveLimit
        Limit to which pauses are reported.
    by_urgency : bool
        Whether the most urgent streams are admitted first. May be changed at any time;
        streams that run or wait are not affected.
    """

    __slots__ = (
        "_fair_gate",
        "_spare_capacity",
        "_urgency_gate",
        "adaptive_limit",
        "by_urgency",
    )

    def __init__(self, rng: random.Random, adaptive_limit: AdaptiveLimit) -> None:
        delays = RetryAfter(rng, min_s=MIN_RETRY_AFTER_S, min_jitter_s=MIN_JITTER_S)
        self._fair_gate = Gate(
            Admission(
                1.0, rng, max_wait_s=MAX_WAIT_S, on_settled=wake, retry_after=delays
            )
        )
        self._urgency_gate = Gate(
            PriorityAdmission(1.0, rng, on_settled=wake, retry_after=delays)
        )
        self.by_urgency = False
        self.adaptive_limit = adaptive_limit
        self._spare_capacity = SpareCapacity()

    @property
    def capacity(self) -> float:
        """Return the largest number of streams that may run."""
        return self._gate.admission.capacity

    @property
    def running(self) -> int:
        """Return the number of running streams."""
        gates = self._fair_gate, self._urgency_gate
        return sum(gate.admission.running for gate in gates)

    @property
    def waiting(self) -> int:
        """Return the number of streams that wait for admission."""
        gates = self._fair_gate, self._urgency_gate
        return sum(gate.admission.waiting for gate in gates)

    @property
    def mean_running(self) -> float:
        """Return the moving average of the number of running streams."""
        return self._spare_capacity.mean_running

    def hold(self, team: str, urgency: int) -> AbstractContextManager[Ticket]:
        """Wait for admission of a stream, and release its capacity at the end.

        Parameters
        ----------
        team : str
            Name of the caller's team.
        urgency : int
            Rank of its priority; 0 is the most urgent.

        Returns
        -------
        context manager
            Yields the ticket; raises `Shed` if the stream was shed.
        """
        if not self.by_urgency:
            # There, requests of lower priority are shed first.
            return self._fair_gate.hold(team, 1.0, -urgency)
        return self._urgency_gate.hold(team, 1.0, urgency)

    @property
    def full(self) -> bool:
        """Return whether streams wait, or one more than now would have to."""
        return self.waiting > 0 or self.running + 1 > self.capacity

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
        limit = self._spare_capacity.limit(equal_limit, others)
        # Streams of the other order run on after the service has changed its order.
        for gate, other in (
            (self._fair_gate, self._urgency_gate),
            (self._urgency_gate, self._fair_gate),
        ):
            gate.admission.resize(max(0.0, limit - other.admission.running), now)

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

    @property
    def _gate(self) -> Gate:
        return self._urgency_gate if self.by_urgency else self._fair_gate
