"""The queue of requests that wait at an entry, in orders of service and shedding."""

import heapq
from collections import deque

from toucanspool.limits.ticket import Ticket, TicketState

STALE_ENTRY_SLACK = 16

ShedKey = tuple[bool, int, float, int]


def shed_key(ticket: Ticket, seq: int) -> ShedKey:
    """Return the sort key of shedding; the lowest is shed first.

    Requests over their team's quota come first, then low priorities, then those with
    the latest start tag, then the latest arrivals.

    Parameters
    ----------
    ticket : Ticket
        Ticket of the request.
    seq : int
        Sequence number of its arrival.

    Returns
    -------
    tuple
    """
    return (ticket.within_quota, ticket.priority, -ticket.start_tag, -seq)


class TicketQueue:
    """Hold waiting tickets in the orders of service, shedding and arrival.

    A ticket that stops waiting stays in the heaps until it reaches their top or they
    are rebuilt, so that each call takes amortized O(log n) time.

    Attributes
    ----------
    cost : float
        Sum of the costs of the waiting tickets.
    """

    __slots__ = ("_arrivals", "_count", "_seq", "_service_heaps", "_shed_heap", "cost")

    def __init__(self) -> None:
        self.cost = 0.0
        self._seq = 0
        self._count = 0
        self._service_heaps: dict[bool, list[tuple[float, int, Ticket]]]
        self._service_heaps = {True: [], False: []}
        self._shed_heap: list[tuple[ShedKey, Ticket]] = []
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
        heapq.heappush(self._service_heaps[ticket.within_quota], entry)
        heapq.heappush(self._shed_heap, (shed_key(ticket, self._seq), ticket))
        self._arrivals.append(ticket)

    def settle(self, ticket: Ticket, state: TicketState) -> None:
        """Remove a ticket by giving it a final or admitted state.

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
        heap = self._service_heaps[within_quota]
        while heap and heap[0][2].state is not TicketState.WAITING:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def victims(self, new_ticket: Ticket, needed: float) -> list[Ticket] | None:
        """Return the waiting tickets to shed in favour of a new one.

        Parameters
        ----------
        new_ticket : Ticket
            Ticket of the request that does not fit into the queue.
        needed : float
            Cost to free in the queue.

        Returns
        -------
        list of Ticket or None
            None if the new ticket itself is to be shed.
        """
        candidates = []
        key = shed_key(new_ticket, self._seq + 1)
        while needed > 0.0 and self._shed_heap and self._shed_heap[0][0] < key:
            entry = heapq.heappop(self._shed_heap)
            if entry[1].state is TicketState.WAITING:
                candidates.append(entry)
                needed -= entry[1].cost
        for entry in candidates:
            heapq.heappush(self._shed_heap, entry)
        return [ticket for _, ticket in candidates] if needed <= 0.0 else None

    def expired(self, now: float) -> Ticket | None:
        """Return a ticket that has waited for the longest time allowed, or None.

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
        waiting = self._count
        if len(self._shed_heap) > 2 * waiting + STALE_ENTRY_SLACK:
            self._shed_heap = [e for e in self._shed_heap if _is_waiting(e[1])]
            heapq.heapify(self._shed_heap)
        if len(self._arrivals) > 2 * waiting + STALE_ENTRY_SLACK:
            self._arrivals = deque(t for t in self._arrivals if _is_waiting(t))
        for heap in self._service_heaps.values():
            if len(heap) > 2 * waiting + STALE_ENTRY_SLACK:
                heap[:] = [e for e in heap if _is_waiting(e[2])]
                heapq.heapify(heap)


def _is_waiting(ticket: Ticket) -> bool:
    return ticket.state is TicketState.WAITING
