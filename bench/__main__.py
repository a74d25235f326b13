"""All benchmarks, one after another: ``python -m bench``."""

import subprocess
import sys

MODULES = (
    "relay",
    "routing",
    "limits",
    "fairness",
    "retries",
    "placement",
    "switch",
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
    """Run each in a process of its own; return 1 if one failed."""
    failed = []
    for name in MODULES:
        print(f"\n## {name}\n", flush=True)
        done = subprocess.run([sys.executable, "-m", f"bench.{name}"], check=False)
        if done.returncode:
            failed.append(name)
    if failed:
        print(f"failed: {', '.join(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
