"""The way of a call through an entry: admission, attempts, and the reply."""

import time
from collections.abc import Callable
from contextlib import ExitStack

from toucanspool.gateway.call import Call, RefusalCause, Refused, Reply
from toucanspool.gateway.relay import Relay
from toucanspool.gateway.stream import StreamRelay
from toucanspool.limits.gate import Gate
from toucanspool.limits.shed import Shed, ShedCause
from toucanspool.routing.routes import CallKind

DRAIN_RETRY_S = 0.05

_CAUSES = {
    ShedCause.FULL: RefusalCause.NO_ROOM,
    ShedCause.WAITED: RefusalCause.WAITED,
}


class CallDispatcher:
    """Admit calls and have them carried out.

    Parameters
    ----------
    relay : Relay
        Carries calls that are answered in one piece.
    streams : StreamRelay
        Carries streams.
    gate_of : callable
        Takes the name of a service and returns its `Gate`, or None where calls of
        the service are not limited.

    Attributes
    ----------
    draining : bool
        Whether new calls are turned away.
    running : int
        Calls under way.
    """

    __slots__ = ("_gate_of", "_relay", "_streams", "draining", "running")

    def __init__(
        self,
        relay: Relay,
        streams: StreamRelay,
        gate_of: Callable[[str], Gate | None],
    ) -> None:
        self._relay = relay
        self._streams = streams
        self._gate_of = gate_of
        self.draining = False
        self.running = 0

    def serve(self, call: Call, closing: ExitStack) -> Reply:
        """Return the reply to a call.

        Parameters
        ----------
        call : Call
            The call.
        closing : ExitStack
            Closed after the end of the reply's body.

        Returns
        -------
        Reply

        Raises
        ------
        Refused
            There is no reply.
        """
        if self.draining:
            raise Refused(RefusalCause.DRAINING, retry_after_s=DRAIN_RETRY_S)
        self.running += 1
        closing.callback(self._ended)
        self._admit(call, closing)
        if call.route.kind is CallKind.STREAM:
            return self._streams.begin(call, closing)
        return self._relay.whole(call)

    def _admit(self, call: Call, closing: ExitStack) -> None:
        gate = self._gate_of(call.service)
        if gate is None:
            return
        now = time.monotonic()
        try:
            closing.enter_context(gate.hold(call.team, 1.0, -call.priority))
        except Shed as exc:
            left_s = max(0.0, call.deadline.left_s(now))
            retry_s = min(exc.retry_after_s, left_s / 4.0)
            admission = gate.admission
            log_fields = {
                "limit": round(admission.capacity, 1),
                "running": admission.running,
                "waiting": admission.waiting,
            }
            raise Refused(
                _CAUSES[exc.cause], retry_after_s=retry_s, log_fields=log_fields
            ) from exc

    def _ended(self) -> None:
        self.running -= 1
