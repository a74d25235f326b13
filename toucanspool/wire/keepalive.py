"""TCP keepalive probes, which find dead hosts behind silent connections."""

from gevent import socket


def enable_keepalive(sock: socket.socket, idle_s: int) -> None:
    """Probe an idle connection, and close it if one probe is not answered.

    Parameters
    ----------
    sock : gevent.socket.socket
        The connection.
    idle_s : int
        Idle time before a probe, and time limit for its answer, in seconds.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)
