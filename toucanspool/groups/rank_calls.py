"""Asks of a coordinator and answers of rank agents, over connections."""

import itertools
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from toucanspool.wire.connection import Connection, ConnectionLost, connect
from toucanspool.wire.gen.messages.ttypes import Frame, RankAnswer, RankAsk

CONNECT_TIMEOUT_S = 0.4
ASK_TIMEOUT_S = 0.8


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
    """

    __slots__ = ("_calls", "_conn", "_host", "_port", "_waiting")

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._conn: Connection | None = None
        self._calls = itertools.count(1)
        self._waiting: dict[int, AsyncResult] = {}

    def ask(self, ask: RankAsk, *, timeout_s: float = ASK_TIMEOUT_S) -> RankAnswer:
        """Return the answer to an ask.

        Parameters
        ----------
        ask : RankAsk
            The ask; its number is set here.
        timeout_s : float, default=0.8
            The longest wait, in seconds.

        Returns
        -------
        RankAnswer

        Raises
        ------
        AskLost
            No answer came.
        """
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
