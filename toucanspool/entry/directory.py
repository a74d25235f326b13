"""The upstreams that an entry knows, with their load and their links."""

from collections.abc import Callable, Iterable

from toucanspool.config.records import Selector
from toucanspool.config.view import View
from toucanspool.entry.link import Link
from toucanspool.platform.instances import ROLE_AGENT, STATE_LIVE, Instance
from toucanspool.routing.candidate import Candidate
from toucanspool.wire.gen.messages.ttypes import Report

SERVE = "serve"
STANDBY = "standby"
DRAIN = "drain"


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
        candidate.since_report = 0


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

    __slots__ = ("_make_link", "_targets")

    def __init__(self, make_link: Callable[[str, int], Link]) -> None:
        self._make_link = make_link
        self._targets: dict[str, Target] = {}

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
        # What an agent said holds for as long as it can take it back.
        drains = target.said_state == DRAIN and target.link.connected
        if target.instance.state != STATE_LIVE or drains:
            return DRAIN
        labels = view.upstream_labels(target.instance.upstream, target.given)
        return view.state(labels)[0]

    def eligible(self, work: dict[str, str], view: View) -> Eligible:
        """Return the upstreams that a request may go to.

        Those standing by are returned only where none serves.

        Parameters
        ----------
        work : dict of str to str
            The request's labels.
        view : View
            The configuration.

        Returns
        -------
        Eligible
        """
        selector = view.route(work)
        by_state: dict[str, list[Target]] = {SERVE: [], STANDBY: [], DRAIN: []}
        for target in self._targets.values():
            labels = view.upstream_labels(target.instance.upstream, target.given)
            if not _may_serve(work, labels):
                continue
            if selector is not None and not selector.upstreams.fits(labels):
                continue
            target.candidate.labels = labels
            by_state[self.state(target, view)].append(target)
        return Eligible(by_state[SERVE] or by_state[STANDBY], selector)

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


def _may_serve(work: dict[str, str], labels: dict[str, str]) -> bool:
    for key in ("model", "service"):
        if key in work and labels.get(key) != work[key]:
            return False
    return True
