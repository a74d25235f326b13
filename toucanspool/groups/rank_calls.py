"""Asks of a coordinator and answers of rank agents, over connections."""

import itertools
import time
from collections.abc import Callable

import gevent
import structlog
from gevent.event import AsyncResult

from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.wire.connection import Connection, ConnectionLost, connect
from toucanspool.wire.gen.messages.ttypes import (
    Frame,
    RankAnswer,
    RankAsk,
)

CONNECT_TIMEOUT_S = 0.25
# Agents answer within milliseconds, or after a packet was sent again.
ASK_TIMEOUT_S = 0.3
# An agent that was silent is asked again after this time.
SILENT_S = 1.0


_log = structlog.get_logger()


class AskLost(Exception):
    """Report an ask without an answer: it may have been carried out, or will be."""


class RankLink:
    """Ask the agent of one rank; implements `Receiver`.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    engine : FencedEngine
        Reaches the rank's engine from here, past its agent. Such orders cost more,
        and only the agents of the other ranks check their token.
    """

    __slots__ = (
        "_calls",
        "_conn",
        "_engine",
        "_host",
        "_port",
        "_silent_until",
        "_waiting",
    )

    def __init__(self, host: str, port: int, engine: FencedEngine) -> None:
        self._host = host
        self._port = port
        self._engine = engine
        self._silent_until = 0.0
        self._conn: Connection | None = None
        self._calls = itertools.count(1)
        self._waiting: dict[int, AsyncResult] = {}

    def ask(self, ask: RankAsk) -> RankAnswer:
        """Return the answer to an ask, of the engine itself while its agent is silent.

        Parameters
        ----------
        ask : RankAsk
            The ask; its number is set here.

        Returns
        -------
        RankAnswer

        Raises
        ------
        AskLost
            No answer came.
        """
        if time.monotonic() < self._silent_until:
            return self.ask_engine(ask)
        try:
            return self._ask_agent(ask, ASK_TIMEOUT_S)
        except AskLost as exc:
            _log.info("rank agent silent", host=self._host, error=str(exc))
            self._silent_until = time.monotonic() + SILENT_S
            return self.ask_engine(ask)

    def ask_engine(self, ask: RankAsk) -> RankAnswer:
        """Return the engine's answer to an ask; the parameters are those of `ask`."""
        answer = self._engine.answer(ask)
        if answer.rank < 0:
            raise AskLost(answer.detail)
        return answer

    def _ask_agent(self, ask: RankAsk, timeout_s: float) -> RankAnswer:
        ask.call = next(self._calls)
        found = self._waiting[ask.call] = AsyncResult()
        try:
            self._open().send(Frame(rank_ask=ask))
            return found.get(timeout=timeout_s)
        except ConnectionLost as exc:
            raise AskLost(str(exc)) from exc
        except gevent.Timeout as exc:
            # The connection may be silent for good, so the next ask opens another.
            self.close()
            raise AskLost("no answer in time") from exc
        finally:
            self._waiting.pop(ask.call, None)

    def received(self, conn: Connection, frame: Frame) -> None:
        """Take an answer; see `Receiver`."""
        answer = frame.rank_answer
        if answer is not None and (found := self._waiting.get(answer.call)):
            found.set(answer)

    def lost(self, conn: Connection) -> None:
        """Give up the asks under way; see `Receiver`."""
        if conn is not self._conn:
            return
        self._conn = None
        for found in self._waiting.values():
            found.set_exception(ConnectionLost("the connection was closed"))

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()

    def _open(self) -> Connection:
        if self._conn is None or self._conn.closed:
            self._conn = connect(
                self._host, self._port, self, timeout_s=CONNECT_TIMEOUT_S
            )
        return self._conn


class AskReceiver:
    """Answer the asks on one connection; implements `Receiver`.

    Parameters
    ----------
    answer : callable
        Takes a `RankAsk` and returns a `RankAnswer`.
    """

    __slots__ = ("_answer",)

    def __init__(self, answer: Callable[[RankAsk], RankAnswer]) -> None:
        self._answer = answer

    def received(self, conn: Connection, frame: Frame) -> None:
        """Answer an ask in a task of its own; see `Receiver`."""
        if frame.rank_ask is not None:
            gevent.spawn(self._reply, conn, frame.rank_ask)

    def lost(self, conn: Connection) -> None:
        """Do nothing; see `Receiver`."""

    def _reply(self, conn: Connection, ask: RankAsk) -> None:
        answer = self._answer(ask)
        try:
            conn.send(Frame(rank_answer=answer))
        except ConnectionLost:
            # The coordinator takes a missing answer for a lost order.
            return
