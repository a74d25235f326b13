"""A gate at which the tasks of an entry wait for admission."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent.event import Event

from toucanspool.limits.admission import Admission
from toucanspool.limits.ticket import Ticket, TicketState

TIMER_MARGIN_S = 0.001


def wake(ticket: Ticket) -> None:
    """Wake the task that waits for a ticket; pass it to `Admission` as `on_settled`.

    Parameters
    ----------
    ticket : Ticket
        Ticket that is no longer waiting.
    """
    if isinstance(ticket.waiter, Event):
        ticket.waiter.set()


class Gate:
    """Admit tasks, and hold their capacity while they run.

    Parameters
    ----------
    admission : Admission
        Admission control, created with ``on_settled=wake``.
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
        """Wait for admission, and release the capacity at the end of the block.

        Parameters
        ----------
        team : str
            Name of the caller's team.
        share : float
            Share of the team, greater than 0.
        priority : int
            Requests of lower priority are shed first.
        cost : float, default=1
            Capacity that the request occupies.

        Yields
        ------
        Ticket

        Raises
        ------
        Shed
            The request was shed.
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
            ticket.waiter.wait(max(0.0, left_s) + TIMER_MARGIN_S)
            self.admission.expire(self._clock())
        if ticket.shed is not None:
            raise ticket.shed
