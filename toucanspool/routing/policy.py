"""The choice among upstreams that a request may go to."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from toucanspool.routing.candidate import Candidate


@dataclass(slots=True, frozen=True)
class RoutingRequest:
    """Hold what a policy may know of a request.

    Parameters
    ----------
    failure_domain : str
        Where the entry runs.
    prefixes : tuple of str
        Hashes of the prompt's leading blocks, longest prefix last.
    prompt_tokens : int
        Estimated length of the prompt.
    """

    failure_domain: str
    prefixes: tuple[str, ...] = ()
    prompt_tokens: int = 0


@dataclass(slots=True, frozen=True)
class Choice:
    """Hold a choice and its reason.

    Parameters
    ----------
    candidate : Candidate
        The upstream chosen.
    reason : str
        Why, in words for the decision log.
    """

    candidate: Candidate
    reason: str


class Policy(Protocol):
    """Choose one of the candidates."""

    def choose(
        self, work: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return the choice.

        Parameters
        ----------
        work : RoutingRequest
            The request.
        candidates : sequence of Candidate
            At least one.
        now : float
            Seconds on this process's monotonic clock.

        Returns
        -------
        Choice
        """
        ...
