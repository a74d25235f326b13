"""Tickets, which track requests through admission."""

import math
from dataclasses import dataclass, field
from enum import Enum

from toucanspool.limits.shed import Shed

OVER_QUOTA_PENALTY = 1000


class TicketState(Enum):
    """Name the states of a ticket; the last two are final."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    SHED = "shed"
    RELEASED = "released"


@dataclass(slots=True, eq=False)
class Ticket:
    """Hold the admission state of one request.

    Parameters
    ----------
    team : str
        Name of the caller's team.
    share : float
        Share of the team.
    priority : int
        Priority of the request, with the meaning that it has to the admission control.
    cost : float
        Capacity that the request occupies.
    expires_at : float
        Time at which the request is shed if it still waits, in seconds on the
        monotonic clock.
    on_time_until : float
        Time until which the request can be admitted to be answered on time, in seconds
        on the monotonic clock; infinite if that is not known.
    start_tag : float
        Virtual start time of its service.
    admitted_at : float
        Time of its admission, in seconds on the monotonic clock.
    within_quota : bool
        Whether the team was within its quota when the request arrived.
    state : TicketState
        Current state.
    shed : Shed or None
        Error to raise to the caller if the request was shed.
    waiter : object
        Set by the caller: an object to notify when the state changes.
    """

    team: str
    share: float
    priority: int
    cost: float
    expires_at: float
    on_time_until: float = math.inf
    start_tag: float = 0.0
    admitted_at: float = 0.0
    within_quota: bool = True
    state: TicketState = TicketState.WAITING
    shed: Shed | None = None
    waiter: object = field(default=None, repr=False)


def engine_priority(ticket: Ticket) -> int:
    """Return the queue priority of a request for its engine; the lowest goes first.

    Requests over their team's quota come after all others, so that they take only
    capacity that the engine would leave idle.

    Parameters
    ----------
    ticket : Ticket
        Ticket of the request.

    Returns
    -------
    int
    """
    return -ticket.priority + (0 if ticket.within_quota else OVER_QUOTA_PENALTY)
