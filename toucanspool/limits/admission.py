"""The admission of requests at one entry by team, share and priority."""

import random
from collections.abc import Callable

from toucanspool.limits.queue import TicketQueue
from toucanspool.limits.shed import RetryAfter, Shed, ShedCause
from toucanspool.limits.teams import Teams, TeamUse
from toucanspool.limits.ticket import Ticket, TicketState

MAX_WAIT_S = 0.2
HEADROOM = 0.1
FIRST_HOLD_S = 1.0
HOLD_WEIGHT = 0.05
MIN_WAITING = 1.0
BURST = 2.0
SLOP = 1e-9


class Admission:
    """Admit requests up to a capacity, fairly among teams.

    Each active team has a quota: capacity in proportion to its share. It also earns
    credit for bursts, at the rate at which its quota is served. A request is within
    quota if either the quota or the credit covers it. Requests within quota are
    served before those over it; start-time fair queueing orders each of the two
    classes. A headroom is reserved for requests within quota that arrive later. If
    more waits than can be served within the longest wait, the excess is shed at once:
    requests over quota first, then low priorities, then the most recent arrivals.

    Parameters
    ----------
    capacity : float
        The most cost that runs at once; one request costs 1 as a rule.
    rng : random.Random
        Spreads the times after which callers may come back.
    max_wait_s : float, default=0.2
        The longest wait, in seconds.
    headroom : float, default=0.1
        Fraction of the capacity reserved for requests within quota.
    on_settled : callable, optional
        Called with each ticket that stops waiting.
    retry_after : RetryAfter, optional
        When callers that are shed may come back.

    References
    ----------
    P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", IEEE/ACM ToN 5(5),
    1997; W. Jin, J. S. Chase, J. Kaur, "Interposed proportional sharing for a
    storage service utility", SIGMETRICS 2004.
    """

    __slots__ = (
        "_capacity",
        "_headroom",
        "_hold_s",
        "_max_wait_s",
        "_on_settled",
        "_queue",
        "_retry_after",
        "_running",
        "_teams",
        "_used",
        "_virtual",
    )

    def __init__(
        self,
        capacity: float,
        rng: random.Random,
        *,
        max_wait_s: float = MAX_WAIT_S,
        headroom: float = HEADROOM,
        on_settled: Callable[[Ticket], None] | None = None,
        retry_after: RetryAfter | None = None,
    ) -> None:
        self._capacity = capacity
        self._max_wait_s = max_wait_s
        self._headroom = headroom
        self._on_settled = on_settled
        self._retry_after = retry_after or RetryAfter(rng)
        self._queue = TicketQueue()
        self._teams = Teams()
        self._hold_s = FIRST_HOLD_S
        self._running = 0
        self._used = 0.0
        self._virtual = 0.0

    @property
    def capacity(self) -> float:
        """Return the most cost that runs at once."""
        return self._capacity

    @property
    def running(self) -> int:
        """Return the number of requests admitted and not released."""
        return self._running

    @property
    def used(self) -> float:
        """Return their cost."""
        return self._used

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._queue)

    @property
    def teams(self) -> int:
        """Return the number of teams that hold state."""
        return len(self._teams)

    @property
    def rate(self) -> float:
        """Return the rate of service at full use, in cost a second."""
        return self._capacity / self._hold_s

    def admit(
        self, team: str, share: float, priority: int, cost: float, now: float
    ) -> Ticket:
        """Admit a request, let it wait, or shed it at once.

        Parameters
        ----------
        team : str
            The caller's team.
        share : float
            The team's share, over 0.
        priority : int
            The higher, the later shed.
        cost : float
            Part of the capacity that it takes; at most what any team may use.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        Ticket
            In state ``ADMITTED`` or ``WAITING``.

        Raises
        ------
        Shed
            There is no room, and no waiting request has a lower claim.
        """
        self.expire(now)
        ticket = self._ticket(team, share, priority, cost, now)
        if self._may_pass(ticket) and self._fits(ticket):
            self._start(ticket, now)
            return ticket
        over = self._queue.cost + ticket.cost - self._most_waiting()
        if over > SLOP:
            self._make_room(ticket, over, now)
        self._queue.push(ticket)
        return ticket

    def release(self, ticket: Ticket, now: float) -> None:
        """Give a ticket's place back; harmless when repeated.

        Parameters
        ----------
        ticket : Ticket
            One that was admitted, or waits and is given up by its caller.
        now : float
            Seconds on the monotonic clock.
        """
        if ticket.state is TicketState.WAITING:
            self._queue.settle(ticket, TicketState.RELEASED)
            self._teams.give_back(ticket.team, ticket.cost, now, served=False)
        elif ticket.state is TicketState.ADMITTED:
            self._finish(ticket, now)
        self.expire(now)
        self._serve(now)

    def expire(self, now: float) -> None:
        """Shed the tickets that have waited too long.

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
            self._serve(now)

    def resize(self, capacity: float, now: float) -> None:
        """Change the capacity; what runs is not cut off.

        Parameters
        ----------
        capacity : float
            The most cost that runs at once.
        now : float
            Seconds on the monotonic clock.
        """
        self._capacity = capacity
        self._serve(now)

    def _ticket(
        self, team: str, share: float, priority: int, cost: float, now: float
    ) -> Ticket:
        cost = min(cost, self._common())
        use = self._teams.use(team, share, cost, now)
        quota = self._common() * share / self._teams.active_share
        ticket = Ticket(team, share, priority, cost, now + self._max_wait_s)
        ticket.start_tag = max(self._virtual, use.finish_tag)
        credit = self._credit(use, quota, cost, now)
        ticket.within_quota = use.used - cost < quota - SLOP or credit >= cost
        use.finish_tag = ticket.start_tag + cost / share
        return ticket

    def _credit(self, use: TeamUse, quota: float, cost: float, now: float) -> float:
        earned = (now - use.credit_at) * quota / self._hold_s
        credit = min(max(BURST, quota), use.credit + earned)
        use.credit = max(0.0, credit - cost)
        use.credit_at = now
        return credit

    def _common(self) -> float:
        return self._capacity * (1.0 - self._headroom)

    def _most_waiting(self) -> float:
        return max(MIN_WAITING, self.rate * self._max_wait_s)

    def _may_pass(self, ticket: Ticket) -> bool:
        head = self._next()
        if head is None or ticket.within_quota != head.within_quota:
            return head is None or ticket.within_quota
        return ticket.start_tag < head.start_tag

    def _fits(self, ticket: Ticket) -> bool:
        limit = self._capacity if ticket.within_quota else self._common()
        return self._used + ticket.cost <= limit + SLOP

    def _make_room(self, ticket: Ticket, over: float, now: float) -> None:
        victims = self._queue.victims(ticket, over)
        if victims is None:
            self._teams.give_back(ticket.team, ticket.cost, now, served=False)
            ticket.state = TicketState.SHED
            ticket.shed = self._refusal(ShedCause.FULL, now)
            raise ticket.shed
        for victim in victims:
            self._shed(victim, ShedCause.FULL, now)

    def _shed(self, ticket: Ticket, cause: ShedCause, now: float) -> None:
        self._queue.settle(ticket, TicketState.SHED)
        self._teams.give_back(ticket.team, ticket.cost, now, served=False)
        ticket.shed = self._refusal(cause, now)
        if self._on_settled:
            self._on_settled(ticket)

    def _refusal(self, cause: ShedCause, now: float) -> Shed:
        return Shed(cause, self._retry_after.draw(self.rate, now))

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.ADMITTED
        ticket.admitted_at = now
        self._running += 1
        self._used += ticket.cost
        self._virtual = max(self._virtual, ticket.start_tag)

    def _finish(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.RELEASED
        self._running -= 1
        self._used = self._used - ticket.cost if self._running else 0.0
        self._hold_s += HOLD_WEIGHT * (now - ticket.admitted_at - self._hold_s)
        self._hold_s = max(self._hold_s, SLOP)
        self._teams.give_back(ticket.team, ticket.cost, now)

    def _serve(self, now: float) -> None:
        while (ticket := self._next()) is not None and self._fits(ticket):
            self._queue.settle(ticket, TicketState.ADMITTED)
            self._start(ticket, now)
            if self._on_settled:
                self._on_settled(ticket)

    def _next(self) -> Ticket | None:
        return self._queue.head(within_quota=True) or self._queue.head(
            within_quota=False
        )
