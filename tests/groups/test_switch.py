"""Tests of map switches: in every step all ranks use one map, whatever fails.

The test oracle is the lock-step stand-in's record of the maps used in each step. The
fault matrix injects each fault before every act of two switches, and pairs of faults
before random ones. Then all faults end, and the group must use the map proposed
last.
"""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.groups.switch_world import FAULTS, World
from toucanspool.groups.coordinator import Coordinator
from toucanspool.groups.fence import FenceGate
from toucanspool.groups.rank_agent import RankAgent
from toucanspool.groups.switch import Round
from toucanspool.groups.switch_intent import Phase
from toucanspool.wire.gen.messages.ttypes import OrderKind, OrderResult

SWITCH_ACTS = 150
MAX_PAIR_DISTANCE_ACTS = 70
PAIRS_PER_FAULT = 4


def run_with_faults(faults, **parts) -> World:
    world = World(**parts)
    world.elect(b"map a", b"map b")
    for act, name in faults:
        world.schedule(act, lambda act=act, name=name: FAULTS[name](world, act))
    world.run(60)
    return world


def fault_pairs(first: str) -> list:
    rng = random.Random(f"pairs {first}")
    rows = []
    for second in list(FAULTS) * PAIRS_PER_FAULT:
        act = rng.randrange(SWITCH_ACTS)
        rows.append(
            [(act, first), (act + rng.randrange(MAX_PAIR_DISTANCE_ACTS), second)]
        )
    return rows


def failed_rows(rows, **parts) -> dict:
    """Return the rows that ended in a mixed step or in a stuck group."""
    failed = {}
    for row in rows:
        world = run_with_faults(row, **parts)
        world.heal()
        recovered = world.reaches_last_map()
        if world.group.mixed_steps():
            failed[tuple(row)] = "mixed"
        elif not recovered:
            failed[tuple(row)] = "stuck"
    return failed


def test_switch_brings_all_ranks_to_one_map():
    world = run_with_faults([])
    assert len({step.versions for step in world.group.steps}) == 2
    assert not world.group.mixed_steps()


@pytest.mark.parametrize("fault", FAULTS)
def test_fault_at_every_act(fault):
    assert not failed_rows([(act, fault)] for act in range(SWITCH_ACTS))


@pytest.mark.parametrize("fault", FAULTS)
def test_fault_pairs(fault):
    assert not failed_rows(fault_pairs(fault))


class NoFenceReadAgent(RankAgent):
    """Accept orders after a restart without reading the recorded token."""

    def read_recorded_fence(self):
        """Open the gate without the recorded token."""
        self._gate.open(0)


class UncheckedGate(FenceGate):
    """Admit every order."""

    __slots__ = ()

    def admit(self, fence, call):
        """Admit; see `FenceGate`."""
        self.fence = max(self.fence, fence)
        return OrderResult.OK


class UnfencedAgent(RankAgent):
    """Accept orders with any fencing token."""

    def __init__(self, **parts):
        super().__init__(**parts)
        self._gate = UncheckedGate()


class UncheckedResumeAgent(RankAgent):
    """Resume on any map that the rank has."""

    def _resume(self, order):
        self._engine.resume(order.fence)
        return OrderResult.OK, ""


class SingleAckRound(Round):
    """Enter the next phase as soon as one rank has confirmed."""

    __slots__ = ()

    def _ack(self, rank, now):
        if self.phase is not Phase.FENCE:
            self._acked.update(range(self._intent.ranks))
        super()._ack(rank, now)


class RecordOnlyRound(Round):
    """Recover from the record alone, without asking the ranks."""

    __slots__ = ()

    def __init__(self, intent, **parts):
        super().__init__(intent, **parts)
        if not intent.new and intent.committed:
            self._versions = dict.fromkeys(range(intent.ranks), intent.committed)
            self._decide(parts["now"])


class AssumeCommittedRound(Round):
    """Assume that ranks without a reply to FENCE use the committed map."""

    __slots__ = ()

    def _ack(self, rank, now):
        if self.phase is Phase.FENCE:
            for other in range(self._intent.ranks):
                self._versions.setdefault(other, self._intent.committed)
                self._acked.add(other)
        super()._ack(rank, now)


class UncheckedReplyRound(Round):
    """Accept every reply as a confirmation."""

    __slots__ = ()

    def _is_expected(self, rank, reply):
        return True


def coordinator_with(round_type):
    class Mutant(Coordinator):
        def _new_round(self, intent):
            return round_type(intent, now=self._clock(), timings=self._timings)

    return Mutant


@pytest.mark.parametrize(
    ("parts", "fault", "seen"),
    [
        ({"coordinator": coordinator_with(SingleAckRound)}, "link cut", "mixed"),
        (
            {
                "coordinator": coordinator_with(RecordOnlyRound),
                "agent": UncheckedResumeAgent,
            },
            "agent restarted",
            "mixed",
        ),
        (
            {
                "coordinator": coordinator_with(AssumeCommittedRound),
                "agent": UncheckedResumeAgent,
            },
            "agent restarted",
            "mixed",
        ),
        (
            {"coordinator": coordinator_with(UncheckedReplyRound)},
            "engine restarted",
            "stuck",
        ),
        ({"agent": UnfencedAgent}, "coordinator frozen", "stuck"),
    ],
    ids=["hasty", "by record alone", "impatient", "credulous", "no fencing"],
)
def test_oracle_detects_a_disabled_safeguard(parts, fault, seen):
    rows = [[(act, fault)] for act in range(SWITCH_ACTS)]
    assert seen in failed_rows(rows, checks_fence=False, **parts).values()


def replay_old_orders(world: World, *, restart: bool) -> None:
    """Redeliver a finished switch's orders to rank 1 during a later switch."""
    world.drivers[0].kill()
    old = [
        index
        for index, message in enumerate(world.history)
        if message.reply is None
        and message.rank == 1
        and message.order.kind in (OrderKind.SWITCH, OrderKind.RESUME)
    ][-2:]
    used = world.group.engines[1].version
    world.elect(b"map c")
    engines = world.group.engines
    world.run(100, until=lambda: all(e.version != used for e in engines))
    if restart:
        world.restart_agent(1)
    for index in old:
        world.repeat(index)
    world.run(20)


@pytest.mark.parametrize("restart", [False, True])
@pytest.mark.parametrize(
    ("agent", "safe"),
    [
        (RankAgent, (True, True)),
        (NoFenceReadAgent, (True, False)),
        (UnfencedAgent, (0, 0)),
    ],
)
def test_redelivered_orders_of_an_old_switch(agent, safe, restart):
    world = run_with_faults([], agent=agent, checks_fence=False)
    replay_old_orders(world, restart=restart)
    assert bool(world.group.mixed_steps()) != bool(safe[restart])


def test_held_group_resumes_while_table_is_down_and_lease_lapsed():
    for act in range(SWITCH_ACTS):
        world = World()
        world.elect(b"map a", b"map b")
        world.run(60, until=lambda world=world, act=act: world.acts >= act)
        world.table.faults.down = True
        world.drivers[0].lease.lapsed = True
        step = world.group.step
        world.run(100)
        started = any(engine.version for engine in world.group.engines)
        resumed = all(engine.ready for engine in world.group.engines)
        assert not started or (resumed and world.group.step > step)


class Faulty(RuleBasedStateMachine):
    """Coordinators, agents and messages in any order, with faults between."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.elect(b"map a", b"map b")
        self.world.run(50)

    @rule(turns=st.integers(1, 12))
    def turns(self, turns):
        """Let all act in order."""
        self.world.run(turns)

    @rule(index=st.integers(0, 20))
    def coordinator_acts(self, index):
        """Let one coordinator run ahead."""
        self.world.drivers[-1 - index % len(self.world.drivers)].act()

    @precondition(lambda self: self.world.network)
    @rule(index=st.integers(0, 50))
    def message_comes_out_of_order(self, index):
        """Deliver any message."""
        self.world.deliver(index % len(self.world.network))

    @precondition(lambda self: self.world.network)
    @rule(index=st.integers(0, 50))
    def message_is_lost(self, index):
        """Lose any message."""
        self.world.network.pop(index % len(self.world.network))

    @precondition(lambda self: self.world.history)
    @rule(back=st.integers(1, 200))
    def message_comes_again(self, back):
        """Deliver a message a second time."""
        self.world.repeat(-min(back, len(self.world.history)))

    @rule(name=st.sampled_from(sorted(FAULTS)), nth=st.integers(0, 2))
    def fault(self, name, nth):
        """Bring about one of the matrix's faults."""
        FAULTS[name](self.world, self.world.acts + nth)

    @rule(index=st.integers(0, 20))
    def coordinator_freezes_or_goes_on(self, index):
        """Freeze or wake one."""
        driver = self.world.drivers[-1 - index % len(self.world.drivers)]
        driver.paused = not driver.paused

    @rule()
    def map_is_proposed(self):
        """Propose one more map."""
        self.world.drivers[-1].proposals.append(b"map d")

    @invariant()
    def steps_use_one_map(self):
        """Check the oracle."""
        assert not self.world.group.mixed_steps()

    def teardown(self):
        """End all faults; the group must go on."""
        self.world.heal()
        assert self.world.reaches_last_map()
        assert not self.world.group.mixed_steps()


def test_state_machine():
    run_state_machine_as_test(
        Faulty,
        settings=settings(
            derandomize=True, deadline=None, max_examples=100, stateful_step_count=60
        ),
    )
