"""The coordinator of one group's map switches, elected by a lease.

Before a round's first order its fencing token and its intent are recorded in the
platform's table. Whoever takes over finishes or undoes a switch from that record
and from what the ranks say, in a round of its own.
"""

import itertools
from collections.abc import Callable, Iterator
from typing import Protocol

import structlog

from toucanspool.backing.objects import ObjectsUnavailable
from toucanspool.groups.coordinator_failures import (
    LeaseLapsed,
    Superseded,
    SwitchFailed,
)
from toucanspool.groups.orders import OrderSender
from toucanspool.groups.record import MapStore, RecordStore
from toucanspool.groups.round_log import RoundLog
from toucanspool.groups.switch import Round
from toucanspool.groups.switch_intent import Intent, Outcome, RoundTimings
from toucanspool.wire.gen.messages.ttypes import Order, OrderKind, OrderResult

COLLECT_S = 0.05
PROBE_TIMEOUT_S = 0.5

log = structlog.get_logger()


class Lease(Protocol):
    """The coordinator's lease on its group."""

    token: int

    def held(self, now: float) -> bool:
        """Return whether the lease is held.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
        """
        ...


class Coordinator:
    """Switch one group's expert map, and mend switches broken off.

    Parameters
    ----------
    group : str
        The group's name.
    ranks : int
        Number of ranks.
    store : RecordStore
        The group's record.
    maps : MapStore
        The group's expert maps.
    lease : Lease
        The coordinator's lease; a new one needs a new coordinator.
    order_sender : OrderSender
        Sends the orders.
    clock : callable
        Returns monotonic seconds.
    timings : RoundTimings, optional
        Bounds of a round's phases.
    call_numbers : iterator of int, optional
        Gives each order its number; to be shared by all coordinators that use the
        same connections.
    """

    __slots__ = (
        "_call_numbers",
        "_clock",
        "_order_sender",
        "_group",
        "_lease",
        "_timings",
        "_log",
        "_maps",
        "_ranks",
        "_current_version",
        "_token",
    )

    def __init__(
        self,
        *,
        group: str,
        ranks: int,
        store: RecordStore,
        maps: MapStore,
        lease: Lease,
        order_sender: OrderSender,
        clock: Callable[[], float],
        timings: RoundTimings | None = None,
        call_numbers: Iterator[int] | None = None,
    ) -> None:
        self._group = group
        self._ranks = ranks
        self._maps = maps
        self._lease = lease
        self._token = lease.token
        self._log = RoundLog(store, group=group, ranks=ranks, token=lease.token)
        self._call_numbers = (
            itertools.count(1) if call_numbers is None else call_numbers
        )
        self._order_sender = order_sender
        self._clock = clock
        self._timings = timings or RoundTimings()
        self._current_version: int | None = None

    def recover(self) -> int:
        """Finish or undo what an earlier round left, and let the group go on.

        Returns
        -------
        int
            Version of the map that the group uses; 0 where it has none yet.

        Raises
        ------
        LeaseLapsed
            The lease lapsed before the round began.
        Superseded
            A later coordinator is at work.
        TableUnavailable, TableUncertain
            The round could not be recorded.
        """
        outcome = None
        while outcome not in (Outcome.FINISHED, Outcome.UNDONE):
            self._current_version = None
            self.check_lease()
            intent = self._log.open_recovery()
            if intent is not None:
                outcome = self._run(intent)
        return self._close(intent, outcome)

    def switch(self, experts: bytes) -> int:
        """Bring the group to a new expert map.

        Parameters
        ----------
        experts : bytes
            The map.

        Returns
        -------
        int
            The map's version, which no other map has.

        Raises
        ------
        SwitchFailed
            The switch was not made.
        LeaseLapsed
            The lease lapsed before the group was held.
        Superseded
            A later coordinator is at work.
        TableConflict, TableUnavailable, TableUncertain
            The switch could not be recorded, or not recovered from.
        toucanspool.backing.objects.ObjectsUnavailable
            The map could not be stored.
        """
        current = (
            self.recover() if self._current_version is None else self._current_version
        )
        self._current_version = None
        version = self._log.next_fence()
        self._maps.put(version, experts)
        self.check_lease()
        intent = self._log.open_switch(current, version)
        outcome = self._run(intent)
        if outcome in (Outcome.FINISHED, Outcome.UNDONE):
            reached = self._close(intent, outcome)
        else:
            reached = self.recover()
        if reached != version:
            raise SwitchFailed(outcome)
        return version

    def check_lease(self) -> None:
        """Check that the lease is held.

        Raises
        ------
        LeaseLapsed
            It is not.
        """
        if not self._lease_held(self._clock()):
            raise LeaseLapsed

    def probe(self, rank: int) -> int | None:
        """Ask one rank for its step; in lock-step that tells of the whole group.

        Parameters
        ----------
        rank : int
            The rank asked.

        Returns
        -------
        int or None
            Steps finished, or None where no answer came in time.
        """
        order = Order(
            call=next(self._call_numbers),
            group=self._group,
            rank=rank,
            fence=0,
            kind=OrderKind.STATUS,
            version=0,
            experts=b"",
        )
        self._order_sender.post(order)
        deadline = self._clock() + PROBE_TIMEOUT_S
        while self._clock() < deadline:
            for answer in self._order_sender.collect(COLLECT_S):
                if answer.order is order and answer.reply.result == OrderResult.OK:
                    return answer.reply.step
        return None

    def _lease_held(self, now: float) -> bool:
        return self._lease.token == self._token and self._lease.held(now)

    def _run(self, intent: Intent) -> Outcome:
        rnd = self._round(intent)
        phase = rnd.phase
        while rnd.outcome is None:
            now = self._clock()
            for order in rnd.poll(now, lease_held=self._lease_held(now)):
                self._post(order)
            if rnd.outcome is None:
                for answer in self._order_sender.collect(COLLECT_S):
                    rnd.receive(answer.order, answer.reply, self._clock())
            if rnd.phase is not phase:
                phase = rnd.phase
                log.info("map switch", group=self._group, phase=phase.name.lower())
        log.info(
            "map switch ended",
            group=self._group,
            outcome=rnd.outcome.value,
            target=rnd.target,
        )
        if rnd.outcome is Outcome.SUPERSEDED:
            raise Superseded
        if rnd.outcome is Outcome.LAPSED:
            raise LeaseLapsed
        return rnd.outcome

    def _round(self, intent: Intent) -> Round:
        return Round(
            intent,
            now=self._clock(),
            timings=self._timings,
            call_numbers=self._call_numbers,
        )

    def _post(self, order: Order) -> None:
        if order.kind == OrderKind.LOAD:
            try:
                experts = self._maps.get(order.version)
            except ObjectsUnavailable:
                return
            if experts is None:
                return
            order.experts = experts
        self._order_sender.post(order)

    def _close(self, intent: Intent, outcome: Outcome) -> int:
        finished = outcome is Outcome.FINISHED
        reached = intent.intended if finished else intent.committed
        self._current_version = reached
        self._maps.trim_cache({reached})
        self._log.close(intent, reached)
        return reached
