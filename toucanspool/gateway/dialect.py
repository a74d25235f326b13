"""What upstreams are told with a call, and what their replies tell."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from toucanspool.gateway.call import Call, Header


@dataclass(slots=True, frozen=True, kw_only=True)
class ReplyHead:
    """Hold what the head of an upstream's reply tells.

    Parameters
    ----------
    call_id : str
        The call that it answers; empty if not told.
    signed : bool
        Whether the upstream vouches for it.
    not_run : bool
        Whether the upstream says that it did not run the call.
    retry_after_s : float
        When the upstream asks to come back; 0 if not told.
    running, waiting : int or None
        The upstream's load; None if not told.
    headers : sequence of (str, str)
        The headers that go to the caller.
    """

    call_id: str
    signed: bool
    not_run: bool
    retry_after_s: float = 0.0
    running: int | None = None
    waiting: int | None = None
    headers: Sequence[Header] = ()


class Dialect(Protocol):
    """Translate between calls and the headers that upstreams use."""

    def request_headers(
        self, call: Call, *, upstream: str, left_ms: int, last_event_id: str
    ) -> list[Header]:
        """Return all headers of the request to an upstream.

        Parameters
        ----------
        call : Call
            The call.
        upstream : str
            The only upstream that may run it.
        left_ms : int
            Time left for the call, in milliseconds.
        last_event_id : str
            The event after which a stream goes on; empty for the start.

        Returns
        -------
        list of (str, str)
        """
        ...

    def parse_reply_head(self, status: int, headers: Sequence[Header]) -> ReplyHead:
        """Return what a reply's head tells.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : sequence of (str, str)
            The reply's headers.

        Returns
        -------
        ReplyHead
        """
        ...
