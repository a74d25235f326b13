"""Rendezvous hashing of prompts, by which all processes prefer the same upstreams."""

from collections import OrderedDict
from collections.abc import Sequence

import numpy as np
import xxhash

from toucanspool.routing.candidate import Candidate

PREFERRED_COUNT = 3
KEY_BLOCKS = 4
MAX_KEYS = 4096
RANKING_TTL_S = 60.0
HASH_MULTIPLIER = np.uint64(0x9E3779B97F4A7C15)
HASH_SHIFT_BITS = np.uint64(29)


class RendezvousRanking:
    """Rank upstreams for a prompt by rendezvous hashing.

    Processes with the same candidates compute the same order without communicating,
    and adding or removing a candidate doesn't reorder the others. The key is made of
    a prompt's leading blocks, so prompts with a common prefix share their upstreams.

    Parameters
    ----------
    count : int, default=3
        Upstreams ranked for each key.
    key_blocks : int, default=4
        Leading blocks of a prompt that make up the key; a shorter prompt is the key
        as a whole.

    References
    ----------
    D. G. Thaler, C. V. Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM ToN 6(1), 1998.
    """

    __slots__ = ("_count", "_key_blocks", "_name_hashes", "_ranked")

    def __init__(
        self, *, count: int = PREFERRED_COUNT, key_blocks: int = KEY_BLOCKS
    ) -> None:
        self._count = count
        self._key_blocks = key_blocks
        self._name_hashes: dict[str, int] = {}
        self._ranked: OrderedDict[str, tuple[float, list[str]]] = OrderedDict()

    def ranked(
        self, prefixes: Sequence[str], candidates: Sequence[Candidate], now: float
    ) -> list[str]:
        """Return the preferred upstreams for a prompt, best first.

        Rankings are cached for a minute, so they may name upstreams that have left
        the candidates.

        Parameters
        ----------
        prefixes : sequence of str
            Hashes of the prompt's prefixes, longest last; at least one.
        candidates : sequence of Candidate
            All upstreams that the prompt may go to.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        list of str
            Names of upstreams.
        """
        key = prefixes[min(self._key_blocks, len(prefixes)) - 1]
        cached = self._ranked.get(key)
        if cached is not None and now - cached[0] < RANKING_TTL_S:
            return cached[1]
        names = self._rank(key, candidates)
        self._ranked[key] = (now, names)
        self._ranked.move_to_end(key)
        if len(self._ranked) > MAX_KEYS:
            self._ranked.popitem(last=False)
        return names

    def _rank(self, key: str, candidates: Sequence[Candidate]) -> list[str]:
        name_hashes = self._name_hashes
        try:
            hashes = [name_hashes[c.upstream] for c in candidates]
        except KeyError:
            hashes = self._hash_names(candidates)
        best = _rank_hashes(key, hashes)[: self._count]
        return [candidates[index].upstream for index in best]

    def _hash_names(self, candidates: Sequence[Candidate]) -> list[int]:
        if len(self._name_hashes) > MAX_KEYS:
            self._name_hashes.clear()
        for candidate in candidates:
            digest = xxhash.xxh3_64_intdigest(candidate.upstream.encode())
            self._name_hashes[candidate.upstream] = digest
        return [self._name_hashes[c.upstream] for c in candidates]


def rank_names(key: str, names: Sequence[str]) -> list[str]:
    """Return names in the order that a key gives them by rendezvous hashing.

    Parameters
    ----------
    key : str
        Key; each gives an order of its own.
    names : sequence of str
        Names; adding or removing one doesn't reorder the others.

    Returns
    -------
    list of str
    """
    hashes = [xxhash.xxh3_64_intdigest(name.encode()) for name in names]
    return [names[index] for index in _rank_hashes(key, hashes)]


def _rank_hashes(key: str, hashes: Sequence[int]) -> np.ndarray:
    hashed = np.fromiter(hashes, np.uint64, len(hashes))
    scores = (
        hashed ^ np.uint64(xxhash.xxh3_64_intdigest(key.encode()))
    ) * HASH_MULTIPLIER
    scores = (scores ^ (scores >> HASH_SHIFT_BITS)) * HASH_MULTIPLIER
    return np.argsort(scores)
