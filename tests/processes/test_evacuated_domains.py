"""A failure domain is evacuated while calls run, and entries and the store fail."""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import gevent
import orjson
import pytest
from gevent.pool import Pool

from demo.launcher import PortAllocator
from standins.raw_upstream import RawUpstream, event, reply, streaming
from standins.row_store import RowStore
from tests.gateway.gateways import request
from tests.processes.conftest import PART
from tests.processes.test_gateway import GatewayProcess

ZONES = ("one", "two")
ROW = "evacuate/one"
GATEWAYS = 3
EVACUATE_S = 5.0
# Time within which entries in touch with the store read a change: a pause of 0.5 s
# between two reads, and some for a busy machine.
READ_S = 1.5
CALL_GAP_S = 0.02
PIECES = [event(number) for number in range(1, 21)]


class EvacuatedSystem:
    """Run gateways before one upstream in each zone, and callers without a pause.

    Attributes
    ----------
    store : RowStore
        The store that they follow.
    gateways : list of GatewayProcess
        The gateways.
    arrivals : dict of str to list of float
        Times of the requests in each zone, on the monotonic clock.
    statuses : list of int
        Statuses of the calls; 0 for broken connections.
    """

    def __init__(self, store: RowStore) -> None:
        self.store = store
        self.gateways: list[GatewayProcess] = []
        self.arrivals: dict[str, list[float]] = {zone: [] for zone in ZONES}
        self.statuses: list[int] = []

    def answer(self, zone: str) -> Callable:
        """Return the script of a zone's upstream: calls, and streams by POST."""
        stream = streaming(PIECES, gap_s=0.1)

        def script(sock, seen):
            self.arrivals[zone].append(time.monotonic())
            if seen.head.startswith("POST"):
                stream(sock, seen)
            else:
                sock.sendall(reply(seen, zone.encode()))

        return script

    def call(self, gateway: GatewayProcess) -> None:
        """Call a gateway without end."""
        while True:
            try:
                status, _ = gateway.send(request("GET", path="/book/x"))
            except (OSError, IndexError, ValueError):
                status = 0
            self.statuses.append(status)
            gevent.sleep(CALL_GAP_S)

    def evacuate(self) -> float:
        """Write the row; return when the store acknowledged it."""
        self.store.pages.put("op", ROW, b"{}")
        return time.monotonic()

    def used_after(self, at: float) -> bool:
        """Return whether zone one got a request after a time."""
        return any(arrival > at for arrival in self.arrivals["one"])


@pytest.fixture
def system(tmp_path) -> Iterator[EvacuatedSystem]:
    with ExitStack() as closing:
        system = EvacuatedSystem(closing.enter_context(RowStore()))
        for zone in ZONES:
            upstream = closing.enter_context(RawUpstream(system.answer(zone)))
            fields = {
                "service": "s",
                "address": f"127.0.0.1:{upstream.port}",
                "zone": zone,
                "slots": 4,
                "state": "ready",
            }
            system.store.pages.put("servers", f"u-{zone}", orjson.dumps(fields))
        ports = PortAllocator(part=PART)
        for number in range(GATEWAYS):
            folder = tmp_path / str(number)
            folder.mkdir()
            gateway = GatewayProcess(
                system.store, folder, instance=f"g{number}", ports=ports
            )
            closing.callback(gateway.close)
            gateway.spawn()
            system.gateways.append(gateway)
        for gateway in system.gateways:
            gateway.wait_until_ready()
        calls = Pool()
        closing.callback(calls.kill)
        for gateway in system.gateways:
            calls.spawn(system.call, gateway)
        gevent.sleep(1.0)
        assert system.arrivals["one"]
        yield system


def test_nothing_new_reaches_an_evacuated_domain_from_any_entry(system):
    stream = gevent.spawn(
        system.gateways[1].send, request("POST", path="/p/x", body=b"ask")
    )
    gevent.sleep(0.3)
    acknowledged_at = system.evacuate()
    restarted = system.gateways[0]
    restarted.process.kill()
    restarted.process.wait()
    restarted.start()
    gevent.sleep(max(0.0, acknowledged_at + READ_S - time.monotonic()))
    # Entries that lose the store now keep to the row.
    system.store.pages.status = 503
    gevent.sleep(EVACUATE_S)
    assert not system.used_after(acknowledged_at + READ_S)
    assert restarted.get(restarted.readiness, "/readyz")[0] == 200
    status, body = stream.get(timeout=4.0)
    assert (status, body.endswith(b"0\r\n\r\n")) == (200, True)
    system.store.pages.status = 0
    system.store.pages.drop("op", ROW)
    removed_at = time.monotonic()
    with gevent.Timeout(EVACUATE_S):
        while not system.used_after(removed_at):
            gevent.sleep(0.02)
    for gateway in system.gateways:
        with gevent.Timeout(EVACUATE_S):
            while not gateway.lines("failure domain taken back"):
                pass
        assert gateway.lines("failure domain evacuated")
    # Only connections to the killed process broke, and only that process refused calls,
    # which it does until it has read the routes and the list of upstreams.
    assert set(system.statuses) <= {200, 503, 0}
    refused = [
        (number, line["cause"])
        for number, gateway in enumerate(system.gateways)
        for line in gateway.lines("call ended")
        if line["outcome"] == "refused"
    ]
    assert set(refused) <= {(0, "NO_CONFIG"), (0, "NO_UPSTREAM")}


def test_a_domain_stays_evacuated_until_the_operator_wrote_the_row_again_after_a_lapse(
    system,
):
    before = system.store.pages.version
    acknowledged_at = system.evacuate()
    gevent.sleep(READ_S)
    system.store.pages.lapse(before)
    gevent.sleep(3.0)
    system.evacuate()
    gevent.sleep(EVACUATE_S)
    assert not system.used_after(acknowledged_at + READ_S)


def test_callers_are_refused_while_all_domains_are_evacuated(system):
    for zone in ZONES:
        system.store.pages.put("op", f"evacuate/{zone}", b"{}")
    gevent.sleep(READ_S)
    one = system.gateways[0]
    status, body = one.send(request("GET", path="/book/x"))
    assert (status, orjson.loads(body)["outcome"]) == (503, "not_run")
    refused = one.lines("call ended")[-1]
    assert (refused["cause"], refused["retry_after_s"]) == ("EVACUATED", 1.0)
    assert b"toucanspool_evacuated_domains 2.0" in one.get(one.metrics, "/metrics")[1]
