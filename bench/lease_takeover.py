"""Measure how long a duty is without a holder, in virtual time.

Candidates step one lease at intervals spread as the daemon spreads them. The holder
freezes at a random moment, or the table goes away; what counts is the time until a
process holds the lease again.

Run by ``python -m bench.lease_takeover``.
"""

import heapq
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass

from absl import app, flags

from standins.memory import MemoryTable
from toucanspool.kernel.ticker import JITTER_RATIO
from toucanspool.recovery.lease import LEASE_TTL_S, Lease

SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "seeds, one run each")
TRIALS = flags.DEFINE_integer("trials", 200, "faults in a run")
CANDIDATES = flags.DEFINE_integer("candidates", 3, "processes that stand for election")

OUTAGE_S = 60.0
LONG_TTL_S = 60.0
WARM_UP_TTLS = 3.0


@dataclass(slots=True, frozen=True)
class Case:
    """Hold one row of the table that is printed.

    Parameters
    ----------
    name : str
        The fault.
    ttl_s : float
        TTL of the lease.
    outage_s : float
        Seconds for which the table is away; 0 freezes the holder instead.
    released : bool, default=False
        Whether the holder gives the lease up in place of freezing.
    """

    name: str
    ttl_s: float
    outage_s: float = 0.0
    released: bool = False


class Trial:
    """Run one fault.

    Parameters
    ----------
    case : Case
        The case.
    rng : random.Random
        Source of phases and intervals.
    """

    def __init__(self, case: Case, rng: random.Random) -> None:
        self.case = case
        self.rng = rng
        self.time = 0.0
        self.table = MemoryTable()
        self.frozen: int | None = None
        self.leases = [self._lease(i) for i in range(CANDIDATES.value)]
        self.steps = [(rng.uniform(0, case.ttl_s), i) for i in range(CANDIDATES.value)]
        heapq.heapify(self.steps)

    def run(self) -> float:
        """Return seconds without a holder, from the fault or the outage's end.

        Returns
        -------
        float
        """
        fault_s = self.case.ttl_s * (WARM_UP_TTLS + self.rng.random())
        self._until(lambda: self.steps[0][0] > fault_s)
        self.time = fault_s
        begun_s = self._break() + fault_s
        self._until(lambda: self.time >= begun_s and self._holder() is not None)
        return self.time - begun_s

    def _break(self) -> float:
        if self.case.outage_s:
            self.table.faults.set(down=True)
            end_s = self.time + self.case.outage_s
            self._until(lambda: self.steps[0][0] > end_s)
            self.table.faults.clear()
            return self.case.outage_s
        holder = self._holder()
        assert holder is not None
        self.frozen = holder
        if self.case.released:
            self.leases[holder].release()
        return 0.0

    def _until(self, done: Callable[[], bool]) -> None:
        while not done():
            self.time, index = heapq.heappop(self.steps)
            lease = self.leases[index]
            if index != self.frozen:
                lease.step()
            wait_s = lease.interval_s * self.rng.uniform(
                1 - JITTER_RATIO, 1 + JITTER_RATIO
            )
            heapq.heappush(self.steps, (self.time + wait_s, index))

    def _holder(self) -> int | None:
        live = (i for i in range(len(self.leases)) if i != self.frozen)
        return next((i for i in live if self.leases[i].held(self.time)), None)

    def _lease(self, index: int) -> Lease:
        return Lease(
            self.table,
            "duty",
            f"entry-{index}",
            ttl_s=self.case.ttl_s,
            now=lambda: self.time,
        )


def _spread(values: list[float]) -> str:
    return f"{statistics.median(values):.1f} ({min(values):.1f} to {max(values):.1f})"


def main(argv: list[str]) -> None:
    """Print a table.

    Parameters
    ----------
    argv : list of str
        Arguments left by absl.
    """
    print("| fault | TTL s | median s | longest s |")
    print("| --- | --- | --- | --- |")
    for case in (
        Case("holder frozen", LEASE_TTL_S),
        Case("holder stops gracefully", LEASE_TTL_S, released=True),
        Case("table away for 60 s, from its return", LEASE_TTL_S, OUTAGE_S),
        Case("holder frozen", LONG_TTL_S),
    ):
        runs = []
        for seed in SEEDS.value:
            rng = random.Random(int(seed))
            runs.append([Trial(case, rng).run() for _ in range(TRIALS.value)])
        medians = _spread([statistics.median(run) for run in runs])
        longest = _spread([max(run) for run in runs])
        print(f"| {case.name} | {case.ttl_s:g} | {medians} | {longest} |")


if __name__ == "__main__":
    app.run(main)
