"""Orders over sockets, to a lock-step group in a process of its own."""

import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack

import gevent
import pytest

from standins.memory import MemoryObjects, MemoryTable
from tests.groups.switch_world import FakeLease
from toucanspool.groups.coordinator import Coordinator
from toucanspool.groups.engine import EngineUnavailable
from toucanspool.groups.http_engine import HttpEngine
from toucanspool.groups.order_links import OrderLinks, answer_order
from toucanspool.groups.orders import GreenletCourier, RankUnreachable
from toucanspool.groups.rank_agent import RankAgent
from toucanspool.groups.record import MapStore, RecordStore
from toucanspool.groups.switch_intent import Limits
from toucanspool.platform.http_client import JsonClient
from toucanspool.wire.gen.messages.ttypes import Order, OrderKind
from toucanspool.wire.listener import Listener

HOST = "127.0.0.1"
RANKS = 3


class AgentPort:
    """Answer orders on a port."""

    def __init__(self, agent):
        self.agent = agent
        self.listener = Listener(HOST, 0, lambda: self)
        self.listener.start()

    def received(self, conn, frame):
        """Carry out an order."""
        gevent.spawn(answer_order, conn, frame.order, self.agent)

    def lost(self, conn):
        """Forget a connection."""


class Processes:
    """A lock-step group's process, and agents on sockets."""

    def __init__(self, closing):
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        command = [sys.executable, "-m", "standins.lockstep", f"--port={port}"]
        self.process = subprocess.Popen([*command, f"--ranks={RANKS}"])
        closing.callback(self.process.wait)
        closing.callback(self.process.kill)
        self.client = JsonClient(HOST, port, timeout_s=30.0)
        closing.callback(self.client.close)
        self.engines = [HttpEngine(self.client, rank) for rank in range(RANKS)]
        self.wait_for_start()
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.ports = [self.open_port(engine, closing) for engine in self.engines]
        self.links = OrderLinks(lambda rank: (HOST, self.ports[rank].listener.port))
        closing.callback(self.links.close)

    def wait_for_start(self):
        """Wait until the group answers."""
        for _ in range(200):
            try:
                self.engines[0].state()
                return
            except EngineUnavailable:
                gevent.sleep(0.05)
        raise TimeoutError

    def open_port(self, engine, closing):
        """Start an agent."""
        agent = RankAgent(engine=engine, fences=RecordStore(self.table, "g"))
        agent.read_back()
        port = AgentPort(agent)
        closing.callback(port.listener.stop)
        return port

    def coordinator(self, token, closing):
        """Return a coordinator."""
        courier = closing.enter_context(GreenletCourier(self.links))
        return Coordinator(
            group="g",
            ranks=RANKS,
            store=RecordStore(self.table, "g"),
            maps=MapStore(self.objects, "g"),
            lease=FakeLease(token),
            courier=courier,
            clock=time.monotonic,
            limits=Limits(load_poll_s=0.05, hold_s=10.0),
        )

    def versions(self):
        """Return the versions used by the steps so far, in order."""
        _, steps = self.client.call("GET", "/steps")
        assert all(len(set(step["versions"])) == 1 for step in steps)
        return list(dict.fromkeys(step["versions"][0] for step in steps))


@pytest.fixture
def closing():
    with ExitStack() as stack:
        yield stack


@pytest.fixture
def processes(closing):
    return Processes(closing)


def test_group_stopped_and_continued_in_a_switch_uses_one_map(processes, closing):
    coordinator = processes.coordinator(1, closing)
    first = coordinator.switch(b"map a")
    switching = gevent.spawn(coordinator.switch, b"map b")
    gevent.sleep(0.02)
    processes.process.send_signal(signal.SIGSTOP)
    gevent.sleep(0.3)
    processes.process.send_signal(signal.SIGCONT)
    assert processes.versions()[-1] in (first, switching.get(timeout=20))
    assert coordinator.settle() == switching.value


def test_coordinator_killed_in_a_switch_is_followed_by_another(processes, closing):
    first = processes.coordinator(1, closing)
    first.switch(b"map a")
    switching = gevent.spawn(first.switch, b"map b")
    gevent.sleep(0.08)
    switching.kill()
    settled = processes.coordinator(2, closing).settle()
    step = processes.engines[0].state().step
    while processes.engines[0].state().step < step + 2:
        gevent.sleep(0.01)
    assert processes.versions()[-1] == settled


def test_agent_that_is_gone_is_unreachable(processes):
    processes.ports[0].listener.stop()
    order = Order(1, "g", 0, 1, OrderKind.STATUS, 0, b"")
    with pytest.raises(RankUnreachable):
        processes.links.send(0, order)
