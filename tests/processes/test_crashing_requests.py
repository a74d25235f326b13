"""Four gateways before engines that crash under one request, which comes again."""

import random
import time
from collections.abc import Iterator
from contextlib import ExitStack

import gevent
import orjson
import pytest
from gevent.pool import Pool

from demo.launcher import PortAllocator
from standins.crashing_engine import CrashingEngine
from standins.row_store import RowStore
from tests.gateway.gateways import request
from tests.processes.conftest import PART
from tests.processes.test_gateway import CONTACT_S, GatewayProcess

GATEWAYS, ENGINES = 4, 4
DEADLY = b"deadly"
DEADLY_GAP_S = 0.4
SOUND_GAP_S = 0.05
# The platform bounds what follows the third crash.
CRASHES, MAX_SENT_AFTER = 3, 3


class CrashingSystem:
    """Run gateways before engines, and callers with sound and deadly requests.

    Attributes
    ----------
    engines : list of CrashingEngine
        The engines.
    gateways : list of GatewayProcess
        The gateways.
    sound : list of (float, bool)
        Time of each sound request, and whether its answer began.
    """

    def __init__(self, closing: ExitStack, folder) -> None:
        self.store = closing.enter_context(RowStore())
        self.engines = [
            closing.enter_context(
                CrashingEngine(
                    self.store.pages, f"e{number}", (), deadly_bodies={DEADLY}
                )
            )
            for number in range(ENGINES)
        ]
        self.gateways: list[GatewayProcess] = []
        self.sound: list[tuple[float, bool]] = []
        self._rng = random.Random(1)
        self._calls = Pool()
        ports = PortAllocator(part=PART)
        for number in range(GATEWAYS):
            own_folder = folder / str(number)
            own_folder.mkdir()
            process = GatewayProcess(
                self.store, own_folder, instance=f"g{number}", ports=ports
            )
            closing.callback(process.close)
            process.spawn()
            self.gateways.append(process)
        for process in self.gateways:
            process.wait_until_ready()

    def run(self, seconds: float, *, deadly: bool) -> None:
        """Send sound requests, and the deadly one again and again, for a time."""
        until = time.monotonic() + seconds
        deadly_at = time.monotonic() if deadly else until
        while time.monotonic() < until:
            gevent.sleep(SOUND_GAP_S)
            self._calls.spawn(self._call_sound, self._rng.randrange(10))
            if time.monotonic() >= deadly_at:
                deadly_at = time.monotonic() + DEADLY_GAP_S
                self._calls.spawn(self.call, DEADLY)
        self._calls.join(timeout=5.0)

    def call(self, body: bytes) -> int:
        """Send a request to a random gateway; return the status, 0 if it breaks off."""
        try:
            gateway = self._rng.choice(self.gateways)
            return gateway.send(request("POST", body=body))[0]
        except (OSError, IndexError):
            return 0

    def deadly_arrivals(self) -> list[float]:
        """Return when the deadly request reached engines."""
        return sorted(
            at
            for engine in self.engines
            for at, received in engine.received
            if received.body == DEADLY
        )

    def third_crash_at(self) -> float:
        """Return when the third engine crashed."""
        crashed_at = sorted(at for engine in self.engines for at in engine.crashed_at)
        assert len(crashed_at) >= CRASHES
        return crashed_at[CRASHES - 1]

    def sent_late(self) -> int:
        """Return how often it reached engines once all gateways must know it."""
        known_at = self.third_crash_at() + CONTACT_S
        return sum(at > known_at for at in self.deadly_arrivals())

    def _call_sound(self, number: int) -> None:
        sent_at = time.monotonic()
        status = self.call(b"sound %d" % number)
        self.sound.append((sent_at, status == 200))


@pytest.fixture
def system(tmp_path) -> Iterator[CrashingSystem]:
    with ExitStack() as closing:
        yield CrashingSystem(closing, tmp_path)


def test_a_request_that_crashes_engines_stops_reaching_them_from_any_gateway(system):
    system.run(2.0, deadly=False)
    system.run(14.0, deadly=True)
    assert system.sent_late() <= MAX_SENT_AFTER
    quiet_from = system.third_crash_at() + 2 * CONTACT_S
    late = [ok for sent_at, ok in system.sound if sent_at > quiet_from]
    assert len(late) >= 20
    assert sum(late) >= 0.95 * len(late)


def test_gateways_that_were_all_restarted_know_the_request(system):
    system.run(2.0, deadly=False)
    system.run(6.0, deadly=True)
    for process in system.gateways:
        process.process.kill()
        process.process.wait()
    for process in system.gateways:
        process.spawn()
    for process in system.gateways:
        process.wait_until_ready()
    system.run(8.0, deadly=True)
    assert system.sent_late() <= MAX_SENT_AFTER


def test_reports_hold_no_bodies(system):
    system.run(8.0, deadly=True)
    rows = [
        system.store.pages.row("toucanspool-entry", f"crash/g{number}") or b""
        for number in range(GATEWAYS)
    ]
    assert any(orjson.loads(row)["crashes"] for row in rows if row)
    assert DEADLY not in b"".join(rows)
