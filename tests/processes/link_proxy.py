"""A TCP proxy between processes whose connections tests can cut or silence."""

import contextlib
import socket
import threading
import time

HOST = "127.0.0.1"
BLOCK_BYTES = 65536


class LinkProxy:
    """Forward connections to a port until cut; a context manager.

    Parameters
    ----------
    port : int
        The port to forward to.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._sockets: list[socket.socket] = []
        self._cut = False
        self._silenced = False
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> "LinkProxy":
        return self

    def __exit__(self, *exc: object) -> None:
        self.cut()
        self._listener.close()

    def cut(self) -> None:
        """Close all open connections and each new one."""
        self._cut = True
        for sock in self._sockets:
            _close(sock)

    def silence(self) -> None:
        """Stop forwarding in both directions while connections stay open."""
        self._silenced = True

    def restore(self) -> None:
        """Forward new connections again."""
        self._cut = self._silenced = False

    def _accept(self) -> None:
        while True:
            try:
                client = self._listener.accept()[0]
            except OSError:
                return
            if self._cut:
                _close(client)
                continue
            server = socket.create_connection((HOST, self._port))
            self._sockets += [client, server]
            for pair in ((client, server), (server, client)):
                threading.Thread(target=self._forward, args=pair, daemon=True).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(BLOCK_BYTES):
                while self._silenced:
                    time.sleep(0.01)
                sink.sendall(data)
        _close(sink)


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
