"""Client and server side of requests from a coordinator to rank agents."""

import itertools
import time
from collections.abc import Callable
from typing import Protocol

import gevent
import structlog
from gevent.event import AsyncResult
from gevent.pool import Pool

from toucanspool.groups.fenced_engine import HOLD_ACTIONS, FencedEngine
from toucanspool.wire.connection import Connection, ConnectionLost, connect
from toucanspool.wire.gen.messages.ttypes import (
    Frame,
    RankAnswer,
    RankAsk,
)

CONNECT_TIMEOUT_S = 0.25
# Agents answer within milliseconds; the timeout allows one retransmission.
ANSWER_TIMEOUT_S = 0.3
# After a failed call, requests bypass the agent for this long.
AGENT_RETRY_S = 1.0
# Requests that are answered at a time on one connection.
MAX_REPLIES = 32

_log = structlog.get_logger()


class NoAnswer(Exception):
    """Report a request without an answer; it may be carried out, now or later."""


class RankLink(Protocol):
    """Send requests to one rank."""

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Send a request to the rank's agent; raise `NoAnswer` if it gets none.

        The agent gets `transfer_s` seconds more to answer than usual.
        """
        ...


class RankClient:
    """Send requests to the agent of one rank; implements `RankLink` and `Receiver`.

    Parameters
    ----------
    host : str
        IP address of the agent.
    port : int
        Port of the agent.
    engine : FencedEngine
        Connects to the rank's engine directly, for use while its agent does not
        answer. Such orders cost more, and their token isn't checked.
    """

    __slots__ = (
        "_calls",
        "_conn",
        "_engine",
        "_host",
        "_port",
        "_bypass_until",
        "_pending",
    )

    def __init__(self, host: str, port: int, engine: FencedEngine) -> None:
        self._host = host
        self._port = port
        self._engine = engine
        self._bypass_until = 0.0
        self._conn: Connection | None = None
        self._calls = itertools.count(1)
        self._pending: dict[int, AsyncResult] = {}

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Send a request, directly to the engine if the agent does not answer.

        Parameters
        ----------
        request : RankAsk
            The request; its call number is set here.
        transfer_s : float, default=0.0
            Time that the network needs for the request, the answer and those of other
            ranks at the same time, in seconds.

        Returns
        -------
        RankAnswer

        Raises
        ------
        NoAnswer
            No answer came.
        """
        if time.monotonic() < self._bypass_until:
            return self._send_to_engine(request)
        try:
            return self._send_to_agent(request, ANSWER_TIMEOUT_S + transfer_s)
        except NoAnswer as exc:
            _log.info("rank agent did not answer", host=self._host, error=str(exc))
            self._bypass_until = time.monotonic() + AGENT_RETRY_S
            return self._send_to_engine(request)

    def _send_to_engine(self, request: RankAsk) -> RankAnswer:
        if request.action in HOLD_ACTIONS:
            raise NoAnswer("only an engine's agent may hold a pass")
        answer = self._engine.answer(request)
        if answer.rank < 0:
            raise NoAnswer(answer.detail)
        return answer

    def _send_to_agent(self, request: RankAsk, timeout_s: float) -> RankAnswer:
        request.call = next(self._calls)
        pending = self._pending[request.call] = AsyncResult()
        try:
            self._connection().send(Frame(rank_ask=request))
            return pending.get(timeout=timeout_s)
        except ConnectionLost as exc:
            raise NoAnswer(str(exc)) from exc
        except gevent.Timeout as exc:
            # The connection may be dead, so the next request opens a new one.
            self.close()
            raise NoAnswer("no answer in time") from exc
        finally:
            self._pending.pop(request.call, None)

    def received(self, conn: Connection, frame: Frame) -> None:
        """Resolve the pending request with its answer; see `Receiver`."""
        answer = frame.rank_answer
        if answer is not None and (pending := self._pending.get(answer.call)):
            pending.set(answer)

    def lost(self, conn: Connection) -> None:
        """Fail all pending requests; see `Receiver`."""
        if conn is not self._conn:
            return
        self._conn = None
        for pending in self._pending.values():
            pending.set_exception(ConnectionLost("the connection was closed"))

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()

    def _connection(self) -> Connection:
        if self._conn is None or self._conn.closed:
            self._conn = connect(
                self._host, self._port, self, timeout_s=CONNECT_TIMEOUT_S
            )
        return self._conn


class LocalLink:
    """Send requests to the engine beside this process; implements `RankLink`."""

    __slots__ = ("_fenced_engine",)

    def __init__(self, fenced_engine: FencedEngine) -> None:
        self._fenced_engine = fenced_engine

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Execute a request; see `RankLink`."""
        return self._fenced_engine.answer(request)


class RequestReceiver:
    """Answer the requests on one connection; implements `Receiver`.

    Parameters
    ----------
    answer : callable
        Takes a `RankAsk` and returns a `RankAnswer`.
    """

    __slots__ = ("_answer", "_replies")

    def __init__(self, answer: Callable[[RankAsk], RankAnswer]) -> None:
        self._answer = answer
        self._replies = Pool(MAX_REPLIES)

    def received(self, conn: Connection, frame: Frame) -> None:
        """Answer a request in its own greenlet; see `Receiver`."""
        if frame.rank_ask is None:
            return
        if frame.rank_ask.token is None or frame.rank_ask.action is None:
            # No coordinator sends this.
            conn.close()
        else:
            # Waits if there are too many; the coordinator asks one thing at a time.
            self._replies.spawn(self._reply, conn, frame.rank_ask)

    def lost(self, conn: Connection) -> None:
        """Do nothing; see `Receiver`."""

    def _reply(self, conn: Connection, request: RankAsk) -> None:
        answer = self._answer(request)
        try:
            conn.send(Frame(rank_answer=answer))
        except ConnectionLost:
            # The coordinator treats a missing answer as a lost order.
            return
