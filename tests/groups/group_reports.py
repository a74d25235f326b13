"""A group of ranks that sends reports, for tests."""

import numpy as np

from toucanspool.groups.expert_map import ExpertMap
from toucanspool.groups.load import RankReport
from toucanspool.groups.packing import pack
from toucanspool.groups.placement import Planner
from toucanspool.groups.placement_settings import PlacementSettings

STEPS = 20
TOKENS = 200_000


class ReportingGroup:
    """Hold a small group's loads and speeds, and make each second's reports."""

    def __init__(self, *, seed=1, layers=2, ranks=8, n_experts=16, slots=3, noise=0.03):
        self.rng = np.random.default_rng(seed)
        self.loads = self.rng.dirichlet(np.full(n_experts, 2.0), layers)
        self.speeds = np.ones(ranks)
        self.fixed = 0.1
        self.noise = noise
        self.silent = set()
        self.map = settled_map(self.loads, ranks, slots)

    def reports(self, now, *, lost=0.05):
        """Generate the reports of one second; some are lost."""
        burst = self.rng.normal(1.0, self.noise, self.loads.shape).clip(0.1)
        tokens = self.map.gather(self.loads * burst * TOKENS) * self.map.shares
        part = tokens.sum(axis=2) / tokens.sum(axis=2).mean(axis=1, keepdims=True)
        busy = ((self.fixed + (1 - self.fixed) * part) / self.speeds).sum(axis=0)
        busy *= self.rng.normal(1.0, 0.01, busy.size)
        for rank in range(self.map.ranks):
            if rank in self.silent or self.rng.random() < lost:
                continue
            yield RankReport(
                rank=rank,
                version=self.map.version,
                at=now,
                steps=STEPS,
                busy_s=0.01 * STEPS * float(busy[rank]),
                tokens=np.rint(tokens[:, rank] * STEPS).astype(int),
            )

    def skew(self):
        """Return the slowest rank's step time; 1 is the mean on healthy ranks."""
        part = self.map.rank_loads(self.loads)
        part /= part.mean(axis=1, keepdims=True)
        times = (self.fixed + (1 - self.fixed) * part) / self.speeds
        return float(times.max(axis=1).sum() / self.map.layers)


def settled_map(loads, ranks, slots) -> ExpertMap:
    """Return a map that no plan makes better when loads are known."""
    cfg = PlacementSettings(min_gain=0.001, switch_s=0.0, max_load_s=100.0)
    map_ = pack(loads, np.ones(ranks), slots)
    while plan := Planner(cfg).plan(map_, loads, np.ones(ranks)):
        map_ = plan.map
    return map_


def run_group(group, rebalancer, seconds, *, start=1, each=None):
    """Let the rebalancer decide each second; adopt each plan at once."""
    decisions = []
    for now in range(start, start + seconds):
        if each is not None:
            each(now)
        for report in group.reports(float(now)):
            rebalancer.observe(report, float(now))
        decision = rebalancer.decide(float(now))
        decisions.append((now, decision))
        if decision.plan is not None:
            group.map = decision.plan.map
            rebalancer.adopt(group.map)
    return decisions
