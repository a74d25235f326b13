"""Simulated group of ranks that sends reports."""

import numpy as np

from toucanspool.groups.expert_map import ExpertMap
from toucanspool.groups.load import RankReport
from toucanspool.groups.packing import pack
from toucanspool.groups.placement import Planner
from toucanspool.groups.placement_settings import PlacementSettings

STEPS_PER_REPORT = 20
TOKENS_PER_STEP = 200_000


class ReportingGroup:
    """Simulate a small group with given loads and speeds."""

    def __init__(self, *, seed=1, layers=2, ranks=8, n_experts=16, slots=3, noise=0.03):
        self.rng = np.random.default_rng(seed)
        self.loads = self.rng.dirichlet(np.full(n_experts, 2.0), layers)
        self.speeds = np.ones(ranks)
        self.fixed_fraction = 0.1
        self.noise = noise
        self.silent = set()
        self.map = optimized_map(self.loads, ranks, slots)

    def reports(self, now, *, loss_rate=0.05):
        """Generate the reports of one second; a fraction of them is lost."""
        burst = self.rng.normal(1.0, self.noise, self.loads.shape).clip(0.1)
        tokens = self.map.gather(self.loads * burst * TOKENS_PER_STEP) * self.map.shares
        relative_load = tokens.sum(axis=2) / tokens.sum(axis=2).mean(
            axis=1, keepdims=True
        )
        step_times = (
            (self.fixed_fraction + (1 - self.fixed_fraction) * relative_load)
            / self.speeds
        ).sum(axis=0)
        step_times *= self.rng.normal(1.0, 0.01, step_times.size)
        for rank in range(self.map.ranks):
            if rank in self.silent or self.rng.random() < loss_rate:
                continue
            yield RankReport(
                rank=rank,
                version=self.map.version,
                at=now,
                steps=STEPS_PER_REPORT,
                busy_s=0.01 * STEPS_PER_REPORT * float(step_times[rank]),
                tokens=np.rint(tokens[:, rank] * STEPS_PER_REPORT).astype(int),
            )

    def skew(self):
        """Return the slowest rank's step time relative to the mean of healthy ranks."""
        relative_load = self.map.rank_loads(self.loads)
        relative_load /= relative_load.mean(axis=1, keepdims=True)
        times = (
            self.fixed_fraction + (1 - self.fixed_fraction) * relative_load
        ) / self.speeds
        return float(times.max(axis=1).sum() / self.map.layers)


def optimized_map(loads, ranks, slots) -> ExpertMap:
    """Return a map that no plan improves while the loads are known exactly."""
    cfg = PlacementSettings(min_gain=0.001, switch_s=0.0, max_load_s=100.0)
    map_ = pack(loads, np.ones(ranks), slots)
    while plan := Planner(cfg).plan(map_, loads, np.ones(ranks)):
        map_ = plan.map
    return map_


def run_group(group, rebalancer, seconds, *, start=1, on_second=None):
    """Let the rebalancer decide every second, and adopt each plan at once."""
    decisions = []
    for now in range(start, start + seconds):
        if on_second is not None:
            on_second(now)
        for report in group.reports(float(now)):
            rebalancer.observe(report, float(now))
        decision = rebalancer.decide(float(now))
        decisions.append((now, decision))
        if decision.plan is not None:
            group.map = decision.plan.map
            rebalancer.adopt(group.map)
    return decisions
