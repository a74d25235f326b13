"""The interface of policies that choose an upstream for a request."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from toucanspool.routing.candidate import Candidate


@dataclass(slots=True, frozen=True)
class RoutingRequest:
    """Hold the properties of a request that a policy decides by.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the entry.
    prefixes : tuple of str
        Hashes of the prompt's prefixes in whole blocks, longest last.
    prompt_tokens : int
        Estimated length of the prompt, in tokens.
    """

    failure_domain: str
    prefixes: tuple[str, ...] = ()
    prompt_tokens: int = 0


@dataclass(slots=True, frozen=True)
class Choice:
    """Hold the chosen upstream and the reason.

    Parameters
    ----------
    candidate : Candidate
        The chosen upstream.
    reason : str
        Explanation for the decision log.
    """

    candidate: Candidate
    reason: str


class Policy(Protocol):
    """Choose one of several candidate upstreams."""

    def choose(
        self, request: RoutingRequest, candidates: Sequence[Candidate], now: float
    ) -> Choice:
        """Return the upstream for a request, with the reason.

        Parameters
        ----------
        request : RoutingRequest
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
