"""Crowds of clients that misbehave, and measurements of the process that they call."""

import os
import resource
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

import gevent
import yaml
from gevent import socket
from gevent.pool import Group

from standins.raw_upstream import answering, streaming
from tests.gateway.gateways import HOST
from tests.platform.test_operator_configuration import ROUTE
from tests.processes.test_gateway import GatewayProcess
from tests.settings.test_templates import FIELDS, render

KB = 1 << 10
MB = 1 << 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SAMPLE_INTERVAL_S = 0.1
# A client that was disconnected comes again after this time.
RETURN_S = 0.05
# The clients read this much at a time, about 80 kB/s in all.
READ_BYTES = 16 * KB
READ_PAUSE_S = 0.2
CLIENT_BUFFER_BYTES = 32 * KB
ORDINARY_PATIENCE_S = 5.0
ORDINARY_TRIES = 4
LARGE = answering(b"x" * 7 * MB)
EVENTS = streaming([b"data: " + b"x" * 900_000 + b"\n\n"] * 4)
SMALL = answering(b"small")

Behaviour = Callable[[socket.socket], None]


def route(name: str, kind: str) -> dict[str, object]:
    """Return a route of the operator's configuration for the path ``/NAME/``."""
    return {
        **ROUTE,
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "routeType": kind,
        "backends": [{"service": "s", "weight": 1}],
        "timeoutMs": 60_000,
        "maxAttempts": 1,
    }


ROUTES = [route("whole", "non_idempotent"), route("stream", "streaming")]


def serve(sock: socket.socket, seen: object) -> None:
    """Answer as the path asks; the script of an upstream."""
    path = seen.head.split(" ")[1]
    script = {"/whole/large": LARGE, "/stream/large": EVENTS}.get(path, SMALL)
    script(sock, seen)


class CrowdedGateway(GatewayProcess):
    """Run a gateway with the settings of the deploy file's template.

    Parameters
    ----------
    memory_mb : int
        Memory of its machine.
    descriptors : int
        Limit on its open descriptors.
    """

    def __init__(
        self, *args: object, memory_mb: int, descriptors: int, **more: object
    ) -> None:
        self._limits = {"memoryMb": memory_mb, "maxFds": descriptors}
        super().__init__(*args, **more)

    def write_settings(self, **changes: object) -> None:
        """Write the settings file from the template."""
        fields = {
            **FIELDS,
            "ip": "127.0.0.1",
            "internalPorts": [self.metrics],
            "listen": {
                "frontend": f"127.0.0.1:{self.callers}",
                "ready": f"127.0.0.1:{self.readiness}",
                "directoryService": f"127.0.0.1:{self.directory}",
            },
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
            "limits": self._limits,
        }
        cfg = yaml.safe_load(render(fields))
        cfg["gateway"].update(changes)
        self._settings.write_text(yaml.safe_dump(cfg))

    def spawn(self) -> None:
        """Start the process with its limit on descriptors."""
        with lowered_descriptors(self._limits["maxFds"]):
            super().spawn()


@contextmanager
def lowered_descriptors(limit: int) -> Iterator[None]:
    """Let processes that are started meanwhile inherit a limit on descriptors."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


class ProcessWatch:
    """Sample the memory and descriptors of a process; a context manager.

    Parameters
    ----------
    pid : int
        The process.

    Attributes
    ----------
    peak_bytes : int
        Most memory of the process, and of the kernel's queues of its connections, at
        the same moment.
    peak_descriptors : int
        Most open descriptors.
    """

    def __init__(self, pid: int) -> None:
        self._folder = Path("/proc") / str(pid)
        self.peak_bytes = 0
        self.peak_descriptors = 0

    def __enter__(self) -> "ProcessWatch":
        self._task = gevent.spawn(self._run)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._task.kill()

    def _run(self) -> None:
        while True:
            with suppress(FileNotFoundError, ProcessLookupError):
                self._sample()
            gevent.sleep(SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        inodes = set()
        names = os.listdir(self._folder / "fd")
        for name in names:
            with suppress(FileNotFoundError):
                inodes.add(os.readlink(self._folder / "fd" / name))
        resident = int((self._folder / "statm").read_text().split()[1]) * PAGE_BYTES
        queued = 0
        for line in (self._folder / "net" / "tcp").read_text().splitlines()[1:]:
            columns = line.split()
            if f"socket:[{columns[9]}]" in inodes:
                queued += sum(int(size, 16) for size in columns[4].split(":"))
        self.peak_bytes = max(self.peak_bytes, resident + queued)
        self.peak_descriptors = max(self.peak_descriptors, len(names))


class Crowd:
    """Keep clients connected that misbehave; a context manager.

    Parameters
    ----------
    port : int
        Port that they connect to.
    size : int
        Number of clients.
    behaviour : callable
        What a client does with its connection; it then comes again.
    """

    def __init__(self, port: int, size: int, behaviour: Behaviour) -> None:
        self._port = port
        self._size = size
        self._behaviour = behaviour
        self._clients = Group()

    def __enter__(self) -> "Crowd":
        for _ in range(self._size):
            self._clients.spawn(self._run)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._clients.kill()

    def _run(self) -> None:
        while True:
            with suppress(OSError), socket.socket() as sock:
                buffer_size = (socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
                sock.setsockopt(*buffer_size)
                sock.connect(("127.0.0.1", self._port))
                self._behaviour(sock)
            gevent.sleep(RETURN_S)


def head(path: str, *lines: str, method: str = "POST") -> bytes:
    """Return the head of a request that keeps its connection."""
    first = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    first += ["Toucanspool-Attempt-Id: a1", "Toucanspool-Deadline-Ms: 60000"]
    return ("\r\n".join([*first, *lines]) + "\r\n\r\n").encode()


def read_slowly(sock: socket.socket) -> None:
    """Read at about 80 kB/s until the connection ends."""
    while sock.recv(READ_BYTES):
        gevent.sleep(READ_PAUSE_S)


def slow_reader(path: str, *, requests: int = 1) -> Behaviour:
    """Return clients that send requests at once and read the answers slowly."""

    def behave(sock: socket.socket) -> None:
        sock.sendall(head(path) * requests)
        read_slowly(sock)

    return behave


def slow_body(sock: socket.socket) -> None:
    """Announce a body of 900 kB and send it slowly."""
    sock.sendall(head("/whole/small", "Content-Length: 900000"))
    for _ in range(900_000 // READ_BYTES):
        sock.sendall(b"x" * READ_BYTES)
        gevent.sleep(READ_PAUSE_S)


def tiny_chunks(sock: socket.socket) -> None:
    """Send a body in chunks of one byte as fast as it is read."""
    sock.sendall(head("/whole/small", "Transfer-Encoding: chunked"))
    while True:
        sock.sendall(b"1\r\nx\r\n" * 4000)


def requests_ahead(path: str, method: str = "POST") -> Behaviour:
    """Return clients that send requests as fast as they are read, and read nothing."""
    block = head(path, method=method) * 50

    def behave(sock: socket.socket) -> None:
        while True:
            sock.sendall(block)

    return behave


def endless_head(line: bytes) -> Behaviour:
    """Return clients whose head has one line after the other and does not end."""

    def behave(sock: socket.socket) -> None:
        sock.sendall(b"GET /whole/small HTTP/1.1\r\n")
        while True:
            sock.sendall(line)
            gevent.sleep(READ_PAUSE_S)

    return behave


def idle(sock: socket.socket) -> None:
    """Send nothing until the connection ends."""
    sock.recv(1)


def ask(port: int, path: str, *, method: str = "POST") -> bytes:
    """Return the answer to an ordinary request; none if there is none in time."""
    received = b""
    address = ("127.0.0.1", port)
    with (
        suppress(OSError),
        gevent.Timeout(ORDINARY_PATIENCE_S, False),
        socket.create_connection(address) as sock,
    ):
        sock.sendall(head(path, "Connection: close", method=method))
        while block := sock.recv(65536):
            received += block
    return received


def answered(
    port: int, path: str = "/whole/small", *, method: str = "POST", tries: int = 1
) -> bool:
    """Return whether an ordinary client, which comes again, is answered."""
    return any(
        ask(port, path, method=method).startswith(b"HTTP/1.1 200") for _ in range(tries)
    )


def press(
    pid: int,
    port: int,
    behaviour: Behaviour,
    *,
    size: int,
    seconds: float,
    ordinary: Callable[[int], bool],
) -> ProcessWatch:
    """Let a crowd press on a process; check that ordinary clients are answered.

    Parameters
    ----------
    pid : int
        The process.
    port : int
        Port that the crowd connects to.
    behaviour : callable
        What each client of the crowd does.
    size : int
        Number of clients of the crowd.
    seconds : float
        Time before an ordinary client asks beside the crowd.
    ordinary : callable
        Makes an ordinary request, with a number of tries; returns whether it was
        answered.

    Returns
    -------
    ProcessWatch
        The measurements.
    """
    assert ordinary(1)
    with ExitStack() as closing:
        watch = closing.enter_context(ProcessWatch(pid))
        closing.enter_context(Crowd(port, size, behaviour))
        gevent.sleep(seconds)
        beside = ordinary(ORDINARY_TRIES)
    # The process has seen the end of the crowd's connections.
    gevent.sleep(1.0)
    after = ordinary(ORDINARY_TRIES)
    os.kill(pid, 0)
    assert (beside, after) == (True, True), f"at most {watch.peak_bytes} bytes"
    return watch
