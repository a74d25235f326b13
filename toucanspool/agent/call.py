"""Processing of one call at the agent, from its check to its last message."""

from collections.abc import Iterator
from contextlib import closing

import gevent
import structlog
from gevent.lock import Semaphore

from toucanspool.agent._call_hash import call_hash
from toucanspool.agent.gate import CallFailed, Gate, incomplete_reply, late_reply
from toucanspool.agent.upstream_client import (
    Reply,
    UpstreamBroken,
    UpstreamClient,
    UpstreamUnreachable,
)
from toucanspool.backing.reply_memory import REPLY_MEMORY
from toucanspool.limits.memory_budget import MemoryExceeded, join_bounded
from toucanspool.protected.claims import BufferedResponse, Claims, Replay
from toucanspool.protected.clock import Clock
from toucanspool.protected.errors import ClaimRefused
from toucanspool.protected.writes import Claim
from toucanspool.retries.deadline import Deadline
from toucanspool.wire.connection import Connection, ConnectionLost
from toucanspool.wire.gen.messages.ttypes import (
    Chunk,
    End,
    Frame,
    Head,
    Open,
    Outcome,
    Refusal,
)

# Limit for the reply of a claimed call, which is read to its end and recorded even if
# the caller has disconnected.
REPLY_TIMEOUT_S = 120.0
# More than the window of any entry.
MAX_CREDIT = 4096
MAX_CHUNK_BYTES = 16 * 1024
MAX_RECORDED_BYTES = 8 * 1024 * 1024

_log = structlog.get_logger()


class Call:
    """Run one call in a greenlet of its own.

    Parameters
    ----------
    request : Open
        Message that opened the call.
    conn : Connection
        Connection to the entry, which receives the reply.
    gate : Gate
        Check before the call is sent to the upstream.
    upstream : UpstreamClient
        Client of the upstream.
    claims : Claims
        Claims of calls that run at most once.
    clock : Clock
        Source of monotonic time, for the deadline.
    scope : str, default=""
        Service or model; an idempotency key identifies a call only within it.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_conn",
        "_credit",
        "_deadline",
        "_gate",
        "_greenlet",
        "_forwarded",
        "_last_chunk",
        "_last_batch",
        "_request",
        "_scope",
        "_body_offset",
        "_upstream",
    )

    def __init__(
        self,
        request: Open,
        conn: Connection,
        *,
        gate: Gate,
        upstream: UpstreamClient,
        claims: Claims,
        clock: Clock,
        scope: str = "",
    ) -> None:
        self._request = request
        self._conn = conn
        self._gate = gate
        self._scope = scope
        self._upstream = upstream
        self._claims = claims
        self._clock = clock
        self._credit = Semaphore(request.window)
        self._deadline = Deadline.from_ms(request.deadline_ms, clock.now())
        self._forwarded = False
        self._body_offset = 0
        self._last_chunk: Chunk | None = None
        self._last_batch = 0
        self._greenlet = gevent.Greenlet(self._run)

    @property
    def guarded(self) -> bool:
        """Whether the call runs at most once."""
        return bool(self._request.guarded)

    def start(self) -> gevent.Greenlet:
        """Start the call and return its greenlet."""
        self._greenlet.start()
        return self._greenlet

    def add_credit(self, chunks: int) -> None:
        """Raise the number of chunks that may be sent.

        Parameters
        ----------
        chunks : int
            Number of additional chunks.
        """
        for _ in range(min(chunks, MAX_CREDIT)):
            self._credit.release()

    def cancel(self) -> None:
        """Stop the call; one that runs at most once is completed regardless."""
        if not self.guarded:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        remaining_s = self._deadline.left_s(self._clock.now())
        try:
            with gevent.Timeout(None if self.guarded else remaining_s):
                self._handle()
        except gevent.Timeout:
            self._fail(Refusal.DEADLINE, "The time was over.")
        except CallFailed as exc:
            self._send_failure(exc)
        except ConnectionLost:
            _log.info("entry left", request_id=self._request.request_id)
        except Exception:
            # Without a last message, the entry would wait for the call's whole time.
            _log.exception("call failed", request_id=self._request.request_id)
            self._fail(Refusal.BROKEN, "The agent failed at this call.")

    def _handle(self) -> None:
        self._gate.check(self._request)
        if self.guarded:
            self._handle_guarded()
            return
        with closing(self._forward()) as reply:
            self._relay(reply)

    def _handle_guarded(self) -> None:
        request = self._request
        try:
            result = self._claims.begin(
                request.team,
                request.idempotency_key,
                f"{request.request_id}/{request.attempt}",
                call_hash(self._scope, request),
                deadline=self._deadline.at,
            )
        except ClaimRefused as exc:
            raise CallFailed(
                exc.outcome,
                exc.refusal,
                exc.detail,
                retry_after_ms=int(exc.retry_after_s * 1000),
            ) from exc
        if isinstance(result, Replay):
            self._send_response(result.response, replayed=True)
        else:
            self._send_response(self._run_claimed(result.claim), replayed=False)

    def _run_claimed(self, claim: Claim) -> BufferedResponse:
        try:
            # The first check may be out of date, as claiming the call can take long.
            self._gate.check(self._request)
            with (
                gevent.Timeout(REPLY_TIMEOUT_S, late_reply()),
                closing(self._forward()) as reply,
            ):
                body = self._read_body(reply)
        except CallFailed as exc:
            if exc.outcome == Outcome.NOT_RUN:
                self._claims.release(claim)
            raise
        response = BufferedResponse(reply.status, reply.headers, body)
        self._claims.finish(claim, response)
        return response

    def _forward(self) -> Reply:
        request = self._request
        headers = {**request.headers, "x-request-id": request.request_id}
        self._forwarded = True
        try:
            return self._upstream.send(
                request.method, request.path, headers, request.body
            )
        except UpstreamUnreachable as exc:
            self._forwarded = False
            raise CallFailed(
                Outcome.NOT_RUN, Refusal.UNREACHABLE, "The upstream did not answer."
            ) from exc
        except UpstreamBroken as exc:
            raise incomplete_reply() from exc

    def _iter_body(self, reply: Reply) -> Iterator[bytes]:
        try:
            yield from reply.iter_body()
        except UpstreamBroken as exc:
            raise incomplete_reply() from exc

    def _read_body(self, reply: Reply) -> bytes:
        try:
            return join_bounded(
                self._iter_body(reply), MAX_RECORDED_BYTES, REPLY_MEMORY
            )
        except MemoryExceeded as exc:
            raise incomplete_reply() from exc

    def _relay(self, reply: Reply) -> None:
        self._send_head(reply.status, reply.headers, framed=reply.framed)
        for piece in self._iter_body(reply):
            if not self._extend_last_chunk(piece):
                self._credit.acquire()
                self._send_chunk(piece)
        self._send_end(replayed=False)

    def _send_response(self, response: BufferedResponse, *, replayed: bool) -> None:
        self._send_head(response.status, dict(response.headers))
        self._send_chunk(response.body)
        self._send_end(replayed=replayed)

    def _send_head(
        self, status: int, headers: dict[str, str], *, framed: bool = True
    ) -> None:
        call = self._request.call
        head = Head(call=call, status=status, headers=headers, framed=framed)
        self._conn.send(Frame(head=head))

    def _send_chunk(self, data: bytes) -> None:
        chunk = Chunk(call=self._request.call, offset=self._body_offset, data=data)
        self._body_offset += len(data)
        self._last_chunk = chunk
        self._last_batch = self._conn.batch
        self._conn.send(Frame(chunk=chunk))

    def _extend_last_chunk(self, data: bytes) -> bool:
        """Append data to the last chunk if it is still queued and not too long then."""
        last = self._last_chunk
        if last is None or self._conn.batch != self._last_batch:
            return False
        if len(last.data) + len(data) > MAX_CHUNK_BYTES:
            return False
        last.data += data
        self._body_offset += len(data)
        return True

    def _send_end(self, *, replayed: bool) -> None:
        end = End(
            call=self._request.call,
            outcome=Outcome.COMPLETED,
            offset=self._body_offset,
            replayed=replayed,
        )
        self._conn.send(Frame(end=end))

    def _fail(self, refusal: Refusal, detail: str) -> None:
        outcome = Outcome.UNKNOWN if self._forwarded else Outcome.NOT_RUN
        self._send_failure(CallFailed(outcome, refusal, detail))

    def _send_failure(self, exc: CallFailed) -> None:
        end = End(
            call=self._request.call,
            outcome=exc.outcome,
            offset=self._body_offset,
            refusal=exc.refusal,
            detail=exc.detail,
            retry_after_ms=exc.retry_after_ms,
        )
        try:
            self._conn.send(Frame(end=end))
        except ConnectionLost:
            _log.info("entry left", request_id=self._request.request_id)
