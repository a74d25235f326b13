"""Interface to the feed of the rank records of all groups."""

from typing import Protocol


class RankFeed(Protocol):
    """Pass rank records to a member while it is a candidate or coordinator."""

    def step(self) -> bool:
        """Fetch all rank records once; return whether the fetch succeeded."""
        ...

    def start(self) -> None:
        """Start to follow changes."""
        ...

    def stop(self) -> None:
        """Stop following changes."""
        ...
