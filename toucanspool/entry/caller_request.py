"""A validated request of a caller, ready to be dispatched."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from toucanspool.config.records import Team
from toucanspool.retries.deadline import Deadline
from toucanspool.routing.policy import RoutingRequest


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """Hold a caller's request.

    Parameters
    ----------
    request_id : str
        Unique id.
    team : Team
        The caller's team.
    method : str
        HTTP method of the request to the upstream.
    path : str
        Path and query of the request to the upstream.
    body : bytes
        Body of the request to the upstream.
    headers : mapping of str to str
        Headers of the request to the upstream.
    labels : dict of str to str
        Labels that selectors match.
    routing : RoutingRequest
        Properties that the routing policy decides by.
    deadline : Deadline
        Time after which the caller no longer waits.
    streamed : bool
        Whether the caller asked for a streamed reply.
    idempotent : bool
        Whether the request may run more than once.
    idempotency_key : str
        The caller's idempotency key; empty if none.
    guarded : bool
        Whether the request runs at most once, enforced by its key.
    priority : int
        Requests of lower priority are shed first.
    share : float
        The team's share of this entry.
    """

    request_id: str
    team: Team
    method: str
    path: str
    body: bytes
    labels: dict[str, str]
    routing: RoutingRequest
    deadline: Deadline
    headers: Mapping[str, str] = field(default_factory=dict)
    streamed: bool = False
    idempotent: bool = False
    idempotency_key: str = ""
    guarded: bool = False
    priority: int = 0
    share: float = 1.0
