"""Interface of one rank's engine, as the rank agent uses it."""

from dataclasses import dataclass
from typing import Protocol

NO_MAP = 0


class EngineError(Exception):
    """Base of an engine's errors."""


class EngineRefused(EngineError):
    """Report that an engine rejected an order and did not execute it.

    Parameters
    ----------
    reason : str
        Reason in plain text, which the agent's reply passes on.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class EngineUnavailable(EngineError):
    """Report that an engine's response was lost, so the outcome is unknown."""


@dataclass(slots=True, frozen=True)
class EngineState:
    """Hold the state that an engine reports for its rank.

    Parameters
    ----------
    version : int
        Version of the active expert map, which the rank's steps use; `NO_MAP` after
        a restart.
    staged_version : int
        Version of the map whose experts are loaded but not active; `NO_MAP` for
        none.
    held : bool
        Whether the rank waits at a step boundary and starts no step.
    step : int
        Number of steps that the rank has finished.
    """

    version: int
    staged_version: int
    held: bool
    step: int


class Engine(Protocol):
    """Execute orders on one rank.

    Every order is idempotent. When an order raises `EngineUnavailable`, its call
    has nevertheless ended: it cannot take effect later.
    """

    def state(self) -> EngineState:
        """Return the rank's state.

        Returns
        -------
        EngineState

        Raises
        ------
        EngineUnavailable
            No response was received.
        """
        ...

    def load(self, version: int, experts: bytes, fence: int) -> None:
        """Start to load a map's experts without activating the map.

        Parameters
        ----------
        version : int
            Version of the map.
        experts : bytes
            The encoded expert map.
        fence : int
            Fencing token of the order.

        Raises
        ------
        EngineRefused
            The fencing token is stale.
        EngineUnavailable
            No response was received.
        """
        ...

    def hold(self, fence: int) -> None:
        """Hold the rank at the next step boundary.

        Parameters
        ----------
        fence : int
            Fencing token of the order.

        Raises
        ------
        EngineRefused
            The fencing token is stale.
        EngineUnavailable
            No response was received.
        """
        ...

    def switch(self, version: int, fence: int) -> None:
        """Activate the staged map; the map active until now becomes the staged one.

        Parameters
        ----------
        version : int
            Version of the staged map.
        fence : int
            Fencing token of the order.

        Raises
        ------
        EngineRefused
            The fencing token is stale, or that map is not loaded.
        EngineUnavailable
            No response was received.
        """
        ...

    def resume(self, fence: int) -> None:
        """Let the rank start steps again.

        Parameters
        ----------
        fence : int
            Fencing token of the order.

        Raises
        ------
        EngineRefused
            The fencing token is stale, or the rank has no active map.
        EngineUnavailable
            No response was received.
        """
        ...
