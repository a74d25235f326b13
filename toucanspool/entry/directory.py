"""The directory of upstreams, with their load and links."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from toucanspool.backing.instances import ROLE_AGENT, STATE_LIVE, Instance
from toucanspool.config.match import Labels
from toucanspool.config.records import DRAIN, SERVE, STANDBY, Selector
from toucanspool.config.view import View
from toucanspool.entry.link import Link
from toucanspool.routing.candidate import Candidate
from toucanspool.wire.gen.messages.ttypes import Report

POOL_LABELS = ("model", "service")


class Target:
    """Hold the state of one upstream.

    Parameters
    ----------
    instance : Instance
        Instance of the upstream's agent.
    link : Link
        Connection to the agent.

    Attributes
    ----------
    platform_labels : dict of str to str
        Labels of the instance, without those of the configuration.
    candidate : Candidate
        Load and weight for the routing policy.
    reported_state : str
        State last reported by the agent.
    """

    __slots__ = (
        "_connect_count",
        "_last_seq",
        "candidate",
        "instance",
        "link",
        "platform_labels",
        "reported_state",
    )

    def __init__(self, instance: Instance, link: Link) -> None:
        self.instance = instance
        self.link = link
        self.platform_labels = dict(instance.labels)
        self.candidate = Candidate(instance.upstream, instance.failure_domain)
        self.reported_state = SERVE
        self._connect_count = 0
        self._last_seq = 0

    @property
    def leaving(self) -> bool:
        """Return whether it takes no new work, by the platform or its agent."""
        # A reported drain counts only while connected: a lost agent can't revoke it.
        drains = self.reported_state == DRAIN and self.link.connected
        return drains or self.instance.state != STATE_LIVE

    def apply_report(self, report: Report, now: float) -> None:
        """Apply a load report; ignore it if a newer one was applied.

        Parameters
        ----------
        report : Report
            Load report of the agent.
        now : float
            Seconds on the monotonic clock.
        """
        # A restarted agent numbers its reports from the beginning.
        if self.link.connect_count != self._connect_count:
            self._connect_count = self.link.connect_count
            self._last_seq = 0
        if report.seq <= self._last_seq:
            return
        self._last_seq = report.seq
        self.reported_state = report.state
        candidate = self.candidate
        candidate.running = report.running
        candidate.waiting = report.waiting
        candidate.step_ms = report.step_ms
        candidate.reported_at = now - report.age_ms / 1000.0
        candidate.sent_since_report = 0


@dataclass(slots=True, frozen=True)
class ResolvedTarget:
    """Hold the labels and state of an upstream at one revision.

    Parameters
    ----------
    target : Target
        The upstream.
    labels : mapping of str to str
        Labels of the instance and of the configuration.
    state : {"serve", "standby", "drain"}
        State by the selectors.
    """

    target: Target
    labels: Mapping[str, str]
    state: str


class EligibleTargets:
    """Hold the eligible upstreams of a request.

    Parameters
    ----------
    targets : list of Target
        Eligible upstreams.
    selector : Selector or None
        Selector that applied; None for the default by model or service.
    """

    __slots__ = ("selector", "targets")

    def __init__(self, targets: list[Target], selector: Selector | None) -> None:
        self.targets = targets
        self.selector = selector


class Directory:
    """Index upstreams by name and by model or service.

    Parameters
    ----------
    make_link : callable
        Factory for a link to a host and port.
    """

    __slots__ = ("_index_key", "_list_version", "_make_link", "_pools", "_targets")

    def __init__(self, make_link: Callable[[str, int], Link]) -> None:
        self._make_link = make_link
        self._targets: dict[str, Target] = {}
        self._list_version = 0
        self._index_key = (-1, -1)
        self._pools: dict[tuple[str, str], list[ResolvedTarget]] = {}

    @property
    def targets(self) -> list[Target]:
        """Return all upstreams, sorted by name."""
        return [self._targets[name] for name in sorted(self._targets)]

    def find(self, upstream: str) -> Target | None:
        """Return an upstream by name, or None.

        Parameters
        ----------
        upstream : str
            Name of the upstream.

        Returns
        -------
        Target or None
        """
        return self._targets.get(upstream)

    def update(self, instances: Iterable[Instance]) -> None:
        """Add, update and remove upstreams by the list of instances.

        Parameters
        ----------
        instances : iterable of Instance
            All listed instances; only agents are used.
        """
        self._list_version += 1
        listed = {i.upstream: i for i in instances if i.role == ROLE_AGENT}
        for name in set(self._targets) - set(listed):
            self._targets.pop(name).link.close()
        for name, instance in listed.items():
            self._add_or_update(name, instance)

    def close(self) -> None:
        """Close all links."""
        for target in self._targets.values():
            target.link.close()

    def state(self, target: Target, view: View) -> str:
        """Return the state of an upstream, by its labels and reports.

        Parameters
        ----------
        target : Target
            Upstream to look up.
        view : View
            Configuration in force.

        Returns
        -------
        {"serve", "standby", "drain"}
        """
        labels = view.upstream_labels(target.instance.upstream, target.platform_labels)
        return DRAIN if target.leaving else view.state(labels)[0]

    def eligible(self, labels: Labels, view: View) -> EligibleTargets:
        """Return the eligible upstreams of a request.

        Standby upstreams are eligible only if none is serving.

        Parameters
        ----------
        labels : mapping of str to str
            Labels of the request.
        view : View
            Configuration in force.

        Returns
        -------
        EligibleTargets
        """
        selector = view.route(labels)
        by_state: dict[str, list[Target]] = {SERVE: [], STANDBY: [], DRAIN: []}
        for resolved in self._pool(labels, view):
            if selector is None or selector.upstreams.matches(resolved.labels):
                state = DRAIN if resolved.target.leaving else resolved.state
                by_state[state].append(resolved.target)
        return EligibleTargets(by_state[SERVE] or by_state[STANDBY], selector)

    def _pool(self, labels: Labels, view: View) -> list[ResolvedTarget]:
        """Return the upstreams of the request's model or service."""
        index_key = (view.revision, self._list_version)
        if index_key != self._index_key:
            self._index_key = index_key
            self._rebuild_index(view)
        for kind in POOL_LABELS:
            if kind in labels:
                return self._pools.get((kind, labels[kind]), [])
        return []

    def _rebuild_index(self, view: View) -> None:
        """Resolve labels and states for the current revision and list."""
        self._pools = {}
        for name, target in self._targets.items():
            labels = view.upstream_labels(name, target.platform_labels)
            target.candidate.labels = labels
            resolved = ResolvedTarget(target, labels, view.state(labels)[0])
            for kind in POOL_LABELS:
                if kind in labels:
                    pool = self._pools.setdefault((kind, labels[kind]), [])
                    pool.append(resolved)

    def _add_or_update(self, name: str, instance: Instance) -> None:
        existing = self._targets.get(name)
        same_address = existing is not None and (
            (existing.instance.host, existing.instance.port)
            == (instance.host, instance.port)
        )
        if (
            existing is not None
            and same_address
            and existing.instance.name == instance.name
        ):
            existing.instance = instance
            existing.platform_labels = dict(instance.labels)
            return
        if existing is not None:
            existing.link.close()
        link = self._make_link(instance.host, instance.port)
        self._targets[name] = Target(instance, link)
