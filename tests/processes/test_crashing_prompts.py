"""Six gateways before engines that crash on prompts with a certain part."""

import random
import time
from contextlib import ExitStack

import gevent
import pytest
from gevent import socket
from gevent.pool import Pool

from demo.launcher import PortAllocator
from standins.crashing_engine import CrashingEngine
from standins.row_store import RowStore
from tests.gateway.gateways import HOST
from tests.processes.conftest import PART
from tests.processes.test_gateway import CONTACT_S, GatewayProcess

GATEWAYS = 6
ENGINES = 4
SOUND_GAP_S = 0.03
DEADLY_GAP_S = 0.4
# The platform bounds what follows the fifth crash.
CRASHES = 5
MAX_SENT_AFTER = 3
QUIET_S = 3.0
RUN_S = 22.0
FIRST_PART, DEADLY_PART = "f1", "c0ffee"
SUBJECTS = [f"s{number}" for number in range(8)]


class Callers:
    """Send sound and deadly requests to random gateways.

    Parameters
    ----------
    ports : list of int
        Ports of the gateways.
    seed : int
        Seed of the choice of gateways and prompts.

    Attributes
    ----------
    sound : list of (float, bool)
        Time of each sound request, and whether its answer began.
    """

    def __init__(self, ports: list[int], seed: int) -> None:
        self.sound: list[tuple[float, bool]] = []
        self._ports = ports
        self._rng = random.Random(seed)
        self._calls = Pool()
        self._number = 0

    def run(self, seconds: float, *, deadly: bool) -> None:
        """Send requests for a time, and wait for their answers."""
        until = time.monotonic() + seconds
        deadly_at = time.monotonic() if deadly else until
        while time.monotonic() < until:
            gevent.sleep(SOUND_GAP_S)
            self._calls.spawn(self._call_sound)
            if time.monotonic() >= deadly_at:
                deadly_at = time.monotonic() + DEADLY_GAP_S
                self._calls.spawn(self._call, [self._subject(), DEADLY_PART])
        self._calls.join(timeout=5.0)

    def begun_share(self, since: float, until: float) -> float:
        """Return the share of the sound requests of a time that were answered."""
        begun = [ok for sent_at, ok in self.sound if since <= sent_at < until]
        assert len(begun) >= 20
        return sum(begun) / len(begun)

    def _subject(self) -> str:
        return self._rng.choice(SUBJECTS)

    def _call_sound(self) -> None:
        sent_at = time.monotonic()
        self.sound.append((sent_at, self._call([self._subject()]) == 200))

    def _call(self, parts: list[str]) -> int:
        self._number += 1
        prompt = [FIRST_PART, *parts, f"own{self._number}"]
        head = [
            "POST /p/x HTTP/1.1",
            f"Host: {HOST}",
            "Connection: close",
            "Content-Length: 0",
            f"Toucanspool-Attempt-Id: {self._number:x}",
            "Toucanspool-Deadline-Ms: 4000",
            "Toucanspool-Prefix-Hash: " + ",".join(f"{part}:40" for part in prompt),
        ]
        try:
            port = self._rng.choice(self._ports)
            sock = socket.create_connection(("127.0.0.1", port), timeout=5.0)
            sock.sendall(("\r\n".join(head) + "\r\n\r\n").encode())
            answer = sock.recv(65536)
            while sock.recv(65536):
                pass
        except OSError:
            return 0
        return int(answer.split(b" ")[1]) if answer else 0


@pytest.mark.parametrize("seed", [1, 2])
def test_a_part_of_prompts_that_crashes_engines_stops_reaching_them(tmp_path, seed):
    with ExitStack() as closing:
        store = closing.enter_context(RowStore())
        engines = [
            closing.enter_context(
                CrashingEngine(store.pages, f"e{number}", {DEADLY_PART})
            )
            for number in range(ENGINES)
        ]
        gateways = []
        # One allocator, since processes that have just started don't listen yet.
        ports = PortAllocator(part=PART)
        for number in range(GATEWAYS):
            folder = tmp_path / str(number)
            folder.mkdir()
            process = GatewayProcess(store, folder, instance=f"g{number}", ports=ports)
            closing.callback(process.close)
            process.spawn()
            gateways.append(process)
        for process in gateways:
            process.wait_until_ready()
        callers = Callers([process.callers for process in gateways], seed)
        started_at = time.monotonic()
        callers.run(QUIET_S, deadly=False)
        troubled_at = time.monotonic()
        callers.run(RUN_S, deadly=True)
        ended_at = time.monotonic()

    crashes = sorted(at for engine in engines for at in engine.crashed_at)
    last = crashes[min(CRASHES, len(crashes)) - 1]
    sent_after = [
        request
        for engine in engines
        for at, request in engine.received
        if DEADLY_PART in request.head and at > last + CONTACT_S
    ]
    assert len(crashes) < CRASHES or len(sent_after) <= MAX_SENT_AFTER
    quiet = callers.begun_share(started_at, troubled_at)
    later = callers.begun_share(last + 2 * CONTACT_S, ended_at)
    assert later >= quiet / 2
