"""Failures of a group's coordinator."""

from toucanspool.groups.switch_intent import Outcome


class CoordinatorError(Exception):
    """Base of the coordinator's failures."""


class LeaseLapsed(CoordinatorError):
    """Report that the lease lapsed before a round could begin or hold the group."""


class Superseded(CoordinatorError):
    """Report that a coordinator with a higher fencing token is at work."""


class SwitchFailed(CoordinatorError):
    """Report a switch that was not made; the group goes on with its old map.

    Parameters
    ----------
    outcome : Outcome
        How the round ended.
    """

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(f"the switch was not made: {outcome.value}")
        self.outcome = outcome
