"""How many streams an entry may carry so that their events come in time.

All streams of a lock-step group wait for the same passes. So each entry sees in the
pauses of its own streams how long passes take.
"""

from toucanspool.limits._fading import gain
from toucanspool.routing.routes import EngineModel

# Part of the pause allowed that passes may take: the rest is for their spread.
TARGET_PART = 0.75
# Part of the time for a whole answer that passes may take where no pause is in time.
WHOLE_PART = 0.6
MEMORY_S = 0.4
# Below this many requests a rank, more are carried, though late.
LEAST_IN_TIME = 1.0
# Pauses longer than this many times the one allowed say no more.
LONGEST_PAUSES = 8.0
# Events that come together tell nothing of passes shorter than this.
SHORTEST_S = 0.001
LEAST = 1.0


class Pace:
    """Work out the number of streams from the pauses seen and the engines' model.

    The model gives the time of a pass for the requests of a rank. How much longer the
    passes seen were is put down to load that is spread unevenly and to slow ranks, and
    is thought to last.

    Parameters
    ----------
    pause_s : float
        The longest pause that is on time, in seconds.
    answer_s : float
        The longest time for a whole answer, in seconds.

    Attributes
    ----------
    limit : float
        This entry's equal part of the streams; 0 before the first look.
    """

    __slots__ = (
        "_at",
        "_carried",
        "_count",
        "_mean_s",
        "_sum_s",
        "answer_s",
        "limit",
        "pause_s",
    )

    def __init__(self, pause_s: float, answer_s: float) -> None:
        self.pause_s = pause_s
        self.answer_s = answer_s
        self.limit = 0.0
        self._mean_s = 0.0
        self._carried = 0.0
        self._sum_s = 0.0
        self._count = 0
        self._at = 0.0

    @property
    def mean_s(self) -> float:
        """Return the mean pause of late, in seconds; 0 before the first."""
        return self._mean_s

    def paused(self, seconds: float) -> None:
        """Count a pause between two events of a stream.

        Parameters
        ----------
        seconds : float
            The pause.
        """
        self._sum_s += min(max(seconds, SHORTEST_S), LONGEST_PAUSES * self.pause_s)
        self._count += 1

    def adapt(
        self,
        engine: EngineModel,
        upstreams: int,
        entries: int,
        running: float,
        now: float,
    ) -> float:
        """Return this entry's equal part of the room, for what was seen until now.

        Parameters
        ----------
        engine : EngineModel
            The upstreams' engines.
        upstreams : int
            Upstreams that take work.
        entries : int
            Entries that share them.
        running : float
            Streams that an entry carries on average.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
        """
        entries = max(1, entries)
        self._look(running * entries / upstreams, now)
        allowed = self._per_upstream(engine)
        self.limit = max(LEAST, allowed * upstreams / entries)
        return self.limit

    def _look(self, carried: float, now: float) -> None:
        """Bring what was seen since the last look into the means."""
        weight = gain(now - self._at, MEMORY_S)
        self._at = now
        self._carried += weight * (carried - self._carried)
        if not self._count:
            return
        seen_s = self._sum_s / self._count
        self._sum_s, self._count = 0.0, 0
        # The geometric mean forgets a pause ten times too long as soon as one ten
        # times too short.
        before_s = self._mean_s or seen_s
        self._mean_s = before_s * (seen_s / before_s) ** weight

    def _per_upstream(self, engine: EngineModel) -> float:
        """Return the requests that an upstream may have at once."""
        stretch = max(1.0, self._mean_s / pass_s(engine, self._carried))
        in_time = _requests(engine, TARGET_PART * self.pause_s / stretch)
        if in_time >= LEAST_IN_TIME:
            return min(in_time, engine.slots)
        events = max(1.0, engine.mean_answer_tokens / engine.steps_per_pass)
        late = _requests(engine, WHOLE_PART * self.answer_s / events / stretch)
        return min(max(LEAST_IN_TIME, late), engine.slots)


def pass_s(engine: EngineModel, requests: float) -> float:
    """Return how long a pass takes by the engines' model.

    Parameters
    ----------
    engine : EngineModel
        The model.
    requests : float
        Requests that each rank writes for; one more is being read.

    Returns
    -------
    float
        Seconds.
    """
    step_s = engine.step_base_s + engine.step_per_request_s * requests
    return engine.steps_per_pass * step_s + _read_s(engine)


def _requests(engine: EngineModel, seconds: float) -> float:
    """Return the requests of each rank with which a pass takes a given time."""
    step_s = (seconds - _read_s(engine)) / engine.steps_per_pass
    return (step_s - engine.step_base_s) / engine.step_per_request_s


def _read_s(engine: EngineModel) -> float:
    return engine.mean_prompt_tokens / engine.prefill_tokens_per_s
