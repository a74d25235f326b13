"""Admission control of one entry by team, share and priority."""

import random
from collections.abc import Callable

from toucanspool.limits.queue import TicketQueue
from toucanspool.limits.shed import RetryAfter, Shed, ShedCause
from toucanspool.limits.teams import Teams, TeamUsage
from toucanspool.limits.ticket import Ticket, TicketState

MAX_WAIT_S = 0.2
RESERVED_FRACTION = 0.1
INITIAL_SERVICE_TIME_S = 1.0
SERVICE_TIME_WEIGHT = 0.05
MIN_QUEUE_COST = 1.0
MIN_BURST_COST = 2.0
EPSILON = 1e-9


class Admission:
    """Admit requests up to a capacity, fairly among teams.

    Each active team has a quota: capacity in proportion to its share. It also earns
    credit for bursts, at the rate at which its quota is served. A request is within
    quota if either the quota or the credit covers it. Requests within quota are
    served before those over it; start-time fair queueing orders each of the two
    classes. Part of the capacity is reserved for requests within quota that arrive
    later. If more waits than can be served within the longest wait, the excess is shed
    at once: requests over quota first, then low priorities, then those last in fair
    order.

    Parameters
    ----------
    capacity : float
        Largest total cost of running requests; a request usually costs 1.
    rng : random.Random
        Source of the jitter of retry delays.
    max_wait_s : float, default=0.2
        Longest time that a request waits, in seconds.
    reserved_fraction : float, default=0.1
        Fraction of the capacity reserved for requests within quota.
    on_settled : callable, optional
        Called with each ticket that stops waiting because it is admitted or shed.
    retry_after : RetryAfter, optional
        Draws the retry delays of shed requests.

    References
    ----------
    P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", IEEE/ACM ToN 5(5),
    1997; W. Jin, J. S. Chase, J. Kaur, "Interposed proportional sharing for a
    storage service utility", SIGMETRICS 2004.
    """

    __slots__ = (
        "_capacity",
        "_reserved_fraction",
        "_max_wait_s",
        "_on_settled",
        "_queue",
        "_retry_after",
        "_running",
        "_service_time_s",
        "_teams",
        "_used",
        "_virtual_time",
    )

    def __init__(
        self,
        capacity: float,
        rng: random.Random,
        *,
        max_wait_s: float = MAX_WAIT_S,
        reserved_fraction: float = RESERVED_FRACTION,
        on_settled: Callable[[Ticket], None] | None = None,
        retry_after: RetryAfter | None = None,
    ) -> None:
        self._capacity = capacity
        self._max_wait_s = max_wait_s
        self._reserved_fraction = reserved_fraction
        self._on_settled = on_settled
        self._retry_after = retry_after or RetryAfter(rng)
        self._queue = TicketQueue()
        self._teams = Teams()
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self._running = 0
        self._used = 0.0
        self._virtual_time = 0.0

    @property
    def capacity(self) -> float:
        """Return the largest total cost of running requests."""
        return self._capacity

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return self._running

    @property
    def used(self) -> float:
        """Return the total cost of the running requests."""
        return self._used

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def team_count(self) -> int:
        """Return the number of teams that state is kept for."""
        return len(self._teams)

    @property
    def service_rate(self) -> float:
        """Return the estimated service rate at full load, in cost per second."""
        return self._capacity / self._service_time_s

    def admit(
        self, team: str, share: float, priority: int, cost: float, now: float
    ) -> Ticket:
        """Admit a request, queue it, or shed it at once.

        Parameters
        ----------
        team : str
            Name of the caller's team.
        share : float
            Share of the team, greater than 0.
        priority : int
            Requests of lower priority are shed first.
        cost : float
            Capacity that the request occupies; capped at the unreserved capacity.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        Ticket
            In state ``ADMITTED`` or ``WAITING``.

        Raises
        ------
        Shed
            The queue is full, and no waiting request would be shed before this one.
        """
        self.expire(now)
        ticket = self._make_ticket(team, share, priority, cost, now)
        if self._precedes_queue(ticket) and self._fits(ticket):
            self._start(ticket, now)
            return ticket
        excess = self._queue.cost + ticket.cost - self._max_queue_cost()
        if excess > EPSILON:
            self._make_room(ticket, excess, now)
        self._queue.push(ticket)
        return ticket

    def release(self, ticket: Ticket, now: float) -> None:
        """Release the capacity of a ticket; repeated calls have no effect.

        Parameters
        ----------
        ticket : Ticket
            Ticket of a request that has ended, or whose caller no longer waits.
        now : float
            Seconds on the monotonic clock.
        """
        if ticket.state is TicketState.WAITING:
            self._queue.settle(ticket, TicketState.RELEASED)
            self._teams.remove_request(ticket.team, ticket.cost, now, served=False)
        elif ticket.state is TicketState.ADMITTED:
            self._end(ticket, now)
        self.expire(now)
        self._admit_waiting(now)

    def expire(self, now: float) -> None:
        """Shed the tickets that have waited for the longest time allowed.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        shed = False
        while (ticket := self._queue.expired(now)) is not None:
            self._shed(ticket, ShedCause.WAITED, now)
            shed = True
        if shed:
            self._admit_waiting(now)

    def resize(self, capacity: float, now: float) -> None:
        """Change the capacity; running requests are not interrupted.

        Parameters
        ----------
        capacity : float
            Largest total cost of running requests.
        now : float
            Seconds on the monotonic clock.
        """
        self._capacity = capacity
        self._admit_waiting(now)

    def _make_ticket(
        self, team: str, share: float, priority: int, cost: float, now: float
    ) -> Ticket:
        cost = min(cost, self._shared_capacity())
        usage = self._teams.add_request(team, share, cost, now)
        quota = self._shared_capacity() * share / self._teams.active_share
        ticket = Ticket(team, share, priority, cost, now + self._max_wait_s)
        ticket.start_tag = max(self._virtual_time, usage.finish_tag)
        credit = self._credit(usage, quota, cost, now)
        ticket.within_quota = usage.used - cost < quota - EPSILON or credit >= cost
        usage.finish_tag = ticket.start_tag + cost / share
        return ticket

    def _credit(self, usage: TeamUsage, quota: float, cost: float, now: float) -> float:
        earned = (now - usage.credit_updated_at) * quota / self._service_time_s
        credit = min(max(MIN_BURST_COST, quota), usage.credit + earned)
        usage.credit = max(0.0, credit - cost)
        usage.credit_updated_at = now
        return credit

    def _shared_capacity(self) -> float:
        return self._capacity * (1.0 - self._reserved_fraction)

    def _max_queue_cost(self) -> float:
        return max(MIN_QUEUE_COST, self.service_rate * self._max_wait_s)

    def _precedes_queue(self, ticket: Ticket) -> bool:
        head = self._next_ticket()
        if head is None or ticket.within_quota != head.within_quota:
            return head is None or ticket.within_quota
        return ticket.start_tag < head.start_tag

    def _fits(self, ticket: Ticket) -> bool:
        limit = self._capacity if ticket.within_quota else self._shared_capacity()
        return self._used + ticket.cost <= limit + EPSILON

    def _make_room(self, ticket: Ticket, excess: float, now: float) -> None:
        victims = self._queue.victims(ticket, excess)
        if victims is None:
            self._teams.remove_request(ticket.team, ticket.cost, now, served=False)
            ticket.state = TicketState.SHED
            ticket.shed = self._make_shed(ShedCause.FULL, now)
            raise ticket.shed
        for victim in victims:
            self._shed(victim, ShedCause.FULL, now)

    def _shed(self, ticket: Ticket, cause: ShedCause, now: float) -> None:
        self._queue.settle(ticket, TicketState.SHED)
        self._teams.remove_request(ticket.team, ticket.cost, now, served=False)
        ticket.shed = self._make_shed(cause, now)
        if self._on_settled:
            self._on_settled(ticket)

    def _make_shed(self, cause: ShedCause, now: float) -> Shed:
        return Shed(cause, self._retry_after.draw(self.service_rate, now))

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.ADMITTED
        ticket.admitted_at = now
        self._running += 1
        self._used += ticket.cost
        self._virtual_time = max(self._virtual_time, ticket.start_tag)

    def _end(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.RELEASED
        self._running -= 1
        self._used = self._used - ticket.cost if self._running else 0.0
        self._service_time_s += SERVICE_TIME_WEIGHT * (
            now - ticket.admitted_at - self._service_time_s
        )
        self._service_time_s = max(self._service_time_s, EPSILON)
        self._teams.remove_request(ticket.team, ticket.cost, now)

    def _admit_waiting(self, now: float) -> None:
        while (ticket := self._next_ticket()) is not None and self._fits(ticket):
            self._queue.settle(ticket, TicketState.ADMITTED)
            self._start(ticket, now)
            if self._on_settled:
                self._on_settled(ticket)

    def _next_ticket(self) -> Ticket | None:
        return self._queue.head(within_quota=True) or self._queue.head(
            within_quota=False
        )
