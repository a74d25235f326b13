"""Orders that a rank's engine takes, as the project needs them."""

from dataclasses import dataclass
from typing import Protocol

NO_MAP = 0


class EngineError(Exception):
    """Base of an engine's failures."""


class EngineRefused(EngineError):
    """Report that an engine did not carry out an order.

    Parameters
    ----------
    reason : str
        Why, in words.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class EngineUnavailable(EngineError):
    """Report that an engine's answer was lost, so that the outcome is unknown."""


@dataclass(slots=True, frozen=True)
class EngineState:
    """Hold what an engine says of its rank.

    Parameters
    ----------
    version : int
        Version of the expert map that the rank's steps use; `NO_MAP` after a
        restart.
    spare : int
        Version of the map whose experts are loaded beside; `NO_MAP` for none.
    held : bool
        Whether the rank waits at a step boundary and starts no step.
    step : int
        Steps that the rank has finished.
    """

    version: int
    spare: int
    held: bool
    step: int


class Engine(Protocol):
    """Take orders for one rank.

    Every order is idempotent. An order that raises `EngineUnavailable` has come
    to its end all the same: a call is never left behind to take effect later.
    """

    def state(self) -> EngineState:
        """Return the rank's state.

        Returns
        -------
        EngineState

        Raises
        ------
        EngineUnavailable
            No answer came.
        """
        ...

    def load(self, version: int, experts: bytes, fence: int) -> None:
        """Start to load the experts of a map beside those in use.

        Parameters
        ----------
        version : int
            The map's version.
        experts : bytes
            The map.
        fence : int
            Fencing token of the order.

        Raises
        ------
        EngineRefused
            The token is old.
        EngineUnavailable
            No answer came.
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
            The token is old.
        EngineUnavailable
            No answer came.
        """
        ...

    def switch(self, version: int, fence: int) -> None:
        """Use the map loaded beside, and keep the one in use until now beside.

        Parameters
        ----------
        version : int
            The map's version.
        fence : int
            Fencing token of the order.

        Raises
        ------
        EngineRefused
            The token is old, or that map is not loaded.
        EngineUnavailable
            No answer came.
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
            The token is old, or the rank has no map.
        EngineUnavailable
            No answer came.
        """
        ...
