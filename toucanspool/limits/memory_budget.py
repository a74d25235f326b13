"""The memory that a process holds for requests and replies under way."""

import math
from collections.abc import Callable, Iterable
from types import TracebackType
from typing import Self

# New requests are refused beyond this share of the bound. The rest is for the replies
# to calls that were admitted, whose sizes nobody knows beforehand.
ADMITTED_SHARE = 0.75
# Requests of at most this share of the bound are admitted beyond `ADMITTED_SHARE`. So
# large requests and replies leave room for those of most callers.
SMALL_SHARE = 1 / 1024
# Replies that have not arrived whole hold no more than this share, but for the first
# bytes of each. So upstreams that send without end leave room for the calls of others.
UNFINISHED_SHARE = 0.5
FREE_REPLY_BYTES = 64 * 1024
# Time in which slow callers have read their replies or are disconnected.
RETRY_AFTER_S = 1.0


class MemoryExceeded(Exception):
    """Report that something can't be held within the bound."""


class MemoryBudget:
    """Bound what is held for all requests and replies together.

    Handles the load in which callers or upstreams read slowly: each reply or request
    then stays in memory for seconds, and a process over its limit is killed with all
    its calls. Refusing a few calls is better than losing all.

    Parameters
    ----------
    max_bytes : int, default=0
        Bound on the bytes held; 0 for none.

    Attributes
    ----------
    held_bytes : int
        Bytes held now.
    unfinished_bytes : int
        Bytes held now for replies that have not arrived whole, without the first
        `FREE_REPLY_BYTES` of each.
    make_room : callable
        Called if something can't be held. Returns whether a slow caller was
        disconnected, whose part is released once its greenlet runs.
    """

    __slots__ = ("held_bytes", "make_room", "max_bytes", "unfinished_bytes")

    def __init__(self, max_bytes: int = 0) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.unfinished_bytes = 0
        self.make_room: Callable[[], bool] = lambda: False

    @property
    def max_unfinished_bytes(self) -> float:
        """Return the bound on `unfinished_bytes`."""
        return UNFINISHED_SHARE * self.max_bytes

    def admits(self, n_bytes: int, *, total_bytes: int = 0) -> bool:
        """Return whether a new request, or a further part of one, may be read.

        Parameters
        ----------
        n_bytes : int
            Size of what is to be read.
        total_bytes : int, default=0
            Size of the request's body with that part, if it is larger.

        Returns
        -------
        bool
        """
        small = max(n_bytes, total_bytes) <= SMALL_SHARE * self.max_bytes
        limit = (1.0 if small else ADMITTED_SHARE) * self.max_bytes
        return not self.max_bytes or self.held_bytes + n_bytes <= limit

    def part(self, *, unfinished: bool = False) -> "MemoryPart":
        """Return a part of the budget, which holds nothing yet.

        Parameters
        ----------
        unfinished : bool, default=False
            Whether it is for a reply that has not arrived whole.

        Returns
        -------
        MemoryPart
        """
        return MemoryPart(self, unfinished=unfinished)


class MemoryPart:
    """Count what is held for one request or reply; a context manager.

    Parameters
    ----------
    budget : MemoryBudget
        The budget that it is a part of.
    unfinished : bool
        Whether it is for a reply that has not arrived whole.
    """

    __slots__ = ("_budget", "_free_bytes", "_held_bytes")

    def __init__(self, budget: MemoryBudget, *, unfinished: bool) -> None:
        self._budget = budget
        self._free_bytes = FREE_REPLY_BYTES if unfinished else math.inf
        self._held_bytes = 0

    def resize(self, n_bytes: int) -> None:
        """Change the number of bytes held.

        Parameters
        ----------
        n_bytes : int
            Bytes held from now on.

        Raises
        ------
        MemoryExceeded
            It has grown, and the bound does not allow it. It then keeps its size.
        """
        budget = self._budget
        if budget.max_bytes and n_bytes > self._held_bytes:
            after = budget.held_bytes + n_bytes - self._held_bytes
            large = n_bytes > self._free_bytes
            if after > (ADMITTED_SHARE if large else 1.0) * budget.max_bytes:
                raise MemoryExceeded(f"{after} of {budget.max_bytes} bytes")
            unfinished = budget.unfinished_bytes + self._unfinished_growth(n_bytes)
            if unfinished > max(budget.unfinished_bytes, budget.max_unfinished_bytes):
                raise MemoryExceeded(f"{unfinished} bytes of unfinished replies")
        self.replace(n_bytes)

    def replace(self, n_bytes: int) -> None:
        """Count bytes that were counted in another part, which ends now.

        Parameters
        ----------
        n_bytes : int
            Bytes held from now on.
        """
        self._budget.held_bytes += n_bytes - self._held_bytes
        self._budget.unfinished_bytes += self._unfinished_growth(n_bytes)
        self._held_bytes = n_bytes

    def _unfinished_growth(self, n_bytes: int) -> int:
        before = max(0, self._held_bytes - self._free_bytes)
        return int(max(0, n_bytes - self._free_bytes) - before)

    def close(self) -> None:
        """Hold nothing any longer; may be called repeatedly."""
        self.replace(0)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()


def join_bounded(
    pieces: Iterable[bytes], max_bytes: int, budget: MemoryBudget
) -> bytes:
    """Return the pieces of a reply's body as one, counted while they arrive.

    Parameters
    ----------
    pieces : iterable of bytes
        The pieces.
    max_bytes : int
        Limit on the body.
    budget : MemoryBudget
        The budget of all replies that arrive.

    Returns
    -------
    bytes

    Raises
    ------
    MemoryExceeded
        The body is too large, or can't be held beside others.
    """
    body = bytearray()
    with budget.part(unfinished=True) as held:
        for piece in pieces:
            if len(body) + len(piece) > max_bytes:
                raise MemoryExceeded(f"more than {max_bytes} bytes")
            held.resize(len(body) + len(piece))
            body += piece
        return bytes(body)
