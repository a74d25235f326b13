"""One call of a caller by route, and the reply to it."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from toucanspool.retries.deadline import Deadline
from toucanspool.routing.routes import Route

Header = tuple[str, str]


@dataclass(slots=True, kw_only=True)
class Call:
    """Hold a call, checked and ready to be sent on.

    Parameters
    ----------
    id : str
        The caller's name for this attempt of theirs.
    method, target : str
        HTTP method, and path with query as the caller wrote it.
    headers : sequence of (str, str)
        The caller's headers that go on.
    body : bytes
        The body.
    route : Route
        Its route.
    routes_version : int
        Version of the routes that it was found in.
    service : str
        The service that it goes to.
    team : str
        The team that holds the caller's key; empty on a public route.
    priority : int
        0 is the most urgent.
    deadline : Deadline
        When the caller's interest or the route's time ends.
    arrived_at : float
        Seconds on the monotonic clock.
    prompt_tokens, answer_tokens : int
        Size of a generation; 0 for other calls.
    last_event_id : str
        The event after which a stream goes on; empty for the start.
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
    priority: int
    deadline: Deadline
    arrived_at: float
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event_id: str = ""


class RefusalCause(Enum):
    """Name why a call got no answer of an upstream; each value is a sentence."""

    NO_CONFIG = "This entry has no configuration yet."
    NO_ROUTE = "No route has this host and path."
    NO_KEY = "The key is not known."
    NO_UPSTREAM = "No upstream of the service is ready."
    NO_ROOM = "There is more work than room."
    WAITED = "The call waited as long as calls may wait."
    DRAINING = "This entry is stopping."
    UNREACHABLE = "No upstream could be reached."
    TURNED_AWAY = "Every upstream tried has refused the call."
    DEADLINE = "The time for the call is over."
    MAYBE_RUN = "The call may have run, and its answer was lost."
    BROKEN = "The upstream's answer was broken off."
    BAD_REQUEST = "The request is malformed."
    BODY_TOO_LARGE = "The body is too large."
    BODY_TOO_SLOW = "The body came too slowly."


class Refused(Exception):
    """Report a call without an upstream's answer.

    Parameters
    ----------
    cause : RefusalCause
        Why.
    may_have_run : bool, default=False
        Whether it may have run.
    retry_after_s : float, default=0.0
        When another try makes sense, in seconds from now; 0 for at once.
    log_fields : mapping of str to float, optional
        What decided it, for the log.
    """

    def __init__(
        self,
        cause: RefusalCause,
        *,
        may_have_run: bool = False,
        retry_after_s: float = 0.0,
        log_fields: Mapping[str, float] | None = None,
    ) -> None:
        super().__init__(cause.value)
        self.log_fields = dict(log_fields or {})
        self.cause = cause
        self.may_have_run = may_have_run
        self.retry_after_s = retry_after_s


@dataclass(slots=True)
class Reply:
    """Hold a reply for the caller.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Headers that go to the caller.
    body : bytes or iterator of bytes
        The whole body, or pieces as they come.
    """

    status: int
    headers: list[Header]
    body: bytes | Iterator[bytes]
