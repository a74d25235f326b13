"""Tests that the rebalancer reacts to changes, ignores noise and only proposes."""

import math
from dataclasses import replace

import numpy as np
import pytest
from group_reports import ReportingGroup, run_group

from toucanspool.groups.placement_settings import PlacementSettings
from toucanspool.groups.rebalancer import BadReport, Rebalancer, StaleMap
from toucanspool.groups.straggler import RankHealth

CFG = PlacementSettings()


def start(**options):
    group = ReportingGroup(**options)
    return group, Rebalancer(CFG, group.map, 0.0)


@pytest.mark.parametrize("seed", range(5))
def test_nothing_changing_makes_no_decision(seed):
    group, rebalancer = start(seed=seed)
    decisions = run_group(group, rebalancer, 200)
    assert all(
        decision.plan is None and not decision.reason for _, decision in decisions
    )


def test_without_the_test_of_noise_it_decides(monkeypatch):
    group = ReportingGroup()
    cfg = replace(CFG, noise_sigmas=0.0, min_gain=1e-4)
    decisions = run_group(group, Rebalancer(cfg, group.map, 0.0), 200)
    assert any(decision.plan for _, decision in decisions)


def test_sudden_change_is_answered_and_explained():
    group, rebalancer = start()
    run_group(group, rebalancer, 60)
    group.loads = np.roll(group.loads, 5, axis=1)
    before = group.skew()
    decisions = run_group(group, rebalancer, 40, start=61)
    assert group.skew() < 1 + 0.25 * (before - 1)
    reasons = " ".join(decision.reason for _, decision in decisions)
    assert "is late because it has" in reasons
    assert "so that each step takes" in reasons


@pytest.mark.parametrize("speed", [0.5, 0.3])
def test_effect_of_a_slow_rank_is_halved(speed):
    group, rebalancer = start()
    run_group(group, rebalancer, 60)
    calm = group.skew()
    group.speeds[2] = speed
    hurt = group.skew()
    run_group(group, rebalancer, 50, start=61)
    assert group.skew() - calm < 0.5 * (hurt - calm)


def test_slow_rank_is_replaced_in_the_end_and_then_used_again():
    group, rebalancer = start()
    run_group(group, rebalancer, 30)
    group.speeds[2] = 0.5
    decisions = run_group(group, rebalancer, 80, start=31)
    states = [
        change.state
        for _, decision in decisions
        for change in decision.state_changes
        if change.rank == 2
    ]
    assert states == [RankHealth.SLOW, RankHealth.REPLACE]
    group.speeds[2] = 1.0
    rebalancer.reset_rank(2, 110.0)
    decisions = run_group(group, rebalancer, 60, start=111)
    assert not [
        change for _, decision in decisions for change in decision.state_changes
    ]
    assert group.skew() < 1.05


def test_stalled_rank_gets_next_to_nothing():
    group, rebalancer = start()
    run_group(group, rebalancer, 30)
    group.silent = {2}
    run_group(group, rebalancer, 40, start=31)
    assert group.map.rank_loads(group.loads)[:, 2].max() < 0.02


def open_proposal():
    group, rebalancer = start()
    run_group(group, rebalancer, 30)
    group.loads = np.roll(group.loads, 5, axis=1)
    for now in range(31, 60):
        for report in group.reports(float(now)):
            rebalancer.observe(report, float(now))
        plan = rebalancer.decide(float(now)).plan
        if plan is not None:
            return group, rebalancer, plan, now
    raise AssertionError("no plan")


def later_plans(group, rebalancer, now):
    plans = []
    for second in range(now + 1, now + 20):
        for report in group.reports(float(second)):
            rebalancer.observe(report, float(second))
        plans.append(rebalancer.decide(float(second)).plan)
    return [plan for plan in plans if plan is not None]


def test_one_proposal_is_open_at_a_time():
    group, rebalancer, _, now = open_proposal()
    assert later_plans(group, rebalancer, now) == []


def test_withdrawn_proposal_makes_room_for_another():
    group, rebalancer, plan, now = open_proposal()
    rebalancer.withdraw()
    (again,) = later_plans(group, rebalancer, now)
    assert again.map.version == plan.map.version == rebalancer.map.version + 1


def test_older_map_is_refused():
    _, rebalancer, plan, _ = open_proposal()
    old = rebalancer.map
    rebalancer.adopt(plan.map)
    with pytest.raises(StaleMap):
        rebalancer.adopt(old)
    assert rebalancer.map is plan.map


@pytest.mark.parametrize(
    "wrong",
    [
        {"rank": 8},
        {"rank": -1},
        {"busy_s": math.nan},
        {"busy_s": -1.0},
        {"at": math.inf},
        {"tokens": np.ones((2, 2), dtype=int)},
        {"tokens": np.full((2, 3), -1)},
    ],
)
def test_impossible_report_is_refused(wrong):
    group, rebalancer = start()
    report = next(group.reports(1.0, loss_rate=0.0))
    with pytest.raises(BadReport):
        rebalancer.observe(replace(report, **wrong), 1.0)


def test_decision_is_made_in_slices():
    group, rebalancer = start()
    run_group(group, rebalancer, 30)
    group.loads = np.roll(group.loads, 5, axis=1)
    most = 0
    for now in range(31, 50):
        for report in group.reports(float(now)):
            rebalancer.observe(report, float(now))
        most = max(most, sum(1 for _ in rebalancer.decide_slices(float(now))))
    assert most > 10
