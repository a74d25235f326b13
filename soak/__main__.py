"""Soak runs from the command line: ``python -m soak --seed=1 --runs=3``."""

import sys

from absl import app, flags

from soak.system import World

SEED = flags.DEFINE_integer("seed", 1, "Seed of the first run.")
RUNS = flags.DEFINE_integer("runs", 1, "Runs, each with the next seed.")
SECONDS = flags.DEFINE_float("seconds", 15.0, "Length of a run.")
OFF = flags.DEFINE_string("off", "", "The promise whose mechanism is switched off.")
PART = flags.DEFINE_integer("part", 0, "Part of the ports, 0 to 7.")


def main(argv: list[str]) -> int:
    """Run seeds one after another and print what was broken."""
    bad = 0
    for seed in range(SEED.value, SEED.value + RUNS.value):
        with World(seed, part=PART.value, off=OFF.value) as world:
            world.run(SECONDS.value)
        oracle = world.oracle
        bad += bool(oracle.broken)
        print(
            f"seed {seed}: {oracle.answers} answers, {oracle.refusals} refusals, "
            f"{len(world.faults)} faults, {world.group.step} passes, "
            f"{len(oracle.broken)} broken, "
            f"stood still {sum(seconds for _, seconds in oracle.stalls):.1f} s"
        )
        for broken in oracle.broken[:5]:
            print(f"  {broken.promise}: {broken.call} {broken.detail}")
        if oracle.broken:
            print("  faults: " + "; ".join(world.faults))
        sys.stdout.flush()
    return 1 if bad else 0


if __name__ == "__main__":
    app.run(main)
