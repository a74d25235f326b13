"""The upstreams that all processes prefer for a prompt, without talking."""

from collections import OrderedDict
from collections.abc import Sequence

import numpy as np
import xxhash

from toucanspool.routing.candidate import Candidate

HOMES = 3
KEY_BLOCKS = 4
MAX_KEYS = 4096
HOMES_TTL_S = 60.0
MIX = np.uint64(0x9E3779B97F4A7C15)
SHIFT = np.uint64(29)


class RendezvousRanking:
    """Rank upstreams for a prompt by rendezvous hashing.

    Every process with the same candidates finds the same order, and a candidate
    that comes or goes changes the order of no others. The leading blocks of a
    prompt are the key, so that prompts that begin alike go together.

    Parameters
    ----------
    count : int, default=3
        Upstreams kept for each key.
    key_blocks : int, default=4
        The key is the prefix of this many blocks, or the longest that there is.

    References
    ----------
    D. G. Thaler, C. V. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM ToN 6(1), 1998.
    """

    __slots__ = ("_count", "_hashes", "_key_blocks", "_ranked")

    def __init__(self, *, count: int = HOMES, key_blocks: int = KEY_BLOCKS) -> None:
        self._count = count
        self._key_blocks = key_blocks
        self._hashes: dict[str, int] = {}
        self._ranked: OrderedDict[str, tuple[float, list[str]]] = OrderedDict()

    def ranked(
        self, prefixes: Sequence[str], candidates: Sequence[Candidate], now: float
    ) -> list[str]:
        """Return the upstreams preferred for a prompt, best first.

        The order is kept for a minute, and may name upstreams that are no
        candidates any more.

        Parameters
        ----------
        prefixes : sequence of str
            Hashes of the prompt's prefixes, the longest last; at least one.
        candidates : sequence of Candidate
            All that the prompt may go to.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        list of str
            Names of upstreams.
        """
        key = prefixes[min(self._key_blocks, len(prefixes)) - 1]
        kept = self._ranked.get(key)
        if kept is not None and now - kept[0] < HOMES_TTL_S:
            return kept[1]
        names = self._rank(key, candidates)
        self._ranked[key] = (now, names)
        self._ranked.move_to_end(key)
        if len(self._ranked) > MAX_KEYS:
            self._ranked.popitem(last=False)
        return names

    def _rank(self, key: str, candidates: Sequence[Candidate]) -> list[str]:
        known = self._hashes
        try:
            hashes = [known[c.upstream] for c in candidates]
        except KeyError:
            hashes = self._learn(candidates)
        keyed = np.fromiter(hashes, np.uint64, len(hashes))
        scores = (keyed ^ np.uint64(xxhash.xxh3_64_intdigest(key.encode()))) * MIX
        scores = (scores ^ (scores >> SHIFT)) * MIX
        best = np.argsort(scores)[: self._count]
        return [candidates[index].upstream for index in best]

    def _learn(self, candidates: Sequence[Candidate]) -> list[int]:
        if len(self._hashes) > MAX_KEYS:
            self._hashes.clear()
        for option in candidates:
            digest = xxhash.xxh3_64_intdigest(option.upstream.encode())
            self._hashes[option.upstream] = digest
        return [self._hashes[c.upstream] for c in candidates]
