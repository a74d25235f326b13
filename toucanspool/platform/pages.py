"""WSGI applications for readiness, the directory of entries, and metrics."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any
from urllib.parse import parse_qs

import orjson

OK = "200 OK"
UNAVAILABLE = "503 Service Unavailable"
NOT_FOUND = "404 Not Found"
JSON = "application/json"
# Callers read no more addresses than this.
MAX_ADDRESSES = 64
# Path on which entries probe each other.
PEERS_PATH = "/peers"
# The entry that sends the probe.
PROBER_PARAMETER = "from"
MAX_NAME_CHARS = 128

Headers = list[tuple[str, str]]
StartResponse = Callable[[str, Headers], Any]
Page = Callable[[dict[str, Any], StartResponse], list[bytes]]


def readiness_page(
    ready: Callable[[], bool],
    peer_status: Callable[[], Mapping[str, Any]],
    on_probe: Callable[[str], None],
) -> Page:
    """Return the page that tells whether this entry is ready for calls.

    Parameters
    ----------
    ready : callable
        Returns whether it is ready.
    peer_status : callable
        Returns the status for other entries, which is sent as JSON on `PEERS_PATH`.
    on_probe : callable
        Called with the name of an entry that asks for that status.

    Returns
    -------
    callable
        A WSGI application.
    """

    def page(environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        probers = parse_qs(environ.get("QUERY_STRING", "")).get(PROBER_PARAMETER)
        if probers and environ["PATH_INFO"] == PEERS_PATH:
            on_probe(probers[0][:MAX_NAME_CHARS])
        if not ready():
            return _respond(start_response, UNAVAILABLE, b"")
        if environ["PATH_INFO"] != PEERS_PATH:
            return _respond(start_response, OK, b"")
        return _respond(start_response, OK, orjson.dumps(peer_status()), JSON)

    return page


def directory_page(
    addresses: Callable[[str, str], Sequence[str]], ttl_s: Callable[[], float]
) -> Page:
    """Return the page that lists the entries for callers.

    Parameters
    ----------
    addresses : callable
        Takes a host name and the caller's region, each empty if it is not given;
        returns the addresses of the entries, as ``HOST:PORT``.
    ttl_s : callable
        Returns how long callers may cache the response, in seconds.

    Returns
    -------
    callable
        A WSGI application.
    """

    def page(environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        if environ["PATH_INFO"] != "/resolve":
            return _respond(start_response, NOT_FOUND, b"")
        query = parse_qs(environ.get("QUERY_STRING", ""))
        host, region = (query.get(name, [""])[0] for name in ("name", "region"))
        listed = list(addresses(host, region))[:MAX_ADDRESSES]
        if not listed:
            return _respond(start_response, UNAVAILABLE, b"")
        body = orjson.dumps({"addresses": listed, "ttlS": ttl_s()})
        return _respond(start_response, OK, body, JSON)

    return page


def metrics_page(text: Callable[[], bytes]) -> Page:
    """Return the page with this process's metrics.

    Parameters
    ----------
    text : callable
        Returns the metrics in the Prometheus text format.

    Returns
    -------
    callable
        A WSGI application.
    """

    def page(environ: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        return _respond(start_response, OK, text(), "text/plain; charset=utf-8")

    return page


def _respond(
    start_response: StartResponse, status: str, body: bytes, content_type: str = ""
) -> list[bytes]:
    headers = [("Content-Length", str(len(body)))]
    if content_type:
        headers.append(("Content-Type", content_type))
    start_response(status, headers)
    return [body]
