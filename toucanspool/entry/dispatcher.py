"""Dispatching of requests: admission, routing, attempts and replies."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from toucanspool.config.service import ConfigService
from toucanspool.entry.attempt import Attempt, AttemptFailed
from toucanspool.entry.caller_request import CallerRequest
from toucanspool.entry.continuation import (
    CannotContinue,
    TokenLimitReached,
    final_events,
    generated_text,
    resume_body,
)
from toucanspool.entry.decision_log import DecisionLog
from toucanspool.entry.failures import FailureHandler
from toucanspool.entry.problems import Problem
from toucanspool.entry.progress import Progress
from toucanspool.entry.reply import Reply
from toucanspool.entry.router import Router
from toucanspool.entry.stopping import answering, check_accepted
from toucanspool.kernel.kernel import Kernel
from toucanspool.limits.admission import Admission
from toucanspool.limits.gate import Gate, wake
from toucanspool.limits.graceful_stop import GracefulStop
from toucanspool.limits.shed import Shed
from toucanspool.limits.ticket import engine_priority
from toucanspool.protected.clock import MonotonicClock
from toucanspool.retries.budget import RetryBudget
from toucanspool.settings.settings import Entry
from toucanspool.wire.events import DONE_EVENT
from toucanspool.wire.gen.messages.ttypes import Head, Outcome, Refusal
from toucanspool.wire.http_server import ReplyCutOff

MIN_SERVER_ERROR_STATUS = 500
PRIORITY_HEADER = "x-priority"


class Dispatcher:
    """Send requests to upstreams and relay the replies.

    Parameters
    ----------
    cfg : Entry
        Settings of the entry role.
    decision_log : DecisionLog
        Log for the results of requests.

    Attributes
    ----------
    graceful_stop : GracefulStop
        Decides which requests are accepted once this entry stops.
    """

    __slots__ = (
        "_budget",
        "_cfg",
        "_clock",
        "_config",
        "_decision_log",
        "_failures",
        "_gate",
        "_router",
        "_running_requests",
        "graceful_stop",
    )

    def __init__(self, cfg: Entry, decision_log: DecisionLog) -> None:
        self._cfg = cfg
        self._clock = MonotonicClock()
        self._decision_log = decision_log
        self._running_requests: dict[str, tuple[str, Progress]] = {}
        self.graceful_stop = GracefulStop()

    @property
    def running(self) -> int:
        """Return the number of admitted requests."""
        return self._gate.admission.running

    def start(self, kernel: Kernel) -> None:
        """Find the services it depends on; see `Service`."""
        self._router: Router = kernel.find("router")
        self._config: ConfigService = kernel.find("config")
        rng = kernel.find("rng").named("admission")
        admission = Admission(float(self._cfg.max_in_flight), rng, on_settled=wake)
        self._gate = Gate(admission)
        self._budget = RetryBudget(self._clock.now(), fraction=self._cfg.retry_ratio)
        self._failures = FailureHandler(
            self._router,
            self._budget,
            self._clock,
            self._decision_log,
            self.graceful_stop,
        )

    def stop(self) -> None:
        """Do nothing: the HTTP service waits for requests; see `Service`."""

    def dispatch(self, req: CallerRequest) -> Reply:
        """Admit a request and return its reply, which must be closed.

        Parameters
        ----------
        req : CallerRequest
            Request to dispatch.

        Returns
        -------
        Reply

        Raises
        ------
        Problem
            The request was shed or failed.
        """
        self._check_stop(req)
        progress = Progress()
        with ExitStack() as closing:
            with answering(self.graceful_stop, req, progress, self._decision_log):
                self._admit(req, closing)
                # The stop may have begun while the request waited.
                self._check_stop(req)
                closing.callback(progress.close)
                closing.enter_context(self._track(req, progress))
                self._budget.record_request(self._clock.now())
                body = self._start_reply(req, progress)
            attempt, head = progress.attempt, progress.attempt.head
            if body is None:
                chunks = self._relay(req, progress)
            else:
                chunks = iter([body])
                self._decision_log.record_result(
                    req.request_id, req.team.name, "It was answered."
                )
                closing.close()
            return Reply(
                head,
                head.framed or req.streamed,
                attempt.replayed,
                chunks,
                closing.pop_all(),
            )

    def cancel(self, team: str, request_id: str) -> bool:
        """Cancel a running request of a team.

        Parameters
        ----------
        team : str
            The calling team; requests of other teams are ignored.
        request_id : str
            Id of the request.

        Returns
        -------
        bool
            Whether the team has such a running request.
        """
        found = self._running_requests.get(request_id)
        if found is None or found[0] != team:
            return False
        if found[1].attempt is not None:
            found[1].attempt.cancel()
        return True

    def _check_stop(self, req: CallerRequest) -> None:
        now = self._clock.now()
        check_accepted(self.graceful_stop, req, now, self._decision_log)

    @contextmanager
    def _track(self, req: CallerRequest, progress: Progress) -> Iterator[None]:
        self._running_requests[req.request_id] = (req.team.name, progress)
        try:
            yield
        finally:
            self._running_requests.pop(req.request_id, None)

    def _admit(self, req: CallerRequest, closing: ExitStack) -> None:
        admission = self._gate.hold(req.team.name, req.share, req.priority)
        try:
            ticket = closing.enter_context(admission)
        except Shed as exc:
            self._decision_log.record_result(req.request_id, req.team.name, str(exc))
            raise Problem(
                429, "overloaded", str(exc), retry_after_s=exc.retry_after_s
            ) from exc
        priority = str(engine_priority(ticket))
        req.headers = {**req.headers, PRIORITY_HEADER: priority}

    def _start_reply(self, req: CallerRequest, progress: Progress) -> bytes | None:
        """Make attempts until one replies; return the body unless it is a stream."""
        while True:
            try:
                self._new_attempt(req, progress, req.body)
                if progress.is_stream:
                    return None
                body = progress.attempt.read_body()
                self._router.record_success(progress.target)
                return body
            except AttemptFailed as exc:
                self._failures.handle(req, progress, exc)
            except Problem as exc:
                raise progress.with_outcome(exc) from exc

    def _new_attempt(self, req: CallerRequest, progress: Progress, body: bytes) -> None:
        progress.close()
        progress.attempts += 1
        progress.target = self._router.choose(req, progress.excluded, progress.attempts)
        progress.attempt = Attempt(req, progress.target, self._clock)
        progress.attempt.open(progress.attempts, self._config.revision, body)
        if progress.attempt.head.status >= MIN_SERVER_ERROR_STATUS and req.idempotent:
            raise AttemptFailed(
                Outcome.UNKNOWN,
                Refusal.BROKEN,
                f"The upstream answered {progress.attempt.head.status}.",
                1.0,
            )

    def _relay(self, req: CallerRequest, progress: Progress) -> Iterator[bytes]:
        result = "The caller left before the end."
        head = progress.attempt.head
        try:
            while True:
                try:
                    yield from self._relay_attempt(req, progress)
                    break
                except AttemptFailed as exc:
                    if progress.is_complete:
                        break
                    final_chunk = self._resume_stream(req, progress, exc, head)
                    if final_chunk is not None:
                        yield final_chunk
                        break
            result = "It was answered."
        except Problem as exc:
            result = exc.detail
            if not req.streamed:
                # Only chat streams have events for errors.
                raise ReplyCutOff from exc
            yield progress.with_outcome(exc).event(req.request_id)
        finally:
            progress.relayed.close()
            self._decision_log.record_result(req.request_id, req.team.name, result)

    def _relay_attempt(self, req: CallerRequest, progress: Progress) -> Iterator[bytes]:
        for data in progress.attempt.iter_body():
            progress.relayed.add(data, resumable=req.streamed)
            yield data
        progress.check_end(streamed=req.streamed)
        self._router.record_success(progress.target)

    def _resume_stream(
        self,
        req: CallerRequest,
        progress: Progress,
        exc: AttemptFailed,
        head: Head,
    ) -> bytes | None:
        """Resume a broken stream; return its end if no text is missing.

        The caller has got `head`, so only replies with the same one may go on.
        """
        while True:
            self._failures.handle(req, progress, exc)
            try:
                if progress.relayed.count and not req.streamed:
                    raise CannotContinue("it is no chat stream")
                relayed = progress.relayed.text()
                text, tokens, finished = generated_text(relayed)
                if finished:
                    return DONE_EVENT
                self._new_attempt(req, progress, resume_body(req.body, text, tokens))
                _check_continued(head, progress, streamed=req.streamed)
                return None
            except AttemptFailed as resume_failure:
                exc = resume_failure
            except TokenLimitReached:
                return final_events(relayed)
            except CannotContinue as cause:
                raise Problem(
                    502,
                    "stream-broken",
                    f"The stream broke and can't go on: {cause}.",
                    outcome=Outcome.UNKNOWN,
                ) from exc


def _check_continued(head: Head, progress: Progress, *, streamed: bool) -> None:
    """Raise unless the current reply may go on with a stream that began with a head.

    Chat streams have an end marker of their own; others need the same framing.
    """
    other = progress.attempt.head
    if not progress.is_stream or other.status != head.status:
        raise CannotContinue("the answer is no stream")
    if not streamed and bool(other.framed) != bool(head.framed):
        raise CannotContinue("the answer is framed differently")
