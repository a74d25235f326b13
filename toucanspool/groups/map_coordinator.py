"""Coordinator of one lock-step group; adapts the expert map to demand."""

import math
import time
from collections.abc import Callable, Collection, Mapping

import numpy as np
import structlog

from toucanspool.groups.armed_switch import ArmedSwitch, SwitchEnd
from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.count_reader import CountReader
from toucanspool.groups.group_client import GroupChanged, GroupClient, RankLink
from toucanspool.groups.group_repair import repair_group
from toucanspool.groups.group_state import (
    can_act,
    held_passes,
    is_complete,
    is_fully_armed,
)
from toucanspool.groups.hold_lead import HoldLead
from toucanspool.groups.map_planner import copies_per_rank, plan_copies
from toucanspool.groups.map_preparation import VersionedMap, copy_timeout_s
from toucanspool.groups.map_reader import read_copies, read_lists
from toucanspool.groups.map_repair import complete_map
from toucanspool.groups.map_versions import VersionSource
from toucanspool.groups.pass_clock import PassClock
from toucanspool.groups.rank_calls import NoAnswer
from toucanspool.groups.rank_engine import UNSET
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import RankAnswer

# Three times the documented lag of an engine's state, as other machines read it.
MAX_STATE_LAG_S = 0.6
# The smallest decrease of skew that is worth the copies, for a group whose engines are
# full and for an idle one, in which skew affects callers less.
MIN_SKEW_GAIN = 0.1
IDLE_MIN_SKEW_GAIN = 0.2

_log = structlog.get_logger()


class MapCoordinator:
    """Plan and switch the expert maps of a group during one term as coordinator.

    Parameters
    ----------
    group : str
        Name of the group.
    token : int
        Fencing token from this coordinator's election.
    own_rank : int
        The rank on this machine.
    engine : callable
        Returns the `EngineModel` of the group, or None while it is not known.
    link_bits_per_s : float
        Bandwidth of this instance's network link.
    previous_rank : int or None
        The rank on the machine of the previous coordinator, if known.
    previous_token : int, default=0
        The token of the previous coordinator.
    """

    __slots__ = (
        "_copies",
        "_counts",
        "_engine",
        "_ended_holds",
        "_group",
        "_hold_lead",
        "_link_bits_per_s",
        "_not_held_at",
        "_own_rank",
        "_pass_clock",
        "_previous_rank",
        "_previous_token",
        "_several_maps_since",
        "_states_current_at",
        "_token",
        "_version",
        "_versions",
    )

    def __init__(
        self,
        group: str,
        token: int,
        own_rank: int,
        engine: Callable[[], EngineModel | None],
        *,
        link_bits_per_s: float,
        previous_rank: int | None = None,
        previous_token: int = 0,
    ) -> None:
        self._previous_rank = previous_rank
        self._previous_token = previous_token
        self._link_bits_per_s = link_bits_per_s
        self._hold_lead = HoldLead()
        self._pass_clock = PassClock()
        self._states_current_at = 0.0
        self._ended_holds: Collection[tuple[int, int]] = ()
        self._group = group
        self._token = token
        self._own_rank = own_rank
        self._engine = engine
        self._counts = CountReader(link_bits_per_s)
        self._version = UNSET
        self._versions = VersionSource(token)
        self._copies: ExpertCopies | None = None
        self._several_maps_since = math.inf
        self._not_held_at = UNSET

    @property
    def own_rank(self) -> int:
        """The rank on this machine when it was elected."""
        return self._own_rank

    def run_once(self, links: Mapping[int, RankLink]) -> None:
        """Read the group's state once, and switch its map if that is worthwhile.

        Parameters
        ----------
        links : mapping of int to RankLink
            Links to the group's ranks, by rank.

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        """
        engine = self._engine()
        client = GroupClient(
            self._group, self._token, links, link_bits_per_s=self._link_bits_per_s
        )
        if engine is None:
            client.fetch_statuses()
            return
        answers = self._counts.fetch(client, links, engine)
        if self._own_rank not in answers:
            return
        self._pass_clock.observe(answers[self._own_rank].step, time.monotonic())
        if not can_act(answers, self._previous_rank, self._previous_token):
            return
        first = next(iter(answers.values()))
        switch = ArmedSwitch(
            client,
            first.epoch,
            answers,
            self._own_rank,
            passes_ahead=self._hold_lead.passes_ahead(self._pass_clock.pass_s),
            versions=self._versions,
            quiet_link=self._counts.paused,
        )
        try:
            self._reconcile(client, switch, answers, engine)
        except (GroupChanged, NoAnswer) as exc:
            _log.info("map not changed", group=self._group, reason=str(exc))

    def _reconcile(
        self,
        client: GroupClient,
        switch: ArmedSwitch,
        answers: Mapping[int, RankAnswer],
        engine: EngineModel,
    ) -> None:
        holds = held_passes(answers)
        armed = any(answer.armed != UNSET for answer in answers.values())
        versions = {answer.map_version for answer in answers.values()}
        if len(versions) > 1:
            self._handle_several_maps(client, switch, answers, engine)
            return
        self._several_maps_since = math.inf
        if armed and not holds and is_fully_armed(answers):
            # A switch is in progress: all ranks switch when the next pass begins.
            return
        version = versions.pop()
        if version != self._version or self._copies is None:
            self._copies = read_copies(client, answers, version, engine)
            self._version = version
        if holds or armed:
            may_be_past = time.monotonic() < self._states_current_at
            if may_be_past and holds.issubset(self._ended_holds):
                # Engines on other machines may still tell of released holds. The group
                # waits for any other one.
                return
            with self._counts.uncounted(client, answers, engine):
                switch.resolve(answers, self._copies.lists())
            self._record_end(switch)
            self._version = UNSET
        elif is_complete(answers) and all(a.open for a in answers.values()):
            self._rebalance(client, switch, answers, engine)

    def _record_end(self, switch: ArmedSwitch) -> None:
        self._states_current_at = time.monotonic() + MAX_STATE_LAG_S
        self._ended_holds = switch.holds.known

    def _handle_several_maps(
        self,
        client: GroupClient,
        switch: ArmedSwitch,
        answers: Mapping[int, RankAnswer],
        engine: EngineModel,
    ) -> None:
        """Bring the group back to one map if this is no switch that is just seen."""
        now = time.monotonic()
        self._version = UNSET
        self._several_maps_since = min(now, self._several_maps_since)
        # The group may switch while the answers are collected, and engines on other
        # machines report their state late.
        if now < self._several_maps_since + MAX_STATE_LAG_S:
            return
        if not is_complete(answers):
            return
        lists = read_lists(client, answers, engine)
        complete = complete_map(lists, engine.experts)
        timeout_s = copy_timeout_s(engine, engine.expert_slots)
        with self._counts.uncounted(client, answers, engine):
            outcome = repair_group(switch, client, answers, complete, timeout_s)
        _log.error(
            "ranks used different maps",
            group=self._group,
            versions=sorted({answer.map_version for answer in answers.values()}),
            result=outcome.value,
            token=self._token,
        )

    def _rebalance(
        self,
        client: GroupClient,
        switch: ArmedSwitch,
        answers: Mapping[int, RankAnswer],
        engine: EngineModel,
    ) -> None:
        assert self._copies is not None
        if not self._counts.demand.ready:
            return
        demand = self._counts.demand.shares
        slowdowns = np.array([answers[rank].pace for rank in sorted(answers)])
        planned = plan_copies(
            self._copies,
            demand,
            slowdowns,
            engine,
            link_bits_per_s=self._link_bits_per_s,
        )
        before = self._copies.skew(demand, slowdowns)
        after = planned.skew(demand, slowdowns)
        if before - after < _min_skew_gain(answers, engine):
            return
        step = max(answer.step for answer in answers.values())
        if step == self._not_held_at:
            # Agents that are new hold no pass before the next one has begun.
            return
        version = switch.next_version(answers)
        started = time.monotonic()
        _log.info(
            "map planned",
            group=self._group,
            version=version,
            copies=int((planned.held & ~self._copies.held).sum()),
            slowest=round(float(slowdowns.max()), 1),
            running=sum(answer.running for answer in answers.values()),
            skew=round(before, 2),
            skew_after=round(after, 2),
            token=self._token,
        )
        try:
            with self._counts.background(client, answers, engine):
                outcome = switch.run(
                    VersionedMap(version, planned.lists()),
                    VersionedMap(self._version, self._copies.lists()),
                    copy_timeout_s(engine, copies_per_rank(engine)),
                )
        finally:
            self._record_end(switch)
        self._hold_lead.observe(switch.holds.held_s)
        self._not_held_at = step if outcome is SwitchEnd.NOT_HELD else UNSET
        _log.info(
            "map switch ended",
            group=self._group,
            version=version,
            result=outcome.value,
            took_ms=round((time.monotonic() - started) * 1000),
            held_ms=round(switch.holds.held_s * 1000),
            passes_ahead=switch.passes_ahead,
            pass_ms=self._pass_clock.pass_ms,
            arm_rounds=switch.arm_rounds,
            delayed_group=switch.holds.delayed_group,
        )
        if outcome is SwitchEnd.DONE:
            self._version, self._copies = version, planned
            # The next map can be planned once all ranks use this one.
            with self._counts.background(client, answers, engine):
                switch.wait_for_pass(switch.passes_ahead * self._pass_clock.pass_s)


def _min_skew_gain(answers: Mapping[int, RankAnswer], engine: EngineModel) -> float:
    running = sum(answer.running + answer.waiting for answer in answers.values())
    idle = max(0.0, 1.0 - running / (engine.slots * len(answers)))
    return MIN_SKEW_GAIN + idle * (IDLE_MIN_SKEW_GAIN - MIN_SKEW_GAIN)
