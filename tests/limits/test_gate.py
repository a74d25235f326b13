"""Proves that a task waits for its place, gets its answer at once, and gives it back.

Time is a fake clock; gevent events do the waiting.
"""

import random

import gevent
import pytest

from toucanspool.limits.admission import Admission
from toucanspool.limits.gate import Gate, wake
from toucanspool.limits.shed import Shed


def gate_of_one(on_settled=wake):
    admission = Admission(
        1.0, random.Random(1), max_wait_s=30.0, headroom=0.0, on_settled=on_settled
    )
    return Gate(admission, clock=lambda: 0.0)


def hold_until(gate, event, log, team, priority=0):
    try:
        with gate.hold(team, 1.0, priority):
            log.append(team)
            event.wait()
    except Shed:
        log.append(f"{team} shed")


def test_a_waiting_task_goes_on_when_a_place_comes_back():
    gate, log, event = gate_of_one(), [], gevent.event.Event()
    tasks = [gevent.spawn(hold_until, gate, event, log, team) for team in "ab"]
    gevent.sleep(0)
    assert log == ["a"]
    event.set()
    gevent.joinall(tasks, timeout=5)
    assert log == ["a", "b"]
    assert gate.admission.running == 0


def shed_while_waiting(on_settled):
    gate, log, event = gate_of_one(on_settled), [], gevent.event.Event()
    tasks = [gevent.spawn(hold_until, gate, event, log, "a", 9)]
    for priority in (0, 5):
        for n in range(30):
            team = f"{priority}-{n}"
            tasks.append(gevent.spawn(hold_until, gate, event, log, team, priority))
        gevent.sleep(0)
    gevent.sleep(0)
    gevent.killall(tasks)
    return sum(line.startswith("0-") and line.endswith("shed") for line in log)


@pytest.mark.parametrize(("on_settled", "answered"), [(wake, 30), (None, 0)])
def test_a_task_shed_while_it_waits_is_answered_at_once(on_settled, answered):
    assert shed_while_waiting(on_settled) == answered


def test_a_killed_task_gives_its_place_back():
    gate, log, event = gate_of_one(), [], gevent.event.Event()
    task = gevent.spawn(hold_until, gate, event, log, "a")
    gevent.sleep(0)
    task.kill()
    assert gate.admission.running == 0
