"""Following a table, with outages and forgotten history."""

import random

from toucanspool.backing.table import Row, TableUnavailable
from toucanspool.recovery.feed import Changes, FeedFollower, HistoryGone


class ScriptedFeed:
    """Answer from a list of results; an exception is raised."""

    def __init__(self, *results: Changes | Exception) -> None:
        self._results = list(results)
        self.asked: list[int | None] = []

    def snapshot(self, table: str) -> Changes:
        """Return the next result."""
        self.asked.append(None)
        return self._next()

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the next result."""
        self.asked.append(after)
        return self._next()

    def _next(self) -> Changes:
        result = self._results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def follow(*results: Changes | Exception) -> tuple[ScriptedFeed, list, list]:
    feed = ScriptedFeed(*results)
    whole: list[Changes] = []
    parts: list[Changes] = []
    follower = FeedFollower(
        feed, "t", whole.append, parts.append, wait_s=1.0, rng=random.Random(1)
    )
    for _ in results:
        follower.step()
    return feed, whole, parts


def at(version: int) -> Changes:
    return Changes([Row("k", b"v", version)], (), version)


def test_changes_follow_the_whole_table():
    feed, whole, parts = follow(at(3), at(5), at(9))
    assert feed.asked == [None, 3, 5]
    assert (whole, parts) == ([at(3)], [at(5), at(9)])


def test_forgotten_history_is_mended_by_the_whole_table():
    feed, whole, _ = follow(at(3), HistoryGone("gone"), at(9), at(11))
    assert feed.asked == [None, 3, None, 9]
    assert whole == [at(3), at(9)]


def test_an_outage_loses_no_change():
    feed, _, parts = follow(at(3), TableUnavailable("down"), at(8))
    assert feed.asked == [None, 3, 3]
    assert parts == [at(8)]


def test_a_stopped_follower_reads_the_whole_table_again():
    feed = ScriptedFeed(at(1), at(2))
    follower = FeedFollower(
        feed, "t", lambda _: None, lambda _: None, wait_s=1.0, rng=random.Random(1)
    )
    follower.step()
    follower.stop()
    follower.step()
    assert feed.asked == [None, None]
