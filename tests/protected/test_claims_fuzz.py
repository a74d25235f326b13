"""Prove by fuzzing that "not run" is true and that a key runs at most once.

Agents on one table serve the same keys while commits are frozen, lost, late or
refused, agents die, and callers repeat themselves. Each mechanism is switched off in
turn, and the same machine must then find the fault.
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
    """Do anything to agents and the table; the world's oracle judges."""

    switches = {}

    def __init__(self):
        super().__init__()
        self.world = World(**self.switches)

    @rule(agent=AGENTS, key=KEYS, body=BODIES)
    def call(self, agent, key, body):
        """Let a caller try."""
        self.world.call(agent, key, body)

    @rule(first=AGENTS, second=AGENTS, key=KEYS)
    def repeat_message(self, first, second, key):
        """Deliver one attempt twice."""
        attempt = f"twice-{len(self.world.deliveries)}"
        self.world.call(first, key, "b", attempt)
        self.world.call(second, key, "b", attempt)

    @rule(step=st.sampled_from(STEPS))
    def freeze(self, step):
        """Stop whoever comes to a step."""
        self.world.gates.close([step])

    @rule(agent=AGENTS, key=KEYS)
    def overtake(self, agent, key):
        """Hold a commit until its agent has given up and freed the key."""
        self.world.gates.traps.add("commit.before")
        self.world.call(agent, key)
        self.world.clock.advance(20.0)
        self.world.agents[agent].retry()

    @precondition(lambda self: self.world.gates.held)
    @rule(data=st.data())
    def go_on(self, data):
        """Let one of those who stopped go on."""
        held = len(self.world.gates.held)
        self.world.gates.let(data.draw(st.integers(0, held - 1)))

    @rule()
    def thaw(self):
        """Open all gates."""
        self.world.gates.open()

    @rule(down=st.booleans())
    def table_down(self, down):
        """Take the table away, or bring it back."""
        self.world.table.faults.set(down=down)

    @rule()
    def lose_answer(self):
        """Lose the answer of the next commit."""
        self.world.table.faults.set(lose_answers=1)

    @rule()
    def lose_request(self):
        """Lose the next commit itself."""
        self.world.table.lose_requests = 1

    @rule()
    def repeat_request(self):
        """Let the next commit reach the table twice."""
        self.world.table.repeat_requests = 1

    @rule(broken=st.booleans())
    def upstream_fails(self, broken):
        """Let the upstream refuse a call, or break off after it."""
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
        """Repeat an agent's pending writes."""
        self.world.agents[agent].retry()

    @rule(seconds=SECONDS)
    def advance(self, seconds):
        """Let time pass."""
        self.world.clock.advance(seconds)

    @invariant()
    def holds(self):
        """Ask the oracle."""
        self.world.check()

    def teardown(self):
        """Heal everything, and see that nothing is stuck."""
        try:
            self.world.heal()
            self.world.check_live()
        finally:
            self.world.close()


def test_promises_hold_under_faults():
    run_machine(ProtectedCalls, settings=SETTINGS)


@pytest.mark.parametrize("mechanism", SWITCHED_OFF)
def test_oracle_sees_a_mechanism_switched_off(mechanism):
    switches, verdict = SWITCHED_OFF[mechanism]
    machine = type("SwitchedOff", (ProtectedCalls,), {"switches": switches})
    with pytest.raises(AssertionError, match=verdict):
        run_machine(machine, settings=FIND_ONLY)
