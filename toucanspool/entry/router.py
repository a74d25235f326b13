"""The router of an entry, with the links and health of its upstreams."""

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
from toucanspool.entry.decision_log import MAX_LOGGED_CANDIDATES, Decision, DecisionLog
from toucanspool.entry.directory import Directory, EligibleTargets, Target
from toucanspool.entry.link import Link
from toucanspool.entry.problems import Problem
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.membership.service import InstancesService
from toucanspool.protected.clock import MonotonicClock
from toucanspool.retries.ejection import AttemptResult, Ejector
from toucanspool.routing.headroom import HeadroomPolicy
from toucanspool.routing.prefix import PrefixIndex
from toucanspool.settings.settings import Settings
from toucanspool.wire.connection import Connection, ConnectionLost
from toucanspool.wire.gen.messages.ttypes import (
    Frame,
    Refusal,
    Report,
)

CHECK_INTERVAL_S = 0.5
LINK_SILENCE_TIMEOUT_S = 3.0
LINK_IDLE_TIMEOUT_S = 60.0
NO_UPSTREAM_RETRY_S = 2.0

_RESULT_BY_REFUSAL = {
    Refusal.UNREACHABLE: AttemptResult.UNREACHABLE,
    Refusal.BROKEN: AttemptResult.FAILED,
}

_log = structlog.get_logger()


class Router:
    """Choose the upstream for each attempt, and track the health of upstreams.

    Parameters
    ----------
    cfg : Settings
        Settings of the process.
    decision_log : DecisionLog
        Log for routing decisions.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_closing",
        "_config",
        "_decision_log",
        "_ejector",
        "_exchange",
        "_policy",
        "directory",
    )

    def __init__(self, cfg: Settings, decision_log: DecisionLog) -> None:
        self._cfg = cfg
        self._clock = MonotonicClock()
        self._closing = ExitStack()
        self._decision_log = decision_log
        self.directory = Directory(self._make_link)

    def start(self, kernel: Kernel) -> None:
        """Start following the list of instances; see `Service`."""
        self._config: ConfigService = kernel.find("config")
        self._exchange = ConfigExchange(self._cfg, self._config)
        rngs = kernel.find("rng")
        rng = rngs.named("policy")
        self._policy = HeadroomPolicy(rng, prefixes=PrefixIndex())
        self._ejector = Ejector(rngs.named("ejection"))
        instances: InstancesService = kernel.find("instances")
        instances.on_update(self._update_instances)
        self._update_instances(instances.instances)
        self._closing.callback(self.directory.close)
        ticker = Ticker(
            "router", CHECK_INTERVAL_S, self._check_links, rng=rngs.named("router")
        )
        ticker.start()
        self._closing.callback(ticker.stop)

    def stop(self) -> None:
        """Close all links; see `Service`."""
        self._closing.close()

    def choose(
        self, req: CallerRequest, excluded: Collection[str], attempt: int
    ) -> Target:
        """Return the upstream for the next attempt.

        Parameters
        ----------
        req : CallerRequest
            Request to route.
        excluded : collection of str
            Names of upstreams that already failed the request.
        attempt : int
            Number of the attempt, from 1.

        Returns
        -------
        Target

        Raises
        ------
        Problem
            No upstream is available.
        """
        eligible = self.directory.eligible(req.labels, self._config.view)
        targets = self._select_usable(eligible.targets, excluded)
        if not targets:
            self._log_decision(req, eligible, None, "no upstream may take it", attempt)
            raise Problem(
                503,
                "no-upstream",
                "No upstream may take this request now.",
                retry_after_s=NO_UPSTREAM_RETRY_S,
            )
        candidates = [target.candidate for target in targets]
        choice = self._policy.choose(req.routing, candidates, self._clock.now())
        chosen = next(t for t in targets if t.candidate is choice.candidate)
        self._log_decision(req, eligible, chosen, choice.reason, attempt)
        return chosen

    def record_success(self, target: Target) -> None:
        """Record a successful attempt.

        Parameters
        ----------
        target : Target
            Upstream of the attempt.
        """
        self._record_result(target, AttemptResult.OK)

    def record_failure(self, target: Target, exc: AttemptFailed) -> None:
        """Record a failed attempt.

        Parameters
        ----------
        target : Target
            Upstream of the attempt.
        exc : AttemptFailed
            Failure of the attempt.
        """
        if exc.refusal == Refusal.DRAINING:
            target.reported_state = DRAIN
        result = _RESULT_BY_REFUSAL.get(exc.refusal)
        if result is not None:
            self._record_result(target, result)

    def on_report(self, report: Report) -> None:
        """Apply a load report; see `LinkHandler`."""
        target = self.directory.find(report.upstream)
        if target is not None:
            target.apply_report(report, self._clock.now())

    def on_message(self, conn: Connection, frame: Frame) -> None:
        """Handle a message about configuration; see `LinkHandler`."""
        self._exchange.handle(conn, frame)

    def _make_link(self, host: str, port: int) -> Link:
        return Link(host, port, self, self._exchange.hello)

    def _update_instances(self, instances: list[Instance]) -> None:
        self.directory.update(instances)
        pools = {t.instance.upstream: _pool_name(t) for t in self.directory.targets}
        self._ejector.update(pools, self._clock.now(), pools=pools)

    def _select_usable(
        self, targets: list[Target], excluded: Collection[str]
    ) -> list[Target]:
        now = self._clock.now()
        usable = []
        for target in targets:
            name = target.instance.upstream
            target.candidate.weight = self._ejector.weight(name, now)
            if name not in excluded and target.candidate.weight > 0.0:
                usable.append(target)
        return usable

    def _record_result(self, target: Target, result: AttemptResult) -> None:
        name = target.instance.upstream
        if self._ejector.record(name, result, self._clock.now()):
            _log.warning(
                "placement decision",
                upstream=name,
                state="ejected",
                reason=f"attempts on it are {result.value}",
                revision=self._config.revision,
            )

    def _check_links(self) -> None:
        now = self._clock.now()
        for target in self.directory.targets:
            target.link.check_silence(now, LINK_SILENCE_TIMEOUT_S)
            target.link.check_idle(now, LINK_IDLE_TIMEOUT_S)
        for name in self._ejector.due_probes(now):
            gevent.spawn(self._probe, name)

    def _probe(self, name: str) -> None:
        target = self.directory.find(name)
        if target is None:
            return
        try:
            target.link.connect()
            result = AttemptResult.OK
        except ConnectionLost:
            result = AttemptResult.UNREACHABLE
        if self._ejector.record_probe(name, result, self._clock.now()):
            _log.info(
                "placement decision",
                upstream=name,
                state="returned",
                reason="probes succeeded",
                revision=self._config.revision,
            )

    def _log_decision(
        self,
        req: CallerRequest,
        eligible: EligibleTargets,
        chosen: Target | None,
        reason: str,
        attempt: int,
    ) -> None:
        names = [target.instance.upstream for target in eligible.targets]
        self._decision_log.record(
            Decision(
                request_id=req.request_id,
                team=req.team.name,
                labels=req.labels,
                selector=eligible.selector.name if eligible.selector else None,
                candidates=names[:MAX_LOGGED_CANDIDATES],
                eligible=len(names),
                chosen=chosen.instance.upstream if chosen else "",
                reason=reason,
                revision=self._config.revision,
                attempt=attempt,
            )
        )


def _pool_name(target: Target) -> str:
    return target.platform_labels.get("model") or target.platform_labels.get(
        "service", ""
    )
