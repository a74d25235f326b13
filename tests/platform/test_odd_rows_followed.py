"""Followers of the store's tables, with odd rows among good ones.

Guards against one odd row that keeps the other rows of a table out, at the start and
later.
"""

import random
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
import orjson
import pytest

from standins import row_store
from standins.memory import MemoryTable
from standins.row_store import RowStore
from tests.platform.odd_values import odd_rows
from tests.platform.test_malformed_input import ENTRY, RANK, REPORT
from tests.platform.test_odd_rows import LISTING
from tests.platform.test_operator_configuration import CONFIGURATION
from toucanspool.membership.entries import Entries
from toucanspool.membership.entry_record import ENTRY_PREFIX, EntryRecord
from toucanspool.platform import configuration, listings
from toucanspool.platform.entry_rows import EntryRows
from toucanspool.platform.rank_rows import RankRows
from toucanspool.platform.registration import Registration
from toucanspool.platform.store import ROWS_PER_PAGE, RowStoreClient
from toucanspool.platform.subscriptions import Subscriptions
from toucanspool.recovery.feed import Changes
from toucanspool.retries.crash_exchange import CrashExchange
from toucanspool.retries.quarantine import Quarantine
from toucanspool.routing.upstreams import UpstreamList

ENTRIES, RANKS = "toucanspool-entry", "toucanspool-rank"
# Odd rows that are followed; all of them would take long. An odd number reaches all
# kinds of value in all fields.
STRIDE = 7
# Can be decoded, but not printed.
DEEP_LISTING = (
    b'{"service":'
    + b"[" * 1000
    + b"]" * 1000
    + b',"address":"10.0.0.1:1","state":"ready"}'
)
TIMEOUT_S = 5.0


class Follower:
    """Follow the tables as a gateway does, and hold what was read.

    Attributes
    ----------
    upstreams : UpstreamList
        The upstreams.
    entries : Entries
        The other gateways.
    slowdowns : mapping
        The slowdowns of engines.
    version : int
        Version of the configuration.
    reports : list
        Traits whose crashes were reported.
    """

    def __init__(self) -> None:
        own = EntryRecord("own", "127.0.0.1:1", "127.0.0.1:2")
        self.upstreams = UpstreamList()
        self.entries = Entries(own)
        self.quarantine = Quarantine()
        self.slowdowns: dict[str, float] = {}
        self.version = 0
        table = MemoryTable()
        self.entry_rows = EntryRows(
            self.entries,
            Registration(table, own),
            CrashExchange(table, "own", self.quarantine),
        )
        self.rank_rows = RankRows(self._set_slowdowns)

    def follow(self, subscriptions: Subscriptions) -> None:
        """Start to follow all tables."""
        for table, on_snapshot, on_changes in (
            ("servers", self._replace_upstreams, self._change_upstreams),
            ("op", self._set_routes, self._set_routes),
            (ENTRIES, self.entry_rows.replace, self.entry_rows.update),
            (RANKS, self.rank_rows.replace, self.rank_rows.update),
        ):
            subscriptions.follow(table, on_snapshot, on_changes)

    def _set_slowdowns(self, slowdowns) -> None:
        self.slowdowns = dict(slowdowns)

    def _replace_upstreams(self, changes: Changes) -> None:
        decoded = [listings.decode_listing(row) for row in changes.rows]
        valid = [listing for listing in decoded if listing is not None]
        self.upstreams.replace(valid, changes.version, now=time.monotonic())

    def _change_upstreams(self, changes: Changes) -> None:
        changed = {row.key: listings.decode_listing(row) for row in changes.rows}
        self.upstreams.change(changed, changes.version, now=time.monotonic())

    def _set_routes(self, changes: Changes) -> None:
        if routes := configuration.find_routes(changes):
            self.version = routes.version


@contextmanager
def following(store: RowStore) -> Iterator[Follower]:
    follower = Follower()
    feed = RowStoreClient("127.0.0.1", store.port)
    subscriptions = Subscriptions(feed, wait_s=1.0, rng=random.Random(1))
    follower.follow(subscriptions)
    try:
        yield follower
    finally:
        subscriptions.stop()


def wait_for(reached: Callable[[], bool]) -> None:
    with gevent.Timeout(TIMEOUT_S):
        while not reached():
            gevent.sleep(0.02)


def put_good(store: RowStore, name: str, version: int) -> None:
    """Add one good row to each table."""
    listing = {**LISTING, "address": "10.0.0.1:80"}
    entry = {**ENTRY, "name": name}
    rank = {**RANK, "name": name, "upstream": name, "pace": 2.0}
    config = {**CONFIGURATION, "version": version}
    store.pages.put("servers", name, orjson.dumps(listing))
    store.pages.put(ENTRIES, ENTRY_PREFIX + name, orjson.dumps(entry))
    store.pages.put(RANKS, f"rank/{name}", orjson.dumps(rank))
    store.pages.put("op", "config", orjson.dumps(config))


def put_odd(store: RowStore, prefix: str, offset: int) -> None:
    """Add odd rows to each table."""
    for table, fields, kind in (
        ("servers", LISTING, ""),
        (ENTRIES, ENTRY, ENTRY_PREFIX),
        (ENTRIES, REPORT, "crash/"),
        (RANKS, RANK, "rank/"),
        ("op", CONFIGURATION, ""),
    ):
        rows = list(odd_rows(fields))[offset::STRIDE]
        for number, row in enumerate(rows):
            name = f"{prefix}{number}"
            value = row.value
            if own := fields.get("name"):
                # Such records must have the names of their keys.
                value = value.replace(orjson.dumps(own), orjson.dumps(name), 1)
            store.pages.put(table, kind + name, value)


def is_known(follower: Follower, name: str, version: int) -> bool:
    return (
        follower.upstreams.find(name) is not None
        and name in follower.entries.known_names(0.0)
        and follower.slowdowns.get(name) == 2.0
        and follower.version == version
    )


@pytest.mark.parametrize("offset", range(STRIDE))
def test_good_rows_hold_among_odd_ones(offset):
    with RowStore() as store:
        put_good(store, "g1", 1)
        # Odd rows stand first, between the good ones and last.
        for prefix in ("a", "g2", "z"):
            put_odd(store, prefix, offset)
        put_good(store, "g3", 2)
        with following(store) as follower:
            wait_for(lambda: is_known(follower, "g3", 2))
            assert is_known(follower, "g1", 2)
            put_odd(store, "h", (offset + 1) % STRIDE)
            put_good(store, "i", 3)
            wait_for(lambda: is_known(follower, "i", 3))
            assert is_known(follower, "g1", 3)
            assert is_known(follower, "g3", 3)


def test_a_page_of_odd_rows_alone_keeps_no_later_row_out():
    with RowStore() as store:
        for number in range(ROWS_PER_PAGE + 1):
            store.pages.put("servers", f"a{number:04}", DEEP_LISTING)
        put_good(store, "g", 1)
        with following(store) as follower:
            wait_for(lambda: is_known(follower, "g", 1))


def test_a_runner_whose_entry_becomes_odd_is_no_longer_used():
    with RowStore() as store:
        put_good(store, "g1", 1)
        put_good(store, "g2", 1)
        with following(store) as follower:
            wait_for(lambda: is_known(follower, "g2", 1))
            for value in (DEEP_LISTING, b"\xff"):
                store.pages.put("servers", "g1", value)
                wait_for(lambda: follower.upstreams.find("g1") is None)
                put_good(store, "g1", 1)
                wait_for(lambda: is_known(follower, "g1", 1))
            assert is_known(follower, "g2", 1)


def test_a_page_of_values_that_are_not_base64_keeps_no_later_row_out(monkeypatch):
    """Guards against a table that is never read, as the next page has no start."""
    encode = row_store._encode_value
    monkeypatch.setattr(
        row_store, "_encode_value", lambda v: "\u00fc" if v == b"odd" else encode(v)
    )
    with RowStore() as store:
        for number in range(ROWS_PER_PAGE + 1):
            store.pages.put("servers", f"a{number:04}", b"odd")
        put_good(store, "g", 1)
        with following(store) as follower:
            wait_for(lambda: is_known(follower, "g", 1))
