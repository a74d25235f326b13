"""Followers of a change feed, during outages and after dropped history."""

import random

import gevent
from gevent.event import Event

from toucanspool.backing.table import Row, TableUnavailable
from toucanspool.recovery import feed as recovery_feed
from toucanspool.recovery.feed import (
    Changes,
    FeedFollower,
    HistoryGone,
    StoreLapsed,
)


class ScriptedFeed:
    """Return scripted results in order, and raise those that are exceptions."""

    def __init__(self, *results: Changes | Exception) -> None:
        self._results = list(results)
        self.requested: list[int | None] = []

    def snapshot(self, table: str) -> Changes:
        """Return the next result."""
        self.requested.append(None)
        return self._next()

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the next result."""
        self.requested.append(after)
        return self._next()

    def _next(self) -> Changes:
        if not self._results:
            gevent.sleep(60)
        result = self._results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def follow(*results: Changes | Exception) -> tuple[ScriptedFeed, list, list]:
    feed = ScriptedFeed(*results)
    snapshots: list[Changes] = []
    updates: list[Changes] = []
    follower = FeedFollower(
        feed, "t", snapshots.append, updates.append, wait_s=1.0, rng=random.Random(1)
    )
    for _ in results:
        follower.step()
    return feed, snapshots, updates


def changes_at(version: int) -> Changes:
    return Changes([Row("k", b"v", version)], (), version)


def test_changes_follow_the_whole_table():
    feed, snapshots, updates = follow(changes_at(3), changes_at(5), changes_at(9))
    assert feed.requested == [None, 3, 5]
    assert (snapshots, updates) == ([changes_at(3)], [changes_at(5), changes_at(9)])


def test_forgotten_history_is_mended_by_the_whole_table():
    feed, snapshots, _ = follow(
        changes_at(3), HistoryGone("gone"), changes_at(9), changes_at(11)
    )
    assert feed.requested == [None, 3, None, 9]
    assert snapshots == [changes_at(3), changes_at(9)]


def test_an_outage_loses_no_change():
    feed, _, updates = follow(changes_at(3), TableUnavailable("down"), changes_at(8))
    assert feed.requested == [None, 3, 3]
    assert updates == [changes_at(8)]


def test_a_stopped_follower_reads_the_whole_table_again():
    feed = ScriptedFeed(changes_at(1), changes_at(2))
    follower = FeedFollower(
        feed, "t", lambda _: None, lambda _: None, wait_s=1.0, rng=random.Random(1)
    )
    follower.step()
    follower.stop()
    follower.step()
    assert feed.requested == [None, None]


def follow_events(*results: Changes | Exception) -> list[str]:
    """Return the order of the calls that a follower makes."""
    events: list[str] = []
    follower = FeedFollower(
        ScriptedFeed(*results),
        "t",
        lambda _: events.append("snapshot"),
        lambda _: events.append("changes"),
        wait_s=1.0,
        rng=random.Random(1),
        on_regained=lambda: events.append("regained"),
    )
    for _ in results:
        follower.step()
    return events


def test_a_lapse_is_told_before_the_whole_table_that_follows_it():
    events = follow_events(changes_at(3), StoreLapsed("lapsed"), changes_at(2))
    assert events == ["snapshot", "regained", "snapshot"]


def test_the_end_of_an_outage_is_told_before_the_changes_that_follow_it():
    events = follow_events(changes_at(3), TableUnavailable("down"), changes_at(8))
    assert events == ["snapshot", "regained", "changes"]


def test_dropped_history_alone_is_no_outage():
    events = follow_events(changes_at(3), HistoryGone("gone"), changes_at(8))
    assert events == ["snapshot", "snapshot"]


def test_the_time_of_the_last_answer_is_kept_through_an_outage():
    feed = ScriptedFeed(changes_at(3), TableUnavailable("down"))
    follower = FeedFollower(
        feed, "t", lambda _: None, lambda _: None, wait_s=1.0, rng=random.Random(1)
    )
    assert follower.answered_at is None
    follower.step()
    answered_at = follower.answered_at
    follower.step()
    assert answered_at is not None
    assert follower.answered_at == answered_at


class WaitingFeed(ScriptedFeed):
    """Record how long each call may wait."""

    def __init__(self, *results: Changes | Exception) -> None:
        super().__init__(*results)
        self.waits_s: list[float] = []

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the next result."""
        self.waits_s.append(wait_s)
        return super().changes(table, after, wait_s)


def test_a_call_in_an_outage_does_not_wait_for_changes():
    feed = WaitingFeed(
        changes_at(3), changes_at(4), TableUnavailable("down"), changes_at(4)
    )
    follower = FeedFollower(
        feed, "t", lambda _: None, lambda _: None, wait_s=1.0, rng=random.Random(1)
    )
    for _ in range(4):
        follower.step()
    assert feed.waits_s == [1.0, 1.0, 0.0]


def test_the_first_retry_after_an_answer_is_immediate():
    feed = WaitingFeed(changes_at(3), TableUnavailable("lost"), changes_at(5))
    updated = Event()
    follower = FeedFollower(
        feed,
        "t",
        lambda _: None,
        lambda _: updated.set() or gevent.sleep(1.0),
        wait_s=1.0,
        rng=random.Random(1),
    )
    follower.start()
    assert updated.wait(timeout=0.2)
    follower.stop()


class FaultyReader:
    """Collect the rows of changes, and fail at one key."""

    def __init__(self, bad_key: str) -> None:
        self.keys: list[str] = []
        self._bad_key = bad_key

    def __call__(self, changes: Changes) -> None:
        """Store the keys, or fail."""
        for key in [*(row.key for row in changes.rows), *changes.deleted]:
            if key == self._bad_key:
                raise ValueError(key)
            self.keys.append(key)


def rows_at(version: int, *keys: str) -> Changes:
    return Changes([Row(key, b"v", version) for key in keys], (), version)


def run_follower(feed, on_snapshot, on_changes) -> None:
    follower = FeedFollower(
        feed, "t", on_snapshot, on_changes, wait_s=0.0, rng=random.Random(1)
    )
    follower.start()
    gevent.sleep(0.1)
    follower.stop()


def test_a_row_that_can_not_be_applied_keeps_no_other_row_out():
    """Guards against one malformed row that ends the follower of its table."""
    reader = FaultyReader("bad")
    feed = ScriptedFeed(rows_at(1), rows_at(2, "a", "bad", "b"), rows_at(3, "c"))
    run_follower(feed, lambda _: None, reader)
    assert feed.requested[:4] == [None, 1, 2, 3]
    assert set(reader.keys) == {"a", "b", "c"}


def test_a_snapshot_that_can_not_be_applied_is_read_again(monkeypatch):
    """Guards against a follower that ends, or skips a table, at an unexpected error."""
    monkeypatch.setattr(recovery_feed, "FAILED_SNAPSHOT_RETRY_S", 0.01)
    reader = FaultyReader("bad")
    feed = ScriptedFeed(rows_at(1, "bad"), rows_at(2, "a"), rows_at(3))
    run_follower(feed, reader, lambda _: None)
    assert feed.requested[:3] == [None, None, 2]
    assert reader.keys == ["a"]


def test_an_unexpected_error_of_the_store_client_is_an_outage(monkeypatch):
    """Guards against a malformed response that ends the follower."""
    monkeypatch.setattr(recovery_feed, "MEAN_RETRY_S", 0.01)
    feed = ScriptedFeed(rows_at(1), KeyError("rows"), rows_at(2, "a"), rows_at(3))
    reader = FaultyReader("")
    run_follower(feed, lambda _: None, reader)
    assert feed.requested[:4] == [None, 1, 1, 2]
    assert reader.keys == ["a"]
