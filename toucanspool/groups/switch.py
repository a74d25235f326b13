"""One round of orders that brings all ranks of a group to one expert map.

`Round` is a pure state machine: it is given replies and the time, and gives out
orders. All orders of a round carry its fencing token, and under one token the group
is brought to one map only; that and the rule that a rank resumes only after every
rank has confirmed that map under that token are what makes two maps in one step
impossible.
"""

import itertools
from collections.abc import Iterator, Mapping

from toucanspool.groups.engine import NO_MAP
from toucanspool.groups.switch_intent import Intent, Outcome, Phase, RoundTimings
from toucanspool.wire.gen.messages.ttypes import (
    Order,
    OrderReply,
    OrderResult,
)

NEXT_PHASE = {
    Phase.LOAD: Phase.HOLD,
    Phase.HOLD: Phase.SWITCH,
    Phase.SWITCH: Phase.RESUME,
}
SAFE_TO_LEAVE = (Phase.FENCE, Phase.LOAD, Phase.HOLD)


class Round:
    """Bring all ranks to one map; never sends anything itself.

    Parameters
    ----------
    intent : Intent
        What the round is for.
    now : float
        Monotonic seconds.
    timings : RoundTimings, optional
        Bounds of the phases.
    calls : iterator of int, optional
        Gives each order its number; the numbers grow, from 1.

    Attributes
    ----------
    phase : Phase
        What is waited for.
    target : int
        Version that the ranks are brought to; may still change to the committed
        one while `decided` is false.
    decided : bool
        Whether the target is final.
    outcome : Outcome or None
        None while the round goes on.
    """

    __slots__ = (
        "_acked",
        "_calls",
        "_holding",
        "_intent",
        "_last_call",
        "_timings",
        "_newest_call",
        "_phase_call",
        "_phase_since",
        "_due_at",
        "_versions",
        "decided",
        "outcome",
        "phase",
        "target",
    )

    def __init__(
        self,
        intent: Intent,
        *,
        now: float,
        timings: RoundTimings | None = None,
        calls: Iterator[int] | None = None,
    ) -> None:
        self._intent = intent
        self._timings = timings or RoundTimings()
        self._calls = calls or itertools.count(1)
        self._newest_call = 0
        self._last_call: dict[int, int] = {}
        self._versions: dict[int, int] = {}
        self._holding = False
        self.target = intent.intended
        self.decided = False
        self.outcome: Outcome | None = None
        self._enter(Phase.FENCE, now)

    @property
    def versions(self) -> Mapping[int, int]:
        """Return the map version last confirmed by each rank."""
        return self._versions

    @property
    def holding(self) -> bool:
        """Return whether the round may have held a rank."""
        return self._holding

    def poll(self, now: float, *, leased: bool = True) -> list[Order]:
        """Return the orders to send now.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        leased : bool, default=True
            Whether the coordinator's lease is held. A round that has begun to hold
            ranks goes on without it, since the fencing token keeps it safe and
            nobody else may be able to let the ranks go.

        Returns
        -------
        list of Order
            LOAD orders carry no map yet; the sender puts it in.
        """
        if self.outcome is not None:
            return []
        if not leased and not self._holding and self.phase in SAFE_TO_LEAVE:
            self.outcome = Outcome.LAPSED
            return []
        self._check_timeouts(now)
        if self.outcome is not None:
            return []
        due = [rank for rank in range(self._intent.ranks) if self._is_due(rank, now)]
        return [self._order(rank, now) for rank in due]

    def receive(self, order: Order, reply: OrderReply, now: float) -> None:
        """Take the reply to an order; either may be late, repeated or not ours.

        Parameters
        ----------
        order : Order
            The order answered.
        reply : OrderReply
            The reply.
        now : float
            Monotonic seconds.
        """
        if self.outcome is not None or order.fence != self._intent.fence:
            return
        if reply.result == OrderResult.STALE_FENCE:
            self._refused(order, reply)
        elif order.call < self._phase_call:
            return
        elif reply.result in (OrderResult.OK, OrderResult.NOT_READY):
            self._answered(order.rank, reply, now)

    def _refused(self, order: Order, reply: OrderReply) -> None:
        if reply.fence > self._intent.fence:
            self.outcome = Outcome.SUPERSEDED
        elif order.call == self._last_call[order.rank]:
            # Only an agent that lost its memory refuses the newest order.
            self.outcome = Outcome.AGENT_RESTARTED

    def _answered(self, rank: int, reply: OrderReply, now: float) -> None:
        if self.phase is Phase.FENCE:
            if reply.result == OrderResult.OK:
                self._versions[rank] = reply.version
                self._ack(rank, now)
            return
        if not self._is_expected(rank, reply):
            self._start_again(rank, reply.version, now)
        elif reply.result == OrderResult.OK:
            self._versions[rank] = reply.version
            self._ack(rank, now)
        else:
            loading = self.phase is Phase.LOAD
            self._due_at[rank] = now + (
                self._timings.load_poll_interval_s if loading else 0.0
            )

    def _is_expected(self, rank: int, reply: OrderReply) -> bool:
        if self.phase in (Phase.SWITCH, Phase.RESUME):
            return reply.result == OrderResult.OK and reply.version == self.target
        return reply.version in (self._versions[rank], self.target)

    def _ack(self, rank: int, now: float) -> None:
        self._acked.add(rank)
        if len(self._acked) < self._intent.ranks:
            return
        if self.phase is Phase.FENCE:
            self._decide(now)
        elif self.phase is Phase.RESUME:
            self._end()
        else:
            self._enter(NEXT_PHASE[self.phase], now)

    def _decide(self, now: float) -> None:
        intent = self._intent
        found = set(self._versions.values())
        if intent.intended in found:
            self._aim(intent.intended)
        elif found != {intent.committed}:
            self._aim(intent.committed or intent.intended)
        elif not intent.new:
            self._aim(intent.committed)
        if self.target == NO_MAP:
            self._end()
        elif found == {self.target}:
            self._enter(Phase.RESUME, now)
        else:
            self._enter(Phase.LOAD, now)

    def _aim(self, version: int) -> None:
        self.target = version
        self.decided = True

    def _start_again(self, rank: int, version: int, now: float) -> None:
        """Bring back a rank whose engine restarted, under the same token."""
        self._versions[rank] = version
        if not self.decided:
            self._aim(self._intent.committed or self._intent.intended)
        self._enter(Phase.LOAD, now)

    def _undo(self, now: float) -> None:
        self._aim(self._intent.committed)
        if self.target == NO_MAP:
            self._end()
        else:
            self._enter(Phase.RESUME, now)

    def _end(self) -> None:
        reached = self.target == self._intent.intended
        self.outcome = Outcome.FINISHED if reached else Outcome.UNDONE

    def _check_timeouts(self, now: float) -> None:
        waited = now - self._phase_since
        if self.phase is Phase.FENCE:
            if self._intent.new and waited > self._timings.fence_timeout_s:
                self.outcome = Outcome.UNREACHABLE
        elif not self.decided and waited > self._phase_timeout_s():
            self._undo(now)

    def _phase_timeout_s(self) -> float:
        return (
            self._timings.load_timeout_s
            if self.phase is Phase.LOAD
            else self._timings.hold_timeout_s
        )

    def _enter(self, phase: Phase, now: float) -> None:
        if phase is Phase.SWITCH:
            self.decided = True
        self.phase = phase
        self._phase_call = self._newest_call + 1
        self._phase_since = now
        self._acked: set[int] = set()
        self._due_at: dict[int, float] = {}

    def _is_due(self, rank: int, now: float) -> bool:
        if rank in self._acked:
            return False
        return now >= self._due_at.get(rank, now)

    def _order(self, rank: int, now: float) -> Order:
        self._newest_call = next(self._calls)
        self._holding |= self.phase is Phase.HOLD
        self._due_at[rank] = now + self._timings.resend_interval_s
        self._last_call[rank] = self._newest_call
        return Order(
            call=self._newest_call,
            group=self._intent.group,
            rank=rank,
            fence=self._intent.fence,
            kind=self.phase.value,
            version=self.target,
            experts=b"",
        )
