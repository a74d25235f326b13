"""The agent of one rank; all orders to the rank's engine pass through it."""

from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.lock import BoundedSemaphore

from toucanspool.backing.table import TableError
from toucanspool.groups.engine import (
    NO_MAP,
    Engine,
    EngineRefused,
    EngineState,
    EngineUnavailable,
)
from toucanspool.groups.fence import FenceGate, FenceSource
from toucanspool.wire.gen.messages.ttypes import (
    Order,
    OrderKind,
    OrderReply,
    OrderResult,
)

MAX_HOLD_POLLS = 50
HOLD_POLL_INTERVAL_S = 0.002
LOCK_TIMEOUT_S = 0.5


class OrderHandler(Protocol):
    """Execute orders."""

    def handle(self, order: Order) -> OrderReply:
        """Execute an order and return the reply.

        Parameters
        ----------
        order : Order
            The order to execute.

        Returns
        -------
        OrderReply
        """
        ...


class RankAgent:
    """Check each order and execute it on one rank's engine.

    Whether an order is valid depends on the engine's current state, never on earlier
    orders that the agent has seen, since an engine can restart without notifying its
    agent.

    Parameters
    ----------
    engine : Engine
        The rank's engine.
    fence_source : FenceSource
        Returns the highest recorded fencing token, which the agent reads on startup.
    sleep : callable, default=gevent.sleep
        Blocks for a number of seconds.
    """

    __slots__ = ("_engine", "_fence_source", "_gate", "_lock", "_sleep")

    def __init__(
        self,
        *,
        engine: Engine,
        fence_source: FenceSource,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        self._engine = engine
        self._fence_source = fence_source
        self._sleep = sleep
        self._gate = FenceGate()
        self._lock = BoundedSemaphore()

    def handle(self, order: Order) -> OrderReply:
        """Execute an order; see `OrderHandler`."""
        # Orders are serialized, so that none takes effect between the check and the
        # effect of another. While a slow engine executes an order, others are
        # rejected.
        if not self._lock.acquire(timeout=LOCK_TIMEOUT_S):
            return self._reply(order, OrderResult.UNREACHABLE, None, "engine is busy")
        try:
            return self._handle_locked(order)
        finally:
            self._lock.release()

    def read_recorded_fence(self) -> None:
        """Read the highest fencing token from the table, if the table is available.

        Call this on startup. Otherwise the first order triggers the read, and that
        order is rejected if it carries the token just recorded.
        """
        try:
            self._gate.open(self._fence_source.highest_fence())
        except TableError:
            return

    def _handle_locked(self, order: Order) -> OrderReply:
        result = self._check_fence(order)
        detail = ""
        if result == OrderResult.OK:
            try:
                result, detail = self._execute(order)
            except EngineRefused as exc:
                result, detail = OrderResult.NOT_READY, exc.reason
            except EngineUnavailable as exc:
                return self._reply(order, OrderResult.UNREACHABLE, None, str(exc))
        try:
            state = self._engine.state()
        except EngineUnavailable as exc:
            return self._reply(order, OrderResult.UNREACHABLE, None, str(exc))
        return self._reply(order, result, state, detail)

    def _check_fence(self, order: Order) -> int:
        if order.kind == OrderKind.STATUS:
            return OrderResult.OK
        if not self._gate.ready:
            self.read_recorded_fence()
        return self._gate.admit(order.fence, order.call)

    def _execute(self, order: Order) -> tuple[int, str]:
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
        if order.version in (state.version, state.staged_version):
            return OrderResult.OK, ""
        self._engine.load(order.version, order.experts, order.fence)
        return OrderResult.NOT_READY, "loading"

    def _hold(self, order: Order) -> tuple[int, str]:
        self._engine.hold(order.fence)
        for _ in range(MAX_HOLD_POLLS):
            if self._engine.state().held:
                return OrderResult.OK, ""
            self._sleep(HOLD_POLL_INTERVAL_S)
        return OrderResult.NOT_READY, "in a step"

    def _switch(self, order: Order) -> tuple[int, str]:
        state = self._engine.state()
        if not state.held:
            return OrderResult.NOT_READY, "not held"
        if order.version == state.version:
            return OrderResult.OK, ""
        if order.version != state.staged_version:
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
            loaded=state.staged_version if state else NO_MAP,
            held=state.held if state else False,
            step=state.step if state else 0,
            detail=detail,
            rank=order.rank,
            order_fence=order.fence,
        )
