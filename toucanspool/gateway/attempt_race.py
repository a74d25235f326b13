"""Attempts at one call that run side by side, each in a greenlet of its own."""

import time
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from toucanspool.gateway.attempt import Attempt, NotContinued, TurnedAway
from toucanspool.gateway.call import Call
from toucanspool.gateway.dialect import Dialect
from toucanspool.routing.upstream import Upstream
from toucanspool.wire.exchange import Unreachable
from toucanspool.wire.reply_parser import BrokenReply
from toucanspool.wire.reply_reader import Silent

ATTEMPT_ERRORS = (Unreachable, TurnedAway, NotContinued, Silent, BrokenReply)
SERVER_ERROR_STATUSES = range(500, 600)

# Uses an attempt until a time on the monotonic clock, and returns what it got.
Work = Callable[[Attempt, float], Any]
# Takes the number of attempts that may have run, and returns the end of the next one.
AttemptEnd = Callable[[int], float]


class Outcome:
    """Hold one attempt and how it ended.

    Parameters
    ----------
    upstream : Upstream
        Upstream of the attempt.
    attempt : Attempt
        The attempt.

    Attributes
    ----------
    upstream, attempt
        As the parameters.
    started_at, ended_at : float
        When it started and ended, in seconds on the monotonic clock; the end is 0
        while it runs.
    value : object
        What its work returned.
    error : Exception or None
        Why it failed.
    abandoned : bool
        Whether nobody waits for it any more.
    """

    __slots__ = (
        "_closed",
        "abandoned",
        "attempt",
        "ended_at",
        "error",
        "started_at",
        "upstream",
        "value",
    )

    def __init__(self, upstream: Upstream, attempt: Attempt) -> None:
        self._closed = False
        self.abandoned = False
        self.upstream = upstream
        self.attempt = attempt
        self.started_at = time.monotonic()
        self.ended_at = 0.0
        self.value: Any = None
        self.error: Exception | None = None

    @property
    def answers(self) -> bool:
        """Return whether the attempt got an answer that is no server error."""
        return self.error is None and self.attempt.status not in SERVER_ERROR_STATUSES

    @property
    def silent(self) -> bool:
        """Return whether nothing of an answer has arrived."""
        return not self.attempt.status

    def raise_unexpected(self) -> None:
        """Raise its error unless that is one by which attempts usually fail."""
        if self.error is not None and not isinstance(self.error, ATTEMPT_ERRORS):
            raise self.error

    def close(self) -> None:
        """Close the connection; may be called repeatedly."""
        if not self._closed:
            self._closed = True
            self.attempt.close()


class AttemptRace:
    """Run attempts at one call side by side; must be closed.

    Each attempt that is still running when the race is closed is ended by an exception
    in its own greenlet. So it closes its own connection, and a connection that the
    gateway closes is never taken for one that its upstream broke off.

    Parameters
    ----------
    call : Call
        The call.
    dialect : Dialect
        Translates headers.
    work : callable
        Sends the call and reads what is needed of the answer.

    Attributes
    ----------
    pending : int
        Attempts whose outcome has not been taken.
    """

    __slots__ = (
        "_call",
        "_dialect",
        "_ended",
        "_finished",
        "_started",
        "_work",
        "pending",
    )

    def __init__(self, call: Call, dialect: Dialect, work: Work) -> None:
        self._call = call
        self._dialect = dialect
        self._work = work
        self._started: list[tuple[Outcome, gevent.Greenlet]] = []
        self._finished: deque[Outcome] = deque()
        self._ended = Event()
        self.pending = 0

    def start(self, upstream: Upstream, until: float) -> Outcome:
        """Start an attempt.

        Parameters
        ----------
        upstream : Upstream
            Upstream of the attempt.
        until : float
            Time limit, in seconds on the monotonic clock.

        Returns
        -------
        Outcome
        """
        outcome = Outcome(upstream, Attempt(self._call, upstream, self._dialect))
        self.pending += 1
        self._started.append((outcome, gevent.spawn(self._run, outcome, until)))
        return outcome

    def wait(self, timeout_s: float | None = None) -> Outcome | None:
        """Return an attempt that has ended; each is returned once.

        Parameters
        ----------
        timeout_s : float, optional
            Longest time to wait, in seconds; until one ends by default.

        Returns
        -------
        Outcome or None
            None if none has ended in time.
        """
        if not self._finished:
            self._ended.wait(timeout_s)
        return self.take_ended()

    def take_ended(self) -> Outcome | None:
        """Return an attempt that has ended, or None if there is no further one."""
        if not self._finished:
            return None
        outcome = self._finished.popleft()
        self.pending -= 1
        if not self._finished:
            self._ended.clear()
        return outcome

    def end_others(self, kept: Outcome | None) -> list[Outcome]:
        """End all attempts but one and close their connections.

        Parameters
        ----------
        kept : Outcome or None
            Attempt that has ended and stays open; None for none.

        Returns
        -------
        list of Outcome
            The attempts that were still running.
        """
        for outcome, _ in self._started:
            if outcome.ended_at and outcome is not kept:
                outcome.close()
        running = [option for option in self._started if not option[0].ended_at]
        for outcome, task in running:
            outcome.abandoned = True
            task.kill(block=False)
            if task.ready():
                # It had not begun to run, and never will.
                outcome.close()
        return [outcome for outcome, _ in running]

    def close(self) -> None:
        """End all attempts and close their connections."""
        self.end_others(None)

    def _run(self, outcome: Outcome, until: float) -> None:
        try:
            outcome.value = self._work(outcome.attempt, until)
        except gevent.GreenletExit:
            outcome.close()
            return
        except Exception as exc:  # raised again if no other attempt answers
            outcome.error = exc
        outcome.ended_at = time.monotonic()
        # It may end by itself between being told to and the exception that ends it.
        if outcome.error is not None or outcome.abandoned:
            outcome.close()
        self._finished.append(outcome)
        self._ended.set()
