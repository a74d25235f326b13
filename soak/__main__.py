"""Command line of the soak test: ``python -m soak --seed=1 --runs=3``."""

import signal
import sys
from pathlib import Path

import gevent
from absl import app, flags

from soak.system import SoakSystem

SEED = flags.DEFINE_integer("seed", 1, "Seed of the first run.")
RUNS = flags.DEFINE_integer("runs", 1, "Runs, each with the next seed.")
SECONDS = flags.DEFINE_float("seconds", 15.0, "Length of a run.")
OFF = flags.DEFINE_string("off", "", "The promise whose mechanism is switched off.")
GATEWAYS = flags.DEFINE_integer("gateways", 3, "Gateways.", lower_bound=1)
RANKS = flags.DEFINE_integer("ranks", 3, "Rank agents.", lower_bound=2)
START_S = flags.DEFINE_float("start_s", 3.0, "Time that the processes have to start.")
LOGS = flags.DEFINE_string("logs", "", "Folder for the logs of seeds that failed.")
PART = flags.DEFINE_integer("part", 0, "Part of the ports, 0 to 7.")


def main(argv: list[str]) -> int:
    """Run the seeds one after another and print the violations of each."""
    # An interrupted soak stops the processes that it has started.
    current = gevent.getcurrent()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, current.throw, SystemExit(128 + number))
    failed_runs = 0
    for seed in range(SEED.value, SEED.value + RUNS.value):
        with SoakSystem(
            seed,
            part=PART.value,
            off=OFF.value,
            gateways=GATEWAYS.value,
            ranks=RANKS.value,
            start_s=START_S.value,
        ) as system:
            system.run(SECONDS.value)
            if LOGS.value and system.oracle.violations:
                system.keep_logs(Path(LOGS.value) / str(seed))
        oracle = system.oracle
        failed_runs += bool(oracle.violations)
        print(
            f"seed {seed}: {oracle.answers} answers, {oracle.refusals} refusals, "
            f"{len(system.fault_log)} faults, "
            f"{system.evacuations.checked} evacuations, "
            f"{system.cold_requests} to cold upstreams, {system.group.step} passes, "
            f"{len(oracle.violations)} broken, "
            f"stood still {sum(seconds for _, seconds in oracle.stalls):.1f} s"
        )
        for violation in oracle.violations[:5]:
            print(f"  {violation.guarantee}: {violation.call} {violation.detail}")
        if oracle.violations:
            print("  faults: " + "; ".join(system.fault_log))
        sys.stdout.flush()
    return 1 if failed_runs else 0


if __name__ == "__main__":
    app.run(main)
