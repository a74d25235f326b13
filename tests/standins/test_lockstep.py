"""The lock-step stand-in: steps, holds, loads, restarts, and their records.

Tests of map switches look for mixed steps in these records, so wrong records would
hide a fault.
"""

import falcon.testing
import pytest

from standins.lockstep import make_app
from standins.lockstep_group import LockstepGroup
from toucanspool.groups.engine import EngineRefused, EngineUnavailable


def test_no_rank_starts_a_step_before_all_have_finished():
    group = LockstepGroup(2, version=1)
    group.tick()
    group.stall(1, 3)
    for _ in range(3):
        group.tick()
    assert group.step == 0
    group.tick()
    assert group.step == 1


def test_held_rank_holds_the_group_at_a_boundary():
    group = LockstepGroup(2, version=1)
    group.tick()
    group.engines[0].hold(1)
    assert not group.engines[0].state().held
    group.tick()
    assert group.engines[0].state().held
    group.tick()
    assert group.step == 1


def test_step_with_two_maps_is_recorded():
    group = LockstepGroup(2, version=1, load_ticks=1)
    group.engines[0].load(2, b"", 1)
    group.tick()
    group.engines[0].switch(2, 1)
    group.tick()
    assert [step.versions for step in group.mixed_steps()] == [(2, 1)]


def test_weight_store_serves_a_bounded_number_of_loads():
    group = LockstepGroup(2, load_ticks=2, store_slots=1)
    for engine in group.engines:
        engine.load(2, b"", 1)
    group.tick()
    group.tick()
    assert [e.state().staged_version for e in group.engines] == [2, 0]


def test_restarted_rank_waits_to_be_resumed_into_a_new_incarnation():
    group = LockstepGroup(2, version=1, load_ticks=1)
    group.tick()
    group.restart(0)
    group.tick()
    assert group.engines[0].state().version == 0
    assert len(group.steps) == 1
    group.engines[0].load(1, b"", 1)
    group.tick()
    group.engines[0].switch(1, 1)
    group.engines[0].resume(1)
    group.tick()
    assert group.steps[-1].incarnation == 2


@pytest.mark.parametrize(("checks", "refused"), [((0,), True), ((), False)])
def test_some_engines_check_fencing_tokens(checks, refused):
    engine = LockstepGroup(1, version=1, checks_fence=checks).engines[0]
    engine.hold(5)
    if not refused:
        engine.resume(4)
        return
    with pytest.raises(EngineRefused):
        engine.resume(4)


def test_lost_rank_does_not_answer():
    group = LockstepGroup(1, version=1)
    group.lose(0)
    with pytest.raises(EngineUnavailable):
        group.engines[0].state()


def test_pages_take_orders_faults_and_events():
    group = LockstepGroup(2, version=1)
    client = falcon.testing.TestClient(make_app(group))
    held = client.simulate_post("/ranks/0/orders/hold", json={"fence": 1})
    assert held.json["held"]
    body = {"fence": 1, "version": 9}
    refused = client.simulate_post("/ranks/0/orders/switch", json=body)
    assert refused.status_code == 409
    client.simulate_put("/ranks/0/faults", json={"down": True})
    assert client.simulate_get("/ranks/0").status_code == 503
    client.simulate_put("/ranks/1/events/restart")
    assert client.simulate_get("/ranks/1").json["version"] == 0
    assert client.simulate_get("/steps").json == []
