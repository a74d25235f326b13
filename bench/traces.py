"""Seeded traces of a group of ranks: popularity of experts, speeds and reports."""

from dataclasses import dataclass

import numpy as np

RANKS = 128
EXPERTS = 256
TICK_S = 1.0
STEPS_PER_TICK = 28
TOKENS_PER_STEP = 65_536
TOPICS = 8
TOPIC_SPREAD = 1.5
BURST_SPREAD = 0.03
DRIFT_PERIOD_S = (1200.0, 3600.0)
DRIFT_SWING = 0.8
HARVEST_SHARE = 0.5
HARVEST_RISE_S = 5.0
SLOW_SPEED = 0.5
STALLED_SPEED = 0.05
LOST_REPORTS = 0.05
MAX_LAG_TICKS = 3
TIME_NOISE = 0.02
NAMES = ("drift", "harvest", "slow rank", "stalled rank", "nothing changing")


@dataclass(slots=True, eq=False)
class Trace:
    """Hold what happens to a group, the same for each policy.

    Parameters
    ----------
    name : str
        One of `NAMES`.
    event_tick : int
        When the event comes, if there is one.
    victim : int
        The rank that becomes slow or stalled, or -1.
    first : ndarray of float, shape (layers, EXPERTS)
        Expected popularity at the start; each layer adds up to 1.
    tokens : ndarray of int, shape (ticks, layers, EXPERTS)
        Tokens of each expert in each tick.
    arrives : ndarray of int, shape (ticks, RANKS)
        Tick at which the report of a tick arrives; -1 if it is lost.
    time_noise : ndarray of float, shape (ticks, RANKS)
        Factor on the reported step time.
    """

    name: str
    event_tick: int
    victim: int
    first: np.ndarray
    tokens: np.ndarray
    arrives: np.ndarray
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
        if self.victim >= 0 and tick >= self.event_tick and not replaced:
            stalled = self.name == "stalled rank"
            speeds[self.victim] = STALLED_SPEED if stalled else SLOW_SPEED
        return speeds

    def silent(self, tick: int, rank: int, *, replaced: bool) -> bool:
        """Return whether a rank sends no report of a tick."""
        stalled = self.name == "stalled rank" and rank == self.victim
        return stalled and tick >= self.event_tick and not replaced


def make_trace(
    name: str, *, seed: int, layers: int, ticks: int, event_tick: int
) -> Trace:
    """Return a trace.

    Popularity is a mixture of topics, each with a lognormal popularity of
    experts. In ``"drift"`` the topics' parts swing with periods of 20 to 60
    minutes; in ``"harvest"`` one rare topic rises to half of all tokens in 5 s.
    Each expert's tokens of a tick vary by a gamma factor and a Poisson draw.

    Parameters
    ----------
    name : str
        One of `NAMES`.
    seed : int
        Seed of all draws.
    layers : int
        Layers of the model.
    ticks : int
        Length, in ticks of `TICK_S`.
    event_tick : int
        When the event comes.

    Returns
    -------
    Trace
    """
    rng = np.random.default_rng([seed, NAMES.index(name), layers])
    topics = rng.lognormal(0.0, TOPIC_SPREAD, (TOPICS, layers, EXPERTS))
    topics /= topics.sum(axis=2, keepdims=True)
    mix = _mixture(name, rng, ticks, event_tick)
    popularity = np.einsum("tk,kle->tle", mix, topics)
    mean = popularity * (TOKENS_PER_STEP * STEPS_PER_TICK)
    burst = rng.gamma(BURST_SPREAD**-2, BURST_SPREAD**2, mean.shape)
    victim = int(rng.integers(RANKS)) if name.endswith("rank") else -1
    lag = rng.integers(1, MAX_LAG_TICKS + 1, (ticks, RANKS))
    arrives = np.arange(ticks)[:, None] + lag
    arrives[rng.random((ticks, RANKS)) < LOST_REPORTS] = -1
    return Trace(
        name=name,
        event_tick=event_tick,
        victim=victim,
        first=popularity[0],
        tokens=rng.poisson(mean * burst).astype(np.int32),
        arrives=arrives,
        time_noise=rng.normal(1.0, TIME_NOISE, (ticks, RANKS)),
    )


def _mixture(
    name: str, rng: np.random.Generator, ticks: int, event_tick: int
) -> np.ndarray:
    at = np.arange(ticks)[:, None] * TICK_S
    logits = np.broadcast_to(rng.normal(0.0, 0.5, TOPICS), (ticks, TOPICS)).copy()
    phase = rng.uniform(0.0, 2 * np.pi, TOPICS)
    period = rng.uniform(*DRIFT_PERIOD_S, TOPICS)
    if name == "drift":
        logits += DRIFT_SWING * np.sin(2 * np.pi * at / period + phase)
    mix = np.exp(logits)
    mix[:, 0] = 0.01 * mix[:, 1:].sum(axis=1)
    mix /= mix.sum(axis=1, keepdims=True)
    if name == "harvest":
        risen = np.clip((at - event_tick * TICK_S) / HARVEST_RISE_S, 0.0, 1.0)
        part = HARVEST_SHARE * risen
        mix = (1.0 - part) * mix + part * np.eye(TOPICS)[0]
    return mix
