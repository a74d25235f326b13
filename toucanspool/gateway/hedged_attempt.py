"""Running of attempts, with a second one elsewhere if the first is slow."""

import time
from collections.abc import Callable
from contextlib import ExitStack

import structlog

from toucanspool.gateway.attempt import UNAVAILABLE_STATUS, Attempt, TurnedAway
from toucanspool.gateway.attempt_race import (
    ATTEMPT_ERRORS,
    AttemptEnd,
    AttemptRace,
    Outcome,
    Work,
)
from toucanspool.gateway.attempt_results import AttemptResults
from toucanspool.gateway.call import Call
from toucanspool.gateway.crash_guard import CrashGuard
from toucanspool.gateway.dialect import Dialect
from toucanspool.gateway.progress import CallProgress
from toucanspool.retries.hedging import HedgedCall, HedgeDecision, HedgePolicy
from toucanspool.retries.latency import MS_PER_S, LatencyKind, size_class
from toucanspool.retries.shared_budget import SharedBudget
from toucanspool.routing.second_choice import SecondChoice
from toucanspool.routing.upstream import Upstream
from toucanspool.telemetry.hedging_metrics import HedgingMetrics
from toucanspool.wire.reply_reader import Silent

_log = structlog.get_logger()


class AttemptRunner:
    """Run attempts, and second ones for calls that may have them.

    Parameters
    ----------
    dialect : Dialect
        Translates headers.
    guard : CrashGuard
        Refuses calls that crash upstreams.
    budget : SharedBudget
        Retry budget; a second attempt withdraws from it as a retry does.
    results : AttemptResults
        Told of the attempts that did not answer their call.

    Attributes
    ----------
    policy : HedgePolicy or None
        Decides on second attempts; None if there are none.
    """

    __slots__ = (
        "_budget",
        "_dialect",
        "_guard",
        "_is_full",
        "_metrics",
        "_results",
        "_second_choice",
        "policy",
    )

    def __init__(
        self,
        dialect: Dialect,
        guard: CrashGuard,
        budget: SharedBudget,
        results: AttemptResults,
    ) -> None:
        self._dialect = dialect
        self._guard = guard
        self._budget = budget
        self._results = results
        self.policy: HedgePolicy | None = None
        self._second_choice: SecondChoice
        self._is_full: Callable[[str], bool]
        self._metrics: HedgingMetrics

    def enable(
        self,
        policy: HedgePolicy,
        second_choice: SecondChoice,
        is_full: Callable[[str], bool],
        metrics: HedgingMetrics,
    ) -> None:
        """Make second attempts.

        Parameters
        ----------
        policy : HedgePolicy
            Decides on them.
        second_choice : SecondChoice
            Chooses their upstreams.
        is_full : callable
            Returns whether a service has no room for one more call than now.
        metrics : HedgingMetrics
            Counts them.
        """
        self.policy = policy
        self._second_choice = second_choice
        self._is_full = is_full
        self._metrics = metrics

    def record_call(self, call: Call) -> None:
        """Count a new call that may get a second attempt."""
        if self._may_hedge(call):
            self.policy.record_call(call.service, time.monotonic())

    def record_scarcity(self, service: str) -> None:
        """Record that a call was refused, or had to wait, for lack of capacity."""
        if self.policy is not None:
            self.policy.record_scarcity(service, time.monotonic())

    def hedges(self, call: Call, progress: CallProgress) -> bool:
        """Return whether the next attempt may be followed by a second one.

        Only the first attempt may: a retry has already cost its part.
        """
        return self._may_hedge(call) and not progress.tried

    def run(
        self,
        call: Call,
        progress: CallProgress,
        upstream: Upstream,
        work: Work,
        attempt_end: AttemptEnd,
        closing: ExitStack,
    ) -> Outcome:
        """Run an attempt, and a second one if the policy says so.

        Parameters
        ----------
        call, progress
            The call, and its attempts so far.
        upstream : Upstream
            Upstream of the attempt.
        work : callable
            Sends the call and reads what is needed of the answer.
        attempt_end : callable
            Returns the time limit of an attempt.
        closing : ExitStack
            Closes the attempt that answers.

        Returns
        -------
        Outcome
            The first answer, or the last failure.
        """
        if self.hedges(call, progress):
            outcome = self._race(call, progress, upstream, work, attempt_end, closing)
        else:
            outcome = Outcome(upstream, Attempt(call, upstream, self._dialect))
            closing.callback(outcome.close)
            try:
                outcome.value = work(outcome.attempt, attempt_end(progress.runs))
            except ATTEMPT_ERRORS as exc:
                outcome.error = exc
        self._record_if_full(call, outcome)
        return outcome

    def _race(
        self,
        call: Call,
        progress: CallProgress,
        upstream: Upstream,
        work: Work,
        attempt_end: AttemptEnd,
        closing: ExitStack,
    ) -> Outcome:
        policy = self.policy
        kind = call.service, call.route.name, size_class(call.work_size)
        race = AttemptRace(call, self._dialect, work)
        closing.callback(race.close)
        delay_s = policy.delay_s(kind, time.monotonic())
        first = race.start(upstream, attempt_end(progress.runs))
        outcome, second, winner = race.wait(delay_s), None, "none"
        try:
            if outcome is None:
                other = self._decide(policy, call, progress, upstream, delay_s)
                if other is not None:
                    second = race.start(other, attempt_end(progress.runs + 1))
                outcome = self._settle(call, progress, race, first)
            outcome.raise_unexpected()
            if outcome.answers:
                winner = "second" if outcome is second else "first"
        finally:
            self._record_latency(policy, kind, first, winner)
            if second is not None:
                self._report(call, policy, delay_s, first, second, winner)
        return outcome

    def _settle(
        self, call: Call, progress: CallProgress, race: AttemptRace, first: Outcome
    ) -> Outcome:
        """Return the first answer, or the last failure if there is none."""
        outcome = race.wait()
        while not outcome.answers and race.pending:
            other = race.wait()
            # A server error is an answer that the caller can get; a failure isn't.
            if other.error is not None and outcome.error is None:
                outcome, other = other, outcome
            self._record_lost(call, progress, outcome)
            outcome = other
        while (lost := race.take_ended()) is not None:
            self._record_lost(call, progress, lost)
        for lost in race.end_others(outcome):
            self._results.record_outrun(progress, lost, first=lost is first)
        progress.start_attempt(outcome.started_at)
        return outcome

    def _record_lost(self, call: Call, progress: CallProgress, lost: Outcome) -> None:
        self._record_if_full(call, lost)
        self._results.record_lost(call, progress, lost)

    def _record_if_full(self, call: Call, outcome: Outcome) -> None:
        exc = outcome.error
        if isinstance(exc, TurnedAway) and exc.status == UNAVAILABLE_STATUS:
            self.record_scarcity(call.service)

    def _record_latency(
        self, policy: HedgePolicy, kind: LatencyKind, first: Outcome, winner: str
    ) -> None:
        """Record the time of a first attempt, or a lower bound if it was outrun."""
        now = time.monotonic()
        failed = first.error is not None and not isinstance(first.error, Silent)
        if first.ended_at and not failed:
            policy.record_latency(kind, first.ended_at - first.started_at, now)
        elif winner == "second" and not failed:
            policy.record_latency(kind, now - first.started_at, now)

    def _decide(
        self,
        policy: HedgePolicy,
        call: Call,
        progress: CallProgress,
        first: Upstream,
        delay_s: float,
    ) -> Upstream | None:
        """Return the upstream of a second attempt, or None if none is sent."""
        now = time.monotonic()
        upstream = self._second_choice.choose(first, now, regions=call.regions)
        decision = policy.decide(
            HedgedCall(
                service=call.service,
                repeatable=call.route.retryable,
                runs=progress.runs + 1,
                max_attempts=call.route.max_attempts,
                left_s=call.deadline.left_s(now),
                full=self._is_full(call.service),
                quarantined=self._guard.blocks(call),
            ),
            now,
            has_upstream=upstream is not None,
            withdraw=lambda: self._budget.try_withdraw(call.service, now),
        )
        if decision is HedgeDecision.ALLOWED:
            return upstream
        self._metrics.record_declined(call.service, decision.name)
        _log.info(
            "no second attempt",
            request_id=call.id,
            upstream=first.name,
            reason=decision.value,
            after_ms=round(delay_s * MS_PER_S),
        )
        return None

    def _report(
        self,
        call: Call,
        policy: HedgePolicy,
        delay_s: float,
        first: Outcome,
        second: Outcome,
        winner: str,
    ) -> None:
        self._metrics.record_second_attempt(call.service, winner)
        _log.info(
            "second attempt",
            request_id=call.id,
            route=call.route.name,
            service=call.service,
            reason=f"slower than {policy.settings.percentile} % of recent calls",
            after_ms=round(delay_s * MS_PER_S),
            upstream=first.upstream.name,
            second_upstream=second.upstream.name,
            winner=winner,
            took_ms=round((time.monotonic() - first.started_at) * MS_PER_S),
        )

    def _may_hedge(self, call: Call) -> bool:
        return (
            self.policy is not None
            and call.route.retryable
            and call.route.max_attempts > 1
            and self.policy.applies_to(call.service)
        )
