"""Purpose, timings, phases and outcomes of one round of a map switch."""

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
    """Phase of a round, by the kind of order that every rank has to confirm."""

    FENCE = OrderKind.FENCE
    LOAD = OrderKind.LOAD
    HOLD = OrderKind.HOLD
    SWITCH = OrderKind.SWITCH
    RESUME = OrderKind.RESUME


@dataclass(slots=True, frozen=True)
class RoundTimings:
    """Set the intervals and timeouts of a round, in seconds.

    Parameters
    ----------
    resend_interval_s : float, default=0.2
        Time after which an order without a reply is sent again.
    load_poll_interval_s : float, default=2.0
        Time between two LOAD orders to a rank that is still loading.
    fence_timeout_s : float, default=5.0
        Maximum duration of a new switch's FENCE phase, until every rank has replied.
    load_timeout_s : float, default=300.0
        Maximum duration of a new switch's LOAD phase, until every rank has loaded
        the new map's experts.
    hold_timeout_s : float, default=1.0
        Maximum time for which a new switch holds the group before the first rank
        switches.
    """

    resend_interval_s: float = 0.2
    load_poll_interval_s: float = 2.0
    fence_timeout_s: float = 5.0
    load_timeout_s: float = 300.0
    hold_timeout_s: float = 1.0


@dataclass(slots=True, frozen=True)
class Intent:
    """Describe what a round has to achieve.

    Parameters
    ----------
    group : str
        Name of the group.
    ranks : int
        Number of ranks in the group.
    fence : int
        Fencing token of the round.
    committed : int
        Version of the map that the group last used.
    intended : int
        Version that the switch goes to, or went to before it was interrupted.
    new : bool
        True to start a switch; False to finish or undo an interrupted one.
    """

    group: str
    ranks: int
    fence: int
    committed: int
    intended: int
    new: bool
