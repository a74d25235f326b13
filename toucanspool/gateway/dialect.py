"""The interface for the headers that are exchanged with upstreams."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from toucanspool.gateway.call import Call
from toucanspool.wire.reply_parser import Header


@dataclass(slots=True, frozen=True, kw_only=True)
class ReplyHead:
    """Hold the parsed head of an upstream's reply.

    Parameters
    ----------
    call_id : str
        Id of the call that it answers; empty if missing.
    signed : bool
        Whether it has a server signature.
    not_run : bool
        Whether the upstream states that it did not run the call.
    promises_not_run : bool
        Whether callers take its status for the statement that the call was not run.
    misdirected : bool
        Whether it comes from another instance, which has the address now.
    retry_after_s : float
        Delay requested before a retry, in seconds; 0 if missing.
    leaving : bool
        Whether the upstream is leaving and wants no new requests.
    request_limit : float
        Requests a second that the upstream takes from all entries together; infinity
        if it names no limit, NaN if the limit that it names can't be read.
    running, waiting : int or None
        Running and queued requests of the upstream; None if missing.
    headers : sequence of (str, str)
        Headers to forward to the caller.
    """

    call_id: str
    signed: bool
    not_run: bool
    promises_not_run: bool = False
    misdirected: bool = False
    retry_after_s: float = 0.0
    leaving: bool = False
    request_limit: float = math.inf
    running: int | None = None
    waiting: int | None = None
    headers: Sequence[Header] = ()


class Dialect(Protocol):
    """Build request headers for upstreams and parse the heads of their replies."""

    def request_headers(
        self, call: Call, *, upstream: str, left_ms: int, last_event_id: str
    ) -> list[Header]:
        """Return all headers of the request to an upstream.

        Parameters
        ----------
        call : Call
            The call.
        upstream : str
            Name of the upstream; no other one may run the call.
        left_ms : int
            Time until the call's deadline, in milliseconds.
        last_event_id : str
            Id of the event after which to resume a stream; empty for a new stream.

        Returns
        -------
        list of (str, str)
        """
        ...

    def parse_reply_head(self, status: int, headers: Sequence[Header]) -> ReplyHead:
        """Parse the head of a reply.

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
