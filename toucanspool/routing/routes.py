"""Routes by host and path prefix, and the callers' keys, by version."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum


class CallKind(Enum):
    """Name what may be repeated of a route's calls."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True, kw_only=True)
class Route:
    """Hold one route.

    Parameters
    ----------
    name : str
        Its name.
    host : str
        Host name that callers use, in lower case.
    prefix : str
        Begins and ends with a slash.
    kind : CallKind
        What may be repeated.
    services : tuple of (str, float)
        Services with their weights.
    timeout_s : float
        The longest time that a call may be held, in seconds.
    objective_s : float
        Time to the first byte within which an answer is on time, in seconds.
    gap_target_s : float
        The longest pause between events of a stream that is on time; 0 for none.
    priority : int
        0 is the most urgent.
    max_attempts : int
        The most upstreams that one call may run on.
    public : bool
        Whether no key is due.
    resumable : bool
        Whether a stream may go on at another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    services: tuple[tuple[str, float], ...]
    timeout_s: float
    objective_s: float
    gap_target_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def retryable(self) -> bool:
        """Whether a call that may have run may be sent again."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT

    def service(self, rng: random.Random) -> str:
        """Return a service, drawn by weight.

        Parameters
        ----------
        rng : random.Random
            Source of the draw.

        Returns
        -------
        str
        """
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        return rng.choices(names, [weight for _, weight in self.services])[0]


@dataclass(slots=True, frozen=True, kw_only=True)
class EngineModel:
    """Hold the published times and sizes of a service's engines.

    Parameters
    ----------
    slots : int
        Requests that an engine writes for at once.
    step_base_s, step_per_request_s : float
        A step takes the first and the second for each request that is written for.
    prefill_tokens_per_s : float
        Rate of reading prompts.
    steps_per_pass : int
        Steps in a pass with writers.
    mean_prompt_tokens, mean_answer_tokens : float
        Mean sizes.
    layer_sets : int
        Sets of layers that share a placement; 0 where there are no experts.
    experts : int
        Experts in a set.
    places : int
        Experts that a rank holds in a set.
    copies_per_set : int
        New experts that a rank takes in a set at once.
    expert_copy_s : float
        Time to copy an expert, in seconds.
    """

    slots: int
    step_base_s: float
    step_per_request_s: float
    prefill_tokens_per_s: float
    steps_per_pass: int
    mean_prompt_tokens: float
    mean_answer_tokens: float
    layer_sets: int = 0
    experts: int = 0
    places: int = 0
    copies_per_set: int = 0
    expert_copy_s: float = 0.0


@dataclass(slots=True, frozen=True, kw_only=True)
class Service:
    """Hold what is configured of a service.

    Parameters
    ----------
    name : str
        Its name.
    health_path : str
        Path of its health page.
    engine : EngineModel or None
        Its engines; None for a plain service.
    """

    name: str
    health_path: str = "/"
    engine: EngineModel | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestLimits:
    """Bound what callers may send.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        The largest head and body.
    header_timeout_s : float
        The longest time for a head, in seconds.
    idle_timeout_s : float
        The longest time between requests on a connection, in seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True, frozen=True, kw_only=True)
class KeyHolder:
    """Hold the team of a key.

    Parameters
    ----------
    name : str
        The team.
    priority : int or None
        Goes before the route's.
    """

    name: str
    priority: int | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class RouteTable:
    """Hold one version of the routes, services and keys.

    Parameters
    ----------
    version : int
        Grows with each change.
    routes : sequence of Route
        All routes.
    services : mapping of str to Service
        All services by name.
    keys : mapping of str to KeyHolder
        The team of each key.
    keys_required : bool
        Whether calls on routes that are not public need a key.
    limits : RequestLimits
        What callers may send.
    """

    version: int
    routes: Sequence[Route] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    keys: Mapping[str, KeyHolder] = field(default_factory=dict)
    keys_required: bool = False
    limits: RequestLimits = field(default_factory=RequestLimits)
    _by_prefix: dict[tuple[str, str], Route] = field(default_factory=dict, repr=False)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_prefix[route.host, route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path.

        Parameters
        ----------
        host : str
            Host name without a port, in lower case.
        path : str
            Path without query.

        Returns
        -------
        Route or None
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = self._by_prefix.get((host, path[: end + 1]))
            if found is not None:
                return found
        return None

    def service(self, name: str) -> Service:
        """Return a service; one that is not configured has only its name.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        Service
        """
        return self.services.get(name) or Service(name=name)
