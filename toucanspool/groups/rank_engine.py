"""Interface to the engine of one rank that switches expert maps between passes.

A pass is a forward pass of the whole group; its ranks begin each pass together.
"""

from dataclasses import dataclass
from typing import Protocol

import numpy as np

from toucanspool.groups.expert_map import IntArray

# A version, pass, epoch or rank that is not set.
UNSET = -1


class RankEngineError(Exception):
    """Base class of engine failures."""


class OrderRefused(RankEngineError):
    """Report an order that the engine rejected and that had no effect."""


class OrderLost(RankEngineError):
    """Report an order without an answer; it may still take effect seconds later."""


@dataclass(slots=True, frozen=True, kw_only=True)
class RankState:
    """Hold the state of a rank as reported by its engine.

    Parameters
    ----------
    group : str
        Name of the rank's lock-step group.
    epoch : int
        Increases each time the group is formed.
    rank, size : int
        The rank, and the number of ranks in the group.
    open : bool
        Whether the group is open for work.
    step : int
        Number of the latest pass that has begun.
    map_version : int
        Version of the map in use.
    prepared : int
        Version of the map whose experts are all copied; `UNSET` for none.
    armed : int
        Version of the map to switch to at a set pass; `UNSET` for none.
    armed_step : int
        The pass at which the rank switches to that map; `UNSET` if not told.
    held : int
        Pass that the group must not begin yet; `UNSET` for none.
    running, waiting : int
        Numbers of requests that are running and queued.
    pace : float
        Slowdown factor: the time that work takes relative to the normal time.
    started_ms : int
        Start time of the engine, in Unix milliseconds by its own clock.
    sequence : int
        Number of orders that the engine has accepted. Engines may leave orders on maps
        out, so that it fences none of them.
    """

    group: str
    epoch: int
    rank: int
    size: int
    open: bool
    step: int
    map_version: int
    prepared: int = UNSET
    armed: int = UNSET
    armed_step: int = UNSET
    held: int = UNSET
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
    """Read and control the engine of one rank; any call may raise `RankEngineError`."""

    def state(self) -> RankState:
        """Return the rank's state."""
        ...

    def expert_counts(self) -> ExpertCounts:
        """Return how often each expert was selected."""
        ...

    def experts(self) -> list[list[int]]:
        """Return this rank's experts in each layer set of the map in use."""
        ...

    def prepare(self, version: int, experts: IntArray, epoch: int) -> None:
        """Start to copy the experts of a map.

        Parameters
        ----------
        version : int
            The map's version, higher than any before.
        experts : ndarray of int, shape (layer_sets, ranks, slots)
            The expert in each slot; `EMPTY` for an empty slot.
        epoch : int
            The engine refuses the order in any other epoch.
        """
        ...

    def arm(self, version: int, step: int, epoch: int, *, sequence: int) -> None:
        """Arm a switch at a pass, unless ``sequence`` has changed."""
        ...

    def disarm(self, version: int, epoch: int, *, sequence: int) -> None:
        """Cancel a switch to that version, unless ``sequence`` has changed."""
        ...

    def hold(self, step: int, epoch: int) -> None:
        """Block the start of a pass until `go`."""
        ...

    def go(self, step: int, epoch: int) -> None:
        """Release a pass that was held."""
        ...
