"""Exceptions of a group's coordinator."""

from toucanspool.groups.switch_intent import Outcome


class CoordinatorError(Exception):
    """Base of the coordinator's exceptions."""


class LeaseLapsed(CoordinatorError):
    """Report that the lease lapsed before a round began or had held the group."""


class Superseded(CoordinatorError):
    """Report that a coordinator with a higher fencing token is active."""


class SwitchFailed(CoordinatorError):
    """Report a failed switch; the group continues to use its previous map.

    Parameters
    ----------
    outcome : Outcome
        How the round ended.
    """

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(f"map switch failed: {outcome.value}")
        self.outcome = outcome
