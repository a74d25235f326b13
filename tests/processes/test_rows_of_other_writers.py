"""A gateway and a rank agent as real processes, in a store with odd rows.

Guards against processes that end, or stop following the store, because of rows that
another writer has left in it.
"""

import random
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import gevent
import orjson
import yaml
from gevent import subprocess

from demo.launcher import PortAllocator
from standins.engine_pages import EnginePages, serve_engine
from standins.pass_group import GROUP, PassGroup
from standins.raw_upstream import RawUpstream, answering
from standins.row_store import RowStore
from tests.gateway.gateways import request
from tests.platform.odd_values import odd_rows
from tests.platform.test_malformed_input import ENTRY, RANK, REPORT
from tests.platform.test_odd_rows import LISTING
from tests.platform.test_operator_configuration import ENGINE
from tests.processes.conftest import PART
from tests.processes.test_gateway import (
    ROUTES,
    START_TIMEOUT_S,
    GatewayProcess,
)

PLACES = 6
SERVICE = {
    "name": "ranks",
    "engine": {**ENGINE, "sets": 2, "experts": 12, "placements": PLACES},
}
# Calls of this route run at the upstreams whose odd entries were accepted.
ODD_ROUTE = {
    **ROUTES[0],
    "name": "odd",
    "prefix": "/odd/",
    "routeType": "idempotent",
    "backends": [{"service": "odd", "weight": 1}],
}
# Of the odd rows, to keep the test short. Reaches all kinds of value in all fields.
STRIDE = 5
# Nobody listens there.
NOWHERE = "127.0.0.1:1"
TABLES = [
    ("servers", {**LISTING, "service": "odd", "address": NOWHERE}, ""),
    ("toucanspool-entry", ENTRY, "entry/"),
    ("toucanspool-entry", REPORT, "crash/"),
    (
        "toucanspool-rank",
        {**RANK, "group": GROUP, "rank": 3, "port": 1, "host": "127.0.0.1"},
        "rank/",
    ),
    ("op", {"routes": [ODD_ROUTE], "services": [SERVICE]}, ""),
    ("op", {"routes": [ODD_ROUTE]}, "evacuate/"),
]
DUTY = "toucanspool-duty", f"duty/group/{GROUP}"


def put_odd(store: RowStore, prefix: str, offset: int) -> None:
    for table, fields, kind in TABLES:
        for number, row in enumerate(list(odd_rows(fields))[offset::STRIDE]):
            name = f"{prefix}{number}"
            # Nothing outside of this machine is called.
            value = row.value.replace(b"10.0.0.", b"127.0.0.")
            if own := fields.get("name"):
                value = value.replace(orjson.dumps(own), orjson.dumps(name), 1)
            store.pages.put(table, kind + name, value)
    for key in ("", "odd", "\u00fc", "a b", "\x01", "x" * 200):
        store.pages.put("servers", prefix + key, orjson.dumps(TABLES[0][1]))
        store.pages.put("op", f"evacuate/{prefix}{key}", b"")


@contextmanager
def rank_agent(store: RowStore, folder: Path) -> Iterator[subprocess.Popen]:
    """Run the agent of a group's only rank, with its log in the folder."""
    with ExitStack() as closing:
        pages = EnginePages(PassGroup(1, random.Random(1)), 0, "r0", PLACES)
        server = serve_engine(pages)
        closing.callback(server.stop, timeout=0)
        cfg = {
            "role": "rank_agent",
            "instance": "r0",
            "failure_domain": "one",
            "host": "127.0.0.1",
            "port": PortAllocator(part=PART).next(),
            "rank_agent": {
                "engine": f"127.0.0.1:{server.server_port}",
                "service": "ranks",
                "store": {"address": f"127.0.0.1:{store.port}", "drain_ms": 200},
            },
        }
        path = folder / "rank.yaml"
        path.write_text(yaml.safe_dump(cfg))
        log = closing.enter_context((folder / "rank.log").open("ab"))
        command = [sys.executable, "-m", "toucanspool.daemon", f"--settings={path}"]
        child = subprocess.Popen(command, stdout=log, stderr=log)
        closing.callback(child.wait)
        closing.callback(child.kill)
        yield child


def events(path: Path) -> list[str]:
    """Return the names of the events in a log, whose lines must all be JSON."""
    return [orjson.loads(line)["event"] for line in path.read_bytes().splitlines()]


def wait_for(reached, timeout_s: float = START_TIMEOUT_S) -> None:
    with gevent.Timeout(timeout_s):
        while not reached():
            gevent.sleep(0.1)


def test_processes_go_on_in_a_store_with_odd_rows(tmp_path):
    with RowStore() as store, ExitStack() as closing:
        put_odd(store, "a", 0)
        store.pages.put(*DUTY, b'{"holder":"x","token":1e308}')
        gateway = GatewayProcess(store, tmp_path, answering(b"first"))
        gateway.configure(2, routes=[*ROUTES, ODD_ROUTE], services=[SERVICE])
        put_odd(store, "z", 1)
        agent = closing.enter_context(rank_agent(store, tmp_path))
        closing.callback(gateway.close)
        gateway.start()
        call = request("POST", path="/book/x", body=b"seat")
        assert gateway.send(call) == (200, b"first")

        put_odd(store, "b", 2)
        put_odd(store, "v", 3)
        second = closing.enter_context(RawUpstream(answering(b"second")))
        fields = orjson.loads(store.pages.row("servers", "u0"))
        new = {**fields, "address": f"127.0.0.1:{second.port}"}
        store.pages.put("servers", "u1", orjson.dumps(new))
        store.pages.drop("servers", "u0")
        wait_for(lambda: gateway.send(call) == (200, b"second"), 5.0)
        gateway.configure(3, services=[SERVICE], routes=[*ROUTES, ODD_ROUTE])
        for number in range(20):
            status, _ = gateway.send(request("GET", path=f"/odd/{number}"))
            assert status in (502, 503, 504)
        wait_for(lambda: "elected" in events(tmp_path / "rank.log"))

        assert gateway.get(gateway.metrics, "/metrics")[0] == 200
        assert gateway.process.poll() is None
        assert agent.poll() is None
        faults = {"feed failed", "changes failed", "coordination failed", "tick failed"}
        assert not faults & set(events(gateway.log))
        assert not faults & set(events(tmp_path / "rank.log"))
