"""Inject each fault at each step of a call, and each pair of faults at two steps.

A call reported as not run must not have run, and a key runs at most once. After each
plan all faults are cleared, the key is tried again at two agents, and the reported
outcomes are checked against the executions.
"""

import itertools

import pytest
from world import STEPS, SWITCHED_OFF, World

MAX_CROSSINGS = 8
MAX_ITERATIONS = 60
PAST_DEADLINE_S = 20.0
LINGER_S = 0.1


def kill(world):
    world.replace(0)


def freeze(world):
    world.clock.advance(PAST_DEADLINE_S)


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
    """Delay a message until its sender timed out and retried its pending writes."""
    late(world)
    freeze(world)
    world.table.time_out()
    world.gates.closed.clear()
    world.agents[0].retry()
    world.gates.close(STEPS)


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
SINGLE = [{at: name} for at in range(MAX_CROSSINGS) for name in FAULTS]


def run(plan, **switches):
    """Inject the faults of a plan at its gate crossings, then heal and check."""
    world = World(**switches)
    world.late = []
    world.gates.close(STEPS)
    try:
        world.call(0)
        crossings = itertools.count()
        for _ in range(MAX_ITERATIONS):
            waiting = [h for h in world.gates.held if h not in world.late]
            if not waiting:
                world.clock.advance(LINGER_S)
                continue
            # Faults act on the first held greenlet, so move this one to the front.
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
            world.clock.advance(PAST_DEADLINE_S)
        world.check()
    finally:
        world.close()


def pairs(first):
    """Return the plans of a fault followed by any second one at a later step."""
    return [
        {a: first, b: second}
        for a, b in itertools.combinations(range(MAX_CROSSINGS), 2)
        for second in FAULTS
    ]


@pytest.mark.parametrize("name", FAULTS)
def test_guarantees_hold_with_one_fault_at_each_step(name):
    for at in range(MAX_CROSSINGS):
        run({at: name})


@pytest.mark.parametrize("name", FAULTS)
def test_guarantees_hold_with_two_faults(name):
    for plan in pairs(name):
        run(plan)


@pytest.mark.parametrize("mechanism", SWITCHED_OFF)
def test_checks_fail_with_a_mechanism_switched_off(mechanism):
    plans = itertools.chain(SINGLE, *(pairs(name) for name in FAULTS))
    switches, failure = SWITCHED_OFF[mechanism]
    with pytest.raises(AssertionError, match=failure):
        for plan in plans:
            run(plan, **switches)
