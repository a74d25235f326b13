"""A cold upstream with several gateways before it, one of which is restarted."""

import random
import signal
import time
from collections.abc import Iterator
from contextlib import ExitStack

import gevent
import orjson
import pytest
from gevent.pool import Pool

from demo.launcher import PortAllocator
from standins.raw_upstream import RawUpstream, reply
from standins.row_store import RowStore
from tests.gateway.gateways import request
from tests.processes.conftest import PART
from tests.processes.test_gateway import GatewayProcess

GATEWAYS = 3
PER_S = 6.0
OVERRUN, SLACK = 1.5, 5.0
SETTLED_S = 6.0
RUN_S = 8.0


class ColdSystem:
    """Run gateways before a cold upstream.

    Attributes
    ----------
    gateways : list of GatewayProcess
        The gateways.
    arrivals : list of float
        Times of the requests at the upstream, on the monotonic clock.
    """

    def __init__(self) -> None:
        self.gateways: list[GatewayProcess] = []
        self.arrivals: list[float] = []
        self._rng = random.Random(1)

    def answer(self, sock, seen) -> None:
        """Answer a request; the script of the upstream."""
        self.arrivals.append(time.monotonic())
        sock.sendall(reply(seen))

    def call(self, seconds: float) -> list[int]:
        """Make 40 calls a second to random gateways; return the statuses."""
        calls, statuses = Pool(), []
        until = time.monotonic() + seconds

        def call_once(gateway: GatewayProcess) -> None:
            try:
                statuses.append(gateway.send(request("GET"))[0])
            except (OSError, IndexError):
                statuses.append(0)

        while time.monotonic() < until:
            calls.spawn(call_once, self._rng.choice(self.gateways))
            gevent.sleep(0.025)
        calls.join(timeout=5.0)
        return statuses


@pytest.fixture
def system(tmp_path) -> Iterator[ColdSystem]:
    with ExitStack() as closing:
        store = closing.enter_context(RowStore())
        system = ColdSystem()
        cold = closing.enter_context(RawUpstream(system.answer))
        fields = {
            "service": "s",
            "address": f"127.0.0.1:{cold.port}",
            "zone": "one",
            "slots": 4,
            "state": "ready",
            "coldRemainingMs": 60000,
        }
        store.pages.put("servers", "cold", orjson.dumps(fields))
        ports = PortAllocator(part=PART)
        service = {"name": "s", "coldStartS": 60, "coldPerS": PER_S}
        for number in range(GATEWAYS):
            folder = tmp_path / str(number)
            folder.mkdir()
            process = GatewayProcess(store, folder, instance=f"g{number}", ports=ports)
            process.write_settings(cold_starts={"overrun": OVERRUN, "slack": SLACK})
            process.configure(1, services=[service])
            closing.callback(process.close)
            process.spawn()
            system.gateways.append(process)
        for process in system.gateways:
            process.wait_until_ready()
        yield system


def test_gateways_use_what_a_cold_upstream_tolerates_and_no_more(system):
    system.call(SETTLED_S)
    before = len(system.arrivals)
    restart = gevent.spawn_later(1.0, restart_gateway, system.gateways[0])
    statuses = system.call(RUN_S)
    restart.get()
    arrivals = system.arrivals
    most = max(sum(at <= t <= at + 1.0 for t in arrivals) for at in arrivals)
    assert most <= OVERRUN * PER_S + SLACK
    assert len(arrivals) - before >= 0.4 * PER_S * RUN_S
    assert 503 in statuses
    event = system.gateways[1].lines("upstream cold")[0]
    assert (event["upstream"], event["per_s"]) == ("cold", PER_S)
    # The gateway may read its configuration before or after the list.
    assert event["source"] in {"list", "configuration"}
    _, page = system.gateways[1].get(system.gateways[1].metrics, "/metrics")
    assert b'toucanspool_cold_upstreams{service="s"} 1.0' in page


def restart_gateway(gateway: GatewayProcess) -> None:
    """Kill a gateway and start it again."""
    gateway.process.send_signal(signal.SIGKILL)
    gateway.process.wait()
    gateway.start()
