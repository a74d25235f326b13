#!/usr/bin/env bash
# Build what the cases start. The stand-ins are Python and use only the packages that
# the deploy file's own build puts into target/deps, so that no package is added here.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review standins toucanspool
PYTHONPATH=target/deps:. python3 -c "import review.system, review.engines"
