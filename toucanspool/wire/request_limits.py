"""Limits on the requests of clients."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, kw_only=True)
class RequestLimits:
    """Limit the size of requests and the time to send them.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size of a request's head and body.
    header_timeout_s : float
        Maximum time to receive a head, in seconds.
    idle_timeout_s : float
        Maximum time between requests on a connection, in seconds.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
