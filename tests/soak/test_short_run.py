"""A short soak with a fixed seed."""

import os

from soak.system import World

SEED = 1
SECONDS = 8.0
PART = 1 + int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % 7


def test_no_promise_is_broken():
    with World(SEED, part=PART) as world:
        world.run(SECONDS)
    assert world.oracle.broken == []
    assert world.oracle.answers > 50
    assert world.group.step > 50
