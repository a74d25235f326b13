"""The requests that wait at an entry, by who is served and who is shed first."""

import heapq
from collections import deque

from toucanspool.limits.ticket import Ticket, TicketState

SLACK = 16

ShedRank = tuple[bool, int, float, int]


def shed_rank(ticket: Ticket, seq: int) -> ShedRank:
    """Return the key by which tickets are shed, the lowest first.

    Requests over their team's quota come first, then low priorities, then the most
    recent arrivals.

    Parameters
    ----------
    ticket : Ticket
        The ticket.
    seq : int
        Number of its arrival.

    Returns
    -------
    tuple
    """
    return (ticket.within_quota, ticket.priority, -ticket.start_tag, -seq)


class TicketQueue:
    """Hold waiting tickets in the orders of service, shedding and arrival.

    A ticket that stops waiting stays in the heaps until it comes up or they are
    rebuilt, so that each call is O(log n) on average.

    Attributes
    ----------
    cost : float
        Sum of the costs of the waiting tickets.
    """

    __slots__ = ("_arrivals", "_count", "_seq", "_serve", "_victims", "cost")

    def __init__(self) -> None:
        self.cost = 0.0
        self._seq = 0
        self._count = 0
        self._serve: dict[bool, list[tuple[float, int, Ticket]]]
        self._serve = {True: [], False: []}
        self._victims: list[tuple[ShedRank, Ticket]] = []
        self._arrivals: deque[Ticket] = deque()

    def __len__(self) -> int:
        return self._count

    def push(self, ticket: Ticket) -> None:
        """Add a ticket.

        Parameters
        ----------
        ticket : Ticket
            In state ``WAITING``.
        """
        self._seq += 1
        self.cost += ticket.cost
        self._count += 1
        entry = (ticket.start_tag, self._seq, ticket)
        heapq.heappush(self._serve[ticket.within_quota], entry)
        heapq.heappush(self._victims, (shed_rank(ticket, self._seq), ticket))
        self._arrivals.append(ticket)

    def settle(self, ticket: Ticket, state: TicketState) -> None:
        """Take a ticket out by giving it another state.

        Parameters
        ----------
        ticket : Ticket
            In state ``WAITING``.
        state : TicketState
            The new state.
        """
        ticket.state = state
        self.cost -= ticket.cost
        self._count -= 1
        if not self._count:
            self.cost = 0.0
        self._compact()

    def head(self, *, within_quota: bool) -> Ticket | None:
        """Return the ticket to serve next, or None.

        Parameters
        ----------
        within_quota : bool
            Whether to look among the tickets within their team's quota or among
            those over it.

        Returns
        -------
        Ticket or None
        """
        heap = self._serve[within_quota]
        while heap and heap[0][2].state is not TicketState.WAITING:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def victims(self, newcomer: Ticket, needed: float) -> list[Ticket] | None:
        """Return the tickets to shed in favour of a newcomer.

        Parameters
        ----------
        newcomer : Ticket
            The ticket that finds no room.
        needed : float
            Cost to make room for.

        Returns
        -------
        list of Ticket or None
            None where the newcomer itself has the lowest claim.
        """
        popped = []
        rank = shed_rank(newcomer, self._seq + 1)
        while needed > 0.0 and self._victims and self._victims[0][0] < rank:
            entry = heapq.heappop(self._victims)
            if entry[1].state is TicketState.WAITING:
                popped.append(entry)
                needed -= entry[1].cost
        for entry in popped:
            heapq.heappush(self._victims, entry)
        return [ticket for _, ticket in popped] if needed <= 0.0 else None

    def expired(self, now: float) -> Ticket | None:
        """Return a ticket that has waited too long, or None.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        Ticket or None
        """
        arrivals = self._arrivals
        while arrivals and arrivals[0].state is not TicketState.WAITING:
            arrivals.popleft()
        return arrivals[0] if arrivals and arrivals[0].expires_at <= now else None

    def _compact(self) -> None:
        live = self._count
        if len(self._victims) > 2 * live + SLACK:
            self._victims = [e for e in self._victims if _waits(e[1])]
            heapq.heapify(self._victims)
        if len(self._arrivals) > 2 * live + SLACK:
            self._arrivals = deque(t for t in self._arrivals if _waits(t))
        for heap in self._serve.values():
            if len(heap) > 2 * live + SLACK:
                heap[:] = [e for e in heap if _waits(e[2])]
                heapq.heapify(heap)


def _waits(ticket: Ticket) -> bool:
    return ticket.state is TicketState.WAITING
