"""An agent that has no configuration yet gets it from the entry that calls it."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
import pytest

from standins.memory import MemoryObjects, MemoryTable
from standins.raw_upstream import RawUpstream, answering
from tests.agent.messages import make_open
from toucanspool.agent.agent import CONFIG_WAIT_S, Agent
from toucanspool.config.match import Match
from toucanspool.config.records import Selector, Upstream, encode
from toucanspool.config.service import ConfigService
from toucanspool.kernel.kernel import Kernel
from toucanspool.settings.settings import Settings
from toucanspool.wire.client_limits import ClientLimits
from toucanspool.wire.gen.messages.ttypes import (
    Changes,
    Frame,
    Hello,
    Outcome,
    Refusal,
)

ADDRESS = {"host": "127.0.0.1", "port": 1}
WAIT_S = 2.0
RECORDS = [Upstream("desk-2", {"rack": "r1"})]
ALL_DRAIN = [Selector("all", "drain", upstreams=Match())]


class StubService:
    """Stand in for a service of which only attributes are read."""

    def __init__(self, **attributes: object) -> None:
        self.__dict__.update(attributes)

    def start(self, kernel: Kernel) -> None:
        """Do nothing; see `Service`."""

    def stop(self) -> None:
        """Do nothing; see `Service`."""


class Entry:
    """Record the frames that an agent sends, and answer its pull."""

    batch = 0

    def __init__(self, agent: Agent, records: list | None) -> None:
        self.frames: list[Frame] = []
        self._agent = agent
        self._records = records

    def send(self, frame: Frame) -> None:
        """Record a frame; a pull is answered a little later, if there are records."""
        self.batch += 1
        self.frames.append(frame)
        if frame.pull is not None and self._records is not None:
            gevent.spawn_later(0.02, self._send_changes)

    def flush(self, timeout_s: float) -> None:
        """Do nothing: frames are delivered at once."""

    def call(self, *, guarded: bool = False) -> None:
        """Announce revision 1 and open a call, in one go."""
        self._agent.received(self, Frame(hello=Hello(instance="e", revision=1)))
        self._agent.received(self, Frame(open=make_open(guarded=guarded)))

    def wait(self) -> Frame:
        """Return the last frame of the call."""
        with gevent.Timeout(WAIT_S):
            while not any(frame.end for frame in self.frames):
                gevent.sleep(0.005)
        return next(frame for frame in self.frames if frame.end)

    def _send_changes(self) -> None:
        records = [encode(record) for record in self._records]
        changes = Changes(call=0, newest=1, records=records, whole=True)
        self._agent.received(self, Frame(changes=changes))


@contextmanager
def running_agent(upstream: RawUpstream) -> Iterator[Agent]:
    """Yield an agent whose table holds no configuration."""
    cfg = Settings.model_validate(
        {
            "instance": "agent-1",
            "role": "agent",
            "failure_domain": "one",
            "host": "127.0.0.1",
            "port": 0,
            "platform": {"table": ADDRESS, "objects": ADDRESS, "instances": ADDRESS},
            "agent": {
                "upstream": "desk-1",
                "address": {"host": "127.0.0.1", "port": upstream.port},
                "kind": "service",
                "service": "desk",
            },
            "drain": {"grace_s": 0.1},
        }
    )
    kernel = Kernel()
    kernel.add("rng", StubService(named=random.Random))
    kernel.add("clients", ClientLimits())
    kernel.add("platform", StubService(table=MemoryTable(), objects=MemoryObjects()))
    kernel.add("config", ConfigService(1000.0, updated_by_peers=True))
    kernel.add("claims", StubService(claims=None))
    agent = Agent(cfg)
    kernel.add("agent", agent)
    kernel.start()
    try:
        yield agent
    finally:
        kernel.stop()


def test_a_call_waits_for_the_configuration_of_the_entry_that_sent_it():
    with RawUpstream(answering()) as upstream, running_agent(upstream) as agent:
        entry = Entry(agent, RECORDS)
        entry.call()
        assert entry.wait().end.outcome == Outcome.COMPLETED
        assert len(upstream.seen) == 1


def test_a_call_that_waited_meets_the_drain_of_that_configuration():
    with RawUpstream(answering()) as upstream, running_agent(upstream) as agent:
        entry = Entry(agent, ALL_DRAIN)
        entry.call()
        assert entry.wait().end.refusal == Refusal.DRAINING
        assert not upstream.seen


def test_a_call_is_refused_if_no_configuration_comes():
    with RawUpstream(answering()) as upstream, running_agent(upstream) as agent:
        entry = Entry(agent, None)
        entry.call()
        end = entry.wait().end
        assert (end.outcome, end.refusal) == (Outcome.NOT_RUN, Refusal.NO_CONFIG)
        assert not upstream.seen


@pytest.mark.parametrize("guarded", [True, False])
@pytest.mark.parametrize("records", [RECORDS, None])
def test_a_stopping_agent_refuses_all_calls_at_once(guarded, records):
    """Guards against calls that are accepted late, or wait for a configuration."""
    with RawUpstream(answering()) as upstream, running_agent(upstream) as agent:
        stop = gevent.spawn(agent.stop)
        gevent.sleep(0)
        entry = Entry(agent, records)
        entry.call(guarded=guarded)
        with gevent.Timeout(CONFIG_WAIT_S / 2):
            end = entry.wait().end
        assert (end.outcome, end.refusal) == (Outcome.NOT_RUN, Refusal.DRAINING)
        stop.get()
        assert not upstream.seen
