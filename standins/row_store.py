"""In-memory row store of the users' platform: transactions, range reads and a feed.

It serves the HTTP API of that platform and its failure modes, for tests of the adapter.
"""

import base64
import time
from collections.abc import Callable
from itertools import takewhile
from typing import Any
from urllib.parse import parse_qs

import gevent
import orjson
from gevent.event import Event

from toucanspool.platform.store_era import ERA_HEADER
from toucanspool.wire.http_server import HttpServer

MS_PER_S = 1000
PAGE_ROWS = 500
POLL_S = 0.005

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class RowStorePages:
    """Serve the store's API; a WSGI application.

    Attributes
    ----------
    status : int
        HTTP status to answer every call with; 0 for normal answers.
    lose_answers : int
        Number of writes to apply without an answer, by closing the connection.
    history_from : int
        Oldest version that the feed can start from; older ones get 410.
    calls : list of str
        Paths of the calls received.
    era : int
        Era that every response names; 0 for none.
    answers_late : bool
        Whether calls that a silence met are answered once it has ended.
    on_commit : callable or None
        Called with the key and value of each row that a process writes.
    """

    def __init__(self) -> None:
        self.status = 0
        self.lose_answers = 0
        self.history_from = 0
        self.calls: list[str] = []
        self.era = 0
        self.answers_late = False
        self.on_commit: Callable[[str, bytes], None] | None = None
        self._silences = 0
        self._silent = False
        self._version = 0
        self._changed = Event()
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: list[tuple[int, str, str, bytes | None]] = []

    @property
    def silent(self) -> bool:
        """Whether calls get no answer, on connections that stay open.

        Calls that are under way then get none after the silence either, unless
        `answers_late`.
        """
        return self._silent

    @silent.setter
    def silent(self, silent: bool) -> None:
        self._silences += silent and not self._silent
        self._silent = silent
        self._wake_feeds()

    @property
    def version(self) -> int:
        """Return the latest version."""
        return self._version

    def put(self, table: str, key: str, value: bytes) -> int:
        """Set a row, as the operator or a runner does."""
        self._version += 1
        self._set(table, key, value)
        return self._version

    def drop(self, table: str, key: str) -> None:
        """Delete a row, as a runner does."""
        self._version += 1
        self._set(table, key, None)

    def row(self, table: str, key: str) -> bytes | None:
        """Return a row's value, or None if it does not exist."""
        found = self._rows.get((table, key))
        return found[0] if found else None

    def lapse(self, version: int) -> None:
        """Come back from the copy at a version; later transactions are lost."""
        self.era += 1
        self._version = version
        self.history_from = min(self.history_from, version)
        self._history = [entry for entry in self._history if entry[0] <= version]
        self._rows = {}
        for at, table, key, value in self._history:
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (value, at)
        self._wake_feeds()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        """Handle a request."""
        path = environ["PATH_INFO"]
        self.calls.append(path)
        silences = self._silences
        if self._silent:
            self._outlast_silence()
        if self.status:
            return self._answer(start_response, self.status, {})
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        if path == "/rows-tx":
            status, body = self._commit(orjson.loads(environ["wsgi.input"].read()))
            if status == 200 and self.lose_answers:
                self.lose_answers -= 1
                raise ConnectionResetError(104, "injected fault: answer lost")
        elif path == "/rows-get":
            status, body = self._range(query)
        elif path == "/rows-feed":
            status, body = self._feed(query)
        else:
            status, body = 404, {}
        if self._silences != silences:
            self._outlast_silence()
        return self._answer(start_response, status, body)

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for check in body["expectedRevision"]:
            found = self._rows.get((check["table"], check["key"]))
            if (found[1] if found else 0) != check["ver"]:
                return 412, {"rows": []}
        self._version += 1
        for put in body["puts"]:
            value = base64.b64decode(put["value"])
            self._set(put["table"], put["key"], value)
            if self.on_commit is not None:
                self.on_commit(put["key"], value)
        for removal in body["remove"]:
            self._set(removal["table"], removal["key"], None)
        return 200, {"ver": self._version}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, start, end = query["table"], query.get("from", ""), query.get("target")
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        keys = sorted(k for t, k in self._rows if t == table and k >= start)
        keys = [key for key in keys if end is None or key < end]
        rows = [self._row(table, key) for key in keys[:limit]]
        return 200, {"rows": rows, "hasMore": len(keys) > limit, "ver": self._version}

    def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        if not self.history_from <= after <= self._version:
            return 410, {}
        deadline = time.monotonic() + int(query["waitMs"]) / MS_PER_S
        while True:
            rows = self._changes(query["table"], after)
            remaining_s = deadline - time.monotonic()
            if (rows and not self._silent) or remaining_s <= 0.0:
                return 200, {"rows": rows, "ver": self._version}
            self._changed.wait(remaining_s)

    def _changes(self, table: str, after: int) -> list[dict[str, Any]]:
        newest_first = takewhile(
            lambda entry: entry[0] > after, reversed(self._history)
        )
        return [
            {"table": t, "key": k, "ver": v, "tombstone": True}
            if value is None
            else {"table": t, "key": k, "ver": v, "value": _encode_value(value)}
            for v, t, k, value in reversed(list(newest_first))
            if t == table
        ]

    def _wake_feeds(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _outlast_silence(self) -> None:
        while self._silent:
            gevent.sleep(POLL_S)
        if not self.answers_late:
            # Keeps the connection open until the server stops.
            Event().wait()

    def _set(self, table: str, key: str, value: bytes | None) -> None:
        self._history.append((self._version, table, key, value))
        self._wake_feeds()
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (value, self._version)

    def _row(self, table: str, key: str) -> dict[str, Any]:
        value, version = self._rows[table, key]
        return {
            "table": table,
            "key": key,
            "value": _encode_value(value),
            "ver": version,
        }

    def _answer(
        self, start_response: StartResponse, status: int, body: dict[str, Any]
    ) -> list[bytes]:
        data = orjson.dumps(body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        if self.era:
            headers.append((ERA_HEADER.title(), str(self.era)))
        start_response(f"{status} X", headers)
        return [data]


class RowStore:
    """Serve a row store on loopback; a context manager.

    Attributes
    ----------
    pages : RowStorePages
        The store's state and its faults.
    port : int
        Loopback port that it listens on.
    """

    def __init__(self) -> None:
        self.pages = RowStorePages()
        self._server = HttpServer("127.0.0.1", 0, self.pages)

    def __enter__(self) -> "RowStore":
        self._server.start()
        self.port = self._server.server_port
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._server.stop(timeout=0)


def _encode_value(value: bytes) -> str:
    return base64.b64encode(value).decode()
