"""Upstreams name limits for all gateways together, which are restarted meanwhile."""

import random
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import gevent
import orjson
import pytest
from gevent.pool import Pool

from demo.launcher import PortAllocator
from standins.raw_upstream import RawUpstream, reply
from standins.row_store import RowStore
from tests.gateway.gateways import request
from tests.processes.conftest import PART
from tests.processes.test_gateway import CONTACT_S, GatewayProcess

GATEWAYS, UPSTREAMS = 4, 3
LIMIT = 1.0
WINDOW_S = 4.0
CALL_GAP_S = 0.05
RUN_S = 14.0


def allowed(limit: float) -> float:
    """Return the requests that are allowed in any window."""
    return 1.5 * limit * WINDOW_S + 5


class LimitedSystem:
    """Run gateways before upstreams that name limits, and callers.

    Attributes
    ----------
    store : RowStore
        The store that they follow.
    gateways : list of GatewayProcess
        The gateways.
    arrivals : list of list of float
        Times of the requests at each upstream, on the monotonic clock.
    limit : str
        What the upstreams name; empty for no limit.
    """

    def __init__(self, store: RowStore) -> None:
        self.store = store
        self.gateways: list[GatewayProcess] = []
        self.arrivals: list[list[float]] = [[] for _ in range(UPSTREAMS)]
        self.limit = str(LIMIT)
        self.statuses: list[int] = []
        self._rng = random.Random(1)
        self._calls = Pool()

    def answer(self, number: int) -> Callable:
        """Return the script of an upstream."""

        def script(sock, seen):
            self.arrivals[number].append(time.monotonic())
            headers = f"Server-Limit: {self.limit}" if self.limit else ""
            sock.sendall(reply(seen, headers=headers))

        return script

    def call(
        self,
        seconds: float,
        gateways: list[GatewayProcess],
        *,
        gap_s: float = CALL_GAP_S,
    ) -> float:
        """Call random gateways for a time; return the answers a second."""
        until = time.monotonic() + seconds
        before = self.statuses.count(200)
        while time.monotonic() < until:
            gateway = self._rng.choice(gateways)
            self._calls.spawn(self._call, gateway)
            gevent.sleep(gap_s)
        return (self.statuses.count(200) - before) / seconds

    def most_in_window(self) -> int:
        """Return the most requests that an upstream got once its limit was known."""
        most = 0
        for arrivals in self.arrivals:
            known = [at for at in arrivals if at >= arrivals[0] + CONTACT_S]
            counts = [sum(at <= t < at + WINDOW_S for t in known) for at in known]
            most = max([most, *counts])
        return most

    def _call(self, gateway: GatewayProcess) -> None:
        try:
            status, _ = gateway.send(request("GET"))
        except (OSError, IndexError):
            status = 0
        self.statuses.append(status)


@pytest.fixture
def system(tmp_path) -> Iterator[LimitedSystem]:
    with running_system(tmp_path) as system:
        yield system


@contextmanager
def running_system(
    folder: Path, *, silent_store: bool = False
) -> Iterator[LimitedSystem]:
    """Run the system; its store may fall silent when all gateways are ready."""
    with ExitStack() as closing:
        system = LimitedSystem(closing.enter_context(RowStore()))
        for number in range(UPSTREAMS):
            upstream = closing.enter_context(RawUpstream(system.answer(number)))
            fields = {
                "service": "s",
                "address": f"127.0.0.1:{upstream.port}",
                "zone": "one",
                "slots": 4,
                "state": "ready",
            }
            system.store.pages.put("servers", f"u{number}", orjson.dumps(fields))
        ports = PortAllocator(part=PART)
        for number in range(GATEWAYS):
            own_folder = folder / str(number)
            own_folder.mkdir()
            process = GatewayProcess(
                system.store, own_folder, instance=f"g{number}", ports=ports
            )
            closing.callback(process.close)
            process.spawn()
            system.gateways.append(process)
        for process in system.gateways:
            process.wait_until_ready()
        system.store.pages.silent = silent_store
        yield system


def test_all_gateways_together_keep_to_a_limit_and_use_it(system):
    system.call(CONTACT_S + 1.0, system.gateways)
    answers_per_s = system.call(RUN_S, system.gateways)
    assert system.most_in_window() <= allowed(LIMIT)
    assert answers_per_s >= 0.8 * UPSTREAMS * LIMIT


def test_a_gateway_that_has_most_of_the_calls_uses_most_of_a_limit(system):
    system.call(CONTACT_S + 1.0, system.gateways)
    answers_per_s = system.call(RUN_S, system.gateways[:1])
    assert system.most_in_window() <= allowed(LIMIT)
    assert answers_per_s >= 0.7 * UPSTREAMS * LIMIT


def test_restarted_gateways_keep_to_a_limit_while_the_store_is_away(system):
    system.call(CONTACT_S + 1.0, system.gateways)
    restarts = gevent.spawn(restart_gateways, system)
    system.call(RUN_S, system.gateways)
    restarts.join()
    assert system.most_in_window() <= allowed(LIMIT)


def test_gateways_that_have_not_read_of_each_other_do_not_each_take_a_whole_limit(
    tmp_path,
):
    with running_system(tmp_path, silent_store=True) as system:
        system.limit = "5"
        system.call(3 * CONTACT_S, system.gateways, gap_s=0.02)
        assert system.most_in_window() <= allowed(5.0)


def test_a_limit_that_has_ended_ends_at_all_gateways(system):
    system.call(CONTACT_S + 2.0, system.gateways)
    system.limit = ""
    system.call(CONTACT_S, system.gateways)
    system.statuses.clear()
    for gateway in system.gateways:
        system.call(0.5, [gateway])
    gevent.sleep(0.5)
    assert set(system.statuses) == {200}


def restart_gateways(system: LimitedSystem) -> None:
    """Restart gateways one after the other, two of them with the store away."""
    system.gateways[0].process.send_signal(signal.SIGTERM)
    system.gateways[0].process.wait()
    system.gateways[0].start()
    system.store.pages.status = 503
    gevent.sleep(1.0)
    for gateway in system.gateways[1:3]:
        gateway.process.kill()
        gateway.process.wait()
        gateway.spawn()
        gevent.sleep(0.5)
    gevent.sleep(1.5)
    system.store.pages.status = 0
