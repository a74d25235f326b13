"""The janitor works only where it is elected."""

import random

import pytest

from standins.memory import MemoryInstances, MemoryObjects, MemoryTable
from toucanspool.kernel.kernel import Kernel
from toucanspool.platform.instances import Instance
from toucanspool.protected.duty import JanitorDuty
from toucanspool.protected.janitor import Cleaned


class Randoms:
    """Give random numbers; stands for the kernel's service."""

    def named(self, name):
        """Return a source of its own."""
        return random.Random(name)


class Platform:
    """Stand for the platform's service."""

    def __init__(self):
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        agent = Instance("a1", "agent", "akl", "nz", "127.0.0.1", 1)
        self.instances = MemoryInstances([agent]).read()


@pytest.fixture
def duties():
    platform = Platform()
    duties = [JanitorDuty(f"entry-{i}") for i in range(2)]
    kernel = Kernel()
    kernel.add("rng", Randoms())
    kernel.add("platform", platform)
    kernel.add("instances", platform)
    for duty in duties:
        duty.start(kernel)
    yield duties
    for duty in duties:
        duty.stop()


def test_only_the_elected_entry_cleans(duties):
    first, second = duties
    first._lease.step()
    second._lease.step()
    assert (first.clean(), second.clean()) == (Cleaned(), None)


def test_stop_hands_the_duty_over(duties):
    first, second = duties
    first._lease.step()
    first.stop()
    assert first.clean() is None
    assert second._lease.step()
