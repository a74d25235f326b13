"""A rank's engine whose maps switch as a pass begins, as the project needs it."""

from dataclasses import dataclass
from typing import Protocol

import numpy as np

from toucanspool.groups.expert_map import IntArray

NONE = -1


class RankEngineError(Exception):
    """Base of an engine's failures."""


class OrderRefused(RankEngineError):
    """Report an order that does not fit the engine's state; it did nothing."""


class OrderLost(RankEngineError):
    """Report an order without an answer: it may take effect, now or seconds later."""


@dataclass(slots=True, frozen=True, kw_only=True)
class RankState:
    """Hold what an engine says of its rank.

    Parameters
    ----------
    group : str
        Its lock-step group.
    epoch : int
        Grows each time that the group forms.
    rank, size : int
        Its rank, and the number of ranks.
    open : bool
        Whether the group works.
    step : int
        The last pass that was begun.
    map_version : int
        Version of the map in use.
    prepared : int
        Version whose experts are copied whole; `NONE` for none.
    armed : int
        Version that is switched to at a set pass; `NONE` for none.
    held : int
        Pass that the group does not begin; `NONE` for none.
    running, waiting : int
        Requests.
    pace : float
        How many times as long as usual its work takes.
    started_ms : int
        When the engine started, in Unix milliseconds by its own clock.
    sequence : int
        Grows with each map that is prepared.
    """

    group: str
    epoch: int
    rank: int
    size: int
    open: bool
    step: int
    map_version: int
    prepared: int = NONE
    armed: int = NONE
    held: int = NONE
    running: int = 0
    waiting: int = 0
    pace: float = 1.0
    started_ms: int = 0
    sequence: int = 0


@dataclass(slots=True, frozen=True)
class ExpertCounts:
    """Hold how often the router of a rank selected each expert since the rank started.

    Parameters
    ----------
    epoch : int
        The group's epoch.
    counts : ndarray of int, shape (layer_sets, experts)
        Selections of each expert.
    """

    epoch: int
    counts: np.ndarray


class RankEngine(Protocol):
    """Take orders for one rank; any of them may raise a `RankEngineError`."""

    def state(self) -> RankState:
        """Return the rank's state."""
        ...

    def expert_counts(self) -> ExpertCounts:
        """Return how often each expert was selected."""
        ...

    def experts(self) -> list[list[int]]:
        """Return the experts that the map in use gives this rank, by set."""
        ...

    def prepare(self, version: int, experts: IntArray, epoch: int) -> None:
        """Begin to copy the experts of a map.

        Parameters
        ----------
        version : int
            Higher than any before.
        experts : ndarray of int, shape (sets, ranks, places)
            The map; `EMPTY` for an empty place.
        epoch : int
            The order holds only in this epoch.
        """
        ...

    def arm(self, version: int, step: int, epoch: int, *, sequence: int) -> None:
        """Switch to a map as a pass begins, if none was prepared since a sequence."""
        ...

    def disarm(self, version: int, epoch: int, *, sequence: int) -> None:
        """Take an armed switch back, unless a map was prepared since a sequence."""
        ...

    def hold(self, step: int, epoch: int) -> None:
        """Keep the group from beginning a pass until `go`."""
        ...

    def go(self, step: int, epoch: int) -> None:
        """Let the group begin a pass that was held."""
        ...
