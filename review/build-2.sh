#!/usr/bin/env bash
# Build the stand-ins that the scripts of cases 6 to 10 start. They are Python and run
# on what the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
export PYTHONDONTWRITEBYTECODE=1
python3 -c "import standins.row_store"
# Dozens of processes start at once, and each would compile the sources again.
python3 -m compileall -q review standins toucanspool
