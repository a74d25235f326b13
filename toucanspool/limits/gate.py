"""A gate at which the tasks of an entry wait for admission."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

from gevent.event import Event

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


class AdmissionControl(Protocol):
    """Decide which requests run, wait or are shed, up to a capacity."""

    @property
    def capacity(self) -> float:
        """Return the largest total cost of running requests."""
        ...

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        ...

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        ...

    def admit(
        self, team: str, share: float, priority: int, cost: float, now: float
    ) -> Ticket:
        """Admit a request, queue it, or raise `Shed`."""
        ...

    def release(self, ticket: Ticket, now: float) -> None:
        """Release the capacity of a ticket; repeated calls have no effect."""
        ...

    def expire(self, now: float) -> None:
        """Shed the tickets that have waited for the longest time allowed."""
        ...

    def resize(self, capacity: float, now: float) -> None:
        """Change the capacity; running requests are not interrupted."""
        ...


class Gate:
    """Admit tasks, and hold their capacity while they run.

    Parameters
    ----------
    admission : AdmissionControl
        Admission control, created with ``on_settled=wake``.
    clock : callable, default=time.monotonic
        Returns seconds on the monotonic clock.
    """

    __slots__ = ("_clock", "admission")

    def __init__(
        self,
        admission: AdmissionControl,
        *,
        clock: Callable[[], float] = time.monotonic,
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
            Priority of the request, with the meaning that it has to the admission
            control.
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
