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
from copy import copy
from enum import Enum
from typing import Protocol

import gevent
import structlog

from toucanspool.groups.expert_map import IntArray
from toucanspool.groups.rank_calls import AskLost
from toucanspool.groups.rank_engine import NONE
from toucanspool.groups.rank_keeper import MAP_TYPE
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


class Link(Protocol):
    """Ask the agent of one rank."""

    def ask(self, ask: RankAsk) -> RankAnswer:
        """Return the answer, or raise `AskLost`."""
        ...

    def ask_engine(self, ask: RankAsk) -> RankAnswer:
        """Ask the rank's engine past its agent, or raise `AskLost`."""
        ...


class Replaced(Exception):
    """Report that another coordinator has been elected."""


class GroupChanged(Exception):
    """Report that the group has formed anew, or that a rank can't be reached."""


class SwitchEnd(Enum):
    """Name how a switch ended; each value is a sentence for the log."""

    DONE = "all ranks switch as the pass begins"
    NOT_COPIED = "not all ranks have copied the experts in time"
    NOT_HELD = "the pass could not be held"
    NOT_ARMED = "not all ranks could be armed, and all are disarmed"


def is_armed_whole(answers: Mapping[int, RankAnswer]) -> bool:
    """Return whether all ranks are armed with one version, or have switched to it.

    Parameters
    ----------
    answers : mapping of int to RankAnswer
        The newest of each rank.

    Returns
    -------
    bool
    """
    armed = {answer.armed for answer in answers.values()} - {NONE}
    if len(armed) != 1:
        return False
    # A rank that runs on the map already has begun the pass, and so have all.
    (version,) = armed
    return all(version in (a.armed, a.map_version) for a in answers.values())


class ArmedSwitch:
    """Give the orders of one coordinator to one group.

    Parameters
    ----------
    group : str
        The group.
    epoch : int
        Its epoch.
    token : int
        The coordinator's token.
    links : mapping of int to Link
        One for each rank that can be reached.
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

    __slots__ = (
        "_ahead",
        "_epoch",
        "_group",
        "_links",
        "_own_rank",
        "_token",
        "arm_rounds",
    )

    def __init__(
        self,
        group: str,
        epoch: int,
        token: int,
        links: Mapping[int, Link],
        own_rank: int,
        *,
        ahead: int = AHEAD_PASSES,
    ) -> None:
        self._ahead = ahead
        self.arm_rounds = 0
        self._group = group
        self._epoch = epoch
        self._token = token
        self._links = links
        self._own_rank = own_rank

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
        return max(newest + 1, self._token * VERSIONS_PER_TOKEN)

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
        if step == NONE:
            return SwitchEnd.NOT_HELD
        others = self._links.keys() - {self._own_rank}
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
        held = {rank: a.held for rank, a in answers.items() if a.held != NONE}
        complete = is_armed_whole(answers)
        if not complete:
            self._give_up(self.next_version(answers), current)
        for rank, step in held.items():
            self._go(step, rank)
        _log.warning(
            "unfinished switch resolved",
            group=self._group,
            held=held,
            armed=sorted({answer.armed for answer in answers.values()}),
            result="finished" if complete else "undone",
            token=self._token,
        )

    def _prepare(self, version: int, experts: IntArray, copy_s: float) -> bool:
        until = time.monotonic() + copy_s
        waiting = set(self._links)
        asked = dict.fromkeys(waiting, 0)
        prepare = self._prepare_ask(version, experts)
        while waiting:
            if time.monotonic() > until:
                return False
            due = [rank for rank in waiting if asked[rank] < PREPARE_TRIES]
            for rank in due:
                asked[rank] += 1
            status = RankAsk(action=RankAction.STATUS)
            answers = self._all(due or waiting, prepare if due else status)
            for rank, answer in answers.items():
                if answer is None:
                    continue
                if answer.result in (RankResult.OK, RankResult.REFUSED):
                    asked[rank] = PREPARE_TRIES
                if answer.held != NONE:
                    # A late order to hold; this switch has not given its own yet.
                    self._go(answer.held, rank)
                if answer.prepared == version:
                    waiting.discard(rank)
            if waiting:
                gevent.sleep(POLL_S)
        return True

    def _holder(self) -> int:
        """Return the rank that holds the pass: the next after the coordinator's."""
        ranks = sorted(self._links)
        return ranks[(ranks.index(self._own_rank) + 1) % len(ranks)]

    def _hold(self, holder: int) -> int:
        for _ in range(HOLD_TRIES):
            status = self._ask(holder, RankAsk(action=RankAction.STATUS))
            step = status.step + self._ahead
            ask = RankAsk(action=RankAction.HOLD, step=step)
            answer = self._ask(holder, ask, past_agent=True)
            # From afar an engine's state is told late; that it took the order is not.
            if answer.result == RankResult.OK or answer.held == step:
                return step
        return NONE

    def _arm(self, ranks: Iterable[int], version: int, step: int) -> bool:
        waiting = set(ranks)
        for _ in range(ARM_TRIES):
            self.arm_rounds += 1
            answers = self._all(
                waiting,
                RankAsk(action=RankAction.ARM, version=version, step=step),
                tolerant=True,
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
        waiting = set(self._links)
        prepare = self._prepare_ask(version, current)
        while waiting:
            answers = self._all(waiting, prepare, tolerant=True)
            for rank, answer in answers.items():
                if answer is None:
                    continue
                if answer.prepared == version and answer.armed == NONE:
                    waiting.discard(rank)
                elif answer.armed != NONE:
                    ask = RankAsk(action=RankAction.DISARM, version=answer.armed)
                    self._all([rank], ask, tolerant=True)
            if waiting:
                gevent.sleep(UNDO_PAUSE_S)

    def _go(self, step: int, rank: int) -> None:
        while True:
            ask = RankAsk(action=RankAction.GO, step=step)
            answer = self._all([rank], ask, tolerant=True)[rank]
            if answer is not None and answer.held == NONE:
                return
            gevent.sleep(UNDO_PAUSE_S)

    def _prepare_ask(self, version: int, experts: IntArray) -> RankAsk:
        _, ranks, places = experts.shape
        return RankAsk(
            action=RankAction.PREPARE,
            version=version,
            experts=experts.astype(MAP_TYPE).tobytes(),
            ranks=ranks,
            places=places,
        )

    def _all(
        self,
        ranks: Iterable[int],
        ask: RankAsk,
        *,
        tolerant: bool = False,
    ) -> dict[int, RankAnswer | None]:
        tasks = {rank: gevent.spawn(self._try, rank, copy(ask)) for rank in ranks}
        gevent.joinall(list(tasks.values()))
        answers = {rank: task.value for rank, task in tasks.items()}
        for answer in answers.values():
            if isinstance(answer, Replaced):
                raise answer
            if isinstance(answer, GroupChanged):
                raise answer
            if answer is None and not tolerant:
                raise GroupChanged("a rank's agent can't be reached")
        return answers

    def _try(
        self, rank: int, ask: RankAsk
    ) -> RankAnswer | Replaced | GroupChanged | None:
        try:
            return self._ask(rank, ask)
        except AskLost:
            return None
        except (Replaced, GroupChanged) as exc:
            return exc

    def _ask(self, rank: int, ask: RankAsk, *, past_agent: bool = False) -> RankAnswer:
        ask.group, ask.token, ask.epoch = self._group, self._token, self._epoch
        link = self._links[rank]
        answer = link.ask_engine(ask) if past_agent else link.ask(ask)
        if answer.result == RankResult.STALE:
            raise Replaced(f"token {answer.token} is newer than {self._token}")
        if answer.rank == NONE:
            raise AskLost(answer.detail)
        if answer.epoch != self._epoch or answer.rank != rank:
            raise GroupChanged(f"epoch {answer.epoch} in place of {self._epoch}")
        return answer
