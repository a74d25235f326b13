"""Seeded traces of requests by teams that share prompt prefixes."""

from dataclasses import dataclass

import numpy as np

from bench.engine import (
    BLOCK_TOKENS,
    MAX_BATCH,
    STEP_BASE_S,
    STEP_PER_PREFILL_TOKEN_S,
    STEP_PER_SEQUENCE_S,
    Job,
)

PROMPTS_PER_TEAM = 4
ENTRIES_PER_TEAM = 3
MIN_BLOCKS, MAX_BLOCKS = 4, 16
TEAM_BLOCKS = 2
MEAN_OUTPUT_TOKENS = 128
SUFFIX_TOKENS = (32, 256)
SLOW_FACTOR = 2.0


@dataclass(slots=True, frozen=True)
class Scenario:
    """Describe a trace.

    Parameters
    ----------
    name : str
        Its name in tables.
    runners, entries, domains, teams : int
        Sizes.
    load : float
        Rate of arrival over the rate at which all runners that remain would be
        full, with no prefix cached.
    lost_domains : int
        Failure domains that go in the middle.
    slow_share : float
        Part of the runners that are slow.
    seconds : float
        Length of the trace.
    spare : float
        Entries of a team over the part of the entries that its share comes to.
    """

    name: str
    runners: int
    entries: int
    domains: int
    teams: int
    load: float
    lost_domains: int = 0
    slow_share: float = 0.1
    seconds: float = 30.0
    spare: float = 1.5

    def slow(self, rng: np.random.Generator) -> np.ndarray:
        """Return the factor on the step time of each runner."""
        factors = np.ones(self.runners)
        count = max(1, round(self.slow_share * self.runners)) if self.slow_share else 0
        factors[rng.choice(self.runners, count, replace=False)] = SLOW_FACTOR
        return factors

    def rate(self, slow: np.ndarray) -> float:
        """Return the arrivals a second at the load wanted."""
        kept = np.arange(self.runners) % self.domains >= self.lost_domains
        blocks = (MIN_BLOCKS + MAX_BLOCKS) / 2
        prompt = blocks * BLOCK_TOKENS + sum(SUFFIX_TOKENS) / 2
        decode = STEP_PER_SEQUENCE_S + STEP_BASE_S / MAX_BATCH
        job_s = prompt * STEP_PER_PREFILL_TOKEN_S + MEAN_OUTPUT_TOKENS * decode
        return self.load * float((kept / slow).sum()) / job_s


def team_odds(teams: int) -> np.ndarray:
    """Return each team's part of the requests, the largest first."""
    popular = 1.0 / np.arange(1, teams + 1)
    return popular / popular.sum()


def make_jobs(scenario: Scenario, rate: float, rng: np.random.Generator) -> list[Job]:
    """Return the requests of a trace in order of arrival.

    Parameters
    ----------
    scenario : Scenario
        The trace.
    rate : float
        Arrivals a second.
    rng : numpy.random.Generator
        Source of the draws.

    Returns
    -------
    list of Job
    """
    count = int(rng.poisson(rate * scenario.seconds))
    times = np.sort(rng.uniform(0.0, scenario.seconds, count))
    odds = team_odds(scenario.teams)
    teams = rng.choice(scenario.teams, count, p=odds)
    prompt_odds = 1.0 / np.arange(1, PROMPTS_PER_TEAM + 1)
    prompts = rng.choice(PROMPTS_PER_TEAM, count, p=prompt_odds / prompt_odds.sum())
    shape = (scenario.teams, PROMPTS_PER_TEAM)
    blocks = rng.integers(MIN_BLOCKS, MAX_BLOCKS + 1, shape)
    wide = min(ENTRIES_PER_TEAM, scenario.entries)
    homes = _homes(scenario, wide, odds, rng)
    suffixes = rng.integers(*SUFFIX_TOKENS, count)
    outputs = 1 + rng.geometric(1.0 / MEAN_OUTPUT_TOKENS, count)
    picks = rng.random(count)
    jobs = []
    for n in range(count):
        team, prompt = int(teams[n]), int(prompts[n])
        size = int(blocks[team, prompt])
        names = [f"{team}.{block}" for block in range(TEAM_BLOCKS)]
        names += [f"{team}.{prompt}.{n}" for n in range(TEAM_BLOCKS, size)]
        entry = homes[team][int(picks[n] * len(homes[team]))]
        tokens = size * BLOCK_TOKENS + int(suffixes[n])
        jobs.append(Job(float(times[n]), entry, tuple(names), tokens, int(outputs[n])))
    return jobs


def _homes(
    scenario: Scenario, wide: int, odds: np.ndarray, rng: np.random.Generator
) -> list[list[int]]:
    homes = []
    for team in range(scenario.teams):
        size = max(wide, int(np.ceil(odds[team] * scenario.entries * scenario.spare)))
        size = min(size, scenario.entries)
        homes.append(rng.choice(scenario.entries, size, replace=False).tolist())
    return homes
