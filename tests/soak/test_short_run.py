"""Short soak runs with fixed seeds."""

import os

import pytest

from soak.system import SoakSystem

SECONDS = 30.0
PART = 1 + int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % 7


@pytest.mark.parametrize("seed", [1, 2])
def test_no_promise_is_broken(seed):
    with SoakSystem(seed, part=PART) as system:
        system.run(SECONDS)
    assert system.oracle.violations == []
    assert system.oracle.answers > 50
    assert system.group.step > 50
