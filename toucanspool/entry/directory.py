"""The upstreams that an entry knows, with their load and their links."""

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
    """Hold one upstream as an entry knows it.

    Parameters
    ----------
    instance : Instance
        The agent's instance.
    link : Link
        The connection to the agent.
    """

    __slots__ = (
        "_opened",
        "_seq",
        "candidate",
        "given",
        "instance",
        "link",
        "said_state",
    )

    def __init__(self, instance: Instance, link: Link) -> None:
        self.instance = instance
        self.link = link
        self.given = dict(instance.labels)
        self.candidate = Candidate(instance.upstream, instance.failure_domain)
        self.said_state = SERVE
        self._opened = 0
        self._seq = 0

    @property
    def leaving(self) -> bool:
        """Whether the platform or the agent says that it takes no new work."""
        # What an agent said holds for as long as it can take it back.
        drains = self.said_state == DRAIN and self.link.connected
        return drains or self.instance.state != STATE_LIVE

    def report(self, report: Report, now: float) -> None:
        """Take a load report unless a newer one has come.

        Parameters
        ----------
        report : Report
            The report.
        now : float
            Monotonic seconds.
        """
        # An agent that has started again counts its reports anew.
        if self.link.opened != self._opened:
            self._opened = self.link.opened
            self._seq = 0
        if report.seq <= self._seq:
            return
        self._seq = report.seq
        self.said_state = report.state
        candidate = self.candidate
        candidate.running = report.running
        candidate.waiting = report.waiting
        candidate.step_ms = report.step_ms
        candidate.reported_at = now - report.age_ms / 1000.0
        candidate.sent_since_report = 0


@dataclass(slots=True, frozen=True)
class Standing:
    """Hold what labels make of an upstream at one revision.

    Parameters
    ----------
    target : Target
        The upstream.
    labels : mapping of str to str
        Its labels.
    state : {"serve", "standby", "drain"}
        What the selectors say.
    """

    target: Target
    labels: Mapping[str, str]
    state: str


class Eligible:
    """Hold the upstreams that a request may go to, and why.

    Parameters
    ----------
    targets : list of Target
        The upstreams.
    selector : Selector or None
        The selector that says so; None for the default, by model or service.
    """

    __slots__ = ("selector", "targets")

    def __init__(self, targets: list[Target], selector: Selector | None) -> None:
        self.targets = targets
        self.selector = selector


class Directory:
    """Know the upstreams by name.

    Parameters
    ----------
    make_link : callable
        Returns a link to a host and port.
    """

    __slots__ = ("_known_at", "_lists", "_make_link", "_pools", "_targets")

    def __init__(self, make_link: Callable[[str, int], Link]) -> None:
        self._make_link = make_link
        self._targets: dict[str, Target] = {}
        self._lists = 0
        self._known_at = (-1, -1)
        self._pools: dict[tuple[str, str], list[Standing]] = {}

    @property
    def targets(self) -> list[Target]:
        """All upstreams by name."""
        return [self._targets[name] for name in sorted(self._targets)]

    def find(self, upstream: str) -> Target | None:
        """Return an upstream, or None.

        Parameters
        ----------
        upstream : str
            Its name.

        Returns
        -------
        Target or None
        """
        return self._targets.get(upstream)

    def update(self, instances: Iterable[Instance]) -> None:
        """Take the platform's list.

        Parameters
        ----------
        instances : iterable of Instance
            All instances listed; those of other roles are passed over.
        """
        self._lists += 1
        listed = {i.upstream: i for i in instances if i.role == ROLE_AGENT}
        for name in set(self._targets) - set(listed):
            self._targets.pop(name).link.close()
        for name, instance in listed.items():
            self._put(name, instance)

    def close(self) -> None:
        """Close all links."""
        for target in self._targets.values():
            target.link.close()

    def state(self, target: Target, view: View) -> str:
        """Return whether an upstream serves, by all that is known.

        Parameters
        ----------
        target : Target
            The upstream.
        view : View
            The configuration.

        Returns
        -------
        {"serve", "standby", "drain"}
        """
        labels = view.upstream_labels(target.instance.upstream, target.given)
        return DRAIN if target.leaving else view.state(labels)[0]

    def eligible(self, work: Labels, view: View) -> Eligible:
        """Return the upstreams that a request may go to.

        Those standing by are returned only where none serves.

        Parameters
        ----------
        work : mapping of str to str
            The request's labels.
        view : View
            The configuration.

        Returns
        -------
        Eligible
        """
        selector = view.route(work)
        by_state: dict[str, list[Target]] = {SERVE: [], STANDBY: [], DRAIN: []}
        for standing in self._pool(work, view):
            if selector is None or selector.upstreams.fits(standing.labels):
                state = DRAIN if standing.target.leaving else standing.state
                by_state[state].append(standing.target)
        return Eligible(by_state[SERVE] or by_state[STANDBY], selector)

    def _pool(self, work: Labels, view: View) -> list[Standing]:
        """Return the upstreams of a request's model or service."""
        known_at = (view.revision, self._lists)
        if known_at != self._known_at:
            self._known_at = known_at
            self._index(view)
        for kind in POOL_LABELS:
            if kind in work:
                return self._pools.get((kind, work[kind]), [])
        return []

    def _index(self, view: View) -> None:
        """Work out labels and states once for a revision and list."""
        self._pools = {}
        for name, target in self._targets.items():
            labels = view.upstream_labels(name, target.given)
            target.candidate.labels = labels
            standing = Standing(target, labels, view.state(labels)[0])
            for kind in POOL_LABELS:
                if kind in labels:
                    pool = self._pools.setdefault((kind, labels[kind]), [])
                    pool.append(standing)

    def _put(self, name: str, instance: Instance) -> None:
        known = self._targets.get(name)
        same_place = known is not None and (
            (known.instance.host, known.instance.port) == (instance.host, instance.port)
        )
        if known is not None and same_place and known.instance.name == instance.name:
            known.instance = instance
            known.given = dict(instance.labels)
            return
        if known is not None:
            known.link.close()
        link = self._make_link(instance.host, instance.port)
        self._targets[name] = Target(instance, link)
