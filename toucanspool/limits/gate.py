"""The wait of an entry's tasks for their admission."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent.event import Event

from toucanspool.limits.admission import Admission
from toucanspool.limits.ticket import Ticket, TicketState

TIMER_SLOP_S = 0.001


def wake(ticket: Ticket) -> None:
    """Wake the task that waits for a ticket; meant as `Admission`'s `on_settled`.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    """
    if isinstance(ticket.waiter, Event):
        ticket.waiter.set()


class Gate:
    """Hold a place for the time of a request.

    Parameters
    ----------
    admission : Admission
        Made with ``on_settled=wake``.
    clock : callable, default=time.monotonic
        Returns seconds on the monotonic clock.
    """

    __slots__ = ("_clock", "admission")

    def __init__(
        self, admission: Admission, *, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.admission = admission
        self._clock = clock

    @contextmanager
    def hold(
        self, team: str, share: float, priority: int, cost: float = 1.0
    ) -> Iterator[Ticket]:
        """Wait for a place, and give it back at the end of the block.

        Parameters
        ----------
        team : str
            The caller's team.
        share : float
            The team's share, over 0.
        priority : int
            The higher, the later shed.
        cost : float, default=1
            Part of the capacity that the request takes.

        Yields
        ------
        Ticket

        Raises
        ------
        Shed
            The request is not admitted.
        """
        ticket = self.admission.admit(team, share, priority, cost, self._clock())
        try:
            self._wait(ticket)
            yield ticket
        finally:
            self.admission.release(ticket, self._clock())

    def _wait(self, ticket: Ticket) -> None:
        ticket.waiter = Event()
        while ticket.state is TicketState.WAITING:
            left_s = ticket.expires_at - self._clock()
            ticket.waiter.wait(max(0.0, left_s) + TIMER_SLOP_S)
            self.admission.expire(self._clock())
        if ticket.shed is not None:
            raise ticket.shed
