"""Pages for readiness, the directory and metrics."""

import orjson
import pytest

from toucanspool.platform import pages

PROBERS: list[str] = []


def get(page: pages.Page, path: str = "/", query: str = "") -> tuple[str, bytes]:
    statuses: list[str] = []
    environ = {"PATH_INFO": path, "QUERY_STRING": query}
    body = page(environ, lambda status, headers: statuses.append(status))
    return statuses[0], b"".join(body)


def readiness(ready: bool) -> pages.Page:
    return pages.readiness_page(lambda: ready, lambda: {"s": 2.5}, PROBERS.append)


def test_readiness():
    assert get(readiness(True)) == (pages.OK, b"")
    assert get(readiness(False))[0] == pages.UNAVAILABLE


def test_other_entries_get_the_peer_status():
    status, body = get(readiness(True), pages.PEERS_PATH)
    assert (status, orjson.loads(body)) == (pages.OK, {"s": 2.5})
    assert get(readiness(False), pages.PEERS_PATH)[0] == pages.UNAVAILABLE


@pytest.mark.parametrize("ready", [True, False])
def test_a_probe_tells_who_sent_it(ready):
    PROBERS.clear()
    get(readiness(ready), pages.PEERS_PATH, "from=e%202")
    get(readiness(ready), "/", "from=e3")
    get(readiness(ready), pages.PEERS_PATH, "other=e4")
    assert PROBERS == ["e 2"]


def test_the_directory_lists_addresses_and_their_ttl():
    page = pages.directory_page(lambda host, region: ["10.0.0.1:80"], lambda: 2.0)
    status, body = get(page, "/resolve")
    assert status == pages.OK
    assert orjson.loads(body) == {"addresses": ["10.0.0.1:80"], "ttlS": 2.0}


def test_the_directory_limits_the_number_of_addresses():
    page = pages.directory_page(lambda host, region: ["a:1"] * 100, lambda: 2.0)
    assert len(orjson.loads(get(page, "/resolve")[1])["addresses"]) == 64


def test_a_directory_without_entries_is_unavailable():
    page = pages.directory_page(lambda host, region: [], lambda: 2.0)
    assert get(page, "/resolve")[0] == pages.UNAVAILABLE


@pytest.mark.parametrize(
    ("query", "asked"),
    [
        ("name=a.example&region=south&zone=two", ["a.example", "south"]),
        ("name=a.example&region=", ["a.example", ""]),
        ("", ["", ""]),
    ],
)
def test_the_directory_is_asked_for_a_host_and_the_callers_region(query, asked):
    page = pages.directory_page(lambda host, region: [host, region], lambda: 2.0)
    body = get(page, "/resolve", query)[1]
    assert orjson.loads(body)["addresses"] == asked


def test_another_path_is_not_found():
    assert (
        get(pages.directory_page(lambda host, region: [], lambda: 2.0), "/x")[0]
        == pages.NOT_FOUND
    )


def test_metrics():
    assert get(pages.metrics_page(lambda: b"m 1")) == (pages.OK, b"m 1")
