"""The tables of the store that a process follows."""

import random
import time
from collections.abc import Callable

from toucanspool.recovery.feed import Changes, Feed, FeedFollower

ChangeHandler = Callable[[Changes], None]


class Subscriptions:
    """Follow tables of the store.

    Parameters
    ----------
    feed : Feed
        The store.
    wait_s : float
        Longest time that one call waits for a change, in seconds.
    rng : random.Random
        Source of the retry jitter.
    """

    __slots__ = ("_feed", "_followers", "_rng", "_wait_s")

    def __init__(self, feed: Feed, *, wait_s: float, rng: random.Random) -> None:
        self._feed = feed
        self._wait_s = wait_s
        self._rng = rng
        self._followers: dict[str, FeedFollower] = {}

    def follow(
        self,
        table: str,
        on_snapshot: ChangeHandler,
        on_changes: ChangeHandler,
        *,
        pause_s: float = 0.0,
        on_regained: Callable[[], None] = lambda: None,
    ) -> None:
        """Start following a table.

        Parameters
        ----------
        table : str
            The table.
        on_snapshot, on_changes, pause_s, on_regained
            As in `FeedFollower`.
        """
        follower = FeedFollower(
            self._feed,
            table,
            on_snapshot,
            on_changes,
            wait_s=self._wait_s,
            pause_s=pause_s,
            rng=self._rng,
            on_regained=on_regained,
        )
        self._followers[table] = follower
        follower.start()

    def stop(self) -> None:
        """Stop following all tables."""
        for follower in self._followers.values():
            follower.stop()

    def ages(self) -> dict[str, float]:
        """Return the seconds since the store's last answer, by table that has one."""
        now = time.monotonic()
        return {
            table: now - follower.answered_at
            for table, follower in self._followers.items()
            if follower.answered_at is not None
        }
