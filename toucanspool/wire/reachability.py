"""Check of whether a peer still accepts connections."""

from enum import Enum

import structlog
from gevent import socket

_log = structlog.get_logger()


class Reachability(Enum):
    """Name what an attempt to connect says about a peer."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    UNKNOWN = "unknown"


def check_reachability(host: str, port: int, timeout_s: float) -> Reachability:
    """Open a connection and close it again.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    timeout_s : float
        Time limit, in seconds.

    Returns
    -------
    Reachability
        ``UNKNOWN`` if the connection was neither accepted nor refused in time.
    """
    try:
        socket.create_connection((host, port), timeout=timeout_s).close()
    except ConnectionRefusedError:
        return Reachability.REFUSES
    except (OSError, UnicodeError) as exc:
        _log.debug("reachability unknown", host=host, port=port, error=repr(exc))
        return Reachability.UNKNOWN
    return Reachability.ACCEPTS
