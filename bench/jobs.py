"""Seeded traces of requests by teams that share prompt prefixes."""

from dataclasses import dataclass

import numpy as np

from bench.engine import (
    BLOCK_TOKENS,
    MAX_BATCH_SEQUENCES,
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
        Name in the printed tables.
    runners, entries, domains, teams : int
        Number of each.
    load : float
        Arrival rate relative to the rate that saturates the remaining runners when
        no prefix is cached.
    lost_domains : int
        Number of failure domains lost halfway through the trace.
    slow_fraction : float
        Fraction of the runners that are slow.
    seconds : float
        Length of the trace.
    entries_factor : float
        Factor on a team's proportional part of the entries.
    """

    name: str
    runners: int
    entries: int
    domains: int
    teams: int
    load: float
    lost_domains: int = 0
    slow_fraction: float = 0.1
    seconds: float = 30.0
    entries_factor: float = 1.5

    def slowdowns(self, rng: np.random.Generator) -> np.ndarray:
        """Return the factor on the step time of each runner."""
        factors = np.ones(self.runners)
        count = (
            max(1, round(self.slow_fraction * self.runners))
            if self.slow_fraction
            else 0
        )
        factors[rng.choice(self.runners, count, replace=False)] = SLOW_FACTOR
        return factors

    def rate(self, slowdowns: np.ndarray) -> float:
        """Return the arrivals per second that produce `load`."""
        remaining = np.arange(self.runners) % self.domains >= self.lost_domains
        mean_blocks = (MIN_BLOCKS + MAX_BLOCKS) / 2
        prompt_tokens = mean_blocks * BLOCK_TOKENS + sum(SUFFIX_TOKENS) / 2
        decode_s = STEP_PER_SEQUENCE_S + STEP_BASE_S / MAX_BATCH_SEQUENCES
        job_s = prompt_tokens * STEP_PER_PREFILL_TOKEN_S + MEAN_OUTPUT_TOKENS * decode_s
        return self.load * float((remaining / slowdowns).sum()) / job_s


def team_fractions(teams: int) -> np.ndarray:
    """Return the fraction of the requests from each team, largest first."""
    weights = 1.0 / np.arange(1, teams + 1)
    return weights / weights.sum()


def make_jobs(scenario: Scenario, rate: float, rng: np.random.Generator) -> list[Job]:
    """Return the requests of a trace in order of arrival.

    Parameters
    ----------
    scenario : Scenario
        The trace.
    rate : float
        Arrivals per second.
    rng : numpy.random.Generator
        Source of the draws.

    Returns
    -------
    list of Job
    """
    count = int(rng.poisson(rate * scenario.seconds))
    times = np.sort(rng.uniform(0.0, scenario.seconds, count))
    fractions = team_fractions(scenario.teams)
    teams = rng.choice(scenario.teams, count, p=fractions)
    prompt_weights = 1.0 / np.arange(1, PROMPTS_PER_TEAM + 1)
    prompts = rng.choice(
        PROMPTS_PER_TEAM, count, p=prompt_weights / prompt_weights.sum()
    )
    shape = (scenario.teams, PROMPTS_PER_TEAM)
    blocks = rng.integers(MIN_BLOCKS, MAX_BLOCKS + 1, shape)
    min_entries = min(ENTRIES_PER_TEAM, scenario.entries)
    team_entries = _assign_entries(scenario, min_entries, fractions, rng)
    suffixes = rng.integers(*SUFFIX_TOKENS, count)
    outputs = 1 + rng.geometric(1.0 / MEAN_OUTPUT_TOKENS, count)
    picks = rng.random(count)
    jobs = []
    for n in range(count):
        team, prompt = int(teams[n]), int(prompts[n])
        size = int(blocks[team, prompt])
        names = [f"{team}.{block}" for block in range(TEAM_BLOCKS)]
        names += [f"{team}.{prompt}.{n}" for n in range(TEAM_BLOCKS, size)]
        entry = team_entries[team][int(picks[n] * len(team_entries[team]))]
        tokens = size * BLOCK_TOKENS + int(suffixes[n])
        jobs.append(Job(float(times[n]), entry, tuple(names), tokens, int(outputs[n])))
    return jobs


def _assign_entries(
    scenario: Scenario,
    min_entries: int,
    fractions: np.ndarray,
    rng: np.random.Generator,
) -> list[list[int]]:
    team_entries = []
    for team in range(scenario.teams):
        size = max(
            min_entries,
            int(np.ceil(fractions[team] * scenario.entries * scenario.entries_factor)),
        )
        size = min(size, scenario.entries)
        team_entries.append(rng.choice(scenario.entries, size, replace=False).tolist())
    return team_entries
