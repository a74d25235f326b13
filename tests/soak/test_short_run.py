"""A short soak run with a fixed seed."""

import os

from soak.system import SoakSystem

SEED = 1
SECONDS = 8.0
PART = 1 + int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % 7


def test_no_promise_is_broken():
    with SoakSystem(SEED, part=PART) as system:
        system.run(SECONDS)
    assert system.oracle.violations == []
    assert system.oracle.answers > 50
    assert system.group.step > 50
