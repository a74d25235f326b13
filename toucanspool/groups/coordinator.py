"""The coordinator of one group's map switches, elected by a lease.

Before a round's first order its fencing token and its intent are recorded in the
platform's table. Whoever takes over finishes or undoes a switch from that record
and from what the ranks say, in a round of its own.
"""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Protocol

import structlog

from toucanspool.groups.coordinator_failures import (
    LeaseLapsed,
    Superseded,
    SwitchFailed,
)
from toucanspool.groups.fence import MAX_ROUND, fence_of, lease_token_of, round_of
from toucanspool.groups.orders import Courier
from toucanspool.groups.record import GroupRecord, MapStore, RecordStore
from toucanspool.groups.switch import Round
from toucanspool.groups.switch_intent import Intent, Limits, Outcome
from toucanspool.platform.objects import ObjectsUnavailable
from toucanspool.platform.table import (
    TableConflict,
    TableError,
    TableUncertain,
)
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
    courier : Courier
        Sends the orders.
    clock : callable
        Returns monotonic seconds.
    limits : Limits, optional
        Bounds of a round's phases.
    calls : iterator of int, optional
        Gives each order its number; to be shared by all coordinators that use the
        same connections.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_courier",
        "_group",
        "_lease",
        "_limits",
        "_maps",
        "_ranks",
        "_rounds",
        "_settled",
        "_store",
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
        courier: Courier,
        clock: Callable[[], float],
        limits: Limits | None = None,
        calls: Iterator[int] | None = None,
    ) -> None:
        self._group = group
        self._ranks = ranks
        self._store = store
        self._maps = maps
        self._lease = lease
        self._token = lease.token
        self._calls = itertools.count(1) if calls is None else calls
        self._courier = courier
        self._clock = clock
        self._limits = limits or Limits()
        self._rounds = 0
        self._settled: int | None = None

    def settle(self) -> int:
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
            self._settled = None
            intent = self._open_settle()
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
            The switch could not be recorded, or not settled.
        toucanspool.platform.objects.ObjectsUnavailable
            The map could not be stored.
        """
        current = self.settle() if self._settled is None else self._settled
        self._settled = None
        version = self._next_fence()
        self._maps.put(version, experts)
        intent = self._open_switch(current, version)
        outcome = self._run(intent)
        if outcome in (Outcome.FINISHED, Outcome.UNDONE):
            reached = self._close(intent, outcome)
        else:
            reached = self.settle()
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
        if not self._leased(self._clock()):
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
            call=next(self._calls),
            group=self._group,
            rank=rank,
            fence=0,
            kind=OrderKind.STATUS,
            version=0,
            experts=b"",
        )
        self._courier.post(order)
        deadline = self._clock() + PROBE_TIMEOUT_S
        while self._clock() < deadline:
            for answer in self._courier.collect(COLLECT_S):
                if answer.order is order and answer.reply.result == OrderResult.OK:
                    return answer.reply.step
        return None

    def _open_switch(self, current: int, version: int) -> Intent:
        """Record a switch before its first order."""
        self.check_lease()
        stored = self._store.read()
        if stored.record.fence >= version:
            raise Superseded
        record = GroupRecord(current, version, version)
        self._store.write(record, row_version=stored.row_version)
        return self._intent(record, new=True)

    def _open_settle(self) -> Intent:
        """Record a round that finishes or undoes what is recorded."""
        while True:
            self.check_lease()
            stored = self._store.read()
            fence = self._next_fence(stored.record.fence)
            record = replace(stored.record, fence=fence)
            try:
                self._store.write(record, row_version=stored.row_version)
            except (TableConflict, TableUncertain):
                continue
            return self._intent(record, new=False)

    def _leased(self, now: float) -> bool:
        return self._lease.token == self._token and self._lease.held(now)

    def _intent(self, record: GroupRecord, *, new: bool) -> Intent:
        return Intent(
            group=self._group,
            ranks=self._ranks,
            fence=record.fence,
            committed=record.committed,
            intended=record.intended,
            new=new,
        )

    def _next_fence(self, recorded: int = 0) -> int:
        """Return a token above the recorded one, never returned before."""
        if lease_token_of(recorded) > self._token:
            raise Superseded
        if lease_token_of(recorded) == self._token:
            self._rounds = max(self._rounds, round_of(recorded) + 1)
        if self._rounds > MAX_ROUND:
            raise LeaseLapsed
        fence = fence_of(self._token, self._rounds)
        self._rounds += 1
        return fence

    def _run(self, intent: Intent) -> Outcome:
        rnd = self._round(intent)
        phase = rnd.phase
        while rnd.outcome is None:
            now = self._clock()
            for order in rnd.poll(now, leased=self._leased(now)):
                self._post(order)
            if rnd.outcome is None:
                for answer in self._courier.collect(COLLECT_S):
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
        return Round(intent, now=self._clock(), limits=self._limits, calls=self._calls)

    def _post(self, order: Order) -> None:
        if order.kind == OrderKind.LOAD:
            try:
                experts = self._maps.get(order.version)
            except ObjectsUnavailable:
                return
            if experts is None:
                return
            order.experts = experts
        self._courier.post(order)

    def _close(self, intent: Intent, outcome: Outcome) -> int:
        """Record how a round ended, as far as the table answers.

        The record only saves the next coordinator some work: what the ranks say
        decides.
        """
        finished = outcome is Outcome.FINISHED
        reached = intent.intended if finished else intent.committed
        self._settled = reached
        self._maps.keep_only({reached})
        try:
            stored = self._store.read()
            if stored.record.fence == intent.fence:
                record = GroupRecord(reached, reached, intent.fence)
                if stored.record != record:
                    self._store.write(record, row_version=stored.row_version)
        except TableError as exc:
            log.warning("map switch not recorded", group=self._group, error=str(exc))
        return reached
