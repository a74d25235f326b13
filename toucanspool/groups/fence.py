"""Fencing tokens of orders, and the check that a rank agent applies to them."""

from typing import Protocol

from toucanspool.wire.gen.messages.ttypes import OrderResult

ROUND_BITS = 20
MAX_ROUND = (1 << ROUND_BITS) - 1


def fence_of(token: int, round_number: int) -> int:
    """Return the fencing token of a round.

    Parameters
    ----------
    token : int
        Fencing token of the coordinator's lease.
    round_number : int
        Number of the round within that lease, from 0 to `MAX_ROUND`.

    Returns
    -------
    int
        Higher for a later lease, and for a later round of the same lease.
    """
    return token << ROUND_BITS | round_number


def lease_token_of(fence: int) -> int:
    """Return the lease token that a fencing token contains.

    Parameters
    ----------
    fence : int
        Fencing token made by `fence_of`.

    Returns
    -------
    int
    """
    return fence >> ROUND_BITS


def round_of(fence: int) -> int:
    """Return the round number that a fencing token contains.

    Parameters
    ----------
    fence : int
        Fencing token made by `fence_of`.

    Returns
    -------
    int
    """
    return fence & MAX_ROUND


class FenceSource(Protocol):
    """Read the highest fencing token recorded for a group."""

    def highest_fence(self) -> int:
        """Return the highest recorded token, or 0 if there is none.

        Returns
        -------
        int

        Raises
        ------
        toucanspool.backing.table.TableUnavailable
            The table did not respond.
        """
        ...


class FenceGate:
    """Admit orders by fencing token and order number.

    A new gate does not know the tokens seen by the process that it replaces. It
    admits nothing until it is opened with the token recorded in the table, and then
    only higher tokens: an order with the recorded token may be a delayed one that
    was sent to the previous process.

    Attributes
    ----------
    fence : int
        The highest token known; 0 for none.
    """

    __slots__ = ("_last_call", "_ready", "fence")

    def __init__(self) -> None:
        self._ready = False
        self._last_call: int | None = None
        self.fence = 0

    @property
    def ready(self) -> bool:
        """Return whether the gate has been opened."""
        return self._ready

    def open(self, recorded: int) -> None:
        """Start to admit orders with tokens above the recorded one.

        Parameters
        ----------
        recorded : int
            The highest recorded token, read after this gate was created.
        """
        self._ready = True
        self.fence = max(self.fence, recorded)

    def admit(self, fence: int, call: int) -> int:
        """Check an order, and store its token and number if it is admitted.

        The latest admitted order is admitted again.

        Parameters
        ----------
        fence : int
            Fencing token of the order.
        call : int
            Number of the order; it increases within one token.

        Returns
        -------
        int
            ``OrderResult.OK``, ``STALE_FENCE`` or ``TABLE_DOWN``.
        """
        if not self._ready:
            return OrderResult.TABLE_DOWN
        if self._is_stale(fence, call):
            return OrderResult.STALE_FENCE
        self.fence = fence
        self._last_call = call
        return OrderResult.OK

    def _is_stale(self, fence: int, call: int) -> bool:
        if fence != self.fence:
            return fence < self.fence
        return self._last_call is None or call < self._last_call
