"""The coordinator of one group's map switches, elected by a lease.

A round's fencing token and intent are recorded in the platform's table before its
first order is sent. A new coordinator finishes or undoes an interrupted switch in a
round of its own, based on that record and on the map versions that the ranks report.
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

COLLECT_TIMEOUT_S = 0.05
PROBE_TIMEOUT_S = 0.5

log = structlog.get_logger()


class Lease(Protocol):
    """The coordinator's lease on its group."""

    token: int

    def held(self, now: float) -> bool:
        """Return whether the coordinator holds the lease.

        Parameters
        ----------
        now : float
            Current time, in monotonic seconds.

        Returns
        -------
        bool
        """
        ...


class Coordinator:
    """Switch one group's expert map, and recover from interrupted switches.

    Parameters
    ----------
    group : str
        Name of the group.
    ranks : int
        Number of ranks in the group.
    store : RecordStore
        Reads and writes the group's record.
    maps : MapStore
        Stores the group's expert maps.
    lease : Lease
        The coordinator's lease. Each new lease requires a new coordinator.
    order_sender : OrderSender
        Sends the orders to the rank agents.
    clock : callable
        Returns the time in monotonic seconds.
    timings : RoundTimings, optional
        Intervals and timeouts of a round's phases.
    call_numbers : iterator of int, optional
        Source of the numbers of the orders, to be shared by all coordinators that
        use the same connections.
    """

    __slots__ = (
        "_call_numbers",
        "_clock",
        "_current_version",
        "_group",
        "_lease",
        "_maps",
        "_order_sender",
        "_ranks",
        "_round_log",
        "_timings",
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
        self._round_log = RoundLog(store, group=group, ranks=ranks, token=lease.token)
        self._call_numbers = (
            itertools.count(1) if call_numbers is None else call_numbers
        )
        self._order_sender = order_sender
        self._clock = clock
        self._timings = timings or RoundTimings()
        self._current_version: int | None = None

    def recover(self) -> int:
        """Finish or undo an interrupted switch, and resume the group.

        Returns
        -------
        int
            Version of the map that the group uses; 0 if it has none yet.

        Raises
        ------
        LeaseLapsed
            The lease lapsed before the round began.
        Superseded
            A later coordinator is active.
        TableUnavailable, TableUncertain
            The round could not be recorded.
        """
        outcome = None
        while outcome not in (Outcome.FINISHED, Outcome.UNDONE):
            self._current_version = None
            self.check_lease()
            intent = self._round_log.open_recovery()
            if intent is not None:
                outcome = self._run(intent)
        return self._close(intent, outcome)

    def switch(self, experts: bytes) -> int:
        """Switch the group to a new expert map.

        Parameters
        ----------
        experts : bytes
            The encoded expert map.

        Returns
        -------
        int
            The version given to the map, which is unique within the group.

        Raises
        ------
        SwitchFailed
            The group continues to use its previous map.
        LeaseLapsed
            The lease lapsed before the group was held.
        Superseded
            A later coordinator is active.
        TableConflict, TableUnavailable, TableUncertain
            The switch could not be recorded, or recovery from it failed.
        toucanspool.backing.objects.ObjectsUnavailable
            The map could not be stored.
        """
        current = (
            self.recover() if self._current_version is None else self._current_version
        )
        self._current_version = None
        version = self._round_log.next_fence()
        self._maps.put(version, experts)
        self.check_lease()
        intent = self._round_log.open_switch(current, version)
        outcome = self._run(intent)
        if outcome in (Outcome.FINISHED, Outcome.UNDONE):
            reached = self._close(intent, outcome)
        else:
            reached = self.recover()
        if reached != version:
            raise SwitchFailed(outcome)
        return version

    def check_lease(self) -> None:
        """Raise an exception unless the coordinator holds its lease.

        Raises
        ------
        LeaseLapsed
            The lease has lapsed.
        """
        if not self._lease_held(self._clock()):
            raise LeaseLapsed

    def probe(self, rank: int) -> int | None:
        """Ask one rank for its step number.

        The ranks run in lock-step, so one rank shows the progress of the group.

        Parameters
        ----------
        rank : int
            The rank to ask.

        Returns
        -------
        int or None
            Number of steps that the rank has finished, or None on a timeout.
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
            for answered in self._order_sender.collect(COLLECT_TIMEOUT_S):
                if answered.order is order and answered.reply.result == OrderResult.OK:
                    return answered.reply.step
        return None

    def _lease_held(self, now: float) -> bool:
        return self._lease.token == self._token and self._lease.held(now)

    def _run(self, intent: Intent) -> Outcome:
        switch_round = self._new_round(intent)
        phase = switch_round.phase
        while switch_round.outcome is None:
            now = self._clock()
            for order in switch_round.poll(now, lease_held=self._lease_held(now)):
                self._post(order)
            if switch_round.outcome is None:
                for answered in self._order_sender.collect(COLLECT_TIMEOUT_S):
                    switch_round.receive(answered.order, answered.reply, self._clock())
            if switch_round.phase is not phase:
                phase = switch_round.phase
                log.info(
                    "map switch",
                    group=self._group,
                    phase=phase.name.lower(),
                )
        log.info(
            "map switch ended",
            group=self._group,
            outcome=switch_round.outcome.value,
            target=switch_round.target,
        )
        if switch_round.outcome is Outcome.SUPERSEDED:
            raise Superseded
        if switch_round.outcome is Outcome.LAPSED:
            raise LeaseLapsed
        return switch_round.outcome

    def _new_round(self, intent: Intent) -> Round:
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
        self._round_log.close(intent, reached)
        return reached
