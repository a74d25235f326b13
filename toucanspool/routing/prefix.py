"""Which upstreams are believed to have which prompt prefixes cached."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

BLOCK_BYTES = 512
MAX_BLOCKS = 64
MAX_PAIRS = 50_000
MAX_HOLDERS = 16
PAIR_TTL_S = 120.0
DOUBT = 0.5


def block_hashes(
    prompt: bytes, *, block_bytes: int = BLOCK_BYTES, max_blocks: int = MAX_BLOCKS
) -> tuple[str, ...]:
    """Return a hash of each prefix of a prompt that ends on a block.

    Parameters
    ----------
    prompt : bytes
        The prompt.
    block_bytes : int, default=512
        Length of a block, in bytes.
    max_blocks : int, default=64
        Blocks beyond these are left out.

    Returns
    -------
    tuple of str
        Hashes in hexadecimal, that of the longest prefix last.
    """
    digest = xxhash.xxh3_64()
    hashes = []
    for index in range(min(max_blocks, len(prompt) // block_bytes)):
        digest.update(prompt[index * block_bytes : (index + 1) * block_bytes])
        hashes.append(digest.hexdigest())
    return tuple(hashes)


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """Hold what an upstream says of its cache.

    Parameters
    ----------
    upstream : str
        Its name.
    seq : int
        Number of the event, one more than that of the one before.
    stored : tuple of str
        Hashes of prefixes now held.
    removed : tuple of str
        Hashes of prefixes no longer held.
    """

    upstream: str
    seq: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(slots=True)
class _Source:
    seq: int | None = None
    doubted_at: float = float("-inf")
    forgotten_at: float = float("-inf")


class PrefixIndex:
    """Keep, for each prefix, the upstreams believed to hold it.

    Beliefs come from cache events, which are late and have gaps, and from what
    this process has sent. After a gap an upstream's earlier entries count half,
    since their removal may have been missed. Memory is bounded: the prefixes used
    least recently go first.

    Parameters
    ----------
    max_pairs : int, default=50000
        The most pairs of prefix and upstream.
    max_holders : int, default=16
        The most upstreams kept for one prefix.
    ttl_s : float, default=120
        How long a pair holds without new evidence, in seconds.
    """

    __slots__ = ("_holders", "_max_holders", "_max_pairs", "_pairs", "_sources", "_ttl")

    def __init__(
        self,
        *,
        max_pairs: int = MAX_PAIRS,
        max_holders: int = MAX_HOLDERS,
        ttl_s: float = PAIR_TTL_S,
    ) -> None:
        self._max_pairs = max_pairs
        self._max_holders = max_holders
        self._ttl = ttl_s
        self._pairs = 0
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._sources: dict[str, _Source] = {}

    def __len__(self) -> int:
        return self._pairs

    def note(self, upstream: str, prefixes: Sequence[str], now: float) -> None:
        """Believe that an upstream holds prefixes, as it does after a request.

        Parameters
        ----------
        upstream : str
            Its name.
        prefixes : sequence of str
            Their hashes.
        now : float
            Seconds on the monotonic clock.
        """
        for prefix in prefixes:
            self._add(prefix, upstream, now)
        while self._pairs > self._max_pairs:
            _, dropped = self._holders.popitem(last=False)
            self._pairs -= len(dropped)

    def apply(self, event: CacheEvent, now: float) -> bool:
        """Take in an event; one that came before is left out.

        Parameters
        ----------
        event : CacheEvent
            The event.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            False where events are missing before it.
        """
        source = self._sources.setdefault(event.upstream, _Source())
        if source.seq is not None and event.seq <= source.seq:
            return True
        whole = source.seq is None or event.seq == source.seq + 1
        source.seq = event.seq
        if not whole:
            source.doubted_at = now
        for prefix in event.removed:
            self._remove(prefix, event.upstream)
        self.note(event.upstream, event.stored, now)
        return whole

    def forget(self, upstream: str, now: float) -> None:
        """Drop all belief in an upstream, as when it starts anew.

        Parameters
        ----------
        upstream : str
            Its name.
        now : float
            Seconds on the monotonic clock.
        """
        self._sources[upstream] = _Source(forgotten_at=now)

    def holders(self, prefixes: Sequence[str], now: float) -> dict[str, float]:
        """Return the upstreams that hold some of a prompt, and how much.

        Parameters
        ----------
        prefixes : sequence of str
            Hashes of the prompt's prefixes, the longest last.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        dict of str to float
            Number of leading blocks held; half of it where in doubt.
        """
        found: dict[str, float] = {}
        for depth in range(len(prefixes), 0, -1):
            held = self._holders.get(prefixes[depth - 1])
            if held is None:
                continue
            for upstream, at in held.items():
                if upstream not in found:
                    found[upstream] = depth * self._trust(upstream, at, now)
            if len(found) >= self._max_holders:
                break
        return {upstream: blocks for upstream, blocks in found.items() if blocks}

    def _trust(self, upstream: str, at: float, now: float) -> float:
        source = self._sources.get(upstream)
        if now - at > self._ttl or (source and at <= source.forgotten_at):
            return 0.0
        return DOUBT if source and at < source.doubted_at else 1.0

    def _add(self, prefix: str, upstream: str, now: float) -> None:
        held = self._holders.get(prefix)
        if held is None:
            held = self._holders[prefix] = {}
        else:
            self._holders.move_to_end(prefix)
        if held.pop(upstream, None) is None:
            self._pairs += 1
        held[upstream] = now
        if len(held) > self._max_holders:
            del held[next(iter(held))]
            self._pairs -= 1

    def _remove(self, prefix: str, upstream: str) -> None:
        held = self._holders.get(prefix)
        if held is None or held.pop(upstream, None) is None:
            return
        self._pairs -= 1
        if not held:
            del self._holders[prefix]
