"""Switch of a lock-step group to another expert map, at the same pass on all ranks.

1. Prepare: every rank copies the experts of the new map while the group runs on.
2. Hold: one rank holds a future pass, so that the group can't begin it.
3. Arm: every rank is armed to switch at the start of that pass.
4. Go: once every rank has confirmed that it is armed, the held pass is released. If a
   rank can't be armed, all ranks are disarmed before the release.

The pass is held by a rank on another machine than the coordinator's, and the
coordinator's own rank is armed last. If the coordinator's machine fails, another
coordinator can therefore release the group: while any other rank is not armed, the
rank on the failed machine is not armed either.

An order without an answer may be carried out seconds later. A late order to arm is
refused once its pass has begun, or once a newer version is prepared. So a switch is
aborted by preparing the map in use under a newer version, which copies nothing.
"""

from collections.abc import Iterable, Mapping
from enum import Enum

import gevent
import structlog

from toucanspool.groups.expert_map import IntArray
from toucanspool.groups.group_client import GroupClient, Replaced
from toucanspool.groups.group_state import is_fully_armed
from toucanspool.groups.map_preparation import (
    MapPreparation,
    VersionedMap,
    prepare_request,
)
from toucanspool.groups.map_versions import VersionSource, token_of_version
from toucanspool.groups.rank_engine import UNSET
from toucanspool.wire.gen.messages.ttypes import (
    RankAction,
    RankAnswer,
    RankAsk,
    RankResult,
)

# Passes from the latest one to the held one: time to arm all ranks.
PASSES_AHEAD = 2
MAX_HOLD_ATTEMPTS = 3
MAX_ARM_ATTEMPTS = 8
RETRY_INTERVAL_S = 0.05

_log = structlog.get_logger()


class SwitchEnd(Enum):
    """Name the outcome of a switch; each value is the text in the log."""

    DONE = "all ranks switch as the pass begins"
    NOT_COPIED = "not all ranks have copied the experts in time"
    NOT_HELD = "the pass could not be held"
    NOT_ARMED = "not all ranks could be armed, and all are disarmed"


class ArmedSwitch:
    """Switch the expert map of one group on behalf of one coordinator.

    Parameters
    ----------
    client : GroupClient
        Sends the requests with the coordinator's token.
    epoch : int
        The group's epoch.
    ranks : iterable of int
        The ranks that can be reached.
    own_rank : int
        The rank on the coordinator's machine.
    passes_ahead : int, default=2
        Passes between the latest one and the held one.
    versions : VersionSource, optional
        Versions of the coordinator, if it has used some before.

    Attributes
    ----------
    arm_rounds : int
        Rounds of arm orders that the switch took. Without lost orders there are two:
        one for the other ranks and one for the coordinator's own.
    """

    __slots__ = (
        "_passes_ahead",
        "_client",
        "_epoch",
        "_own_rank",
        "_ranks",
        "_versions",
        "arm_rounds",
    )

    def __init__(
        self,
        client: GroupClient,
        epoch: int,
        ranks: Iterable[int],
        own_rank: int,
        *,
        passes_ahead: int = PASSES_AHEAD,
        versions: VersionSource | None = None,
    ) -> None:
        self._client = client
        self._epoch = epoch
        self._ranks = frozenset(ranks)
        self._own_rank = own_rank
        self._passes_ahead = passes_ahead
        self._versions = versions or VersionSource(client.token)
        self.arm_rounds = 0

    def next_version(self, answers: Mapping[int, RankAnswer]) -> int:
        """Return a version that no rank has seen and no other coordinator uses.

        Parameters
        ----------
        answers : mapping of int to RankAnswer
            The latest answer of each rank, given to this coordinator's token.

        Returns
        -------
        int

        Raises
        ------
        Replaced
            A rank has seen a version of a later coordinator.
        """
        newest = max(answer.newest_version for answer in answers.values())
        version = self._versions.next_above(newest)
        if token_of_version(version) > self._client.token:
            raise Replaced(f"version {newest} is in use", token_of_version(version))
        return version

    def run(
        self, new: VersionedMap, current: VersionedMap, copy_timeout_s: float
    ) -> SwitchEnd:
        """Switch the group to a map.

        Parameters
        ----------
        new, current : VersionedMap
            The new map, whose version is higher than any that a rank has seen, and the
            map in use.
        copy_timeout_s : float
            The longest time for all ranks to copy their experts, in seconds.

        Returns
        -------
        SwitchEnd

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        GroupChanged
            The group was formed again, or a rank was unreachable before the hold.
        """
        preparation = MapPreparation(
            self._client,
            self._epoch,
            new,
            current,
            on_held=lambda rank, step: self._release(step, rank),
        )
        if not preparation.run(self._ranks, copy_timeout_s):
            return SwitchEnd.NOT_COPIED
        holder = self._choose_holder()
        step = self._hold(holder)
        if step == UNSET:
            return SwitchEnd.NOT_HELD
        others = self._ranks - {self._own_rank}
        if self._arm(others, new.version, step) and self._arm(
            {self._own_rank}, new.version, step
        ):
            self._release(step, holder)
            return SwitchEnd.DONE
        self._roll_back(self._versions.next_above(new.version), current.experts)
        self._release(step, holder)
        return SwitchEnd.NOT_ARMED

    def resolve(self, answers: Mapping[int, RankAnswer], current: IntArray) -> None:
        """Finish or roll back a switch left by another coordinator or a late order.

        Parameters
        ----------
        answers : mapping of int to RankAnswer
            The latest answer of each rank, given to this coordinator's token.
        current : ndarray of int, shape (layer_sets, ranks, slots)
            The map in use.
        """
        held = {rank: a.held for rank, a in answers.items() if a.held != UNSET}
        complete = is_fully_armed(answers)
        if not complete:
            self._roll_back(self.next_version(answers), current)
        for rank, step in held.items():
            self._release(step, rank)
        _log.warning(
            "unfinished switch resolved",
            group=self._client.group,
            held=held,
            armed=sorted({answer.armed for answer in answers.values()}),
            result="finished" if complete else "undone",
            token=self._client.token,
        )

    def _choose_holder(self) -> int:
        """Return the rank that holds the pass: the one after the coordinator's."""
        ranks = sorted(self._ranks)
        return ranks[(ranks.index(self._own_rank) + 1) % len(ranks)]

    def _hold(self, holder: int) -> int:
        for _ in range(MAX_HOLD_ATTEMPTS):
            status = self._client.send(
                holder, RankAsk(action=RankAction.STATUS), self._epoch
            )
            step = status.step + self._passes_ahead
            request = RankAsk(action=RankAction.HOLD, step=step)
            answer = self._client.send(holder, request, self._epoch, bypass_agent=True)
            # An engine on another machine reports its state with a lag, but the result
            # of an order at once.
            if answer.result == RankResult.OK or answer.held == step:
                return step
        return UNSET

    def _arm(self, ranks: Iterable[int], version: int, step: int) -> bool:
        waiting = set(ranks)
        for _ in range(MAX_ARM_ATTEMPTS):
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

    def _roll_back(self, version: int, current: IntArray) -> None:
        """Disarm all ranks, so that no late order arms them; a held pass stays held."""
        waiting = set(self._ranks)
        prepare = prepare_request(VersionedMap(version, current))
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
                gevent.sleep(RETRY_INTERVAL_S)

    def _release(self, step: int, rank: int) -> None:
        """Release a held pass, and any that a late order holds after it."""
        while True:
            request = RankAsk(action=RankAction.GO, step=step)
            answer = self._send_all([rank], request)[rank]
            if answer is not None:
                if answer.held == UNSET:
                    return
                step = answer.held
            gevent.sleep(RETRY_INTERVAL_S)

    def _send_all(
        self, ranks: Iterable[int], request: RankAsk
    ) -> dict[int, RankAnswer | None]:
        return self._client.send_all(ranks, request, self._epoch)
