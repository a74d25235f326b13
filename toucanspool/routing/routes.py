"""Versioned configuration of routes, services and API keys."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from toucanspool.routing.urgency import UrgencyOrder
from toucanspool.wire.request_limits import RequestLimits


class CallKind(Enum):
    """Classify the calls of a route by whether they may be retried."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True, kw_only=True)
class Route:
    """Map a host and path prefix to services.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host name in requests, in lower case.
    prefix : str
        Path prefix; begins and ends with a slash.
    kind : CallKind
        Whether calls may be retried.
    services : tuple of (str, float)
        Services with their weights.
    timeout_s : float
        Time limit of a call, in seconds.
    objective_s : float
        Target for the time to the first byte, in seconds.
    gap_target_s : float
        Target for the gap between two events of a stream, in seconds; 0 for none.
    priority : int
        Priority of calls; 0 is the most urgent.
    max_attempts : int
        Largest number of upstreams that one call may run on.
    public : bool
        Whether calls need no API key.
    resumable : bool
        Whether another upstream can resume a broken stream.
    allowed_regions : frozenset of str
        Regions in which calls may run; empty for any.
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
    allowed_regions: frozenset[str] = frozenset()

    @property
    def retryable(self) -> bool:
        """Return whether a call that may have run may be retried."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT

    def service(self, rng: random.Random) -> str:
        """Return a service, chosen at random by weight; an empty name without one.

        Parameters
        ----------
        rng : random.Random
            Random source.

        Returns
        -------
        str
        """
        if len(self.services) <= 1:
            return self.services[0][0] if self.services else ""
        names = [name for name, _ in self.services]
        return rng.choices(names, [weight for _, weight in self.services])[0]


@dataclass(slots=True, frozen=True, kw_only=True)
class EngineModel:
    """Hold the configured timings and sizes of a service's inference engines.

    Parameters
    ----------
    slots : int
        Requests that an engine decodes concurrently.
    step_base_s, step_per_request_s : float
        Fixed duration of a decoding step, and what each request in the batch adds.
    prefill_tokens_per_s : float
        Prompt tokens processed per second.
    steps_per_pass : int
        Decoding steps in a pass in which any request is decoded.
    mean_prompt_tokens, mean_answer_tokens : float
        Mean lengths of prompts and answers.
    layer_sets : int
        Sets of layers that share a placement; 0 for models without experts.
    experts : int
        Experts in a layer set.
    expert_slots : int
        Experts that a rank holds in a layer set.
    copies_per_set : int
        Experts that a rank can load into a layer set at once.
    expert_copy_s : float
        Time to copy an expert to a rank, in seconds.
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
    expert_slots: int = 0
    copies_per_set: int = 0
    expert_copy_s: float = 0.0


@dataclass(slots=True, frozen=True, kw_only=True)
class ServiceModel:
    """Hold the configuration of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    engine : EngineModel or None
        Timing model of the engines; None for services without engines.
    cold_start_s : float
        How long an upstream is cold after its start, in seconds.
    cold_per_s : float
        Requests a second that a cold upstream tolerates from all entries; 0 for no
        bound.
    """

    name: str
    health_path: str = "/"
    engine: EngineModel | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(slots=True, frozen=True, kw_only=True)
class KeyHolder:
    """Hold the team that an API key belongs to.

    Parameters
    ----------
    name : str
        Name of the team.
    priority : int or None
        Goes before the priority of routes; None if the route's alone counts.
    allowed_regions : frozenset of str
        Regions in which the team's calls may run; empty for any.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True, kw_only=True)
class RouteTable:
    """Hold one version of the routes, services and API keys.

    Parameters
    ----------
    version : int
        Increases with each change.
    routes : sequence of Route
        All routes.
    services : mapping of str to ServiceModel
        Services by name.
    keys : mapping of str to KeyHolder
        Teams by API key.
    keys_required : bool
        Whether calls need a key, except on public routes.
    limits : RequestLimits
        Limits on requests.
    """

    version: int
    routes: Sequence[Route] = ()
    services: Mapping[str, ServiceModel] = field(default_factory=dict)
    keys: Mapping[str, KeyHolder] = field(default_factory=dict)
    keys_required: bool = False
    limits: RequestLimits = field(default_factory=RequestLimits)
    _by_prefix: dict[tuple[str, str], Route] = field(default_factory=dict, repr=False)
    _urgency: dict[str, UrgencyOrder] = field(default_factory=dict, repr=False)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_prefix[route.host, route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix.

        Parameters
        ----------
        host : str
            Host name without a port, in lower case.
        path : str
            Path without the query.

        Returns
        -------
        Route or None
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def host_regions(self, host: str) -> frozenset[str] | None:
        """Return the regions in which calls to a host may run.

        Parameters
        ----------
        host : str
            Host name, with or without a port.

        Returns
        -------
        frozenset of str or None
            None if a route of the host has no restriction, or it has no route.
        """
        host = host.partition(":")[0].lower()
        lists = [r.allowed_regions for r in self.routes if r.host == host]
        return frozenset().union(*lists) if lists and all(lists) else None

    def urgency(self, service: str) -> UrgencyOrder:
        """Return the order of urgency of the streams of a service, by its name."""
        if service not in self._urgency:
            of_routes = {
                (route.priority, route.public)
                for route in self.routes
                if route.kind is CallKind.STREAM
                and any(name == service for name, _ in route.services)
            }
            of_teams = {holder.priority for holder in self.keys.values()}
            self._urgency[service] = UrgencyOrder(of_routes, of_teams)
        return self._urgency[service]

    def service(self, name: str) -> ServiceModel:
        """Return a service; defaults apply to one that is not configured.

        Parameters
        ----------
        name : str
            Name of the service.

        Returns
        -------
        ServiceModel
        """
        return self.services.get(name) or ServiceModel(name=name)
