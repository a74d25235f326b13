"""Two processes reach the same revision over a connection, without the table."""

import random
from collections import deque

import pytest

from standins.memory import MemoryObjects, MemoryTable
from toucanspool.config.exchange import ConfigExchange
from toucanspool.config.proposal import Proposal
from toucanspool.config.records import Upstream
from toucanspool.config.service import ConfigService
from toucanspool.kernel.kernel import Kernel
from toucanspool.settings.settings import Settings
from toucanspool.wire.gen.messages.ttypes import Frame, Pull

ADDRESS = {"host": "127.0.0.1", "port": 1}


class StubService:
    """Stand in for a service of which only attributes are read."""

    def __init__(self, **attributes: object) -> None:
        self.__dict__.update(attributes)


class Process:
    """Simulate a process with its configuration and its end of a connection."""

    def __init__(self, name: str, table: MemoryTable) -> None:
        self.name = name
        self.table = table
        kernel = Kernel()
        kernel.add("platform", StubService(table=table, objects=MemoryObjects()))
        kernel.add("rng", StubService(named=random.Random))
        self.config = ConfigService(1000.0)
        self.config.start(kernel)
        self.exchange = ConfigExchange(make_settings(name), self.config)
        self.outbox: deque[Frame] = deque()

    def send(self, frame: Frame) -> None:
        """Queue a message for the peer."""
        self.outbox.append(frame)

    def change(self, count: int) -> None:
        """Apply a number of changes, one revision each."""
        for _ in range(count):
            number = self.config.revision + 1
            proposal = Proposal(
                change_id=f"c{number}",
                operator="ana",
                base=self.config.revision,
                puts=(Upstream("a", {"n": str(number)}),),
            )
            self.config.apply_local_change(self.config.store.apply(proposal).change)


def make_settings(name: str) -> Settings:
    """Return the settings of an entry."""
    return Settings.model_validate(
        {
            "instance": name,
            "role": "entry",
            "failure_domain": "one",
            "host": "127.0.0.1",
            "port": 1,
            "platform": {"table": ADDRESS, "objects": ADDRESS, "instances": ADDRESS},
            "entry": {"http": {"port": 1}},
        }
    )


def exchange_messages(first: Process, second: Process) -> int:
    """Start with the first process's hello; return the number of messages sent."""
    first.send(Frame(hello=first.exchange.hello()))
    count = 0
    while first.outbox or second.outbox:
        for sender, receiver in ((first, second), (second, first)):
            while sender.outbox:
                receiver.exchange.handle(receiver, sender.outbox.popleft())
                count += 1
    return count


@pytest.fixture
def pair():
    """Return a process with one change, and one that can't reach the table."""
    table = MemoryTable()
    ahead = Process("ahead", table)
    ahead.change(1)
    unavailable = MemoryTable()
    unavailable.faults.set(down=True)
    return ahead, Process("behind", unavailable)


@pytest.mark.parametrize("ahead_starts", [True, False])
def test_a_process_with_nothing_gets_the_whole_configuration(pair, ahead_starts):
    ahead, behind = pair
    ahead.change(300)
    exchange_messages(*(pair if ahead_starts else reversed(pair)))
    assert behind.config.revision == ahead.config.revision == 301
    assert behind.config.view.get("upstream", "a") == Upstream("a", {"n": "301"})


@pytest.mark.parametrize("count", [1, 63, 64, 65, 200])
@pytest.mark.parametrize("ahead_starts", [True, False])
def test_a_process_behind_gets_every_change_in_one_exchange(pair, count, ahead_starts):
    ahead, behind = pair
    exchange_messages(*pair)
    ahead.change(count)
    exchange_messages(*(pair if ahead_starts else reversed(pair)))
    assert behind.config.revision == count + 1


def test_a_process_too_far_behind_gets_the_whole(pair):
    ahead, behind = pair
    exchange_messages(*pair)
    ahead.change(1100)
    exchange_messages(*pair)
    assert behind.config.revision == 1101


def test_processes_at_one_revision_have_little_to_say(pair):
    exchange_messages(*pair)
    assert exchange_messages(*pair) == 1


def test_an_old_whole_configuration_does_not_come_back(pair):
    ahead, behind = pair
    exchange_messages(*pair)
    outdated = ahead.config.answer_pull(Pull(call=0, after=0, limit=0))
    ahead.change(3)
    exchange_messages(*pair)
    behind.exchange.handle(behind, Frame(changes=outdated))
    assert behind.config.revision == 4


def test_a_question_from_far_ahead_is_answered_with_nothing(pair):
    ahead, _ = pair
    ahead.exchange.handle(ahead, Frame(pull=Pull(call=0, after=2**62, limit=0)))
    changes = ahead.outbox.pop().changes
    assert (changes.records, changes.whole) == ([], False)
