"""Fuzz claims: a call reported as not run didn't run, and a key runs at most once.

Agents on one table serve the same keys while commits are delayed, lost, duplicated or
refused, agents are killed, and callers repeat attempts. Then each mechanism is disabled
in turn, and the same state machine must find the failure.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine
from world import STEPS, SWITCHED_OFF, World

AGENTS = st.integers(0, 2)
KEYS = st.sampled_from(["k1", "k2"])
BODIES = st.sampled_from(["b", "b", "b", "other"])
SECONDS = st.sampled_from([0.1, 1.0, 6.0, 20.0])
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=120,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
FIND_ONLY = settings(SETTINGS, phases=[Phase.generate], max_examples=2000)


class ProtectedCalls(RuleBasedStateMachine):
    """Inject faults into agents, the table and the upstream in any order."""

    switches = {}

    def __init__(self):
        super().__init__()
        self.world = World(**self.switches)

    @rule(agent=AGENTS, key=KEYS, body=BODIES)
    def call(self, agent, key, body):
        """Deliver a new attempt to an agent."""
        self.world.call(agent, key, body)

    @rule(first=AGENTS, second=AGENTS, key=KEYS)
    def repeat_message(self, first, second, key):
        """Deliver one attempt to two agents."""
        attempt = f"twice-{len(self.world.deliveries)}"
        self.world.call(first, key, "b", attempt)
        self.world.call(second, key, "b", attempt)

    @rule(step=st.sampled_from(STEPS))
    def freeze(self, step):
        """Block each greenlet that reaches a step."""
        self.world.gates.close([step])

    @rule(agent=AGENTS, key=KEYS)
    def overtake(self, agent, key):
        """Delay a commit until its agent has given up and freed the key."""
        self.world.gates.traps.add("commit.before")
        self.world.call(agent, key)
        self.world.clock.advance(20.0)
        self.world.table.time_out()
        self.world.agents[agent].retry()

    @precondition(lambda self: self.world.gates.held)
    @rule(data=st.data())
    def go_on(self, data):
        """Resume one of the blocked greenlets."""
        held = len(self.world.gates.held)
        self.world.gates.let(data.draw(st.integers(0, held - 1)))

    @rule()
    def thaw(self):
        """Resume all blocked greenlets."""
        self.world.gates.open()

    @rule(down=st.booleans())
    def table_down(self, down):
        """Start or end an outage of the table."""
        self.world.table.faults.set(down=down)

    @rule()
    def lose_answer(self):
        """Lose the reply to the next commit."""
        self.world.table.faults.set(lose_answers=1)

    @rule()
    def lose_request(self):
        """Lose the next commit before it reaches the table."""
        self.world.table.lose_requests = 1

    @rule()
    def repeat_request(self):
        """Deliver the next commit to the table twice."""
        self.world.table.repeat_requests = 1

    @rule()
    def time_out(self):
        """Time out all waiting calls to the table."""
        self.world.table.time_out()

    @rule(broken=st.booleans())
    def upstream_fails(self, broken):
        """Make the upstream refuse the next call, or break the connection after it."""
        if broken:
            self.world.upstream.breaks = 1
        else:
            self.world.upstream.refuse = 1

    @rule(agent=AGENTS)
    def replace(self, agent):
        """Kill an agent and start another."""
        self.world.replace(agent)

    @rule(agent=AGENTS)
    def retry(self, agent):
        """Retry an agent's pending writes."""
        self.world.agents[agent].retry()

    @rule(seconds=SECONDS)
    def advance(self, seconds):
        """Advance the virtual clock."""
        self.world.clock.advance(seconds)

    @invariant()
    def holds(self):
        """Check the reported outcomes against the executions."""
        self.world.check()

    def teardown(self):
        """Clear all faults, and check that no key is stuck."""
        try:
            self.world.heal()
            self.world.check_live()
        finally:
            self.world.close()


def test_guarantees_hold_under_faults():
    run_machine(ProtectedCalls, settings=SETTINGS)


@pytest.mark.parametrize("mechanism", SWITCHED_OFF)
def test_checks_fail_with_a_mechanism_switched_off(mechanism):
    switches, failure = SWITCHED_OFF[mechanism]
    machine = type("SwitchedOff", (ProtectedCalls,), {"switches": switches})
    with pytest.raises(AssertionError, match=failure):
        run_machine(machine, settings=FIND_ONLY)
