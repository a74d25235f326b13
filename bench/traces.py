"""Seeded traces of a group of ranks: expert popularity, rank speeds and reports."""

from dataclasses import dataclass

import numpy as np

RANKS = 128
EXPERTS = 256
TICK_S = 1.0
STEPS_PER_TICK = 28
TOKENS_PER_STEP = 65_536
TOPICS = 8
TOPIC_SIGMA = 1.5
BURST_CV = 0.03
DRIFT_PERIOD_S = (1200.0, 3600.0)
DRIFT_SWING = 0.8
HARVEST_TOKEN_FRACTION = 0.5
HARVEST_RISE_S = 5.0
SLOW_SPEED = 0.5
STALLED_SPEED = 0.05
REPORT_LOSS_RATIO = 0.05
MAX_LAG_TICKS = 3
TIME_NOISE_SIGMA = 0.02
TRACE_NAMES = ("drift", "harvest", "slow rank", "stalled rank", "nothing changing")


@dataclass(slots=True, eq=False)
class Trace:
    """Hold the load, speeds and report delays of a group, equal for all policies.

    Parameters
    ----------
    name : str
        One of `TRACE_NAMES`.
    event_tick : int
        Tick of the event, if the trace has one.
    faulty_rank : int
        The rank that becomes slow or stalled, or -1.
    initial_popularity : ndarray of float, shape (layers, EXPERTS)
        Expected popularity at the start; each layer adds up to 1.
    tokens : ndarray of int, shape (ticks, layers, EXPERTS)
        Tokens of each expert in each tick.
    arrival_ticks : ndarray of int, shape (ticks, RANKS)
        Tick at which the report of a tick arrives; -1 if it is lost.
    time_noise : ndarray of float, shape (ticks, RANKS)
        Factor on the reported step time.
    """

    name: str
    event_tick: int
    faulty_rank: int
    initial_popularity: np.ndarray
    tokens: np.ndarray
    arrival_ticks: np.ndarray
    time_noise: np.ndarray

    def speeds(self, tick: int, *, replaced: bool) -> np.ndarray:
        """Return the speed of each rank.

        Parameters
        ----------
        tick : int
            The tick.
        replaced : bool
            Whether the victim was replaced.

        Returns
        -------
        ndarray of float, shape (RANKS,)
        """
        speeds = np.ones(RANKS)
        if self.faulty_rank >= 0 and tick >= self.event_tick and not replaced:
            stalled = self.name == "stalled rank"
            speeds[self.faulty_rank] = STALLED_SPEED if stalled else SLOW_SPEED
        return speeds

    def is_silent(self, tick: int, rank: int, *, replaced: bool) -> bool:
        """Return whether a rank sends no report of a tick."""
        stalled = self.name == "stalled rank" and rank == self.faulty_rank
        return stalled and tick >= self.event_tick and not replaced


def make_trace(
    name: str, *, seed: int, layers: int, ticks: int, event_tick: int
) -> Trace:
    """Return a seeded trace.

    Popularity is a mixture of topics, each with a lognormal popularity of
    experts. In ``"drift"`` the topic weights oscillate with periods of 20 to 60
    minutes; in ``"harvest"`` one rare topic rises to half of all tokens in 5 s.
    Each expert's tokens of a tick vary by a gamma factor and a Poisson draw.

    Parameters
    ----------
    name : str
        One of `TRACE_NAMES`.
    seed : int
        Seed of all draws.
    layers : int
        Layers of the model.
    ticks : int
        Length, in ticks of `TICK_S`.
    event_tick : int
        Tick of the event.

    Returns
    -------
    Trace
    """
    rng = np.random.default_rng([seed, TRACE_NAMES.index(name), layers])
    topics = rng.lognormal(0.0, TOPIC_SIGMA, (TOPICS, layers, EXPERTS))
    topics /= topics.sum(axis=2, keepdims=True)
    topic_weights = _mixture(name, rng, ticks, event_tick)
    popularity = np.einsum("tk,kle->tle", topic_weights, topics)
    mean = popularity * (TOKENS_PER_STEP * STEPS_PER_TICK)
    burst = rng.gamma(BURST_CV**-2, BURST_CV**2, mean.shape)
    faulty_rank = int(rng.integers(RANKS)) if name.endswith("rank") else -1
    lag_ticks = rng.integers(1, MAX_LAG_TICKS + 1, (ticks, RANKS))
    arrival_ticks = np.arange(ticks)[:, None] + lag_ticks
    arrival_ticks[rng.random((ticks, RANKS)) < REPORT_LOSS_RATIO] = -1
    return Trace(
        name=name,
        event_tick=event_tick,
        faulty_rank=faulty_rank,
        initial_popularity=popularity[0],
        tokens=rng.poisson(mean * burst).astype(np.int32),
        arrival_ticks=arrival_ticks,
        time_noise=rng.normal(1.0, TIME_NOISE_SIGMA, (ticks, RANKS)),
    )


def _mixture(
    name: str, rng: np.random.Generator, ticks: int, event_tick: int
) -> np.ndarray:
    time_s = np.arange(ticks)[:, None] * TICK_S
    logits = np.broadcast_to(rng.normal(0.0, 0.5, TOPICS), (ticks, TOPICS)).copy()
    phase = rng.uniform(0.0, 2 * np.pi, TOPICS)
    period = rng.uniform(*DRIFT_PERIOD_S, TOPICS)
    if name == "drift":
        logits += DRIFT_SWING * np.sin(2 * np.pi * time_s / period + phase)
    weights = np.exp(logits)
    weights[:, 0] = 0.01 * weights[:, 1:].sum(axis=1)
    weights /= weights.sum(axis=1, keepdims=True)
    if name == "harvest":
        progress = np.clip((time_s - event_tick * TICK_S) / HARVEST_RISE_S, 0.0, 1.0)
        topic_fraction = HARVEST_TOKEN_FRACTION * progress
        weights = (1.0 - topic_fraction) * weights + topic_fraction * np.eye(TOPICS)[0]
    return weights
