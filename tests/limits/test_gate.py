"""Checks that a task waits for admission, is woken if shed, and releases capacity.

The clock is fake; tasks wait for gevent events.
"""

import random

import gevent
import pytest

from toucanspool.limits.admission import Admission
from toucanspool.limits.gate import Gate, wake
from toucanspool.limits.shed import Shed


def make_gate(on_settled=wake):
    admission = Admission(
        1.0,
        random.Random(1),
        max_wait_s=30.0,
        reserved_fraction=0.0,
        on_settled=on_settled,
    )
    return Gate(admission, clock=lambda: 0.0)


def hold_until(gate, event, log, team, priority=0):
    try:
        with gate.hold(team, 1.0, priority):
            log.append(team)
            event.wait()
    except Shed:
        log.append(f"{team} shed")


def test_a_waiting_task_is_admitted_when_capacity_is_released():
    gate, log, event = make_gate(), [], gevent.event.Event()
    tasks = [gevent.spawn(hold_until, gate, event, log, team) for team in "ab"]
    gevent.sleep(0)
    assert log == ["a"]
    event.set()
    gevent.joinall(tasks, timeout=5)
    assert log == ["a", "b"]
    assert gate.admission.running == 0


def shed_while_waiting(on_settled):
    gate, log, event = make_gate(on_settled), [], gevent.event.Event()
    tasks = [gevent.spawn(hold_until, gate, event, log, "a", 9)]
    for priority in (0, 5):
        for n in range(30):
            team = f"{priority}-{n}"
            tasks.append(gevent.spawn(hold_until, gate, event, log, team, priority))
        gevent.sleep(0)
    gevent.sleep(0)
    gevent.killall(tasks)
    return sum(line.startswith("0-") and line.endswith("shed") for line in log)


@pytest.mark.parametrize(("on_settled", "shed_count"), [(wake, 30), (None, 0)])
def test_a_task_shed_while_it_waits_is_woken_at_once(on_settled, shed_count):
    assert shed_while_waiting(on_settled) == shed_count


def test_a_killed_task_releases_its_capacity():
    gate, log, event = make_gate(), [], gevent.event.Event()
    task = gevent.spawn(hold_until, gate, event, log, "a")
    gevent.sleep(0)
    task.kill()
    assert gate.admission.running == 0
