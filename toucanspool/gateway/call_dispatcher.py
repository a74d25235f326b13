"""Admission of calls and dispatch to the relay that forwards them."""

import time
from collections.abc import Callable
from contextlib import ExitStack

from toucanspool.gateway.call import Call, RefusalCause, Refused, Reply
from toucanspool.gateway.relay import Relay
from toucanspool.gateway.stream import StreamRelay
from toucanspool.limits.gate import Gate
from toucanspool.limits.shed import Shed, ShedCause
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
    find_gate : callable
        Takes the name of a service and returns its `Gate`, or None if calls to the
        service aren't limited.

    Attributes
    ----------
    draining : bool
        Whether new calls are refused.
    running : int
        Calls in progress.
    """

    __slots__ = ("_find_gate", "_relay", "_streams", "draining", "running")

    def __init__(
        self,
        relay: Relay,
        streams: StreamRelay,
        find_gate: Callable[[str], Gate | None],
    ) -> None:
        self._relay = relay
        self._streams = streams
        self._find_gate = find_gate
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
        self.running += 1
        closing.callback(self._finish_call)
        self._admit(call, closing)
        if call.route.kind is CallKind.STREAM:
            return self._streams.begin(call, closing)
        return self._relay.forward(call)

    def _admit(self, call: Call, closing: ExitStack) -> None:
        gate = self._find_gate(call.service)
        if gate is None:
            return
        now = time.monotonic()
        try:
            closing.enter_context(gate.hold(call.team, 1.0, -call.priority))
        except Shed as exc:
            self._relay.runner.record_scarcity(call.service)
            left_s = max(0.0, call.deadline.left_s(now))
            retry_s = min(exc.retry_after_s, left_s / 4.0)
            admission = gate.admission
            log_fields = {
                "limit": round(admission.capacity, 1),
                "running": admission.running,
                "waiting": admission.waiting,
            }
            raise Refused(
                _REFUSAL_CAUSES[exc.cause], retry_after_s=retry_s, log_fields=log_fields
            ) from exc

    def _finish_call(self) -> None:
        self.running -= 1
