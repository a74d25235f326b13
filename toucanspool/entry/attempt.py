"""One attempt to run a request on one upstream."""

from collections.abc import Iterator

from toucanspool.entry.caller_request import CallerRequest
from toucanspool.entry.directory import Target
from toucanspool.entry.linked_call import CallTimeout, LinkedCall
from toucanspool.limits.memory_budget import (
    MemoryBudget,
    MemoryExceeded,
    join_bounded,
)
from toucanspool.protected.clock import Clock
from toucanspool.wire.connection import ConnectionLost
from toucanspool.wire.gen.messages.ttypes import (
    Chunk,
    End,
    Head,
    Open,
    Outcome,
    Refusal,
)

MS_PER_S = 1000
MAX_BODY_BYTES = 32 * 1024 * 1024
# Two of the largest replies may arrive at a time.
WHOLE_REPLIES = MemoryBudget(128 * 1024 * 1024)


class AttemptFailed(Exception):
    """Report that an attempt failed before a complete reply.

    Parameters
    ----------
    outcome : int
        One of `Outcome`: whether the upstream may have run the request.
    refusal : int
        One of `Refusal`: cause of the failure.
    detail : str
        Description for the caller, in a sentence.
    retry_after_s : float
        Time after which the caller may retry, in seconds; 0 if it shouldn't.
    """

    def __init__(
        self, outcome: int, refusal: int, detail: str, retry_after_s: float
    ) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.refusal = refusal
        self.detail = detail
        self.retry_after_s = retry_after_s


class Attempt:
    """Send a request to an upstream's agent and read the reply; must be closed.

    Parameters
    ----------
    req : CallerRequest
        Request to send.
    target : Target
        Upstream to send it to.
    clock : Clock
        Clock for the deadline.

    Attributes
    ----------
    head : Head
        Status and headers of the reply; set by `open`.
    bytes_received : int
        Bytes of the body received so far.
    replayed : bool
        Whether the reply was recorded earlier; set at the end of the body.
    """

    __slots__ = (
        "_call",
        "_clock",
        "_req",
        "_target",
        "bytes_received",
        "head",
        "replayed",
    )

    def __init__(self, req: CallerRequest, target: Target, clock: Clock) -> None:
        self._req = req
        self._target = target
        self._clock = clock
        self._call: LinkedCall | None = None
        self.head = Head()
        self.bytes_received = 0
        self.replayed = False

    def open(self, number: int, revision: int, body: bytes) -> None:
        """Send the request and wait for the head of the reply.

        Parameters
        ----------
        number : int
            Number of the attempt, from 1.
        revision : int
            Revision of the configuration in this process.
        body : bytes
            Body to send; when a stream is resumed, it differs from the request's.

        Raises
        ------
        AttemptFailed
            The reply has no head.
        """
        try:
            self._call = self._target.link.open(
                self._open_message(number, revision, body)
            )
        except ConnectionLost as exc:
            raise AttemptFailed(
                Outcome.NOT_RUN,
                Refusal.UNREACHABLE,
                "The upstream's agent did not answer.",
                1.0,
            ) from exc
        self._target.candidate.in_flight += 1
        self._target.candidate.sent_since_report += 1
        message = self._next_message()
        if not isinstance(message, Head):
            raise self._failure(message)
        self.head = message

    def iter_body(self) -> Iterator[bytes]:
        """Yield the chunks of the reply's body.

        Yields
        ------
        bytes

        Raises
        ------
        AttemptFailed
            The body is incomplete.
        """
        while True:
            message = self._next_message()
            if isinstance(message, Chunk):
                if message.offset != self.bytes_received:
                    raise self._inconsistent_reply()
                self.bytes_received += len(message.data)
                yield message.data
                continue
            if message.outcome != Outcome.COMPLETED:
                raise self._failure(message)
            if message.offset != self.bytes_received:
                raise self._inconsistent_reply()
            self.replayed = bool(message.replayed)
            return

    def read_body(self) -> bytes:
        """Return the reply's complete body.

        Returns
        -------
        bytes

        Raises
        ------
        AttemptFailed
            The body is incomplete, or too large to be held.
        """
        try:
            return join_bounded(self.iter_body(), MAX_BODY_BYTES, WHOLE_REPLIES)
        except MemoryExceeded as exc:
            raise AttemptFailed(
                Outcome.UNKNOWN,
                Refusal.BROKEN,
                f"The answer can't be held: {exc}.",
                0.0,
            ) from exc

    def cancel(self) -> None:
        """Cancel the call; a waiting reader fails with `Refusal.CANCELLED`."""
        if self._call is not None:
            self._call.cancel()

    def close(self) -> None:
        """Cancel the call if it has not ended; may be called repeatedly."""
        if self._call is not None:
            self._call.close()
            self._call = None
            self._target.candidate.in_flight -= 1

    def _open_message(self, number: int, revision: int, body: bytes) -> Open:
        req = self._req
        return Open(
            request_id=req.request_id,
            attempt=number,
            team=req.team.name,
            upstream=self._target.instance.upstream,
            method=req.method,
            path=req.path,
            headers=dict(req.headers),
            body=body,
            deadline_ms=req.deadline.left_ms(self._clock.now()),
            idempotency_key=req.idempotency_key,
            guarded=req.guarded,
            priority=req.priority,
            revision=revision,
        )

    def _next_message(self) -> Head | Chunk | End:
        assert self._call is not None
        try:
            return self._call.next(self._req.deadline.left_s(self._clock.now()))
        except CallTimeout as exc:
            raise AttemptFailed(
                Outcome.UNKNOWN,
                Refusal.DEADLINE,
                "The answer did not come before the deadline.",
                0.0,
            ) from exc

    def _failure(self, message: Head | Chunk | End) -> AttemptFailed:
        if not isinstance(message, End) or message.refusal is None:
            return self._inconsistent_reply()
        return AttemptFailed(
            message.outcome,
            message.refusal,
            message.detail,
            message.retry_after_ms / MS_PER_S,
        )

    def _inconsistent_reply(self) -> AttemptFailed:
        return AttemptFailed(
            Outcome.UNKNOWN,
            Refusal.BROKEN,
            "The answer's pieces did not fit together.",
            0.0,
        )
