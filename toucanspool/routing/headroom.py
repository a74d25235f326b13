"""A randomized policy that weighs upstreams by headroom and cached prefixes."""

import math
import random
from collections.abc import Sequence

from toucanspool.routing.candidate import Candidate
from toucanspool.routing.policy import Choice, RoutingRequest
from toucanspool.routing.prefix import PrefixIndex
from toucanspool.routing.rendezvous import RendezvousRanking

SAMPLE_SIZE = 16
BLOCK_TOKENS = 128
# Share of a prompt assumed to be cached by its first choice in the ranking.
PREFERRED_CACHED_SHARE = 0.25
# Age up to which a load report counts in full.
FRESH_REPORT_AGE_S = 2.0
# Relative load added for each second that a report is older than that.
STALE_LOAD_PER_S = 0.1
# Time constant by which the reported queue decays.
QUEUE_DECAY_S = 0.5
# Load above the mean, relative to it, at which no headroom is left.
MAX_EXCESS_LOAD = 2.0
# Turns the score of a cache holder into the probability of choosing it.
CACHE_AFFINITY_GAIN = 8.0
MIN_HEADROOM = 0.02
# Relative load added for an upstream in another failure domain.
CROSS_DOMAIN_LOAD = 0.02

Scored = tuple[float, Candidate]


class HeadroomPolicy:
    """Choose a cache holder with headroom, or else any candidate by headroom.

    The work of a candidate is its load times its step time. Its headroom is how far
    this may still rise above the mean work of the sample. Requests sent since the
    load report are added to it, the reported queue decays with the report's age,
    and an old report counts for little. Upstreams are drawn with a probability
    proportional to headroom, since processes that share the same stale report would
    all choose the same least loaded upstream.

    Parameters
    ----------
    rng : random.Random
        Random source.
    prefixes : PrefixIndex, optional
        Index of cached prefixes; None ignores caches.
    sample_size : int, default=16
        Candidates sampled in addition to the cache holders.
    block_tokens : int, default=128
        Tokens in one block of a prompt.

    References
    ----------
    M. Dahlin, "Interpreting stale load information", IEEE TPDS 11(10), 2000;
    V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded
    loads", SODA 2018.
    """

    __slots__ = ("_block_tokens", "_prefixes", "_ranking", "_rng", "_sample_size")

    def __init__(
        self,
        rng: random.Random,
        *,
        prefixes: PrefixIndex | None = None,
        sample_size: int = SAMPLE_SIZE,
        block_tokens: int = BLOCK_TOKENS,
    ) -> None:
        self._rng = rng
        self._prefixes = prefixes
        self._sample_size = sample_size
        self._block_tokens = block_tokens
        self._ranking = RendezvousRanking()

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return the upstream for a request, and index the prompt as cached there.

        Parameters
        ----------
        request : RoutingRequest
            The request.
        candidates : sequence of Candidate
            At least one.
        now : float
            Seconds on this process's monotonic clock.

        Returns
        -------
        Choice
        """
        sampled = self._sample(candidates)
        mean_step_ms = _mean_step_ms(sampled)
        mean_work_ms = sum(_work_ms(c, mean_step_ms, now) for c in sampled) / len(
            sampled
        )
        choice = None
        if self._prefixes is not None and request.prefixes:
            holders = self._cache_holders(request, candidates, now)
            choice = self._choose_holder(
                request, holders, mean_work_ms, mean_step_ms, now
            )
        if choice is None:
            scored = [
                (self._headroom(request, c, mean_work_ms, mean_step_ms, now), c)
                for c in sampled
            ]
            headroom, chosen = self._draw_weighted(scored)
            choice = Choice(chosen, f"room {headroom:.2f} among {len(sampled)} drawn")
        if self._prefixes is not None:
            self._prefixes.add(choice.candidate.upstream, request.prefixes, now)
        return choice

    def _cache_holders(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> list[Scored]:
        blocks = self._prefixes.holders(request.prefixes, now)
        preferred = self._ranking.ranked(request.prefixes, candidates, now)
        names = blocks.keys() | preferred
        found = {c.upstream: c for c in candidates if c.upstream in names}
        first_choice = next((name for name in preferred if name in found), "")
        assumed_blocks = PREFERRED_CACHED_SHARE * len(request.prefixes)
        blocks[first_choice] = max(assumed_blocks, blocks.get(first_choice, 0.0))
        return [(blocks[name], c) for name, c in found.items() if name in blocks]

    def _choose_holder(
        self,
        request: RoutingRequest,
        holders: list[Scored],
        mean_work_ms: float,
        mean_step_ms: float,
        now: float,
    ) -> Choice | None:
        if not holders:
            return None
        scored = []
        for blocks, candidate in holders:
            headroom = self._headroom(
                request, candidate, mean_work_ms, mean_step_ms, now
            )
            cached_share = blocks * self._block_tokens / max(1, request.prompt_tokens)
            scored.append((headroom * min(1.0, cached_share), candidate))
        score, chosen = self._draw_weighted(scored)
        if self._rng.random() >= CACHE_AFFINITY_GAIN * score:
            return None
        return Choice(chosen, f"prefix cached and room, score {score:.2f}")

    def _draw_weighted(self, scored: list[Scored]) -> Scored:
        remaining = self._rng.random() * sum(score for score, _ in scored)
        for option in scored:
            remaining -= option[0]
            if remaining < 0.0:
                return option
        return scored[-1]

    def _sample(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        if len(candidates) <= self._sample_size:
            return candidates
        count, rng = len(candidates), self._rng
        return [candidates[int(rng.random() * count)] for _ in range(self._sample_size)]

    def _headroom(
        self,
        request: RoutingRequest,
        candidate: Candidate,
        mean_work_ms: float,
        mean_step_ms: float,
        now: float,
    ) -> float:
        ratio = (
            _work_ms(candidate, mean_step_ms, now) / mean_work_ms
            if mean_work_ms > 0.0
            else 1.0
        )
        age_s = now - candidate.reported_at
        if age_s > FRESH_REPORT_AGE_S:
            ratio = 1.0 + (ratio - 1.0) * FRESH_REPORT_AGE_S / age_s
            ratio += STALE_LOAD_PER_S * min(
                age_s - FRESH_REPORT_AGE_S, 1.0 / STALE_LOAD_PER_S
            )
        if candidate.failure_domain != request.failure_domain:
            ratio += CROSS_DOMAIN_LOAD
        headroom = (1.0 + MAX_EXCESS_LOAD - ratio) / MAX_EXCESS_LOAD
        return candidate.weight * max(MIN_HEADROOM, headroom)


def _work_ms(candidate: Candidate, mean_step_ms: float, now: float) -> float:
    waiting = candidate.sent_since_report
    if candidate.waiting:
        age_s = max(0.0, now - candidate.reported_at)
        waiting += candidate.waiting * math.exp(-age_s / QUEUE_DECAY_S)
    load = max(candidate.running + waiting, candidate.in_flight)
    return (1.0 + load) * (candidate.step_ms or mean_step_ms)


def _mean_step_ms(candidates: Sequence[Candidate]) -> float:
    reported = [candidate.step_ms for candidate in candidates if candidate.step_ms]
    return sum(reported) / len(reported) if reported else 1.0
