"""Run all benchmarks in sequence: ``python -m bench``."""

import subprocess
import sys

MODULES = (
    "relay",
    "routing",
    "limits",
    "fairness",
    "retries",
    "placement",
    "few_slots",
    "switch",
    "calm_switches",
    "claims",
    "claim_cost",
    "lease_takeover",
    "spread",
    "addresses",
    "config_load",
    "recovery",
    "spread_processes",
    "capacity",
)


def main() -> int:
    """Run each benchmark in its own process; return 1 if any failed."""
    failed = []
    for name in MODULES:
        print(f"\n## {name}\n", flush=True)
        result = subprocess.run([sys.executable, "-m", f"bench.{name}"], check=False)
        if result.returncode:
            failed.append(name)
    if failed:
        print(f"failed: {', '.join(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
