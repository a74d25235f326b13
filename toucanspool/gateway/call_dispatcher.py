"""Admission of calls and dispatch to the relay that forwards them."""

import time
from collections.abc import Callable
from contextlib import ExitStack

import gevent

from toucanspool.gateway.call import Call, RefusalCause, Refused, Reply
from toucanspool.gateway.relay import DRAIN_RETRY_AFTER_S, Relay
from toucanspool.gateway.stream import StreamRelay
from toucanspool.limits.graceful_stop import GracefulStop, StopTimeUp
from toucanspool.limits.shed import Shed, ShedCause
from toucanspool.limits.stream_limiter import StreamLimiter
from toucanspool.routing.routes import CallKind

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
    graceful_stop : GracefulStop
        Decides which calls are accepted once this entry stops.

    Attributes
    ----------
    draining : bool
        Whether all new calls are refused.
    graceful_stop : GracefulStop
        As the parameter.
    running : int
        Calls in progress.
    """

    __slots__ = (
        "_find_limiter",
        "_relay",
        "_streams",
        "draining",
        "graceful_stop",
        "running",
    )

    def __init__(
        self,
        relay: Relay,
        streams: StreamRelay,
        find_limiter: Callable[[str], StreamLimiter | None],
        graceful_stop: GracefulStop,
    ) -> None:
        self.graceful_stop = graceful_stop
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
        self._check_stop(call)
        self._relay.guard.check(call)
        # Calls that no upstream may take don't wait for admission.
        self._relay.chooser.check_excluded(call)
        self.running += 1
        closing.callback(self._finish_call)
        with self.graceful_stop.answering():
            self._admit(call, closing)
            # The stop may have begun while the call waited.
            self._check_stop(call)
            return self._forward(call, closing)

    def _check_stop(self, call: Call) -> None:
        accepted = self.graceful_stop.accepts(call.deadline, time.monotonic())
        if self.draining or not accepted:
            raise Refused(RefusalCause.DRAINING, retry_after_s=DRAIN_RETRY_AFTER_S)

    def _forward(self, call: Call, closing: ExitStack) -> Reply:
        try:
            if call.route.kind is CallKind.STREAM:
                return self._streams.begin(call, closing)
            return self._relay.forward(call)
        except StopTimeUp as exc:
            raise Refused(RefusalCause.DRAINING, may_have_run=True) from exc

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
        except StopTimeUp as exc:
            raise Refused(
                RefusalCause.DRAINING, retry_after_s=DRAIN_RETRY_AFTER_S
            ) from exc
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
