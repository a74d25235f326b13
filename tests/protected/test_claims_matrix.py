"""Prove by a fault matrix that "not run" is true and that a key runs at most once.

A call is stopped at each of its steps in turn, a fault is brought about there, and
every pair of faults at two steps as well. Then all faults are lifted, the key is tried
again at two agents, and the oracle judges.
"""

import itertools

import pytest
from world import STEPS, SWITCHED_OFF, World

CROSSINGS = 8
MAX_TURNS = 60
LONG_S = 20.0
LINGER_S = 0.1


def kill(world):
    world.replace(0)


def freeze(world):
    world.clock.advance(LONG_S)


def outage(world):
    world.table.faults.set(down=True)


def answer_lost(world):
    world.table.faults.set(lose_answers=1)


def request_lost(world):
    world.table.lose_requests = 1


def request_repeated(world):
    world.table.repeat_requests = 1


def message_repeated(world):
    world.call(1, attempt="a0")


def retry_elsewhere(world):
    world.call(1)


def other_body(world):
    world.call(2, body="other")


def upstream_refuses(world):
    world.upstream.refuse = 1


def upstream_breaks(world):
    world.upstream.breaks = 1


def late(world):
    world.late.append(world.gates.held[0])


def overtaken(world):
    """Hold a message until what follows from its lateness has been done."""
    late(world)
    freeze(world)
    world.agents[0].retry()


FAULTS = {
    fault.__name__: fault
    for fault in (
        kill,
        freeze,
        outage,
        answer_lost,
        request_lost,
        request_repeated,
        message_repeated,
        retry_elsewhere,
        other_body,
        upstream_refuses,
        upstream_breaks,
        late,
        overtaken,
    )
}
SINGLE = [{at: name} for at in range(CROSSINGS) for name in FAULTS]


def run(plan, **switches):
    """Bring about faults at the crossings that a plan names, then heal and judge."""
    world = World(**switches)
    world.late = []
    world.gates.close(STEPS)
    try:
        world.call(0)
        crossings = itertools.count()
        for _ in range(MAX_TURNS):
            waiting = [h for h in world.gates.held if h not in world.late]
            if not waiting:
                world.clock.advance(LINGER_S)
                continue
            # The one who stopped comes first, so that a fault can name it.
            world.gates.held.remove(waiting[0])
            world.gates.held.insert(0, waiting[0])
            fault = plan.get(next(crossings))
            if fault:
                FAULTS[fault](world)
            if world.gates.held[:1] == waiting[:1] and waiting[0] not in world.late:
                world.gates.let()
        world.check()
        world.heal()
        world.check_live()
        for agent in (1, 0):
            world.call(agent)
            world.clock.advance(LONG_S)
        world.check()
    finally:
        world.close()


def pairs(first):
    """Return the plans of a fault and a second one at a later step."""
    return [
        {a: first, b: second}
        for a, b in itertools.combinations(range(CROSSINGS), 2)
        for second in FAULTS
    ]


@pytest.mark.parametrize("name", FAULTS)
def test_promises_hold_with_one_fault_at_each_step(name):
    for at in range(CROSSINGS):
        run({at: name})


@pytest.mark.parametrize("name", FAULTS)
def test_promises_hold_with_two_faults(name):
    for plan in pairs(name):
        run(plan)


@pytest.mark.parametrize("mechanism", SWITCHED_OFF)
def test_matrix_sees_a_mechanism_switched_off(mechanism):
    plans = itertools.chain(SINGLE, *(pairs(name) for name in FAULTS))
    switches, verdict = SWITCHED_OFF[mechanism]
    with pytest.raises(AssertionError, match=verdict):
        for plan in plans:
            run(plan, **switches)
