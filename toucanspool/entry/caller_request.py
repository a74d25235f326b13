"""One request of a caller, checked and ready to be dispatched."""

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
        Unique name.
    team : Team
        The caller's team.
    method : str
        HTTP method towards the upstream.
    path : str
        Path with query towards the upstream.
    body : bytes
        Body.
    headers : mapping of str to str
        Headers towards the upstream.
    labels : dict of str to str
        What selectors match.
    routing : RoutingRequest
        What the routing policy may know.
    deadline : Deadline
        When the caller's interest ends.
    streamed : bool
        Whether the caller takes the answer piece by piece.
    idempotent : bool
        Whether it may run more than once.
    idempotency_key : str
        The caller's key; empty where there is none.
    guarded : bool
        Whether it runs at most once, by its key.
    priority : int
        The higher, the later shed.
    share : float
        The team's share.
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
