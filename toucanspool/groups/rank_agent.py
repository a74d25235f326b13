"""The agent of one rank: the only way by which orders reach its engine."""

from typing import Protocol

from gevent.lock import RLock

from toucanspool.groups.engine import (
    NO_MAP,
    Engine,
    EngineRefused,
    EngineState,
    EngineUnavailable,
)
from toucanspool.groups.fence import FenceGate, FenceSource
from toucanspool.platform.table import TableError
from toucanspool.wire.gen.messages.ttypes import (
    Order,
    OrderKind,
    OrderReply,
    OrderResult,
)


class OrderHandler(Protocol):
    """Carry out orders."""

    def handle(self, order: Order) -> OrderReply:
        """Carry out an order and return the reply.

        Parameters
        ----------
        order : Order
            The order.

        Returns
        -------
        OrderReply
        """
        ...


class RankAgent:
    """Check each order and carry it out on one rank's engine.

    The engine's own state decides what an order may do, never the agent's memory of
    earlier orders, since an engine restarts without telling its agent.

    Parameters
    ----------
    engine : Engine
        The rank's engine.
    fences : FenceSource
        Where the highest recorded fencing token is read after a start.
    """

    __slots__ = ("_engine", "_fences", "_gate", "_lock")

    def __init__(self, *, engine: Engine, fences: FenceSource) -> None:
        self._engine = engine
        self._fences = fences
        self._gate = FenceGate()
        self._lock = RLock()

    def handle(self, order: Order) -> OrderReply:
        """Carry out an order; see `OrderHandler`."""
        # One order at a time: between its check and its effect no other may pass.
        with self._lock:
            return self._handle(order)

    def _handle(self, order: Order) -> OrderReply:
        result = self._check(order)
        detail = ""
        if result == OrderResult.OK:
            try:
                result, detail = self._carry_out(order)
            except EngineRefused as exc:
                result, detail = OrderResult.NOT_READY, exc.reason
            except EngineUnavailable as exc:
                return self._reply(order, OrderResult.UNREACHABLE, None, str(exc))
        try:
            state = self._engine.state()
        except EngineUnavailable as exc:
            return self._reply(order, OrderResult.UNREACHABLE, None, str(exc))
        return self._reply(order, result, state, detail)

    def _check(self, order: Order) -> int:
        if order.kind == OrderKind.STATUS:
            return OrderResult.OK
        if not self._gate.ready:
            self._read_back()
        return self._gate.admit(order.fence, order.call)

    def _read_back(self) -> None:
        try:
            self._gate.open(self._fences.highest())
        except TableError:
            return

    def _carry_out(self, order: Order) -> tuple[int, str]:
        if order.kind == OrderKind.LOAD:
            return self._load(order)
        if order.kind == OrderKind.HOLD:
            return self._hold(order)
        if order.kind == OrderKind.SWITCH:
            return self._switch(order)
        if order.kind == OrderKind.RESUME:
            return self._resume(order)
        return OrderResult.OK, ""

    def _load(self, order: Order) -> tuple[int, str]:
        state = self._engine.state()
        if order.version in (state.version, state.spare):
            return OrderResult.OK, ""
        self._engine.load(order.version, order.experts, order.fence)
        return OrderResult.NOT_READY, "loading"

    def _hold(self, order: Order) -> tuple[int, str]:
        self._engine.hold(order.fence)
        if self._engine.state().held:
            return OrderResult.OK, ""
        return OrderResult.NOT_READY, "in a step"

    def _switch(self, order: Order) -> tuple[int, str]:
        state = self._engine.state()
        if not state.held:
            return OrderResult.NOT_READY, "not held"
        if order.version == state.version:
            return OrderResult.OK, ""
        if order.version != state.spare:
            return OrderResult.NOT_READY, "not loaded"
        self._engine.switch(order.version, order.fence)
        return OrderResult.OK, ""

    def _resume(self, order: Order) -> tuple[int, str]:
        state = self._engine.state()
        if order.version != state.version or order.version == NO_MAP:
            return OrderResult.NOT_READY, "on another map"
        self._engine.resume(order.fence)
        return OrderResult.OK, ""

    def _reply(
        self, order: Order, result: int, state: EngineState | None, detail: str
    ) -> OrderReply:
        return OrderReply(
            call=order.call,
            result=result,
            fence=self._gate.fence,
            version=state.version if state else NO_MAP,
            loaded=state.spare if state else NO_MAP,
            held=state.held if state else False,
            step=state.step if state else 0,
            detail=detail,
        )
