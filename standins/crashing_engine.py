"""An engine that crashes when it begins to answer certain prompts or requests.

It comes back at the same address, as a new instance, and is listed in a row store.
"""

import itertools
import time
from collections.abc import Collection

import gevent
import orjson
from gevent import socket

from standins.raw_upstream import RawUpstream, ReceivedRequest, event, streaming
from standins.row_store import RowStorePages
from toucanspool.platform import headers as names

EVENTS = 12
EVENT_GAP_S = 0.08
# From the first token to the crash.
CRASH_DELAY_S = 0.05
DOWN_S = 1.0


class CrashingEngine:
    """Answer prompts with streams, and crash on some of them; a context manager.

    Parameters
    ----------
    pages : RowStorePages
        Store that lists the engine.
    name : str
        Name of the engine; its incarnations are numbered.
    deadly : collection of str
        Parts of prompts that crash it.
    deadly_bodies : collection of bytes, optional
        Bodies of requests that crash it.

    Attributes
    ----------
    crashed_at : list of float
        Times of its crashes, on the monotonic clock.
    received : list of (float, ReceivedRequest)
        Requests with their times of arrival.
    """

    def __init__(
        self,
        pages: RowStorePages,
        name: str,
        deadly: Collection[str],
        *,
        deadly_bodies: Collection[bytes] = (),
    ) -> None:
        self.crashed_at: list[float] = []
        self.received: list[tuple[float, ReceivedRequest]] = []
        self._pages = pages
        self._name = name
        self._numbers = itertools.count()
        self._deadly = frozenset(deadly)
        self._deadly_bodies = frozenset(deadly_bodies)
        self._stream = streaming(
            [event(number) for number in range(1, EVENTS + 1)], gap_s=EVENT_GAP_S
        )
        self._upstream = RawUpstream(self._answer)
        self._instance = ""

    def __enter__(self) -> "CrashingEngine":
        self._upstream.__enter__()
        self._list()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._upstream.__exit__()

    def _answer(self, sock: socket.socket, request: ReceivedRequest) -> None:
        if request.header(names.EXPECT_INSTANCE) != self._instance:
            sock.sendall(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
            return
        self.received.append((time.monotonic(), request))
        if not self._is_deadly(request):
            self._stream(sock, request)
            return
        streaming([], cut=True)(sock, request)
        gevent.sleep(CRASH_DELAY_S)
        gevent.spawn(self._crash)
        gevent.sleep(DOWN_S)

    def _is_deadly(self, request: ReceivedRequest) -> bool:
        parts = request.header(names.PREFIX_HASH).split(",")
        ids = (part.partition(":")[0] for part in parts)
        return request.body in self._deadly_bodies or not self._deadly.isdisjoint(ids)

    def _crash(self) -> None:
        """End all connections, refuse new ones, and return as a new instance."""
        self.crashed_at.append(time.monotonic())
        self._upstream.crash()
        self._pages.drop("servers", self._instance)
        gevent.sleep(DOWN_S)
        self._upstream.restart()
        self._list()

    def _list(self) -> None:
        self._instance = f"{self._name}.{next(self._numbers)}"
        fields = {
            "service": "s",
            "address": f"127.0.0.1:{self._upstream.port}",
            "zone": "one",
            "slots": 8,
            "state": "ready",
        }
        self._pages.put("servers", self._instance, orjson.dumps(fields))
