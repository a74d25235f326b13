"""The platform's small pages: readiness, the directory, and metrics."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import orjson

OK = "200 OK"
UNAVAILABLE = "503 Service Unavailable"
NOT_FOUND = "404 Not Found"
JSON = "application/json"
MOST_ADDRESSES = 64
# Where entries probe each other.
PEERS_PATH = "/peers"

Headers = list[tuple[str, str]]
StartResponse = Callable[[str, Headers], Any]
Page = Callable[[dict[str, Any], StartResponse], list[bytes]]


def readiness_page(
    ready: Callable[[], bool], to_peers: Callable[[], Mapping[str, Any]]
) -> Page:
    """Return the page that says whether this entry takes calls.

    Parameters
    ----------
    ready : callable
        Returns whether it does.
    to_peers : callable
        Returns what other entries are told.

    Returns
    -------
    callable
        A WSGI application.
    """

    def page(environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        if not ready():
            return _answer(start_response, UNAVAILABLE, b"")
        if environ["PATH_INFO"] != PEERS_PATH:
            return _answer(start_response, OK, b"")
        return _answer(start_response, OK, orjson.dumps(to_peers()), JSON)

    return page


def directory_page(
    addresses: Callable[[], Sequence[str]], keep_s: Callable[[], float]
) -> Page:
    """Return the page that tells callers which entries to use.

    Parameters
    ----------
    addresses : callable
        Returns the entries' addresses.
    keep_s : callable
        Returns how long callers may keep the answer, in seconds.

    Returns
    -------
    callable
        A WSGI application.
    """

    def page(environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        if environ["PATH_INFO"] != "/resolve":
            return _answer(start_response, NOT_FOUND, b"")
        found = list(addresses())[:MOST_ADDRESSES]
        if not found:
            return _answer(start_response, UNAVAILABLE, b"")
        body = orjson.dumps({"addresses": found, "ttlS": keep_s()})
        return _answer(start_response, OK, body, JSON)

    return page


def metrics_page(text: Callable[[], bytes]) -> Page:
    """Return the page with this process's metrics.

    Parameters
    ----------
    text : callable
        Returns the metrics.

    Returns
    -------
    callable
        A WSGI application.
    """

    def page(environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        return _answer(start_response, OK, text(), "text/plain; charset=utf-8")

    return page


def _answer(
    start_response: StartResponse, status: str, body: bytes, kind: str = ""
) -> list[bytes]:
    headers = [("Content-Length", str(len(body)))]
    if kind:
        headers.append(("Content-Type", kind))
    start_response(status, headers)
    return [body]
