"""The path of a request: admission, choice, attempts, and the answer."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import structlog

from toucanspool.config.service import ConfigService
from toucanspool.entry.answer import Answer
from toucanspool.entry.attempt import Attempt, AttemptFailed
from toucanspool.entry.caller_request import CallerRequest
from toucanspool.entry.continuation import (
    CannotContinue,
    NothingLeft,
    answered_text,
    continue_body,
    last_events,
)
from toucanspool.entry.decisions import Decisions
from toucanspool.entry.problems import Problem, from_refusal
from toucanspool.entry.progress import Progress
from toucanspool.entry.router import Router
from toucanspool.kernel.kernel import Kernel
from toucanspool.limits.admission import Admission
from toucanspool.limits.gate import Gate, wake
from toucanspool.limits.shed import Shed
from toucanspool.limits.ticket import engine_priority
from toucanspool.protected.clock import MonotonicClock
from toucanspool.retries import decision
from toucanspool.retries.budget import RetryBudget
from toucanspool.retries.decision import RetryDecision, may_retry
from toucanspool.settings.settings import Entry
from toucanspool.wire.events import DONE_EVENT
from toucanspool.wire.gen.messages.ttypes import Outcome, Refusal

MAX_REROUTES = 4
HTTP_SERVER_ERROR = 500
PRIORITY_HEADER = "x-priority"

# The upstream is well and has refused at once: going elsewhere amplifies nothing.
REROUTED = frozenset({Refusal.DRAINING, Refusal.WRONG_UPSTREAM, Refusal.NO_CONFIG})
FINAL = frozenset(
    {
        Refusal.TABLE_DOWN,
        Refusal.IN_PROGRESS,
        Refusal.KEY_REUSED,
        Refusal.UNCERTAIN,
        Refusal.CANCELLED,
        Refusal.DEADLINE,
    }
)

_log = structlog.get_logger()


class Dispatcher:
    """Carry requests to upstreams and answers back.

    Parameters
    ----------
    cfg : Entry
        Settings of the entry role.
    decisions : Decisions
        Where results are noted.
    """

    __slots__ = (
        "_budget",
        "_cfg",
        "_clock",
        "_config",
        "_decisions",
        "_gate",
        "_router",
        "_running",
    )

    def __init__(self, cfg: Entry, decisions: Decisions) -> None:
        self._cfg = cfg
        self._clock = MonotonicClock()
        self._decisions = decisions
        self._running: dict[str, tuple[str, Progress]] = {}

    @property
    def running(self) -> int:
        """Requests that run now."""
        return self._gate.admission.running

    def start(self, kernel: Kernel) -> None:
        """Find what the path needs; see `Service`."""
        self._router: Router = kernel.find("router")
        self._config: ConfigService = kernel.find("config")
        rng = kernel.find("rng").named("admission")
        admission = Admission(float(self._cfg.max_in_flight), rng, on_settled=wake)
        self._gate = Gate(admission)
        self._budget = RetryBudget(self._clock.now(), fraction=self._cfg.retry_ratio)

    def stop(self) -> None:
        """Do nothing; requests are waited for by the HTTP service; see `Service`."""

    def begin(self, req: CallerRequest) -> Answer:
        """Admit a request and return its answer once it has begun.

        Parameters
        ----------
        req : CallerRequest
            The request.

        Returns
        -------
        Answer
            To be closed.

        Raises
        ------
        Problem
            There is no answer.
        """
        with ExitStack() as closing:
            self._admit(req, closing)
            progress = Progress()
            closing.callback(progress.close)
            closing.enter_context(self._listed(req, progress))
            self._budget.record_request(self._clock.now())
            body = self._first(req, progress)
            attempt = progress.attempt
            if body is None:
                pieces = self._relay(req, progress)
            else:
                pieces = iter([body])
                self._decisions.end(req.request_id, req.team.name, "It was answered.")
                closing.close()
            return Answer(
                attempt.head.status,
                attempt.head.headers.get("content-type", ""),
                attempt.replayed,
                pieces,
                closing.pop_all(),
            )

    def cancel(self, team: str, request_id: str) -> bool:
        """Cancel a running request of a team.

        Parameters
        ----------
        team : str
            The team; requests of others are not seen.
        request_id : str
            The request.

        Returns
        -------
        bool
            Whether there was one.
        """
        found = self._running.get(request_id)
        if found is None or found[0] != team:
            return False
        if found[1].attempt is not None:
            found[1].attempt.cancel()
        return True

    @contextmanager
    def _listed(self, req: CallerRequest, progress: Progress) -> Iterator[None]:
        self._running[req.request_id] = (req.team.name, progress)
        try:
            yield
        finally:
            self._running.pop(req.request_id, None)

    def _admit(self, req: CallerRequest, closing: ExitStack) -> None:
        held = self._gate.hold(req.team.name, req.share, req.priority)
        try:
            ticket = closing.enter_context(held)
        except Shed as exc:
            self._decisions.end(req.request_id, req.team.name, str(exc))
            raise Problem(
                429, "overloaded", str(exc), retry_after_s=exc.retry_after_s
            ) from exc
        priority = str(engine_priority(ticket))
        req.headers = {**req.headers, PRIORITY_HEADER: priority}

    def _first(self, req: CallerRequest, progress: Progress) -> bytes | None:
        """Make attempts until one answers; return the body of a whole answer."""
        while True:
            try:
                self._attempt(req, progress, req.body)
                if progress.is_stream:
                    return None
                body = progress.attempt.whole()
                self._router.succeeded(progress.target)
                return body
            except AttemptFailed as exc:
                self._fail(req, progress, exc)
            except Problem as exc:
                raise progress.told(exc) from exc

    def _attempt(self, req: CallerRequest, progress: Progress, body: bytes) -> None:
        progress.close()
        progress.number += 1
        progress.target = self._router.choose(req, progress.tried, progress.number)
        progress.attempt = Attempt(req, progress.target, self._clock)
        progress.attempt.open(progress.number, self._config.revision, body)
        if progress.attempt.head.status >= HTTP_SERVER_ERROR and req.idempotent:
            raise AttemptFailed(
                Outcome.UNKNOWN,
                Refusal.BROKEN,
                f"The upstream answered {progress.attempt.head.status}.",
                1.0,
            )

    def _fail(self, req: CallerRequest, progress: Progress, exc: AttemptFailed) -> None:
        """Note a failed attempt; return where another may be made."""
        progress.close()
        progress.uncertain |= exc.outcome != Outcome.NOT_RUN
        self._router.failed(progress.target, exc)
        progress.tried.add(progress.target.instance.upstream)
        if exc.refusal in REROUTED and progress.reroutes < MAX_REROUTES:
            progress.reroutes += 1
            return
        if exc.refusal not in FINAL:
            allowed = self._verdict(req, progress, exc)
            if allowed is RetryDecision.ALLOWED:
                return
            _log.info("no retry", request_id=req.request_id, reason=allowed.value)
        self._decisions.end(req.request_id, req.team.name, exc.detail)
        problem = from_refusal(
            exc.refusal, exc.outcome, exc.detail, retry_after_s=exc.retry_after_s
        )
        raise progress.told(problem) from exc

    def _verdict(
        self, req: CallerRequest, progress: Progress, exc: AttemptFailed
    ) -> RetryDecision:
        known = decision.RequestState(
            attempts=progress.number - progress.reroutes,
            idempotent=req.idempotent,
            deadline=req.deadline,
            bytes_relayed=len(progress.relayed),
            resumable=True,
        )
        return may_retry(exc.outcome, known, self._budget, self._clock.now())

    def _relay(self, req: CallerRequest, progress: Progress) -> Iterator[bytes]:
        result = "The caller left before the end."
        try:
            while True:
                try:
                    yield from self._pieces(progress)
                    break
                except AttemptFailed as exc:
                    if progress.is_done:
                        break
                    last = self._go_on(req, progress, exc)
                    if last is not None:
                        yield last
                        break
            result = "It was answered."
        except Problem as exc:
            result = exc.detail
            yield progress.told(exc).event(req.request_id)
        finally:
            self._decisions.end(req.request_id, req.team.name, result)

    def _pieces(self, progress: Progress) -> Iterator[bytes]:
        for data in progress.attempt.pieces():
            progress.relayed.append(data)
            yield data
        self._router.succeeded(progress.target)

    def _go_on(
        self, req: CallerRequest, progress: Progress, exc: AttemptFailed
    ) -> bytes | None:
        """Begin an attempt that goes on with the stream; return a last event."""
        while True:
            self._fail(req, progress, exc)
            try:
                relayed = b"".join(progress.relayed)
                text, tokens, finished = answered_text(relayed)
                if finished:
                    return DONE_EVENT
                self._attempt(req, progress, continue_body(req.body, text, tokens))
                if not progress.is_stream:
                    raise CannotContinue("the answer is no stream")
                return None
            except AttemptFailed as again:
                exc = again
            except NothingLeft:
                return last_events(relayed)
            except CannotContinue as cause:
                raise Problem(
                    502,
                    "stream-broken",
                    f"The stream broke and can't go on: {cause}.",
                    outcome=Outcome.UNKNOWN,
                ) from exc
