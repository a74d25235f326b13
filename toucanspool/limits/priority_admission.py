"""Admission control of one service whose callers differ in urgency."""

import math
import random
from collections.abc import Callable

from toucanspool.limits.level_rates import LevelRates
from toucanspool.limits.shed import RetryAfter, Shed, ShedCause
from toucanspool.limits.teams import Teams
from toucanspool.limits.ticket import Ticket, TicketState

# A request that waits no longer than this still gets its first event on time.
ON_TIME_WAIT_S = 0.25
# Callers give up a stream after 2 s without an event. A request that waits longer than
# this would get its first event too late for that.
MAX_WAIT_S = 1.4
# Room is kept for the more urgent requests that arrive within this time.
RESERVE_S = 0.5
MAX_RESERVED_FRACTION = 0.25
INITIAL_SERVICE_TIME_S = 1.0
SERVICE_TIME_WEIGHT = 0.05
MIN_QUEUE_COST = 1.0
# Each level is told to return later than the more urgent ones by this fraction of the
# delay.
RETURN_DELAY_PER_LEVEL = 0.5
EPSILON = 1e-9


class PriorityAdmission:
    """Admit requests up to a capacity, the most urgent first.

    Answers the load in which less urgent callers flood a service while urgent ones
    come. Waiting requests that can still be answered on time go before late ones. Among
    each of them, the more urgent go first, and teams take fair turns. A request is
    admitted only if room stays for those that go before it and arrive meanwhile, as
    many as have lately arrived; where none do, no room is kept. A level of which too
    few requests are admitted goes before all others, so that none starves.

    Requests that can no longer be answered on time go on waiting, as they would only
    lose by coming back. If more waits than can be served in time, the excess is shed at
    once, from the end of that order. Running requests are never interrupted.

    Parameters
    ----------
    capacity : float
        Largest total cost of running requests; a request usually costs 1.
    rng : random.Random
        Source of the jitter of retry delays.
    on_settled : callable, optional
        Called with each ticket that stops waiting because it is admitted or shed.
    retry_after : RetryAfter, optional
        Draws the retry delays of shed requests.

    References
    ----------
    Trunk reservation: F. P. Kelly, "Loss networks", Annals of Applied Probability
    1(3), 1991.
    """

    __slots__ = (
        "_capacity",
        "_on_settled",
        "_queue",
        "_rates",
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
        on_settled: Callable[[Ticket], None] | None = None,
        retry_after: RetryAfter | None = None,
    ) -> None:
        self._capacity = capacity
        self._on_settled = on_settled
        self._retry_after = retry_after or RetryAfter(rng)
        # Holds what can be served within the longest wait, a few dozen requests.
        self._queue: list[Ticket] = []
        self._rates = LevelRates()
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
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def service_rate(self) -> float:
        """Return the estimated service rate at full load, in cost per second."""
        return self._capacity / self._service_time_s

    def admit(
        self, team: str, share: float, level: int, cost: float, now: float
    ) -> Ticket:
        """Admit a request, queue it, or shed it at once.

        Parameters
        ----------
        team : str
            Name of the caller's team.
        share : float
            Share of the team, greater than 0.
        level : int
            Priority of the request; 0 is the most urgent.
        cost : float
            Capacity that the request occupies; capped at the capacity.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        Ticket
            In state ``ADMITTED`` or ``WAITING``.

        Raises
        ------
        Shed
            More waits than can be served, and nothing that is less urgent.
        """
        self.expire(now)
        ticket = self._make_ticket(team, share, level, min(cost, self._capacity), now)
        self._queue.append(ticket)
        self._admit_waiting(now)
        self._shed_excess(ticket, now)
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
            self._leave_queue(ticket, TicketState.RELEASED, now)
        elif ticket.state is TicketState.ADMITTED:
            self._end(ticket, now)
        self.expire(now)
        self._admit_waiting(now)

    def expire(self, now: float) -> None:
        """Shed the requests that have waited for the longest time allowed.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        expired = [ticket for ticket in self._queue if ticket.expires_at <= now]
        for ticket in expired:
            self._shed(ticket, ShedCause.WAITED, now)
        if expired:
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
        self, team: str, share: float, level: int, cost: float, now: float
    ) -> Ticket:
        usage = self._teams.add_request(team, share, cost, now)
        ticket = Ticket(team, share, level, cost, now + MAX_WAIT_S)
        ticket.on_time_until = now + ON_TIME_WAIT_S
        ticket.start_tag = max(self._virtual_time, usage.finish_tag)
        usage.finish_tag = ticket.start_tag + cost / share
        self._rates.record_arrival(level, now)
        return ticket

    def _admit_waiting(self, now: float) -> None:
        while self._queue:
            ticket = min(self._queue, key=lambda t: self._order(t, now))
            if not self._fits(ticket, now):
                return
            self._queue.remove(ticket)
            self._start(ticket, now)

    def _order(self, ticket: Ticket, now: float) -> tuple[bool, bool, int, float]:
        """Return the sort key of service; the lowest is served first."""
        return (
            not self._rates.is_neglected(ticket.priority, now),
            now >= ticket.on_time_until,
            ticket.priority,
            ticket.start_tag,
        )

    def _fits(self, ticket: Ticket, now: float) -> bool:
        limit = self._capacity
        if not self._rates.is_neglected(ticket.priority, now):
            limit -= self._reserve(ticket, now)
        return not self._running or self._used + ticket.cost <= limit + EPSILON

    def _reserve(self, ticket: Ticket, now: float) -> float:
        """Return the room that a request leaves to those that go before it."""
        late = now >= ticket.on_time_until
        before = self._rates.per_s(now, below=math.inf if late else ticket.priority)
        return min(RESERVE_S * before, MAX_RESERVED_FRACTION * self._capacity)

    def _shed_excess(self, new_ticket: Ticket, now: float) -> None:
        limit = max(MIN_QUEUE_COST, self.service_rate * MAX_WAIT_S)
        while sum(ticket.cost for ticket in self._queue) > limit + EPSILON:
            last = max(self._queue, key=lambda t: self._order(t, now))
            self._shed(last, ShedCause.FULL, now)
        if new_ticket.shed is not None:
            raise new_ticket.shed

    def _shed(self, ticket: Ticket, cause: ShedCause, now: float) -> None:
        self._leave_queue(ticket, TicketState.SHED, now)
        delay_s = self._retry_after.draw(self.service_rate, now)
        levels_before = sum(level < ticket.priority for level in self._rates.levels)
        delay_s *= 1.0 + RETURN_DELAY_PER_LEVEL * levels_before
        ticket.shed = Shed(cause, delay_s)
        if self._on_settled:
            self._on_settled(ticket)

    def _leave_queue(self, ticket: Ticket, state: TicketState, now: float) -> None:
        ticket.state = state
        self._queue.remove(ticket)
        self._teams.remove_request(ticket.team, ticket.cost, now, served=False)

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.ADMITTED
        ticket.admitted_at = now
        self._running += 1
        self._used += ticket.cost
        self._virtual_time = max(self._virtual_time, ticket.start_tag)
        self._rates.record_admission(ticket.priority, now)
        if self._on_settled:
            self._on_settled(ticket)

    def _end(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.RELEASED
        self._running -= 1
        self._used = self._used - ticket.cost if self._running else 0.0
        self._service_time_s += SERVICE_TIME_WEIGHT * (
            now - ticket.admitted_at - self._service_time_s
        )
        self._service_time_s = max(self._service_time_s, EPSILON)
        self._teams.remove_request(ticket.team, ticket.cost, now)
