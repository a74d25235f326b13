"""One call handed over to an agent, from its first check to its last message."""

from collections.abc import Iterator
from typing import Any

import gevent
import structlog
from gevent.lock import Semaphore

from toucanspool.agent._call_hash import call_hash
from toucanspool.agent.gate import CallRefused, Gate
from toucanspool.agent.upstream_client import (
    Reply,
    UpstreamBroken,
    UpstreamClient,
    UpstreamUnreachable,
)
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

# A claimed call is read to its end for the record, also when its caller is gone.
ANSWER_PATIENCE_S = 120.0
MAX_CHUNK_BYTES = 16 * 1024
MAX_RECORDED_BYTES = 8 * 1024 * 1024

_log = structlog.get_logger()


class Call:
    """Run one call in a greenlet of its own.

    Parameters
    ----------
    opened : Open
        The call as handed over.
    conn : Connection
        Where its messages go.
    gate : Gate
        The last check before the upstream.
    upstream : UpstreamClient
        The upstream.
    claims : Claims
        Claims of calls that run at most once.
    clock : Clock
        Time.
    scope : str, default=""
        The service or model: calls of two services are never the same call.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_conn",
        "_credit",
        "_deadline",
        "_gate",
        "_greenlet",
        "_handed_over",
        "_last",
        "_last_batch",
        "_opened",
        "_scope",
        "_sent",
        "_upstream",
    )

    def __init__(
        self,
        opened: Open,
        conn: Connection,
        *,
        gate: Gate,
        upstream: UpstreamClient,
        claims: Claims,
        clock: Clock,
        scope: str = "",
    ) -> None:
        self._opened = opened
        self._conn = conn
        self._gate = gate
        self._scope = scope
        self._upstream = upstream
        self._claims = claims
        self._clock = clock
        self._credit = Semaphore(opened.window)
        self._deadline = Deadline.from_ms(opened.deadline_ms, clock.now())
        self._handed_over = False
        self._sent = 0
        self._last: Chunk | None = None
        self._last_batch = 0
        self._greenlet = gevent.Greenlet(self._run)

    @property
    def guarded(self) -> bool:
        """Whether the call runs at most once."""
        return bool(self._opened.guarded)

    def start(self) -> gevent.Greenlet:
        """Begin, and return the greenlet that runs the call."""
        self._greenlet.start()
        return self._greenlet

    def allow(self, chunks: int) -> None:
        """Let more chunks be sent.

        Parameters
        ----------
        chunks : int
            How many.
        """
        for _ in range(chunks):
            self._credit.release()

    def cancel(self) -> None:
        """End a call whose caller has gone; one that runs at most once goes on."""
        if not self.guarded:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        remaining_s = self._deadline.left_s(self._clock.now())
        try:
            with gevent.Timeout(None if self.guarded else remaining_s):
                self._serve()
        except gevent.Timeout:
            self._end_late()
        except CallRefused as exc:
            self._end(exc)
        except ConnectionLost:
            _log.info("entry left", request_id=self._opened.request_id)

    def _serve(self) -> None:
        self._gate.check(self._opened)
        if self.guarded:
            self._serve_once()
            return
        reply = self._hand_over(self._upstream.send)
        try:
            self._relay(reply)
        finally:
            reply.close()

    def _serve_once(self) -> None:
        opened = self._opened
        try:
            begun = self._claims.begin(
                opened.team,
                opened.idempotency_key,
                f"{opened.request_id}/{opened.attempt}",
                call_hash(self._scope, opened),
                deadline=self._deadline.at,
            )
        except ClaimRefused as exc:
            raise CallRefused(
                exc.outcome,
                exc.refusal,
                exc.detail,
                retry_after_ms=int(exc.retry_after_s * 1000),
            ) from exc
        if isinstance(begun, Replay):
            self._send_whole(begun.response, replayed=True)
        else:
            self._send_whole(self._run_claimed(begun.claim), replayed=False)

    def _run_claimed(self, claim: Claim) -> BufferedResponse:
        try:
            # The claim may have taken long: what was true before may not be now.
            self._gate.check(self._opened)
            with gevent.Timeout(ANSWER_PATIENCE_S, _late_reply()):
                reply = self._hand_over(self._upstream.send_once)
                body = self._whole(reply)
        except CallRefused as exc:
            if exc.outcome == Outcome.NOT_RUN:
                self._claims.release(claim)
            raise
        answer = BufferedResponse(reply.status, reply.headers, body)
        self._claims.finish(claim, answer)
        return answer

    def _hand_over(self, send: Any) -> Reply:
        opened = self._opened
        headers = {**opened.headers, "x-request-id": opened.request_id}
        self._handed_over = True
        try:
            return send(opened.method, opened.path, headers, opened.body)
        except UpstreamUnreachable as exc:
            self._handed_over = False
            raise CallRefused(
                Outcome.NOT_RUN, Refusal.UNREACHABLE, "The upstream did not answer."
            ) from exc
        except UpstreamBroken as exc:
            raise _broken() from exc

    def _read(self, reply: Reply) -> Iterator[bytes]:
        try:
            yield from reply.pieces()
        except UpstreamBroken as exc:
            raise _broken() from exc

    def _whole(self, reply: Reply) -> bytes:
        body = bytearray()
        for piece in self._read(reply):
            body += piece
            if len(body) > MAX_RECORDED_BYTES:
                reply.close()
                raise _broken()
        return bytes(body)

    def _relay(self, reply: Reply) -> None:
        self._send_head(reply.status, reply.headers)
        for piece in self._read(reply):
            if not self._extended(piece):
                self._credit.acquire()
                self._send_chunk(piece)
        self._send_end(replayed=False)

    def _send_whole(self, answer: BufferedResponse, *, replayed: bool) -> None:
        self._send_head(answer.status, dict(answer.headers))
        self._send_chunk(answer.body)
        self._send_end(replayed=replayed)

    def _send_head(self, status: int, headers: dict[str, str]) -> None:
        head = Head(call=self._opened.call, status=status, headers=headers)
        self._conn.send(Frame(head=head))

    def _send_chunk(self, data: bytes) -> None:
        chunk = Chunk(call=self._opened.call, offset=self._sent, data=data)
        self._sent += len(data)
        self._last = chunk
        self._last_batch = self._conn.batch
        self._conn.send(Frame(chunk=chunk))

    def _extended(self, data: bytes) -> bool:
        """Add to the last chunk if it is queued still and short."""
        last = self._last
        if last is None or self._conn.batch != self._last_batch:
            return False
        if len(last.data) + len(data) > MAX_CHUNK_BYTES:
            return False
        last.data += data
        self._sent += len(data)
        return True

    def _send_end(self, *, replayed: bool) -> None:
        end = End(
            call=self._opened.call,
            outcome=Outcome.COMPLETED,
            offset=self._sent,
            replayed=replayed,
        )
        self._conn.send(Frame(end=end))

    def _end_late(self) -> None:
        outcome = Outcome.UNKNOWN if self._handed_over else Outcome.NOT_RUN
        self._end(CallRefused(outcome, Refusal.DEADLINE, "The time was over."))

    def _end(self, exc: CallRefused) -> None:
        end = End(
            call=self._opened.call,
            outcome=exc.outcome,
            offset=self._sent,
            refusal=exc.refusal,
            detail=exc.detail,
            retry_after_ms=exc.retry_after_ms,
        )
        try:
            self._conn.send(Frame(end=end))
        except ConnectionLost:
            _log.info("entry left", request_id=self._opened.request_id)


def _broken() -> CallRefused:
    return CallRefused(
        Outcome.UNKNOWN, Refusal.BROKEN, "The upstream's reply did not come whole."
    )


def _late_reply() -> CallRefused:
    return CallRefused(
        Outcome.UNKNOWN, Refusal.DEADLINE, "The upstream's reply did not come in time."
    )
