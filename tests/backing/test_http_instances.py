"""The client of the instance list, which reads the list again only after a change."""

import gevent
import pytest

from standins.faults import Faults
from standins.http import make_app
from standins.instance_pages import InstancePages
from toucanspool.backing.http_client import JsonClient
from toucanspool.backing.http_instances import HttpInstances
from toucanspool.backing.instances import InstancesUnavailable
from toucanspool.wire.http_server import HttpServer

FIELDS = {
    "name": "entry-1",
    "role": "entry",
    "failure_domain": "one",
    "region": "r",
    "host": "127.0.0.1",
    "port": 1,
}


@pytest.fixture
def served():
    """Yield a client of the list, a client that changes it, and the faults."""
    faults = Faults(sleep=gevent.sleep)
    app = make_app(faults)
    pages = InstancePages(faults, 0.0)
    app.add_route("/instances", pages)
    app.add_route("/instances/{name}", pages, suffix="one")
    server = HttpServer("127.0.0.1", 0, app)
    server.start()
    client = JsonClient("127.0.0.1", server.server_port, timeout_s=5.0)
    instances = HttpInstances("127.0.0.1", server.server_port, timeout_s=5.0)
    yield instances, client, faults
    instances.close()
    client.close()
    server.stop(timeout=1.0)


def test_an_unchanged_list_is_not_sent_again(served):
    instances, client, _ = served
    client.call("PUT", "/instances/entry-1", FIELDS)
    first = instances.read()
    assert [instance.name for instance in first] == ["entry-1"]
    assert instances.read() is first


def test_a_change_is_read(served):
    instances, client, _ = served
    client.call("PUT", "/instances/entry-1", FIELDS)
    assert instances.read()[0].state == "live"
    client.call("PUT", "/instances/entry-1", {**FIELDS, "state": "leaving"})
    assert instances.read()[0].state == "leaving"
    client.call("DELETE", "/instances/entry-1")
    assert instances.read() == []


def test_an_outage_is_an_error(served):
    instances, _, faults = served
    faults.set(down=1)
    with pytest.raises(InstancesUnavailable):
        instances.read()
