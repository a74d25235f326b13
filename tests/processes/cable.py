"""A cable between processes that tests can cut."""

import contextlib
import socket
import threading
import time

HOST = "127.0.0.1"
BLOCK_BYTES = 65536


class Cable:
    """Carry connections to a port until cut; a context manager.

    Parameters
    ----------
    port : int
        The port at the other end.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._socks: list[socket.socket] = []
        self._cut = False
        self._silent = False
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self) -> "Cable":
        return self

    def __exit__(self, *exc: object) -> None:
        self.cut()
        self._listener.close()

    def cut(self) -> None:
        """Close what is open, and what comes."""
        self._cut = True
        for sock in self._socks:
            _close(sock)

    def silence(self) -> None:
        """Swallow what is sent either way, without a sign to the ends."""
        self._silent = True

    def mend(self) -> None:
        """Carry new connections again."""
        self._cut = self._silent = False

    def _accept(self) -> None:
        while True:
            try:
                near = self._listener.accept()[0]
            except OSError:
                return
            if self._cut:
                _close(near)
                continue
            far = socket.create_connection((HOST, self._port))
            self._socks += [near, far]
            for ends in ((near, far), (far, near)):
                threading.Thread(target=self._carry, args=ends, daemon=True).start()

    def _carry(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(BLOCK_BYTES):
                while self._silent:
                    time.sleep(0.01)
                sink.sendall(data)
        _close(sink)


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
