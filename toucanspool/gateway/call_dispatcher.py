"""Admission of calls and dispatch to the relay that forwards them."""

import time
from collections.abc import Callable
from contextlib import ExitStack

import gevent

from toucanspool.gateway.call import Call, RefusalCause, Refused, Reply
from toucanspool.gateway.relay import Relay
from toucanspool.gateway.stream import StreamRelay
from toucanspool.limits.shed import Shed, ShedCause
from toucanspool.limits.stream_limiter import StreamLimiter
from toucanspool.routing.routes import CallKind

DRAIN_RETRY_AFTER_S = 0.05

_REFUSAL_CAUSES = {
    ShedCause.FULL: RefusalCause.NO_ROOM,
    ShedCause.WAITED: RefusalCause.WAITED,
}


class CallDispatcher:
    """Admit calls and forward them to upstreams.

    Parameters
    ----------
    relay : Relay
        Forwards calls with a complete reply.
    streams : StreamRelay
        Forwards streams.
    find_limiter : callable
        Takes the name of a service and returns its `StreamLimiter`, or None if calls to
        the service aren't limited.

    Attributes
    ----------
    draining : bool
        Whether new calls are refused.
    running : int
        Calls in progress.
    """

    __slots__ = (
        "_find_limiter",
        "_relay",
        "_streams",
        "draining",
        "running",
    )

    def __init__(
        self,
        relay: Relay,
        streams: StreamRelay,
        find_limiter: Callable[[str], StreamLimiter | None],
    ) -> None:
        self._relay = relay
        self._streams = streams
        self._find_limiter = find_limiter
        self.draining = False
        self.running = 0

    def serve(self, call: Call, closing: ExitStack) -> Reply:
        """Return the reply to a call.

        Parameters
        ----------
        call : Call
            The call.
        closing : ExitStack
            Releases the call's resources; closed by the caller after the body.

        Returns
        -------
        Reply

        Raises
        ------
        Refused
            There is no reply to return.
        """
        if self.draining:
            raise Refused(RefusalCause.DRAINING, retry_after_s=DRAIN_RETRY_AFTER_S)
        self._relay.guard.check(call)
        # Calls that no upstream may take don't wait for admission.
        self._relay.chooser.check_excluded(call)
        self.running += 1
        closing.callback(self._finish_call)
        self._admit(call, closing)
        if call.route.kind is CallKind.STREAM:
            return self._streams.begin(call, closing)
        return self._relay.forward(call)

    def _admit(self, call: Call, closing: ExitStack) -> None:
        limiter = self._find_limiter(call.service)
        if limiter is None:
            return
        now = time.monotonic()
        try:
            closing.enter_context(limiter.hold(call.team, call.urgency))
        except gevent.Timeout as exc:
            # The call's time is over, and no upstream has received it.
            raise Refused(RefusalCause.DEADLINE) from exc
        except Shed as exc:
            self._relay.runner.record_scarcity(call.service)
            left_s = max(0.0, call.deadline.left_s(now))
            retry_s = min(exc.retry_after_s, left_s / 4.0)
            log_fields = {
                "limit": round(limiter.capacity, 1),
                "running": limiter.running,
                "waiting": limiter.waiting,
                "urgency": call.urgency,
            }
            raise Refused(
                _REFUSAL_CAUSES[exc.cause], retry_after_s=retry_s, log_fields=log_fields
            ) from exc

    def _finish_call(self) -> None:
        self.running -= 1
