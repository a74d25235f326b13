"""Measure how long a duty has no holder, in simulated time.

Candidates step one lease at intervals with the daemon's jitter. At a random moment
the holder freezes or the table becomes unavailable; measured is the time until a
process holds the lease again.

Run with ``python -m bench.lease_takeover``.
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
    """Describe the case of a row in the printed table.

    Parameters
    ----------
    name : str
        Name of the fault.
    ttl_s : float
        TTL of the lease, in seconds.
    outage_s : float
        Seconds for which the table is unavailable; 0 freezes the holder instead.
    released : bool, default=False
        Whether the holder releases the lease before it stops.
    """

    name: str
    ttl_s: float
    outage_s: float = 0.0
    released: bool = False


class Trial:
    """Simulate one fault.

    Parameters
    ----------
    case : Case
        Fault and TTL of the lease.
    rng : random.Random
        Random source of phases and intervals.
    """

    def __init__(self, case: Case, rng: random.Random) -> None:
        self.case = case
        self.rng = rng
        self.now = 0.0
        self.table = MemoryTable()
        self.frozen: int | None = None
        self.leases = [self._make_lease(i) for i in range(CANDIDATES.value)]
        self.step_queue = [
            (rng.uniform(0, case.ttl_s), i) for i in range(CANDIDATES.value)
        ]
        heapq.heapify(self.step_queue)

    def run(self) -> float:
        """Return the seconds without a holder since the fault or the outage's end.

        Returns
        -------
        float
        """
        fault_s = self.case.ttl_s * (WARM_UP_TTLS + self.rng.random())
        self._step_until(lambda: self.step_queue[0][0] > fault_s)
        self.now = fault_s
        vacant_from_s = self._inject_fault() + fault_s
        self._step_until(
            lambda: self.now >= vacant_from_s and self._holder() is not None
        )
        return self.now - vacant_from_s

    def _inject_fault(self) -> float:
        if self.case.outage_s:
            self.table.faults.set(down=True)
            end_s = self.now + self.case.outage_s
            self._step_until(lambda: self.step_queue[0][0] > end_s)
            self.table.faults.clear()
            return self.case.outage_s
        holder = self._holder()
        assert holder is not None
        self.frozen = holder
        if self.case.released:
            self.leases[holder].release()
        return 0.0

    def _step_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self.now, index = heapq.heappop(self.step_queue)
            lease = self.leases[index]
            if index != self.frozen:
                lease.step()
            wait_s = lease.interval_s * self.rng.uniform(
                1 - JITTER_RATIO, 1 + JITTER_RATIO
            )
            heapq.heappush(self.step_queue, (self.now + wait_s, index))

    def _holder(self) -> int | None:
        running = (i for i in range(len(self.leases)) if i != self.frozen)
        return next((i for i in running if self.leases[i].held(self.now)), None)

    def _make_lease(self, index: int) -> Lease:
        return Lease(
            self.table,
            "duty",
            f"entry-{index}",
            ttl_s=self.case.ttl_s,
            now=lambda: self.now,
        )


def _format_spread(values: list[float]) -> str:
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
        medians = _format_spread([statistics.median(run) for run in runs])
        longest = _format_spread([max(run) for run in runs])
        print(f"| {case.name} | {case.ttl_s:g} | {medians} | {longest} |")


if __name__ == "__main__":
    app.run(main)
