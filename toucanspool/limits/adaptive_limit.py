"""Adaptive limit on an entry's streams, so that their events arrive on time.

All streams of a lock-step group wait for the same passes. So each entry can estimate
the duration of a pass from the pauses between events of its own streams.
"""

from toucanspool.limits._ewma import ewma_weight
from toucanspool.routing.routes import EngineModel

# Fraction of the longest allowed pause that a pass may take on average. The rest
# allows for the variation between passes.
TARGET_PAUSE_FRACTION = 0.75
# Fraction of the longest allowed response time that the passes of a response may take
# where pauses cannot be kept on time.
TARGET_RESPONSE_FRACTION = 0.6
TIME_CONSTANT_S = 0.4
# If fewer requests per rank than this can be served with pauses on time, late pauses
# are accepted and the response time limits the requests instead.
MIN_ON_TIME_REQUESTS = 1.0
# Longer pauses count as this multiple of the longest allowed pause, because they give
# no further information.
MAX_PAUSE_FACTOR = 8.0
# Shorter pauses count as this long, because events that arrive together give no measure
# of shorter passes.
MIN_PAUSE_S = 0.001
MIN_STREAMS = 1.0


class AdaptiveLimit:
    """Compute a limit on streams from measured pauses and a model of the engines.

    The model gives the duration of a pass by the number of requests per rank. Measured
    passes that take longer are attributed to uneven load and slow ranks; the ratio is
    assumed to persist.

    Parameters
    ----------
    max_pause_s : float
        Longest pause between two events that is on time, in seconds.
    max_response_s : float
        Longest time for a whole response, in seconds.

    Attributes
    ----------
    limit : float
        Limit per entry if all entries take equal parts; 0 before the first update.
    """

    __slots__ = (
        "_mean_pause_s",
        "_pause_count",
        "_pause_sum_s",
        "_per_upstream",
        "_requests_per_upstream",
        "_updated_at",
        "limit",
        "max_pause_s",
        "max_response_s",
    )

    def __init__(self, max_pause_s: float, max_response_s: float) -> None:
        self.max_pause_s = max_pause_s
        self.max_response_s = max_response_s
        self.limit = 0.0
        self._mean_pause_s = 0.0
        self._requests_per_upstream = 0.0
        self._pause_sum_s = 0.0
        self._pause_count = 0
        self._updated_at = 0.0
        self._per_upstream = MIN_ON_TIME_REQUESTS

    @property
    def mean_pause_s(self) -> float:
        """Return the moving average of pauses, in seconds; 0 before the first."""
        return self._mean_pause_s

    def record_pause(self, seconds: float) -> None:
        """Record a pause between two events of a stream.

        Parameters
        ----------
        seconds : float
            Duration of the pause.
        """
        self._pause_sum_s += min(
            max(seconds, MIN_PAUSE_S), MAX_PAUSE_FACTOR * self.max_pause_s
        )
        self._pause_count += 1

    def usable_fraction(self, engine: EngineModel, per_s: float) -> float:
        """Return the part of an upstream's room that a limit on its requests leaves.

        Parameters
        ----------
        engine : EngineModel
            Model of the upstream's engine.
        per_s : float
            Requests a second that the upstream takes.

        Returns
        -------
        float
            From 0 to 1, by Little's law.
        """
        if not self._mean_pause_s:
            return 1.0
        response_s = _mean_events(engine) * self._mean_pause_s
        return min(1.0, per_s * response_s / self._per_upstream)

    def adapt(
        self,
        engine: EngineModel,
        upstreams: int,
        entries: int,
        running: float,
        now: float,
        *,
        usable: float | None = None,
    ) -> float:
        """Update the limit from the pauses since the last call, and return it.

        Parameters
        ----------
        engine : EngineModel
            Model of the upstreams' engines.
        upstreams : int
            Number of upstreams that accept requests.
        entries : int
            Number of entries that share the upstreams.
        running : float
            Mean number of running streams per entry.
        now : float
            Seconds on the monotonic clock.
        usable : float, optional
            The same number with fractions for upstreams that accept few requests.

        Returns
        -------
        float
        """
        usable = upstreams if usable is None else usable
        entries = max(1, entries)
        self._update_averages(running * entries / upstreams, now)
        self._per_upstream = self._max_per_upstream(engine)
        self.limit = max(MIN_STREAMS, self._per_upstream * usable / entries)
        return self.limit

    def _update_averages(self, requests: float, now: float) -> None:
        """Add the samples since the last update to the moving averages."""
        weight = ewma_weight(now - self._updated_at, TIME_CONSTANT_S)
        self._updated_at = now
        self._requests_per_upstream += weight * (requests - self._requests_per_upstream)
        if not self._pause_count:
            return
        sample_s = self._pause_sum_s / self._pause_count
        self._pause_sum_s, self._pause_count = 0.0, 0
        # A geometric mean forgets a pause that is ten times too long as fast as one
        # that is ten times too short.
        previous_s = self._mean_pause_s or sample_s
        self._mean_pause_s = previous_s * (sample_s / previous_s) ** weight

    def _max_per_upstream(self, engine: EngineModel) -> float:
        """Return the number of requests that an upstream may run at a time."""
        slowdown = max(
            1.0, self._mean_pause_s / pass_s(engine, self._requests_per_upstream)
        )
        on_time = _requests_for_pass(
            engine, TARGET_PAUSE_FRACTION * self.max_pause_s / slowdown
        )
        if on_time >= MIN_ON_TIME_REQUESTS:
            return min(on_time, engine.slots)
        pause_s = TARGET_RESPONSE_FRACTION * self.max_response_s / _mean_events(engine)
        late = _requests_for_pass(engine, pause_s / slowdown)
        return min(max(MIN_ON_TIME_REQUESTS, late), engine.slots)


def pass_s(engine: EngineModel, requests: float) -> float:
    """Return the duration of a pass according to the model of the engines.

    Parameters
    ----------
    engine : EngineModel
        Model of the engines.
    requests : float
        Requests per rank in the decode phase; one more is in prefill.

    Returns
    -------
    float
        Seconds.
    """
    step_s = engine.step_base_s + engine.step_per_request_s * requests
    return engine.steps_per_pass * step_s + _prefill_s(engine)


def _requests_for_pass(engine: EngineModel, seconds: float) -> float:
    """Return the requests per rank with which a pass takes the given time."""
    step_s = (seconds - _prefill_s(engine)) / engine.steps_per_pass
    return (step_s - engine.step_base_s) / engine.step_per_request_s


def _mean_events(engine: EngineModel) -> float:
    return max(1.0, engine.mean_answer_tokens / engine.steps_per_pass)


def _prefill_s(engine: EngineModel) -> float:
    return engine.mean_prompt_tokens / engine.prefill_tokens_per_s
