"""An index of the prompt prefixes that upstreams probably have cached."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

BLOCK_BYTES = 512
MAX_BLOCKS = 64
MAX_PAIRS = 50_000
MAX_HOLDERS = 16
PAIR_TTL_S = 120.0
# Weight of blocks that may have been removed by a missed cache event.
UNCERTAIN_WEIGHT = 0.5


def block_hashes(
    prompt: bytes, *, block_bytes: int = BLOCK_BYTES, max_blocks: int = MAX_BLOCKS
) -> tuple[str, ...]:
    """Return a hash of each prefix of a prompt in whole blocks.

    Parameters
    ----------
    prompt : bytes
        The prompt.
    block_bytes : int, default=512
        Length of a block, in bytes.
    max_blocks : int, default=64
        Blocks hashed at most; the rest of the prompt is ignored.

    Returns
    -------
    tuple of str
        Hexadecimal hashes, longest prefix last.
    """
    digest = xxhash.xxh3_64()
    hashes = []
    for index in range(min(max_blocks, len(prompt) // block_bytes)):
        digest.update(prompt[index * block_bytes : (index + 1) * block_bytes])
        hashes.append(digest.hexdigest())
    return tuple(hashes)


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """Hold a change of an upstream's prefix cache.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    seq : int
        Sequence number; consecutive for the events of an upstream.
    stored : tuple of str
        Hashes of prefixes added to the cache.
    removed : tuple of str
        Hashes of prefixes evicted from the cache.
    """

    upstream: str
    seq: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(slots=True)
class _EventState:
    seq: int | None = None
    gap_at: float = float("-inf")
    cleared_at: float = float("-inf")


class PrefixIndex:
    """Map prompt prefixes to the upstreams that probably have them cached.

    The index is built from cache events, which may arrive late or not at all, and
    from the requests that this process has sent. After a gap in an upstream's events
    its earlier pairs count half, since their removal may have been missed. The size
    is bounded by evicting the least recently used prefixes.

    Parameters
    ----------
    max_pairs : int, default=50000
        Pairs of prefix and upstream kept at most.
    max_holders : int, default=16
        Upstreams kept at most for one prefix.
    ttl_s : float, default=120
        Time after which a pair expires unless it is added again, in seconds.
    """

    __slots__ = (
        "_holders",
        "_max_holders",
        "_max_pairs",
        "_pairs",
        "_states",
        "_ttl_s",
    )

    def __init__(
        self,
        *,
        max_pairs: int = MAX_PAIRS,
        max_holders: int = MAX_HOLDERS,
        ttl_s: float = PAIR_TTL_S,
    ) -> None:
        self._max_pairs = max_pairs
        self._max_holders = max_holders
        self._ttl_s = ttl_s
        self._pairs = 0
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._states: dict[str, _EventState] = {}

    def __len__(self) -> int:
        return self._pairs

    def add(self, upstream: str, prefixes: Sequence[str], now: float) -> None:
        """Add prefixes that an upstream caches, as it does when it runs a request.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        prefixes : sequence of str
            Hashes of the prefixes.
        now : float
            Seconds on the monotonic clock.
        """
        for prefix in prefixes:
            self._add_pair(prefix, upstream, now)
        while self._pairs > self._max_pairs:
            _, evicted = self._holders.popitem(last=False)
            self._pairs -= len(evicted)

    def apply(self, event: CacheEvent, now: float) -> bool:
        """Apply a cache event; one that is older than the last is ignored.

        Parameters
        ----------
        event : CacheEvent
            The event.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            False if events before it are missing.
        """
        state = self._states.setdefault(event.upstream, _EventState())
        if state.seq is not None and event.seq <= state.seq:
            return True
        in_sequence = state.seq is None or event.seq == state.seq + 1
        state.seq = event.seq
        if not in_sequence:
            state.gap_at = now
        for prefix in event.removed:
            self._remove_pair(prefix, event.upstream)
        self.add(event.upstream, event.stored, now)
        return in_sequence

    def clear(self, upstream: str, now: float) -> None:
        """Clear the pairs of an upstream, as when it has restarted.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        now : float
            Seconds on the monotonic clock.
        """
        self._states[upstream] = _EventState(cleared_at=now)

    def holders(self, prefixes: Sequence[str], now: float) -> dict[str, float]:
        """Return the upstreams that cache a prefix of a prompt.

        Parameters
        ----------
        prefixes : sequence of str
            Hashes of the prompt's prefixes, longest last.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        dict of str to float
            Leading blocks cached, by upstream; halved if uncertain.
        """
        blocks_held: dict[str, float] = {}
        for depth in range(len(prefixes), 0, -1):
            holders = self._holders.get(prefixes[depth - 1])
            if holders is None:
                continue
            for upstream, added_at in holders.items():
                if upstream not in blocks_held:
                    blocks_held[upstream] = depth * self._confidence(
                        upstream, added_at, now
                    )
            if len(blocks_held) >= self._max_holders:
                break
        return {upstream: blocks for upstream, blocks in blocks_held.items() if blocks}

    def _confidence(self, upstream: str, added_at: float, now: float) -> float:
        state = self._states.get(upstream)
        if now - added_at > self._ttl_s or (state and added_at <= state.cleared_at):
            return 0.0
        return UNCERTAIN_WEIGHT if state and added_at < state.gap_at else 1.0

    def _add_pair(self, prefix: str, upstream: str, now: float) -> None:
        holders = self._holders.get(prefix)
        if holders is None:
            holders = self._holders[prefix] = {}
        else:
            self._holders.move_to_end(prefix)
        if holders.pop(upstream, None) is None:
            self._pairs += 1
        holders[upstream] = now
        if len(holders) > self._max_holders:
            del holders[next(iter(holders))]
            self._pairs -= 1

    def _remove_pair(self, prefix: str, upstream: str) -> None:
        holders = self._holders.get(prefix)
        if holders is None or holders.pop(upstream, None) is None:
            return
        self._pairs -= 1
        if not holders:
            del self._holders[prefix]
