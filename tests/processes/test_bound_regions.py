"""Routes that are bound to regions, with gateways in three failure domains."""

from collections.abc import Iterator
from contextlib import ExitStack

import gevent
import orjson
import pytest

from demo.launcher import PortAllocator
from standins.raw_upstream import RawUpstream, answering
from standins.row_store import RowStore
from tests.gateway.gateways import HOST, request
from tests.processes.conftest import PART
from tests.processes.test_gateway import ROUTES, GatewayProcess

ZONES = {"one": "south", "two": "south", "three": "north"}
BOUND_HOST, UNKNOWN_HOST = "bound.example", "elsewhere.example"


def bound(regions: list[str], *, host: str = HOST) -> list[dict]:
    """Return the routes of a host, bound to regions."""
    return [{**route, "hostname": host, "allowedRegions": regions} for route in ROUTES]


class RegionalSystem:
    """Run a gateway and an upstream in each zone.

    Attributes
    ----------
    gateways : dict of str to GatewayProcess
        The gateways by zone.
    """

    def __init__(self, store: RowStore, gateways: dict[str, GatewayProcess]) -> None:
        self._store = store
        self.gateways = gateways

    def answering_zones(self, gateway: str) -> set[str]:
        """Return the zones that answer calls through a gateway."""
        ask = request("GET", path="/book/x")
        return {self.gateways[gateway].send(ask)[1].decode() for _ in range(9)}

    def named(self, host: str, region: str, *, by: str = "one") -> set[str]:
        """Return the zones of the entries that an address response names."""
        one = self.gateways[by]
        path = f"/resolve?name={host}&region={region}&zone=x"
        addresses = orjson.loads(one.get(one.directory, path)[1])["addresses"]
        zones = {f"127.0.0.1:{g.callers}": zone for zone, g in self.gateways.items()}
        return {zones[address] for address in addresses}


@pytest.fixture(scope="module")
def system(tmp_path_factory) -> Iterator[RegionalSystem]:
    with ExitStack() as closing:
        store = closing.enter_context(RowStore())
        ports = PortAllocator(part=PART)
        gateways = {}
        for zone, region in ZONES.items():
            upstream = closing.enter_context(RawUpstream(answering(zone.encode())))
            fields = {
                "service": "s",
                "address": f"127.0.0.1:{upstream.port}",
                "zone": zone,
                "slots": 4,
                "state": "ready",
            }
            store.pages.put("servers", f"u-{zone}", orjson.dumps(fields))
            gateways[zone] = GatewayProcess(
                store,
                tmp_path_factory.mktemp(zone),
                instance=f"g-{zone}",
                ports=ports,
                failure_domain=zone,
                region=region,
                zones=ZONES,
            )
            closing.callback(gateways[zone].close)
        routes = [*bound(["north"]), *bound(["north"], host=BOUND_HOST)]
        routes += bound(["west"], host="west.example")
        routes += [*bound(["south"], host="mixed.example")]
        routes += [{**ROUTES[1], "hostname": "mixed.example", "prefix": "/any/"}]
        gateways["one"].configure(2, routes=routes)
        for gateway in gateways.values():
            gateway.spawn()
        for gateway in gateways.values():
            gateway.wait_until_ready()
        system = RegionalSystem(store, gateways)
        # Entries read each other's records each 2 s.
        with gevent.Timeout(10.0):
            while system.named(UNKNOWN_HOST, "") != set(ZONES):
                gevent.sleep(0.1)
        yield system


@pytest.mark.parametrize("gateway", ZONES)
def test_calls_run_in_the_regions_of_their_route_from_any_entry(system, gateway):
    assert system.answering_zones(gateway) == {"three"}


@pytest.mark.parametrize(
    ("host", "region", "named"),
    [
        (BOUND_HOST, "", {"three"}),
        (BOUND_HOST, "west", {"three"}),
        (BOUND_HOST, "south", set(ZONES)),
        (BOUND_HOST.upper(), "north", {"three"}),
        # No entry is in these regions, or a route of the host is not bound.
        ("west.example", "", set(ZONES)),
        ("west.example", "south", {"one", "two"}),
        ("mixed.example", "north", set(ZONES)),
        (UNKNOWN_HOST, "north", set(ZONES)),
    ],
)
def test_the_directory_names_entries_in_the_regions_of_a_host(
    system, host, region, named
):
    assert system.named(host, region) == named


def test_a_call_whose_regions_have_no_upstream_is_refused(system):
    one = system.gateways["one"]
    ask = request("GET", path="/book/x").replace(HOST.encode(), b"west.example")
    status, body = one.send(ask)
    assert (status, orjson.loads(body)["outcome"]) == (503, "not_run")
    refused = one.lines("call ended")[-1]
    assert (refused["cause"], refused["regions"]) == ("OUTSIDE_REGIONS", ["west"])
