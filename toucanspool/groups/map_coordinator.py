"""The coordinator of one lock-step group: it follows demand with the expert map."""

import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

import gevent
import numpy as np
import structlog

from toucanspool.groups.armed_switch import (
    AHEAD_PASSES,
    ArmedSwitch,
    SwitchEnd,
)
from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.copy_search import CopySearch
from toucanspool.groups.demand import Demand
from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.rank_arrays import PICKS_TYPE, unpack_picks
from toucanspool.groups.rank_asker import (
    GroupChanged,
    Link,
    RankAsker,
    Replaced,
    is_armed_whole,
)
from toucanspool.groups.rank_calls import AskLost
from toucanspool.groups.rank_engine import NONE
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import RankAnswer

# Passes ahead that leave time for orders to be given again, without holding any up.
AHEAD_PASSES_LOSING = 8
# Engines tell their state from afar this much late at most, in seconds: three times the
# lag that the platform names.
SETTLE_S = 0.6
# The other ranks are armed once, and then the own one.
CLEAN_ROUNDS = 2
# A rank copies one expert after the other; what takes longer meets another demand, and
# the copies that gain most wait for those that gain little.
COPY_TIME_S = 0.2
LEAST_COPY_S = 0.02
LEAST_GAIN = 0.01
# Part of the link of the coordinator's instance that counts may take.
COUNTS_LINK_PART = 0.5
# The least gain of skew that pays for copies, of a group whose engines are full and of
# an idle one, whose callers feel skew less.
LEAST_SKEW_GAIN = 0.1
LEAST_SKEW_GAIN_IDLE = 0.2
# Counts are read this often while copies are made, in seconds.
COUNT_INTERVAL_S = 0.2
# A copy may take this much longer than the link's rate says, and this long besides.
COPY_SLACK = 2.0
COPY_SLACK_S = 1.0

_log = structlog.get_logger()


class MapCoordinator:
    """Plan and switch the maps of a group for as long as one is its coordinator.

    Parameters
    ----------
    group : str
        The group.
    token : int
        Got when this coordinator was elected.
    own_rank : int
        The rank beside this process.
    engine : callable
        Returns the `EngineModel` of the group, or None while it is not known.
    link_bits_per_s : float
        What this instance's link carries.
    rank_before : int or None
        The rank beside the coordinator before, if it is known.
    """

    __slots__ = (
        "_ahead",
        "_copies",
        "_counts_due_at",
        "_demand",
        "_engine",
        "_group",
        "_link_bits_per_s",
        "_own_rank",
        "_rank_before",
        "_settled_at",
        "_token",
        "_version",
    )

    def __init__(
        self,
        group: str,
        token: int,
        own_rank: int,
        engine: Callable[[], EngineModel | None],
        *,
        link_bits_per_s: float,
        rank_before: int | None = None,
    ) -> None:
        self._rank_before = rank_before
        self._link_bits_per_s = link_bits_per_s
        self._counts_due_at = 0.0
        self._ahead = AHEAD_PASSES
        self._settled_at = 0.0
        self._group = group
        self._token = token
        self._own_rank = own_rank
        self._engine = engine
        self._demand = Demand()
        self._version = NONE
        self._copies: ExpertCopies | None = None

    def step(self, links: Mapping[int, Link]) -> None:
        """Look at the group once, and change its map where that pays.

        Parameters
        ----------
        links : mapping of int to Link
            The agents of the group's ranks, by rank.

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        """
        engine = self._engine()
        counts = engine is not None and time.monotonic() >= self._counts_due_at
        asker = RankAsker(self._group, self._token, links)
        answers = asker.statuses(counts=counts)
        if engine is None or not answers:
            return
        if counts:
            self._count(answers, engine)
        if not self._may_act(answers):
            return
        first = next(iter(answers.values()))
        switch = ArmedSwitch(
            asker, first.epoch, answers, self._own_rank, ahead=self._ahead
        )
        try:
            self._look(asker, switch, answers, engine)
        except (GroupChanged, AskLost) as exc:
            _log.info("map left as it is", group=self._group, reason=str(exc))

    def _look(
        self,
        asker: RankAsker,
        switch: ArmedSwitch,
        answers: Mapping[int, RankAnswer],
        engine: EngineModel,
    ) -> None:
        held = any(answer.held != NONE for answer in answers.values())
        armed = any(answer.armed != NONE for answer in answers.values())
        if armed and not held and is_armed_whole(answers):
            # All ranks switch as the next pass begins.
            return
        versions = {answer.map_version for answer in answers.values()}
        if len(versions) > 1:
            # The pass with the switch has begun between two answers.
            return
        version = versions.pop()
        if version != self._version or self._copies is None:
            self._copies = asker.read_copies(answers, version, engine)
            self._version = version
        if (held or armed) and time.monotonic() < self._settled_at:
            # An engine that is asked from afar may still tell what was before.
            return
        if held or armed:
            switch.resolve(answers, self._copies.lists())
            self._version = NONE
        elif self._whole(answers) and all(a.open for a in answers.values()):
            self._follow(asker, switch, answers, engine)

    def _follow(
        self,
        asker: RankAsker,
        switch: ArmedSwitch,
        answers: Mapping[int, RankAnswer],
        engine: EngineModel,
    ) -> None:
        assert self._copies is not None
        if not self._demand.ready:
            return
        demand = self._demand.shares
        paces = np.array([answers[rank].pace for rank in sorted(answers)])
        per_rank = max(1, round(COPY_TIME_S / max(engine.expert_copy_s, LEAST_COPY_S)))
        copies = CopySearch(self._copies, demand, paces).run(
            max_per_rank=per_rank,
            max_per_set=max(1, engine.copies_per_set),
            min_gain=LEAST_GAIN,
        )
        planned = self._copies.with_changes(copies)
        before = self._copies.skew(demand, paces)
        after = planned.skew(demand, paces)
        if not copies or before - after < _least_gain(answers, engine):
            return
        new = switch.next_version(answers)
        started = time.monotonic()
        _log.info(
            "map planned",
            group=self._group,
            version=new,
            copies=sum(copy.expert != EMPTY for copy in copies),
            slowest=round(float(paces.max()), 1),
            running=sum(answer.running for answer in answers.values()),
            skew=round(before, 2),
            skew_after=round(after, 2),
            token=self._token,
        )
        copy_s = COPY_SLACK * per_rank * engine.expert_copy_s + COPY_SLACK_S
        try:
            with self._counting(asker, engine):
                end = switch.run(new, planned.lists(), self._copies.lists(), copy_s)
        finally:
            self._settled_at = time.monotonic() + SETTLE_S
        self._look_ahead(switch.arm_rounds)
        if end is SwitchEnd.DONE:
            self._version, self._copies = new, planned
        _log.info(
            "map switch ended",
            group=self._group,
            version=new,
            result=end.value,
            took_ms=round((time.monotonic() - started) * 1000),
        )

    def _look_ahead(self, arm_rounds: int) -> None:
        """Hold a later pass next time where orders were lost, an earlier one else."""
        if arm_rounds > CLEAN_ROUNDS:
            self._ahead = AHEAD_PASSES_LOSING
        elif arm_rounds:
            self._ahead = max(AHEAD_PASSES, self._ahead - 1)

    def _whole(self, answers: Mapping[int, RankAnswer]) -> bool:
        return len(answers) == next(iter(answers.values())).size

    def _may_act(self, answers: Mapping[int, RankAnswer]) -> bool:
        """Return whether enough is known of all ranks."""
        if len({answer.epoch for answer in answers.values()}) > 1:
            return False
        if self._whole(answers):
            return True
        size = next(iter(answers.values())).size
        missing = set(range(size)) - answers.keys()
        held = any(answer.held != NONE for answer in answers.values())
        # A coordinator arms its own rank last, so where another rank is not armed
        # its own is not either.
        others_armed = all(answer.armed != NONE for answer in answers.values())
        return held and missing == {self._rank_before} and not others_armed

    @contextmanager
    def _counting(self, asker: RankAsker, engine: EngineModel) -> Iterator[None]:
        """Go on counting meanwhile, so that the next plan meets the newest demand."""
        task = gevent.spawn(self._keep_counting, asker, engine)
        try:
            yield
        finally:
            task.kill()

    def _keep_counting(self, asker: RankAsker, engine: EngineModel) -> None:
        while True:
            pause_s = self._counts_due_at - time.monotonic()
            gevent.sleep(max(COUNT_INTERVAL_S, pause_s))
            try:
                answers = asker.statuses(counts=True)
            except Replaced:
                # The switch under way meets the same answer and ends.
                return
            if answers:
                self._count(answers, engine)

    def _count(self, answers: Mapping[int, RankAnswer], engine: EngineModel) -> None:
        total = np.zeros((engine.layer_sets, engine.experts))
        bits = 8 * PICKS_TYPE().itemsize * total.size * len(answers)
        pause_s = bits / (COUNTS_LINK_PART * self._link_bits_per_s)
        self._counts_due_at = time.monotonic() + pause_s
        for answer in answers.values():
            unit = answer.picks_unit or 1.0
            picks = unpack_picks(answer.picks or b"", unit, total.shape)
            if picks is not None:
                total += picks
        self._demand.add(total, time.monotonic())


def _least_gain(answers: Mapping[int, RankAnswer], engine: EngineModel) -> float:
    running = sum(answer.running + answer.waiting for answer in answers.values())
    idle = max(0.0, 1.0 - running / (engine.slots * len(answers)))
    return LEAST_SKEW_GAIN + idle * (LEAST_SKEW_GAIN_IDLE - LEAST_SKEW_GAIN)
