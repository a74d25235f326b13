"""Opening of connections to upstreams."""

from gevent import socket

from toucanspool.wire.keepalive import enable_keepalive

CONNECT_TIMEOUT_S = 0.5


class Unreachable(Exception):
    """Report that no connection could be opened; the upstream got no request."""


class NoBuffers(Unreachable):
    """Report that this process can hold no more for connections to upstreams."""


def open_connection(host: str, port: int, keepalive_s: int = 0) -> socket.socket:
    """Return a new connection.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    keepalive_s : int, default=0
        Idle time before a TCP keepalive probe, in seconds. The connection is closed if
        the probe isn't answered within the same time. 0 sends no probes.

    Returns
    -------
    gevent.socket.socket

    Raises
    ------
    Unreachable
        It could not be opened.
    """
    try:
        sock = socket.create_connection((host, port), timeout=CONNECT_TIMEOUT_S)
    except (OSError, UnicodeError) as exc:
        raise Unreachable(str(exc)) from exc
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if keepalive_s:
        enable_keepalive(sock, keepalive_s)
    return sock
