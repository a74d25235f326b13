"""Crowds at the listeners for messages neither end an agent nor keep others out."""

import random
import struct
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

import gevent
import orjson
import pytest
from gevent import socket, subprocess
from gevent.event import AsyncResult

from demo.caller import Caller
from demo.launcher import PortAllocator, System, call
from soak.configuration import PLACES, build_configuration
from standins.engine_pages import EnginePages, serve_engine
from standins.pass_group import PassGroup
from standins.row_store import RowStore
from tests.processes.conftest import PART, PLAN, RECORDS
from tests.processes.crowds import (
    KB,
    ORDINARY_PATIENCE_S,
    READ_PAUSE_S,
    RETURN_S,
    idle,
    lowered_descriptors,
    press,
)
from tests.processes.test_input import CHAT, GOOD
from tests.settings.test_templates import FIELDS, render
from toucanspool.wire.codec import encode
from toucanspool.wire.connection import Connection, ConnectionLost, connect
from toucanspool.wire.gen.messages.ttypes import Frame, RankAction, RankAsk

pytestmark = pytest.mark.crowd

# The smallest machine beside an upstream in force.
MACHINE_MB = 168
MACHINE_BYTES = MACHINE_MB * 10**6
TEMPLATE = Path(__file__).parents[2] / "deploy" / "rank_agent.yaml"
DESCRIPTORS = 128
SPARE_DESCRIPTORS = 8
ANNOUNCED_BYTES = 15 * 1024 * KB
START_TIMEOUT_S = 15.0
CROWD_S = 4.0


def frame_never_ending(sock: socket.socket) -> None:
    """Announce a long frame, send most of it at once and the rest slowly."""
    sock.sendall(struct.pack("!i", ANNOUNCED_BYTES))
    for _ in range(12):
        sock.sendall(b"x" * (1024 * KB))
    while True:
        sock.sendall(b"x")
        gevent.sleep(READ_PAUSE_S)


def asks_ahead(sock: socket.socket) -> None:
    """Send requests as fast as they are read, and read no answer."""
    data = encode(Frame(rank_ask=rank_ask(call=1)))
    while True:
        sock.sendall((struct.pack("!i", len(data)) + data) * 50)


CROWDS = {
    "idle-connections": idle,
    "long-frames-that-never-end": frame_never_ending,
    "requests-sent-ahead": asks_ahead,
}


def rank_ask(call: int = 0) -> RankAsk:
    """Return the request of a coordinator that has been replaced."""
    return RankAsk(call=call, action=RankAction.STATUS, token=0)


class Answers:
    """Wait for the answer on one connection; implements `Receiver`."""

    def __init__(self) -> None:
        self.first = AsyncResult()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Take the answer."""
        self.first.set(frame.rank_answer)

    def lost(self, conn: Connection) -> None:
        """Take the end of the connection for no answer."""
        self.first.set(None)


def rank_answers(port: int, tries: int) -> bool:
    """Return whether a coordinator that connects anew gets an answer."""
    for _ in range(tries):
        answers = Answers()
        with suppress(ConnectionLost, gevent.Timeout):
            patience = {"timeout_s": ORDINARY_PATIENCE_S}
            conn = connect("127.0.0.1", port, answers, **patience)
            conn.send(Frame(rank_ask=rank_ask(call=1)))
            answer = answers.first.get(timeout=ORDINARY_PATIENCE_S)
            conn.close()
            if answer is not None:
                return True
        gevent.sleep(RETURN_S)
    return False


@contextmanager
def rank_agent(folder: Path) -> Iterator[tuple[int, int]]:
    """Run a rank agent beside an engine; yield its process id and port."""
    with ExitStack() as closing:
        store = closing.enter_context(RowStore())
        group = PassGroup(1, random.Random(1))
        server = serve_engine(EnginePages(group, 0, "rank-0", PLACES))
        closing.callback(server.stop, timeout=0)
        engine = f"127.0.0.1:{server.server_port}"
        store.pages.put("op", "config", build_configuration(1, [1]))
        fields = {"service": "ranks", "address": engine, "state": "ready"}
        store.pages.put("servers", "rank-0", orjson.dumps(fields))
        port = PortAllocator(part=PART).next()
        path = folder / "agent.yaml"
        fields = {
            **FIELDS,
            "ip": "127.0.0.1",
            "internalPorts": [port],
            "app": engine,
            "service": "ranks",
            "platform": {"address": f"127.0.0.1:{store.port}"},
            "limits": {"memoryMb": MACHINE_MB, "maxFds": DESCRIPTORS, "linkMbps": 100},
        }
        path.write_text(render(fields, TEMPLATE))
        command = [sys.executable, "-m", "toucanspool.daemon", f"--settings={path}"]
        with (folder / "log").open("ab") as out, lowered_descriptors(DESCRIPTORS):
            process = subprocess.Popen(command, stdout=out, stderr=out)
        closing.callback(process.wait)
        closing.callback(process.kill)
        until = time.monotonic() + START_TIMEOUT_S
        while not rank_answers(port, 1):
            assert time.monotonic() < until, "the rank agent did not start"
            gevent.sleep(0.1)
        yield process.pid, port


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_at_a_rank_agent_keeps_no_coordinator_out(tmp_path, name):
    with rank_agent(tmp_path) as (pid, port):
        watch = press(
            pid,
            port,
            CROWDS[name],
            size=2 * DESCRIPTORS,
            seconds=CROWD_S,
            ordinary=lambda tries: rank_answers(port, tries),
        )
        assert watch.peak_bytes <= MACHINE_BYTES
        assert watch.peak_descriptors <= DESCRIPTORS - SPARE_DESCRIPTORS


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_at_an_agent_keeps_no_calls_out(name):
    with ExitStack() as closing:
        with lowered_descriptors(DESCRIPTORS):
            system = closing.enter_context(System(PLAN, part=PART))
        caller = Caller(system)
        caller.configure([dict(record) for record in RECORDS])
        key = system.keys.teams["members"]
        agents = [system.processes[f"agent-guide-{n}"] for n in (1, 2)]

        def ordinary(tries: int) -> bool:
            return any(
                call(caller.port(0), "POST", CHAT, GOOD, key=key)[0] == 200
                for _ in range(tries)
            )

        watch = press(
            agents[0].process.pid,
            agents[0].port,
            CROWDS[name],
            size=2 * DESCRIPTORS,
            seconds=CROWD_S,
            ordinary=ordinary,
        )
        assert watch.peak_bytes <= MACHINE_BYTES
        assert watch.peak_descriptors <= DESCRIPTORS - SPARE_DESCRIPTORS
