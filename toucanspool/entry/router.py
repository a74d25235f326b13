"""The router of an entry: upstreams, their links and health, and the choice."""

from collections.abc import Collection
from contextlib import ExitStack

import gevent
import structlog

from toucanspool.backing.instances import Instance
from toucanspool.config.exchange import ConfigExchange
from toucanspool.config.records import DRAIN
from toucanspool.config.service import ConfigService
from toucanspool.entry.attempt import AttemptFailed
from toucanspool.entry.caller_request import CallerRequest
from toucanspool.entry.decisions import LISTED_CANDIDATES, Decision, Decisions
from toucanspool.entry.directory import Directory, Eligible, Target
from toucanspool.entry.link import Link
from toucanspool.entry.problems import Problem
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.membership.service import InstancesService
from toucanspool.protected.clock import MonotonicClock
from toucanspool.retries.ejection import Ejector, Result
from toucanspool.routing.headroom import HeadroomPolicy
from toucanspool.routing.prefix import PrefixIndex
from toucanspool.settings.settings import Settings
from toucanspool.wire.connection import Connection, ConnectionLost
from toucanspool.wire.gen.messages.ttypes import (
    Frame,
    Refusal,
    Report,
)

TICK_S = 0.5
LINK_SILENCE_S = 3.0
LINK_IDLE_S = 60.0
NO_UPSTREAM_RETRY_S = 2.0

_HEALTH = {
    Refusal.UNREACHABLE: Result.UNREACHABLE,
    Refusal.BROKEN: Result.FAILED,
}

_log = structlog.get_logger()


class Router:
    """Choose the upstream of each request.

    Parameters
    ----------
    cfg : Settings
        The process's settings.
    decisions : Decisions
        Where decisions are noted.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_closing",
        "_config",
        "_decisions",
        "_ejector",
        "_exchange",
        "_policy",
        "directory",
    )

    def __init__(self, cfg: Settings, decisions: Decisions) -> None:
        self._cfg = cfg
        self._clock = MonotonicClock()
        self._closing = ExitStack()
        self._decisions = decisions
        self.directory = Directory(self._make_link)

    def start(self, kernel: Kernel) -> None:
        """Begin following the platform's list; see `Service`."""
        self._config: ConfigService = kernel.find("config")
        self._exchange = ConfigExchange(self._cfg, self._config)
        randoms = kernel.find("rng")
        rng = randoms.named("policy")
        self._policy = HeadroomPolicy(rng, prefixes=PrefixIndex())
        self._ejector = Ejector(randoms.named("ejection"))
        instances: InstancesService = kernel.find("instances")
        instances.on_update(self._listed)
        self._listed(instances.instances)
        self._closing.callback(self.directory.close)
        ticker = Ticker("router", TICK_S, self._tick, rng=randoms.named("router"))
        ticker.start()
        self._closing.callback(ticker.stop)

    def stop(self) -> None:
        """Close all links; see `Service`."""
        self._closing.close()

    def choose(
        self, req: CallerRequest, tried: Collection[str], attempt: int
    ) -> Target:
        """Return the upstream of the next attempt.

        Parameters
        ----------
        req : CallerRequest
            The request.
        tried : collection of str
            Upstreams that have failed it.
        attempt : int
            Number of the attempt, from 1.

        Returns
        -------
        Target

        Raises
        ------
        Problem
            There is none.
        """
        eligible = self.directory.eligible(req.labels, self._config.view)
        targets = self._usable(eligible.targets, tried)
        if not targets:
            self._note(req, eligible, None, "no upstream may take it", attempt)
            raise Problem(
                503,
                "no-upstream",
                "No upstream may take this request now.",
                retry_after_s=NO_UPSTREAM_RETRY_S,
            )
        candidates = [target.candidate for target in targets]
        choice = self._policy.choose(req.work, candidates, self._clock.now())
        chosen = next(t for t in targets if t.candidate is choice.candidate)
        self._note(req, eligible, chosen, choice.reason, attempt)
        return chosen

    def succeeded(self, target: Target) -> None:
        """Count a good attempt.

        Parameters
        ----------
        target : Target
            The upstream.
        """
        self._record(target, Result.OK)

    def failed(self, target: Target, exc: AttemptFailed) -> None:
        """Count a failed attempt.

        Parameters
        ----------
        target : Target
            The upstream.
        exc : AttemptFailed
            How it failed.
        """
        if exc.refusal == Refusal.DRAINING:
            target.said_state = DRAIN
        result = _HEALTH.get(exc.refusal)
        if result is not None:
            self._record(target, result)

    def reported(self, report: Report) -> None:
        """Take a load report; see `LinkEvents`."""
        target = self.directory.find(report.upstream)
        if target is not None:
            target.report(report, self._clock.now())

    def exchanged(self, conn: Connection, frame: Frame) -> None:
        """Take a message of the exchange of configuration; see `LinkEvents`."""
        self._exchange.handle(conn, frame)

    def _make_link(self, host: str, port: int) -> Link:
        return Link(host, port, self, self._exchange.hello)

    def _listed(self, instances: list[Instance]) -> None:
        self.directory.update(instances)
        pools = {t.instance.upstream: _pool(t) for t in self.directory.targets}
        self._ejector.update(pools, self._clock.now(), pools=pools)

    def _usable(self, targets: list[Target], tried: Collection[str]) -> list[Target]:
        now = self._clock.now()
        usable = []
        for target in targets:
            name = target.instance.upstream
            target.candidate.weight = self._ejector.weight(name, now)
            if name not in tried and target.candidate.weight > 0.0:
                usable.append(target)
        return usable

    def _record(self, target: Target, result: Result) -> None:
        name = target.instance.upstream
        if self._ejector.record(name, result, self._clock.now()):
            _log.warning(
                "placement decision",
                upstream=name,
                state="ejected",
                reason=f"attempts on it are {result.value}",
                revision=self._config.revision,
            )

    def _tick(self) -> None:
        now = self._clock.now()
        for target in self.directory.targets:
            target.link.check_silence(now, LINK_SILENCE_S)
            target.link.check_idle(now, LINK_IDLE_S)
        for name in self._ejector.due_probes(now):
            gevent.spawn(self._probe, name)

    def _probe(self, name: str) -> None:
        target = self.directory.find(name)
        if target is None:
            return
        try:
            target.link.ensure()
            result = Result.OK
        except ConnectionLost:
            result = Result.UNREACHABLE
        if self._ejector.record_probe(name, result, self._clock.now()):
            _log.info(
                "placement decision",
                upstream=name,
                state="returned",
                reason="probes succeeded",
                revision=self._config.revision,
            )

    def _note(
        self,
        req: CallerRequest,
        eligible: Eligible,
        chosen: Target | None,
        reason: str,
        attempt: int,
    ) -> None:
        names = [target.instance.upstream for target in eligible.targets]
        self._decisions.add(
            Decision(
                request_id=req.request_id,
                team=req.team.name,
                labels=req.labels,
                selector=eligible.selector.name if eligible.selector else None,
                candidates=names[:LISTED_CANDIDATES],
                eligible=len(names),
                chosen=chosen.instance.upstream if chosen else "",
                reason=reason,
                revision=self._config.revision,
                attempt=attempt,
            )
        )


def _pool(target: Target) -> str:
    return target.given.get("model") or target.given.get("service", "")
