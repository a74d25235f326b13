"""What a round of a map switch is for, what bounds it, and how it may end."""

from dataclasses import dataclass
from enum import Enum

from toucanspool.wire.gen.messages.ttypes import OrderKind


class Outcome(Enum):
    """How a round ended."""

    FINISHED = "finished"
    UNDONE = "undone"
    AGENT_RESTARTED = "agent restarted"
    SUPERSEDED = "superseded"
    LAPSED = "lapsed"
    UNREACHABLE = "unreachable"


class Phase(Enum):
    """What a round waits for from every rank; the value is the order's kind."""

    FENCE = OrderKind.FENCE
    LOAD = OrderKind.LOAD
    HOLD = OrderKind.HOLD
    SWITCH = OrderKind.SWITCH
    RESUME = OrderKind.RESUME


@dataclass(slots=True, frozen=True)
class Limits:
    """Bound the phases of a round, in seconds.

    Parameters
    ----------
    resend_s : float, default=0.2
        An order without an answer is sent again after this long.
    load_poll_s : float, default=2.0
        A rank that is still loading is asked again after this long.
    fence_s : float, default=5.0
        The longest wait for every rank's first answer.
    load_s : float, default=300.0
        The longest wait until a new map's experts are loaded.
    hold_s : float, default=1.0
        The longest time that a new switch may hold the group before the first rank
        has switched.
    """

    resend_s: float = 0.2
    load_poll_s: float = 2.0
    fence_s: float = 5.0
    load_s: float = 300.0
    hold_s: float = 1.0


@dataclass(slots=True, frozen=True)
class Intent:
    """Hold what a round is for.

    Parameters
    ----------
    group : str
        The group's name.
    ranks : int
        Number of ranks.
    fence : int
        The round's fencing token.
    committed : int
        Version that the group used last.
    intended : int
        Version that a switch goes to, or went to when it was broken off.
    new : bool
        True to start the switch; False to finish or undo one broken off.
    """

    group: str
    ranks: int
    fence: int
    committed: int
    intended: int
    new: bool
