"""Admission of calls by a process that stops."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from toucanspool.retries.deadline import Deadline


class StopTimeUp(Exception):
    """Report that this process ends before the call that it serves is answered."""


class GracefulStop:
    """Decide which calls a stopping process accepts, and end the last ones.

    A call that outlasts the process is cut off, while one that is refused can run
    elsewhere at once. Most calls end long before their time limit, so all of them are
    accepted at first. Later, only those whose time limit ends before the process does,
    and none once the last ones have been ended. Until `begin`, all calls are accepted.
    """

    __slots__ = ("_ends_at", "_open_until", "_unanswered")

    def __init__(self) -> None:
        self._open_until = self._ends_at = math.inf
        self._unanswered: set[gevent.Greenlet] = set()

    def begin(self, now: float, *, open_s: float, time_s: float) -> None:
        """Begin to stop.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        open_s : float
            Time for which calls are accepted whatever their time limit, in seconds.
        time_s : float
            Time until the last calls are ended, in seconds.
        """
        self._open_until = now + open_s
        self._ends_at = now + time_s

    def accepts(self, deadline: Deadline, now: float) -> bool:
        """Return whether a call may be sent to an upstream.

        Parameters
        ----------
        deadline : Deadline
            Time limit of the call.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
        """
        return now < self._open_until or deadline.at <= self._ends_at

    @contextmanager
    def answering(self) -> Iterator[None]:
        """Let `end_unanswered` raise `StopTimeUp` in this greenlet within the block.

        The block ends where the reply begins.
        """
        greenlet = gevent.getcurrent()
        self._unanswered.add(greenlet)
        try:
            yield
        finally:
            self._unanswered.discard(greenlet)

    def end_unanswered(self) -> None:
        """Accept no more calls, and raise `StopTimeUp` where calls wait for a reply.

        Kept connections bring calls while the process closes its other services, which
        may take long; nobody waits for the end of these calls.
        """
        self._open_until = self._ends_at = -math.inf
        loop = gevent.get_hub().loop
        for greenlet in self._unanswered:
            # Only the hub may switch to a greenlet that waits for an event.
            loop.run_callback(self._end, greenlet)

    def _end(self, greenlet: gevent.Greenlet) -> None:
        # It may have answered since the callback was scheduled.
        if greenlet in self._unanswered:
            greenlet.throw(StopTimeUp())
