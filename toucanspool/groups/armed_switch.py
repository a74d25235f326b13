"""The switch of a lock-step group to another map, at one pass for all ranks.

All ranks copy the experts of the new map first, which holds nobody up. Then one rank
holds a pass that is to come, so that the group can't begin it; each rank is armed to
switch as that pass begins; and only once each of them has shown that it is armed is
the pass let go. If one can't be armed, all are disarmed before the pass begins.

The pass is held at another machine than the coordinator's, and the coordinator's own
rank is armed last. So where the coordinator's machine stops, another coordinator can
let the group go on: as long as any other rank is not armed, that rank is not either.

An order may be lost and be carried out seconds later. A late order to arm is refused
once its pass has begun, or once a newer version is prepared. So a switch is given up
by preparing the map in use under a newer version, which copies nothing.
"""

import time
from collections.abc import Iterable, Mapping
from enum import Enum

import gevent
import structlog

from toucanspool.groups.expert_map import IntArray
from toucanspool.groups.group_client import (
    GroupChanged,
    GroupClient,
    is_fully_armed,
)
from toucanspool.groups.rank_arrays import pack_map
from toucanspool.groups.rank_engine import UNSET
from toucanspool.wire.gen.messages.ttypes import (
    RankAction,
    RankAnswer,
    RankAsk,
    RankResult,
)

# Passes from the last one seen to the one held: time to arm all ranks without
# holding the group up.
AHEAD_PASSES = 2
HOLD_TRIES = 3
ARM_TRIES = 8
PREPARE_TRIES = 3
UNDO_PAUSE_S = 0.05
POLL_S = 0.05
# Versions of each coordinator are apart from those of all others, so that a rank can't
# have one coordinator's map under another's version.
VERSIONS_PER_TOKEN = 1 << 20

_log = structlog.get_logger()


class SwitchEnd(Enum):
    """Name how a switch ended; each value is a sentence for the log."""

    DONE = "all ranks switch as the pass begins"
    NOT_COPIED = "not all ranks have copied the experts in time"
    NOT_HELD = "the pass could not be held"
    NOT_ARMED = "not all ranks could be armed, and all are disarmed"


class ArmedSwitch:
    """Give the orders of one coordinator to one group.

    Parameters
    ----------
    client : GroupClient
        Asks the ranks in the coordinator's name.
    epoch : int
        The group's epoch.
    ranks : iterable of int
        The ranks that can be reached.
    own_rank : int
        The rank beside the coordinator.
    ahead : int, default=2
        Passes from the last one seen to the one held.

    Attributes
    ----------
    arm_rounds : int
        How often ranks were told to arm in the last switch; more than once where
        orders were lost.
    """

    __slots__ = ("_ahead", "_client", "_epoch", "_own_rank", "_ranks", "arm_rounds")

    def __init__(
        self,
        client: GroupClient,
        epoch: int,
        ranks: Iterable[int],
        own_rank: int,
        *,
        ahead: int = AHEAD_PASSES,
    ) -> None:
        self._client = client
        self._epoch = epoch
        self._ranks = frozenset(ranks)
        self._own_rank = own_rank
        self._ahead = ahead
        self.arm_rounds = 0

    def next_version(self, answers: Mapping[int, RankAnswer]) -> int:
        """Return a version that no rank has had, and no other coordinator gives.

        Parameters
        ----------
        answers : mapping of int to RankAnswer
            The newest of each rank, all of them given to this coordinator's token.

        Returns
        -------
        int
        """
        newest = max(answer.newest_version for answer in answers.values())
        return max(newest + 1, self._client.token * VERSIONS_PER_TOKEN)

    def run(
        self, version: int, experts: IntArray, current: IntArray, copy_s: float
    ) -> SwitchEnd:
        """Bring the group to a map.

        Parameters
        ----------
        version : int
            Higher than any that a rank has had.
        experts, current : ndarray of int, shape (sets, ranks, places)
            The map, and the one in use.
        copy_s : float
            The time by which all ranks should have copied, in seconds.

        Returns
        -------
        SwitchEnd

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        GroupChanged
            The group has formed anew, or an agent can't be reached while nothing is
            held.
        """
        if not self._prepare(version, experts, copy_s):
            return SwitchEnd.NOT_COPIED
        holder = self._holder()
        step = self._hold(holder)
        if step == UNSET:
            return SwitchEnd.NOT_HELD
        others = self._ranks - {self._own_rank}
        if self._arm(others, version, step) and self._arm(
            {self._own_rank}, version, step
        ):
            self._go(step, holder)
            return SwitchEnd.DONE
        self._give_up(version + 1, current)
        self._go(step, holder)
        return SwitchEnd.NOT_ARMED

    def resolve(self, answers: Mapping[int, RankAnswer], current: IntArray) -> None:
        """Finish or undo what another coordinator, or a late order, has left.

        Parameters
        ----------
        answers : mapping of int to RankAnswer
            The newest of each rank, all of them given to this coordinator's token.
        current : ndarray of int, shape (sets, ranks, places)
            The map in use.
        """
        held = {rank: a.held for rank, a in answers.items() if a.held != UNSET}
        complete = is_fully_armed(answers)
        if not complete:
            self._give_up(self.next_version(answers), current)
        for rank, step in held.items():
            self._go(step, rank)
        _log.warning(
            "unfinished switch resolved",
            group=self._client.group,
            held=held,
            armed=sorted({answer.armed for answer in answers.values()}),
            result="finished" if complete else "undone",
            token=self._client.token,
        )

    def _prepare(self, version: int, experts: IntArray, copy_s: float) -> bool:
        until = time.monotonic() + copy_s
        waiting = set(self._ranks)
        asked = dict.fromkeys(waiting, 0)
        prepare = self._prepare_request(version, experts)
        while waiting:
            if time.monotonic() > until:
                return False
            due = [rank for rank in waiting if asked[rank] < PREPARE_TRIES]
            for rank in due:
                asked[rank] += 1
            status = RankAsk(action=RankAction.STATUS)
            answers = self._send_all(due or waiting, prepare if due else status)
            if None in answers.values():
                raise GroupChanged("a rank's agent can't be reached")
            for rank, answer in answers.items():
                if answer is None:
                    continue
                if answer.result in (RankResult.OK, RankResult.REFUSED):
                    asked[rank] = PREPARE_TRIES
                if answer.held != UNSET:
                    # A late order to hold; this switch has not given its own yet.
                    self._go(answer.held, rank)
                if answer.prepared == version:
                    waiting.discard(rank)
            if waiting:
                gevent.sleep(POLL_S)
        return True

    def _holder(self) -> int:
        """Return the rank that holds the pass: the next after the coordinator's."""
        ranks = sorted(self._ranks)
        return ranks[(ranks.index(self._own_rank) + 1) % len(ranks)]

    def _hold(self, holder: int) -> int:
        for _ in range(HOLD_TRIES):
            status = self._client.send(
                holder, RankAsk(action=RankAction.STATUS), self._epoch
            )
            step = status.step + self._ahead
            request = RankAsk(action=RankAction.HOLD, step=step)
            answer = self._client.send(holder, request, self._epoch, bypass_agent=True)
            # From afar an engine's state is told late; that it took the order is not.
            if answer.result == RankResult.OK or answer.held == step:
                return step
        return UNSET

    def _arm(self, ranks: Iterable[int], version: int, step: int) -> bool:
        waiting = set(ranks)
        for _ in range(ARM_TRIES):
            self.arm_rounds += 1
            answers = self._send_all(
                waiting,
                RankAsk(action=RankAction.ARM, version=version, step=step),
            )
            for rank, answer in answers.items():
                if answer is None:
                    continue
                if answer.result == RankResult.OK or answer.armed == version:
                    waiting.discard(rank)
                elif answer.result == RankResult.REFUSED:
                    return False
            if not waiting:
                return True
        return False

    def _give_up(self, version: int, current: IntArray) -> None:
        """Disarm all ranks for good; what is held stays held."""
        waiting = set(self._ranks)
        prepare = self._prepare_request(version, current)
        while waiting:
            answers = self._send_all(waiting, prepare)
            for rank, answer in answers.items():
                if answer is None:
                    continue
                if answer.prepared == version and answer.armed == UNSET:
                    waiting.discard(rank)
                elif answer.armed != UNSET:
                    request = RankAsk(action=RankAction.DISARM, version=answer.armed)
                    self._send_all([rank], request)
            if waiting:
                gevent.sleep(UNDO_PAUSE_S)

    def _go(self, step: int, rank: int) -> None:
        while True:
            request = RankAsk(action=RankAction.GO, step=step)
            answer = self._send_all([rank], request)[rank]
            if answer is not None and answer.held == UNSET:
                return
            gevent.sleep(UNDO_PAUSE_S)

    def _prepare_request(self, version: int, experts: IntArray) -> RankAsk:
        _, ranks, places = experts.shape
        return RankAsk(
            action=RankAction.PREPARE,
            version=version,
            experts=pack_map(experts),
            ranks=ranks,
            places=places,
        )

    def _send_all(
        self, ranks: Iterable[int], request: RankAsk
    ) -> dict[int, RankAnswer | None]:
        return self._client.send_all(ranks, request, self._epoch)
