"""Calls of the admin API, at the first entry that answers."""

from collections.abc import Sequence
from typing import Any
from urllib.parse import urlsplit

import orjson
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from toucanspool.ctl.failures import (
    CommandFailed,
    Conflicted,
    Refused,
    Unavailable,
    Uncertain,
)

HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class AdminClient:
    """Call the admin API.

    Parameters
    ----------
    entries : sequence of str
        URLs of entries, tried in order.
    key : str
        The operator's key.
    timeout_s : float, default=10.0
        The longest wait for each answer, in seconds.
    """

    __slots__ = ("_entries", "_key", "_timeout_s")

    def __init__(
        self, entries: Sequence[str], key: str, *, timeout_s: float = 10.0
    ) -> None:
        self._entries = entries
        self._key = key
        self._timeout_s = timeout_s

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the decoded answer of a call.

        A call whose answer is lost is made again at the next entry, so it must be
        harmless when repeated.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path.
        body : Any, optional
            Sent as JSON.

        Returns
        -------
        Any

        Raises
        ------
        CommandFailed
            The call was refused, or no entry answered.
        """
        lost = []
        sent = False
        for entry in self._entries:
            try:
                status, answer = self._call(entry, method, path, body)
            except ConnectionRefusedError as exc:
                lost.append(f"{entry}: {exc.strerror or exc}")
                continue
            except (OSError, HTTPParseError) as exc:
                lost.append(f"{entry}: {exc!r}")
                sent = True
                continue
            if status < 300:
                return answer
            raise _failure(status, answer)
        sentence = f"No entry answered ({'; '.join(lost)})."
        raise (
            Uncertain(sentence) if sent and body is not None else Unavailable(sentence)
        )

    def _call(self, entry: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        url = urlsplit(entry)
        client = HTTPClient(
            url.hostname or "",
            url.port or 80,
            connection_timeout=self._timeout_s,
            network_timeout=self._timeout_s,
        )
        headers = {
            "authorization": f"Bearer {self._key}",
            "content-type": "application/json",
        }
        data = b"" if body is None else orjson.dumps(body)
        try:
            resp = client.request(method, path, body=data, headers=headers)
            raw = resp.read()
        finally:
            client.close()
        return resp.status_code, (orjson.loads(raw) if raw else None)


def _failure(status: int, answer: Any) -> CommandFailed:
    problem = answer if isinstance(answer, dict) else {}
    sentence = problem.get("detail") or f"The entry answered {status}."
    if problem.get("outcome") == "unknown":
        return Uncertain(sentence)
    if status == HTTP_CONFLICT:
        return Conflicted(sentence)
    if status == HTTP_UNAVAILABLE:
        return Unavailable(sentence)
    return Refused(sentence)
