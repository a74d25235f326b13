"""The client of the row store, against a stand-in on loopback."""

from collections.abc import Iterator
from contextlib import contextmanager
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
)

import gevent
import orjson
import pytest
from gevent import socket
from gevent.server import StreamServer

from standins.raw_upstream import RawUpstream, answering
from standins.row_store import RowStore as RowStoreStandin
from toucanspool.backing.table import (
    Check,
    TableConflict,
    TableThrottled,
    TableUnavailable,
    TableUncertain,
    Write,
)
from toucanspool.platform.store import RowStoreClient, table_of
from toucanspool.recovery.feed import HistoryGone, StoreLapsed
from toucanspool.wire.exchange import Exchange
from toucanspool.wire.reply_reader import Silent


@pytest.fixture()
def standin() -> Iterator[RowStoreStandin]:
    with RowStoreStandin() as running:
        yield running


@pytest.fixture()
def store(standin: RowStoreStandin) -> RowStoreClient:
    return RowStoreClient("127.0.0.1", standin.port)


def test_a_commit_is_read_back(store):
    version = store.commit([Check("k", 0)], [Write("k", b"v")])
    row = store.get(["k", "absent"])["k"]
    assert (row.value, row.version) == (b"v", version)
    assert set(store.get(["k", "absent"])) == {"k"}


def test_a_check_that_does_not_hold_is_a_conflict(store):
    store.commit([], [Write("k", b"v")])
    with pytest.raises(TableConflict):
        store.commit([Check("k", 0)], [Write("k", b"w")])


def test_a_row_is_deleted(store):
    store.commit([], [Write("k", b"v")])
    store.commit([], [Write("k", None)])
    assert store.get(["k"]) == {}


def test_rows_by_prefix(store):
    for key in ("a/1", "a/2", "b/1"):
        store.commit([], [Write(key, b"v")])
    assert [row.key for row in store.scan("a/")] == ["a/1", "a/2"]
    assert [row.key for row in store.scan("a/", after="a/1")] == ["a/2"]


def test_a_snapshot_reads_all_pages(store, standin):
    for number in range(1203):
        standin.pages.put("servers", f"{number:05}", b"v")
    assert len(store.snapshot("servers").rows) == 1203


def test_changes_have_the_newest_rows_and_deletions(store, standin):
    version = store.snapshot("servers").version
    standin.pages.put("servers", "a", b"1")
    standin.pages.put("servers", "a", b"2")
    standin.pages.put("servers", "b", b"1")
    standin.pages.drop("servers", "b")
    changes = store.changes("servers", version, 0.0)
    assert [(row.key, row.value) for row in changes.rows] == [("a", b"2")]
    assert list(changes.deleted) == ["b"]
    assert not store.changes("servers", changes.version, 0.0).rows


def test_a_dropped_history_is_an_error(store, standin):
    standin.pages.put("servers", "a", b"1")
    standin.pages.history_from = 1
    with pytest.raises(HistoryGone):
        store.changes("servers", 0, 0.0)


@pytest.mark.parametrize(
    ("status", "error"), [(503, TableUnavailable), (429, TableThrottled)]
)
def test_a_refused_commit_writes_nothing(store, standin, status, error):
    standin.pages.status = status
    with pytest.raises(error):
        store.commit([], [Write("k", b"v")])
    with pytest.raises(error):
        store.snapshot("servers")
    standin.pages.status = 0
    assert standin.pages.row(table_of("k"), "k") is None


def test_a_commit_without_a_response_is_uncertain(store, standin):
    standin.pages.lose_answers = 1
    with pytest.raises(TableUncertain):
        store.commit([], [Write("k", b"v")])
    assert store.get(["k"])["k"].value == b"v"


def test_a_closed_store_is_unavailable():
    client = RowStoreClient("127.0.0.1", 1)
    with pytest.raises(TableUnavailable):
        client.get(["k"])
    with pytest.raises(TableUnavailable):
        client.commit([], [Write("k", b"v")])


def test_a_read_is_not_repeated_after_a_connection_reset():
    seen = []

    def reset(sock, address):
        seen.append(sock.recv(4000))
        sock.close()

    server = StreamServer(("127.0.0.1", 0), reset)
    server.start()
    client = RowStoreClient("127.0.0.1", server.server_port)
    with pytest.raises(TableUnavailable):
        client.changes("op", 1, 0.0)
    server.stop()
    assert len(seen) == 1


def test_the_connection_of_a_feed_has_tcp_keepalive(standin, monkeypatch):
    connections = []
    connect = socket.create_connection

    def record_connection(*args, **kwargs):
        connections.append(connect(*args, **kwargs))
        return connections[-1]

    monkeypatch.setattr(socket, "create_connection", record_connection)
    options = {}

    def read_options(self, until):
        options["alive"] = connections[-1].getsockopt(SOL_SOCKET, SO_KEEPALIVE)
        for name in (TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_KEEPCNT):
            options[name] = connections[-1].getsockopt(IPPROTO_TCP, name)
        raise Silent("stop after reading the socket options")

    monkeypatch.setattr(Exchange, "read_head", read_options)
    with pytest.raises(TableUnavailable):
        RowStoreClient("127.0.0.1", standin.port).changes("t", 0, 20.0)
    # A dead connection is found within two seconds: after one idle second, and one
    # second without a reply to the probe.
    assert options == {"alive": 1, TCP_KEEPIDLE: 1, TCP_KEEPINTVL: 1, TCP_KEEPCNT: 1}


def test_versions_of_a_later_era_are_higher_though_the_store_issues_them_again(
    store, standin
):
    standin.pages.era = 1
    store.commit([], [Write("k", b"first")])
    before = store.get(["k"])["k"].version
    standin.pages.lapse(0)
    store.commit([], [Write("k", b"second")])
    assert store.get(["k"])["k"].version > before
    assert store.era == 2


def test_a_feed_from_a_version_of_an_earlier_era_reports_the_lapse(store, standin):
    standin.pages.era = 1
    standin.pages.put("servers", "a", b"1")
    version = store.snapshot("servers").version
    standin.pages.lapse(0)
    standin.pages.put("servers", "b", b"1")
    with pytest.raises(StoreLapsed):
        store.changes("servers", version, 0.0)


def test_a_waiting_feed_ends_when_another_response_names_a_new_era(store, standin):
    standin.pages.era = 1
    version = store.snapshot("servers").version
    waiting = gevent.spawn(store.changes, "servers", version, 30.0)
    gevent.sleep(0.05)
    standin.pages.lapse(0)
    store.snapshot("op")
    waiting.join(timeout=1.0)
    assert isinstance(waiting.exception, StoreLapsed)


def test_a_check_of_an_earlier_era_is_a_conflict_though_the_versions_are_equal(
    store, standin
):
    standin.pages.era = 1
    store.commit([], [Write("k", b"mine")])
    row = store.get(["k"])["k"]
    standin.pages.lapse(0)
    standin.pages.put(table_of("k"), "k", b"of another writer")
    store.get(["other"])
    with pytest.raises(TableConflict):
        store.commit([Check("k", row.version)], [Write("k", b"again")])
    assert store.get(["k"])["k"].value == b"of another writer"


def test_a_commit_that_meets_a_new_era_is_uncertain(store, standin):
    standin.pages.era = 1
    store.commit([], [Write("k", b"mine")])
    row = store.get(["k"])["k"]
    standin.pages.lapse(0)
    standin.pages.put(table_of("k"), "k", b"of another writer")
    with pytest.raises(TableUncertain):
        store.commit([Check("k", row.version)], [Write("k", b"again")])


def test_a_feed_on_a_silent_connection_fails_soon_after_its_wait(store, standin):
    version = store.snapshot("op").version
    standin.pages.silent = True
    with gevent.Timeout(1.0), pytest.raises(TableUnavailable):
        store.changes("op", version, 0.2)


@contextmanager
def scripted_store(body: bytes, header: str = "") -> Iterator[RowStoreClient]:
    """Yield a client of a store whose responses all have the same body."""
    answer = answering(body, headers=f"Content-Type: application/json{header}")
    with RawUpstream(answer) as upstream:
        yield RowStoreClient("127.0.0.1", upstream.port)


@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b"null",
        b"5",
        b"{}",
        b'{"rows": 5}',
        b'{"rows": [], "ver": "x"}',
        b'{"rows": [], "ver": 1e300, "hasMore": true}',
        b'{"rows": [' + b"[" * 900 + b"]" * 900 + b'], "hasMore": true, "ver": []}',
        b"[" * 5000,
        b'{"rows": ["\xff"]}',
    ],
)
def test_a_malformed_response_is_an_outage(body):
    """Guards against responses that end the follower of a table, or a writer."""
    with scripted_store(body) as store:
        with pytest.raises(TableUnavailable):
            store.snapshot("t")
        with pytest.raises(TableUnavailable):
            store.changes("t", 0, 0.0)
        with pytest.raises(TableUncertain):
            store.commit([], [Write("k", b"v")])


@pytest.mark.parametrize("rows", [[], [5, {}, {"key": 5}, {"key": ""}]])
def test_a_page_without_any_key_before_the_last_is_an_outage(rows):
    """Guards against a page that is read again and again."""
    body = orjson.dumps({"rows": rows, "ver": 2, "hasMore": True})
    with scripted_store(body) as store, pytest.raises(TableUnavailable):
        store.snapshot("t")


def test_malformed_rows_keep_no_other_row_out():
    """Guards against one malformed row that hides its table."""
    bad = [5, {}, {"key": 5}, {"key": "a", "ver": 1, "value": "a"}, {"key": ["a"]}]
    bad += [{"key": "b", "ver": 1, "value": 5}, {"tombstone": True, "key": {}}]
    good = {"key": "k", "ver": 1, "value": "dg=="}
    body = orjson.dumps({"rows": [*bad, good], "ver": 2})
    with scripted_store(body) as store:
        assert [row.key for row in store.snapshot("t").rows] == ["k"]
        changes = store.changes("t", 0, 0.0)
        assert ([row.key for row in changes.rows], changes.deleted) == (["k"], [])


@pytest.mark.parametrize("era", ["9" * 5000, "9" * 30, "-1", "x", "1e9"])
def test_an_impossible_era_is_none(era):
    """Guards against a header after which all later responses look outdated."""
    with scripted_store(b'{"rows": [], "ver": 2}', f"\r\nStore-Era: {era}") as store:
        assert store.snapshot("t").rows == []
        assert store.era == 0
