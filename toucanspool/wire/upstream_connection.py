"""Opening of connections to upstreams."""

from gevent import socket

from toucanspool.wire.keepalive import enable_keepalive

CONNECT_TIMEOUT_S = 0.5


class Unreachable(Exception):
    """Report that no connection could be opened; the upstream got no request."""


def open_connection(host: str, port: int, keepalive_s: int = 0) -> socket.socket:
    """Return a new connection.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    keepalive_s : int, default=0
        Idle time before a TCP keepalive probe, in seconds; 0 sends none.

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
