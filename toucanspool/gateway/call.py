"""A call that is matched by route, and the reply to it."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from toucanspool.limits.memory_budget import MemoryBudget
from toucanspool.retries.crash_evidence import Traits, request_trait
from toucanspool.retries.deadline import Deadline
from toucanspool.routing.routes import CallKind, Route
from toucanspool.wire.reply_parser import Header
from toucanspool.wire.socket_buffers import SocketBuffers


@dataclass(slots=True, kw_only=True)
class Call:
    """Hold a validated call that is ready to be forwarded.

    Parameters
    ----------
    id : str
        Attempt id given by the caller.
    method, target : str
        HTTP method, and path with query exactly as received.
    headers : sequence of (str, str)
        Headers of the caller to forward.
    body : bytes
        Request body.
    route : Route
        The matching route.
    routes_version : int
        Version of the route table.
    service : str
        Name of the service chosen from the route.
    team : str
        Team of the caller's API key; empty on a public route.
    urgency : int
        Rank of its priority among those that the service's streams may have; 0 is the
        most urgent.
    ordered : bool
        Whether the service's streams are served in that order.
    deadline : Deadline
        End of the caller's or the route's time limit, whichever comes first.
    arrived_at : float
        Time of arrival, in seconds on the monotonic clock.
    prompt_tokens, answer_tokens : int
        Announced token counts of a generation; 0 for other calls.
    last_event_id : str
        Id of the event after which to resume a stream; empty for a new stream.
    prompt : tuple of str
        Ids of the parts of the prompt that other calls may share, in order.
    fingerprint : str
        Digest by which the same request is known again; see `fingerprint`.
    regions : frozenset of str or None
        Regions in which the call may run; None for any upstream.
    memory : MemoryBudget
        Counts what is held for the reply.
    buffers : SocketBuffers
        Bounds what the kernel holds for the connections to upstreams.
    """

    id: str
    method: str
    target: str
    headers: Sequence[Header]
    body: bytes
    route: Route
    routes_version: int
    service: str
    team: str
    urgency: int
    deadline: Deadline
    arrived_at: float
    ordered: bool = False
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event_id: str = ""
    prompt: tuple[str, ...] = ()
    fingerprint: str = ""
    regions: frozenset[str] | None = None
    memory: MemoryBudget = field(default_factory=MemoryBudget)
    buffers: SocketBuffers = field(default_factory=SocketBuffers)

    @property
    def traits(self) -> Traits:
        """Return what the call has in common with others that may crash upstreams."""
        return (*self.prompt, request_trait(self.fingerprint))

    @property
    def work_size(self) -> int:
        """Return a measure of the work before the first event, or the whole answer.

        The first event of a stream comes after its prompt has been read, a whole
        answer after its last token. Other calls are told apart by their bodies.
        """
        tokens = self.prompt_tokens
        if self.route.kind is not CallKind.STREAM:
            tokens += self.answer_tokens
        return tokens or len(self.body)


class RefusalCause(Enum):
    """Name the reasons for refusing a call; values are titles for callers."""

    NO_CONFIG = "This entry has no configuration yet."
    NO_ROUTE = "No route has this host and path."
    NO_KEY = "The key is not known."
    NO_UPSTREAM = "No upstream of the service is ready."
    EVACUATED = "All upstreams of the service are in evacuated failure domains."
    OUTSIDE_REGIONS = (
        "No upstream of the service is in a region where the call may run."
    )
    LIMITED = "The upstreams take no more requests now."
    NO_ROOM = "There is more work than room."
    WAITED = "The call waited as long as calls may wait."
    DRAINING = "This entry is stopping."
    UNREACHABLE = "No upstream could be reached."
    TURNED_AWAY = "Every upstream tried has refused the call."
    DEADLINE = "The time for the call is over."
    MAYBE_RUN = "The call may have run, and its answer was lost."
    BROKEN = "The upstream's answer was broken off."
    QUARANTINED = "Calls like this one have crashed several upstreams."
    BAD_REQUEST = "The request is malformed."
    BODY_TOO_LARGE = "The body is too large."
    BODY_TOO_SLOW = "The body came too slowly."
    NO_MEMORY = "This entry holds as much for slow connections as it may."


class Refused(Exception):
    """Report that a call ends without a reply of an upstream.

    Parameters
    ----------
    cause : RefusalCause
        Reason of the refusal.
    may_have_run : bool, default=False
        Whether an upstream may have run the call.
    retry_after_s : float, default=0.0
        Delay before a retry makes sense, in seconds; 0 for an immediate retry.
    log_fields : mapping of str to object, optional
        Values behind the decision, added to the log line.
    """

    def __init__(
        self,
        cause: RefusalCause,
        *,
        may_have_run: bool = False,
        retry_after_s: float = 0.0,
        log_fields: Mapping[str, object] | None = None,
    ) -> None:
        super().__init__(cause.value)
        self.log_fields = dict(log_fields or {})
        self.cause = cause
        self.may_have_run = may_have_run
        self.retry_after_s = retry_after_s


@dataclass(slots=True)
class Reply:
    """Hold the reply to a call.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers to send to the caller.
    body : bytes or iterator of bytes
        Complete body, or parts of a stream as they arrive.
    framed : bool, default=True
        Whether the upstream said where the body ends. If not, the caller must not be
        told either: the body ends with the connection.
    """

    status: int
    headers: list[Header]
    body: bytes | Iterator[bytes]
    framed: bool = True
