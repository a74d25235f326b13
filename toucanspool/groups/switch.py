"""One round of orders that brings all ranks of a group to one expert map.

`Round` is a pure state machine: its inputs are replies and the time, its outputs are
orders. Two rules prevent a step in which ranks use different maps. All orders of a
round carry its fencing token, and with one token the group is brought to one map
only. A rank resumes only after every rank has confirmed that map for that token.
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
ABANDONABLE_PHASES = (Phase.FENCE, Phase.LOAD, Phase.HOLD)


class Round:
    """Compute the orders that bring all ranks to one map, without sending them.

    Parameters
    ----------
    intent : Intent
        What the round has to achieve.
    now : float
        Current time, in monotonic seconds.
    timings : RoundTimings, optional
        Intervals and timeouts of the phases.
    call_numbers : iterator of int, optional
        Source of the increasing numbers of the orders; counts from 1 by default.

    Attributes
    ----------
    phase : Phase
        The current phase.
    target : int
        Version that the ranks are brought to. It may still change to the committed
        one while `decided` is false.
    decided : bool
        Whether the target is final.
    outcome : Outcome or None
        How the round ended; None while it is running.
    """

    __slots__ = (
        "_acked",
        "_call_numbers",
        "_first_phase_call",
        "_hold_sent",
        "_intent",
        "_last_call_by_rank",
        "_latest_call",
        "_next_send_at",
        "_phase_started_at",
        "_timings",
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
        call_numbers: Iterator[int] | None = None,
    ) -> None:
        self._intent = intent
        self._timings = timings or RoundTimings()
        self._call_numbers = call_numbers or itertools.count(1)
        self._latest_call = 0
        self._last_call_by_rank: dict[int, int] = {}
        self._versions: dict[int, int] = {}
        self._hold_sent = False
        self.target = intent.intended
        self.decided = False
        self.outcome: Outcome | None = None
        self._enter(Phase.FENCE, now)

    @property
    def versions(self) -> Mapping[int, int]:
        """Return the map version that each rank last confirmed."""
        return self._versions

    @property
    def hold_sent(self) -> bool:
        """Return whether the round has issued a HOLD order."""
        return self._hold_sent

    def poll(self, now: float, *, lease_held: bool = True) -> list[Order]:
        """Return the orders to send now.

        Parameters
        ----------
        now : float
            Current time, in monotonic seconds.
        lease_held : bool, default=True
            Whether the coordinator holds its lease. A round that has begun to hold
            ranks continues without the lease: the fencing token keeps it safe, and
            no other coordinator may be able to resume the ranks.

        Returns
        -------
        list of Order
            LOAD orders do not contain the map yet; the sender adds it.
        """
        if self.outcome is not None:
            return []
        if not lease_held and not self._hold_sent and self.phase in ABANDONABLE_PHASES:
            self.outcome = Outcome.LAPSED
            return []
        self._check_timeouts(now)
        if self.outcome is not None:
            return []
        due = [rank for rank in range(self._intent.ranks) if self._is_due(rank, now)]
        return [self._new_order(rank, now) for rank in due]

    def receive(self, order: Order, reply: OrderReply, now: float) -> None:
        """Process the reply to an order.

        Replies may be delayed or duplicated, or belong to another round.

        Parameters
        ----------
        order : Order
            The order that the agent replied to.
        reply : OrderReply
            The agent's reply.
        now : float
            Current time, in monotonic seconds.
        """
        if self.outcome is not None or order.fence != self._intent.fence:
            return
        if reply.result == OrderResult.STALE_FENCE:
            self._handle_stale_fence(order, reply)
        elif order.call < self._first_phase_call:
            return
        elif reply.result in (OrderResult.OK, OrderResult.NOT_READY):
            self._handle_result(order.rank, reply, now)

    def _handle_stale_fence(self, order: Order, reply: OrderReply) -> None:
        if reply.fence > self._intent.fence:
            self.outcome = Outcome.SUPERSEDED
        elif order.call == self._last_call_by_rank[order.rank]:
            # Only an agent that restarted can reject the latest order as stale.
            self.outcome = Outcome.AGENT_RESTARTED

    def _handle_result(self, rank: int, reply: OrderReply, now: float) -> None:
        if self.phase is Phase.FENCE:
            if reply.result == OrderResult.OK:
                self._versions[rank] = reply.version
                self._ack(rank, now)
            return
        if not self._is_expected(rank, reply):
            self._reload(rank, reply.version, now)
        elif reply.result == OrderResult.OK:
            self._versions[rank] = reply.version
            self._ack(rank, now)
        else:
            loading = self.phase is Phase.LOAD
            self._next_send_at[rank] = now + (
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
            self._finish()
        else:
            self._enter(NEXT_PHASE[self.phase], now)

    def _decide(self, now: float) -> None:
        intent = self._intent
        reported = set(self._versions.values())
        if intent.intended in reported:
            self._set_target(intent.intended)
        elif reported != {intent.committed}:
            self._set_target(intent.committed or intent.intended)
        elif not intent.new:
            self._set_target(intent.committed)
        if self.target == NO_MAP:
            self._finish()
        elif reported == {self.target}:
            self._enter(Phase.RESUME, now)
        else:
            self._enter(Phase.LOAD, now)

    def _set_target(self, version: int) -> None:
        self.target = version
        self.decided = True

    def _reload(self, rank: int, version: int, now: float) -> None:
        """Load the map again after an engine restart, with the same fencing token."""
        self._versions[rank] = version
        if not self.decided:
            self._set_target(self._intent.committed or self._intent.intended)
        self._enter(Phase.LOAD, now)

    def _roll_back(self, now: float) -> None:
        self._set_target(self._intent.committed)
        if self.target == NO_MAP:
            self._finish()
        else:
            self._enter(Phase.RESUME, now)

    def _finish(self) -> None:
        reached = self.target == self._intent.intended
        self.outcome = Outcome.FINISHED if reached else Outcome.UNDONE

    def _check_timeouts(self, now: float) -> None:
        elapsed_s = now - self._phase_started_at
        if self.phase is Phase.FENCE:
            if self._intent.new and elapsed_s > self._timings.fence_timeout_s:
                self.outcome = Outcome.UNREACHABLE
        elif not self.decided and elapsed_s > self._phase_timeout_s():
            self._roll_back(now)

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
        self._first_phase_call = self._latest_call + 1
        self._phase_started_at = now
        self._acked: set[int] = set()
        self._next_send_at: dict[int, float] = {}

    def _is_due(self, rank: int, now: float) -> bool:
        if rank in self._acked:
            return False
        return now >= self._next_send_at.get(rank, now)

    def _new_order(self, rank: int, now: float) -> Order:
        self._latest_call = next(self._call_numbers)
        self._hold_sent |= self.phase is Phase.HOLD
        self._next_send_at[rank] = now + self._timings.resend_interval_s
        self._last_call_by_rank[rank] = self._latest_call
        return Order(
            call=self._latest_call,
            group=self._intent.group,
            rank=rank,
            fence=self._intent.fence,
            kind=self.phase.value,
            version=self.target,
            experts=b"",
        )
