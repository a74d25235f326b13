"""The room for one service's streams at an entry: how much, and who gets it."""

import random
from collections.abc import Sequence

from toucanspool.limits.admission import Admission
from toucanspool.limits.gate import Gate, wake
from toucanspool.limits.pace import Pace
from toucanspool.limits.shed import RetryAfter
from toucanspool.limits.spare_room import SpareRoom
from toucanspool.routing.routes import EngineModel

MAX_WAIT_S = 0.25
MIN_RETRY_AFTER_S = 0.6
MIN_JITTER_S = 1.2


class StreamRoom:
    """Admit streams up to what the pauses and the other entries allow.

    Parameters
    ----------
    rng : random.Random
        Source of draws.
    pace : Pace
        Works out this entry's equal part.

    Attributes
    ----------
    gate : Gate
        Where streams wait for a place.
    pace : Pace
        Told of pauses.
    """

    __slots__ = ("_spare", "gate", "pace")

    def __init__(self, rng: random.Random, pace: Pace) -> None:
        delays = RetryAfter(rng, min_s=MIN_RETRY_AFTER_S, min_jitter_s=MIN_JITTER_S)
        admission = Admission(
            1.0, rng, max_wait_s=MAX_WAIT_S, on_settled=wake, retry_after=delays
        )
        self.gate = Gate(admission)
        self.pace = pace
        self._spare = SpareRoom()

    @property
    def capacity(self) -> float:
        """Return the streams that may be carried."""
        return self.gate.admission.capacity

    @property
    def running(self) -> int:
        """Return the streams under way."""
        return self.gate.admission.running

    @property
    def carried(self) -> float:
        """Return how many streams were carried of late."""
        return self._spare.carried

    def adapt(
        self,
        engine: EngineModel,
        upstreams: int,
        entries: int,
        others: Sequence[float],
        now: float,
    ) -> None:
        """Adapt the room to what was seen since the last call.

        Parameters
        ----------
        engine, upstreams, entries, now
            As of `Pace.adapt`.
        others : sequence of float
            What other entries said that they carried.
        """
        self._spare.look(self.running, now)
        mean = self._spare.mean(others)
        part = self.pace.adapt(engine, upstreams, entries, mean, now)
        self.gate.admission.resize(self._spare.limit(part, others), now)

    def told(self, others: Sequence[float]) -> dict[str, float]:
        """Return the limit with what it was adapted to, for the log.

        Parameters
        ----------
        others : sequence of float
            What other entries said that they carried.

        Returns
        -------
        dict of str to float
        """
        return {
            "limit": round(self.capacity, 1),
            "part": round(self.pace.limit, 1),
            "mean": round(self._spare.mean(others), 1),
            "running": self.running,
            "pause_ms": round(self.pace.mean_s * 1000),
        }
