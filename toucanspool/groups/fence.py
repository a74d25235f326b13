"""Fencing tokens of orders, and the gate at which an agent checks them."""

from typing import Protocol

from toucanspool.wire.gen.messages.ttypes import OrderResult

ROUND_BITS = 20
MAX_ROUND = (1 << ROUND_BITS) - 1


def fence_of(token: int, round_number: int) -> int:
    """Return the fencing token of a round.

    Parameters
    ----------
    token : int
        Token of the coordinator's lease.
    round_number : int
        Number of the round within that lease, from 0 to `MAX_ROUND`.

    Returns
    -------
    int
        Greater for a later lease, and for a later round of the same lease.
    """
    return token << ROUND_BITS | round_number


def lease_token_of(fence: int) -> int:
    """Return the lease's token within a fencing token.

    Parameters
    ----------
    fence : int
        Made by `fence_of`.

    Returns
    -------
    int
    """
    return fence >> ROUND_BITS


def round_of(fence: int) -> int:
    """Return the round's number within a fencing token.

    Parameters
    ----------
    fence : int
        Made by `fence_of`.

    Returns
    -------
    int
    """
    return fence & MAX_ROUND


class FenceSource(Protocol):
    """Read the highest fencing token recorded for a group."""

    def highest_fence(self) -> int:
        """Return the token; 0 where none is recorded.

        Returns
        -------
        int

        Raises
        ------
        toucanspool.backing.table.TableUnavailable
            The table did not answer.
        """
        ...


class FenceGate:
    """Admit orders by fencing token and number.

    A gate starts without a memory. Until its owner has told it the token recorded
    in the table it admits nothing, and from then on only higher tokens: an order
    under the recorded token may be a late one, sent to a process that the gate's
    owner has replaced.

    Attributes
    ----------
    fence : int
        The highest token seen; 0 before the first.
    """

    __slots__ = ("_call", "_ready", "fence")

    def __init__(self) -> None:
        self._ready = False
        self._call: int | None = None
        self.fence = 0

    @property
    def ready(self) -> bool:
        """Return whether the recorded token is known."""
        return self._ready

    def open(self, recorded: int) -> None:
        """Start to admit orders above the recorded token.

        Parameters
        ----------
        recorded : int
            The highest token recorded, read after this gate was made.
        """
        self._ready = True
        self.fence = max(self.fence, recorded)

    def admit(self, fence: int, call: int) -> int:
        """Check an order and remember it when it passes.

        Parameters
        ----------
        fence : int
            Fencing token of the order.
        call : int
            Number of the order, which grows under one token.

        Returns
        -------
        int
            ``OrderResult.OK``, ``STALE_FENCE`` or ``TABLE_DOWN``.
        """
        if not self._ready:
            return OrderResult.TABLE_DOWN
        if self._is_old(fence, call):
            return OrderResult.STALE_FENCE
        self.fence = fence
        self._call = call
        return OrderResult.OK

    def _is_old(self, fence: int, call: int) -> bool:
        if fence != self.fence:
            return fence < self.fence
        return self._call is None or call < self._call
