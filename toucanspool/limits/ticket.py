"""One request's place at an entry."""

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
    """Hold one request's place.

    Parameters
    ----------
    team : str
        The caller's team.
    share : float
        The team's share.
    priority : int
        The higher, the later shed.
    cost : float
        Part of the capacity that the request takes.
    expires_at : float
        When it has waited too long, in seconds on the monotonic clock.
    start_tag : float
        Virtual time at which its service begins.
    admitted_at : float
        When it was admitted, in seconds on the monotonic clock.
    within_quota : bool
        Whether the team was within its quota when the request arrived.
    state : TicketState
        Where it stands.
    shed : Shed or None
        Why it was shed.
    waiter : object
        For the caller: what to wake when the state changes.
    """

    team: str
    share: float
    priority: int
    cost: float
    expires_at: float
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
        The request's ticket.

    Returns
    -------
    int
    """
    return -ticket.priority + (0 if ticket.within_quota else OVER_QUOTA_PENALTY)
