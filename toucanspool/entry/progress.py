"""One request's way through its attempts."""

from toucanspool.entry.attempt import Attempt
from toucanspool.entry.directory import Target
from toucanspool.entry.problems import Problem
from toucanspool.wire.events import DONE_EVENT, is_event_stream
from toucanspool.wire.gen.messages.ttypes import Outcome


class Progress:
    """Follow one request through its attempts.

    Attributes
    ----------
    attempt : Attempt or None
        The attempt under way.
    target : Target or None
        Its upstream.
    number : int
        Attempts made.
    reroutes : int
        Attempts that a healthy upstream refused at once.
    tried : set of str
        Upstreams that have failed the request.
    relayed : list of bytes
        What the caller has got of a stream.
    uncertain : bool
        Whether an attempt may have run, and so the request.
    """

    __slots__ = (
        "attempt",
        "number",
        "relayed",
        "reroutes",
        "target",
        "tried",
        "uncertain",
    )

    def __init__(self) -> None:
        self.number = 0
        self.reroutes = 0
        self.uncertain = False
        self.tried: set[str] = set()
        self.relayed: list[bytes] = []
        self.attempt: Attempt | None = None
        self.target: Target | None = None

    @property
    def is_stream(self) -> bool:
        """Return whether the answer under way is a stream."""
        return is_event_stream(self.attempt.head.headers.get("content-type", ""))

    @property
    def is_done(self) -> bool:
        """Return whether the caller has got a stream's last event."""
        return bool(self.relayed) and self.relayed[-1].endswith(DONE_EVENT)

    def close(self) -> None:
        """Give up the attempt under way; harmless when repeated."""
        if self.attempt is not None:
            self.attempt.close()
            self.attempt = None

    def told(self, problem: Problem) -> Problem:
        """Return a problem with the outcome that is true of the whole request.

        Parameters
        ----------
        problem : Problem
            The problem with the outcome of the last attempt.

        Returns
        -------
        Problem
        """
        if self.uncertain:
            problem.outcome = Outcome.UNKNOWN
        return problem
