"""Tests that slow, stalled and hot ranks are distinguished without flapping."""

import numpy as np
import pytest

from toucanspool.groups import straggler
from toucanspool.groups.load import RankReport
from toucanspool.groups.straggler import MIN_SPEED, RankHealth, StragglerDetector

RANKS = 16
FIXED_FRACTION = 0.1


class SimulatedRanks:
    """Simulate ranks with given loads and speeds that report to a detector."""

    def __init__(self, seed=1):
        self.rng = np.random.default_rng(seed)
        self.detector = StragglerDetector(RANKS, 0.0)
        self.loads = np.ones(RANKS)
        self.speeds = np.ones(RANKS)
        self.silent = set()
        self.now = 0.0
        self.history = []

    def report(self, rank, at):
        """Return one report of a rank."""
        busy_s = (
            FIXED_FRACTION + (1 - FIXED_FRACTION) * self.loads[rank]
        ) / self.speeds[rank]
        return RankReport(
            rank=rank,
            version=0,
            at=at,
            steps=10,
            busy_s=float(busy_s * self.rng.normal(1.0, 0.02)),
            tokens=np.full((1, 1), int(1e6 * self.loads[rank])),
        )

    def run(self, seconds):
        """Report and update once a second; return the state changes."""
        changes = []
        for _ in range(seconds):
            self.now += 1.0
            for rank in set(range(RANKS)) - self.silent:
                if self.rng.random() > 0.05:
                    self.detector.observe(self.report(rank, self.now), self.now)
            changes += self.detector.update(self.now)
        self.history += changes
        return changes

    def states(self, changes):
        """Return the rank and the state of each change."""
        return [(change.rank, change.state) for change in changes]


def test_healthy_ranks_stay_healthy():
    assert SimulatedRanks().run(600) == []


def test_hot_rank_is_not_slow():
    ranks = SimulatedRanks()
    ranks.loads[3] = 2.0
    assert ranks.run(120) == []
    assert ranks.states(ranks.detector.hot_ranks()) == [(3, RankHealth.HOT)]
    assert "1.8" in ranks.detector.hot_ranks()[0].reason


def test_slow_rank_is_not_hot_and_is_replaced_if_it_stays():
    ranks = SimulatedRanks()
    ranks.run(20)
    ranks.speeds[3] = 0.5
    assert ranks.states(ranks.run(15)) == [(3, RankHealth.SLOW)]
    assert ranks.detector.hot_ranks() == []
    assert ranks.detector.speeds[3] < 0.6
    (change,) = ranks.run(60)
    assert (change.rank, change.state) == (3, RankHealth.REPLACE)
    assert change.reason.endswith("and should be replaced.")


def test_slow_rank_that_recovers_is_healthy_again_once():
    ranks = SimulatedRanks()
    ranks.run(20)
    ranks.speeds[3] = 0.5
    ranks.run(20)
    ranks.loads[3] = 0.45
    ranks.run(5)
    ranks.speeds[3] = 1.0
    assert ranks.states(ranks.run(35)) == [(3, RankHealth.HEALTHY)]
    assert ranks.detector.speeds[3] == 1.0


@pytest.mark.parametrize("slowdown", [1.1, 1.12, 1.15])
def test_rank_near_the_threshold_does_not_flap(slowdown):
    ranks = SimulatedRanks()
    ranks.speeds[3] = 1 / slowdown
    ranks.run(900)
    healthy = [change for change in ranks.history if change.state is RankHealth.HEALTHY]
    assert len(healthy) <= 1


def test_without_hysteresis_it_flaps(monkeypatch):
    monkeypatch.setattr(straggler, "SLOW_THRESHOLD", 1.11)
    monkeypatch.setattr(straggler, "HEALTHY_THRESHOLD", 1.11)
    monkeypatch.setattr(straggler, "SLOW_AFTER_S", 0.0)
    monkeypatch.setattr(straggler, "HEALTHY_AFTER_S", 0.0)
    ranks = SimulatedRanks()
    ranks.speeds[3] = 1 / 1.11
    ranks.run(900)
    assert sum(change.state is RankHealth.HEALTHY for change in ranks.history) > 5


def test_rank_slow_again_and_again_is_replaced():
    ranks = SimulatedRanks()
    for _ in range(6):
        ranks.speeds[3] = 0.5
        ranks.run(30)
        ranks.speeds[3] = 1.0
        ranks.run(45)
    assert (3, RankHealth.REPLACE) in ranks.states(ranks.history)


def test_silent_rank_is_stalled_then_replaced_at_the_lowest_speed():
    ranks = SimulatedRanks()
    ranks.run(20)
    ranks.silent = {5}
    assert ranks.states(ranks.run(8)) == [(5, RankHealth.STALLED)]
    assert ranks.states(ranks.run(12)) == [(5, RankHealth.REPLACE)]
    ranks.run(20)
    assert ranks.detector.speeds[5] == MIN_SPEED


def test_silence_of_most_ranks_blames_none():
    ranks = SimulatedRanks()
    ranks.run(20)
    ranks.silent = set(range(RANKS)) - {1, 2}
    assert ranks.run(60) == []


def test_old_reports_do_not_count_against_the_new_rank():
    ranks = SimulatedRanks()
    ranks.speeds[3] = 0.4
    ranks.run(90)
    ranks.detector.reset_rank(3, ranks.now)
    for late in (3.0, 2.0, 1.0):
        ranks.detector.observe(ranks.report(3, ranks.now - late), ranks.now)
    ranks.speeds[3] = 1.0
    assert ranks.run(60) == []


def test_fixed_time_of_a_rank_with_little_load_is_not_slowness():
    ranks = SimulatedRanks()
    ranks.run(60)
    ranks.silent = {3}
    ranks.run(600)
    ranks.detector.reset_rank(3, ranks.now)
    ranks.silent = set()
    ranks.loads[3] = 0.02
    assert ranks.run(60) == []


def test_number_of_ranks_to_replace_at_once_is_bounded():
    ranks = SimulatedRanks()
    ranks.run(20)
    ranks.speeds[[2, 3, 4]] = [0.6, 0.4, 0.5]
    ranks.run(120)
    assert ranks.detector.states.count(RankHealth.REPLACE) == 1
    first = ranks.detector.states.index(RankHealth.REPLACE)
    ranks.speeds[first] = 1.0
    ranks.detector.reset_rank(first, ranks.now)
    ranks.run(5)
    assert ranks.detector.states.count(RankHealth.REPLACE) == 1


def test_replacement_is_withdrawn_when_the_rank_recovers():
    ranks = SimulatedRanks()
    ranks.speeds[3] = 0.5
    ranks.run(90)
    assert ranks.detector.states[3] is RankHealth.REPLACE
    ranks.speeds[3] = 1.0
    assert ranks.states(ranks.run(90)) == [(3, RankHealth.HEALTHY)]
