"""The choice of an upstream by its room and cache, at random in proportion."""

import math
import random
from collections.abc import Sequence

from toucanspool.routing.candidate import Candidate
from toucanspool.routing.policy import Choice, RoutingRequest
from toucanspool.routing.prefix import PrefixIndex
from toucanspool.routing.rendezvous import RendezvousRanking

SAMPLE = 16
BLOCK_TOKENS = 128
HOME_TRUST = 0.25
FRESH_S = 2.0
AGE_LOAD_PER_S = 0.1
QUEUE_MEMORY_S = 0.5
TURNOVER = 2.0
GAIN = 8.0
MIN_HEADROOM = 0.02
CROSS_DOMAIN_LOAD = 0.02

Scored = tuple[float, Candidate]


class HeadroomPolicy:
    """Choose a cache holder that has room, or else a candidate by its room.

    The room of a candidate is how far its work, reported load times step time, may
    still rise over the usual work before new reports come. What this process has
    sent since is added to the report, the reported queue fades with the report's
    age, and an old report counts for little. A choice in proportion to room, in
    place of the least load, keeps many processes that hold the same late report
    from all choosing the same upstream.

    Parameters
    ----------
    rng : random.Random
        Source of the draws.
    prefixes : PrefixIndex, optional
        Which upstreams hold which prefixes; None leaves caches out of account.
    sample : int, default=16
        Candidates looked at besides the holders of a prefix.
    block_tokens : int, default=128
        Tokens in a block of a prefix.

    References
    ----------
    M. Dahlin, "Interpreting stale load information", IEEE TPDS 11(10), 2000;
    V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded
    loads", SODA 2018.
    """

    __slots__ = ("_block_tokens", "_homes", "_prefixes", "_rng", "_sample")

    def __init__(
        self,
        rng: random.Random,
        *,
        prefixes: PrefixIndex | None = None,
        sample: int = SAMPLE,
        block_tokens: int = BLOCK_TOKENS,
    ) -> None:
        self._rng = rng
        self._prefixes = prefixes
        self._sample = sample
        self._block_tokens = block_tokens
        self._homes = RendezvousRanking()

    def choose(
        self, work: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return a candidate with room, and expect it to cache the prompt.

        Parameters
        ----------
        work : RoutingRequest
            The request.
        candidates : sequence of Candidate
            At least one.
        now : float
            Seconds on this process's monotonic clock.

        Returns
        -------
        Choice
        """
        drawn = self._draw(candidates)
        usual_ms = _usual_step_ms(drawn)
        usual = sum(_work(c, usual_ms, now) for c in drawn) / len(drawn)
        choice = None
        if self._prefixes is not None and work.prefixes:
            cached = self._cached(work, candidates, now)
            choice = self._choose_cached(work, cached, usual, usual_ms, now)
        if choice is None:
            scored = [(self._room(work, c, usual, usual_ms, now), c) for c in drawn]
            room, best = self._pick(scored)
            choice = Choice(best, f"room {room:.2f} among {len(drawn)} drawn")
        if self._prefixes is not None:
            self._prefixes.note(choice.candidate.upstream, work.prefixes, now)
        return choice

    def _cached(
        self, work: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> list[Scored]:
        blocks = self._prefixes.holders(work.prefixes, now)
        homes = self._homes.ranked(work.prefixes, candidates, now)
        wanted = blocks.keys() | homes
        found = {c.upstream: c for c in candidates if c.upstream in wanted}
        home = next((name for name in homes if name in found), "")
        likely = HOME_TRUST * len(work.prefixes)
        blocks[home] = max(likely, blocks.get(home, 0.0))
        return [(blocks[name], c) for name, c in found.items() if name in blocks]

    def _choose_cached(
        self,
        work: RoutingRequest,
        cached: list[Scored],
        usual: float,
        usual_ms: float,
        now: float,
    ) -> Choice | None:
        if not cached:
            return None
        scored = []
        for blocks, option in cached:
            room = self._room(work, option, usual, usual_ms, now)
            saved = blocks * self._block_tokens / max(1, work.prompt_tokens)
            scored.append((room * min(1.0, saved), option))
        score, best = self._pick(scored)
        if self._rng.random() >= GAIN * score:
            return None
        return Choice(best, f"prefix cached and room, score {score:.2f}")

    def _pick(self, scored: list[Scored]) -> Scored:
        left = self._rng.random() * sum(score for score, _ in scored)
        for entry in scored:
            left -= entry[0]
            if left < 0.0:
                return entry
        return scored[-1]

    def _draw(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        if len(candidates) <= self._sample:
            return candidates
        count, rng = len(candidates), self._rng
        return [candidates[int(rng.random() * count)] for _ in range(self._sample)]

    def _room(
        self,
        work: RoutingRequest,
        option: Candidate,
        usual: float,
        usual_ms: float,
        now: float,
    ) -> float:
        ratio = _work(option, usual_ms, now) / usual if usual > 0.0 else 1.0
        age_s = now - option.reported_at
        if age_s > FRESH_S:
            ratio = 1.0 + (ratio - 1.0) * FRESH_S / age_s
            ratio += AGE_LOAD_PER_S * min(age_s - FRESH_S, 1.0 / AGE_LOAD_PER_S)
        if option.failure_domain != work.failure_domain:
            ratio += CROSS_DOMAIN_LOAD
        room = (1.0 + TURNOVER - ratio) / TURNOVER
        return option.weight * max(MIN_HEADROOM, room)


def _work(option: Candidate, usual_ms: float, now: float) -> float:
    waiting = option.sent_since_report
    if option.waiting:
        age_s = max(0.0, now - option.reported_at)
        waiting += option.waiting * math.exp(-age_s / QUEUE_MEMORY_S)
    load = max(option.running + waiting, option.in_flight)
    return (1.0 + load) * (option.step_ms or usual_ms)


def _usual_step_ms(options: Sequence[Candidate]) -> float:
    reported = [option.step_ms for option in options if option.step_ms]
    return sum(reported) / len(reported) if reported else 1.0
