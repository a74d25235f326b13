"""The progress of one request through its attempts."""

from toucanspool.entry.attempt import Attempt, AttemptFailed
from toucanspool.entry.directory import Target
from toucanspool.entry.problems import Problem
from toucanspool.entry.relayed import Relayed
from toucanspool.wire.events import ends_stream, is_event_stream
from toucanspool.wire.gen.messages.ttypes import Outcome, Refusal

SUCCESS_STATUSES = range(200, 300)


class Progress:
    """Track one request through its attempts.

    Attributes
    ----------
    attempt : Attempt or None
        Current attempt; None between attempts.
    target : Target or None
        Upstream of the latest attempt.
    attempts : int
        Number of attempts made.
    reroutes : int
        Number of attempts that a healthy upstream refused at once.
    excluded : set of str
        Names of upstreams that failed the request, excluded from further attempts.
    relayed : Relayed
        What was sent to the caller.
    may_have_run : bool
        Whether any attempt may have run the request.
    """

    __slots__ = (
        "attempt",
        "attempts",
        "excluded",
        "may_have_run",
        "relayed",
        "reroutes",
        "target",
    )

    def __init__(self) -> None:
        self.attempts = 0
        self.reroutes = 0
        self.may_have_run = False
        self.excluded: set[str] = set()
        self.relayed = Relayed()
        self.attempt: Attempt | None = None
        self.target: Target | None = None

    @property
    def is_stream(self) -> bool:
        """Return whether the current reply is a stream, and no failure."""
        head = self.attempt.head
        return head.status in SUCCESS_STATUSES and is_event_stream(
            head.headers.get("content-type", "")
        )

    @property
    def is_complete(self) -> bool:
        """Return whether a stream's last event was sent to the caller."""
        return ends_stream(self.relayed.last_chunk)

    def check_end(self, *, streamed: bool) -> None:
        """Check that a stream of the chat API has ended with its end marker.

        Parameters
        ----------
        streamed : bool
            Whether the caller asked for such a stream.

        Raises
        ------
        AttemptFailed
            The marker is missing, so the upstream has broken the stream off.
        """
        if streamed and not self.is_complete:
            raise AttemptFailed(
                Outcome.UNKNOWN,
                Refusal.BROKEN,
                "The stream ended without its end marker.",
                0.0,
            )

    def close(self) -> None:
        """Close the current attempt; may be called repeatedly."""
        if self.attempt is not None:
            self.attempt.close()
            self.attempt = None

    def with_outcome(self, problem: Problem) -> Problem:
        """Return a problem with the outcome of all attempts together.

        Parameters
        ----------
        problem : Problem
            Problem with the outcome of the last attempt; changed in place.

        Returns
        -------
        Problem
        """
        if self.may_have_run:
            problem.outcome = Outcome.UNKNOWN
        return problem
