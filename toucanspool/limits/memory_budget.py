"""The memory that a process holds for requests and replies under way."""

from types import TracebackType
from typing import Self

# New requests are refused beyond this share of the bound. The rest is for the replies
# to calls that were admitted, whose sizes nobody knows beforehand.
ADMITTED_SHARE = 0.75
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
    """

    __slots__ = ("held_bytes", "max_bytes")

    def __init__(self, max_bytes: int = 0) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0

    def admits(self, n_bytes: int) -> bool:
        """Return whether a new request of a size may be read.

        Parameters
        ----------
        n_bytes : int
            Size of its body.

        Returns
        -------
        bool
        """
        limit = ADMITTED_SHARE * self.max_bytes
        return not self.max_bytes or self.held_bytes + n_bytes <= limit

    def part(self) -> "MemoryPart":
        """Return a part of the budget, which holds nothing yet."""
        return MemoryPart(self)


class MemoryPart:
    """Count what is held for one request or reply; a context manager.

    Parameters
    ----------
    budget : MemoryBudget
        The budget that it is a part of.
    """

    __slots__ = ("_budget", "_held_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
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
        after = budget.held_bytes + n_bytes - self._held_bytes
        if budget.max_bytes and n_bytes > self._held_bytes and after > budget.max_bytes:
            raise MemoryExceeded(f"{after} of {budget.max_bytes} bytes")
        self.replace(n_bytes)

    def replace(self, n_bytes: int) -> None:
        """Count bytes that were counted in another part, which ends now.

        Parameters
        ----------
        n_bytes : int
            Bytes held from now on.
        """
        self._budget.held_bytes += n_bytes - self._held_bytes
        self._held_bytes = n_bytes

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
