"""Client of the admin API that tries entries in order."""

from collections.abc import Sequence
from typing import Any
from urllib.parse import urlsplit

import orjson
from geventhttpclient.response import HTTPParseError

from toucanspool.backing.bounded_client import BoundedClient
from toucanspool.ctl.failures import (
    ChangeConflict,
    CommandFailed,
    CommandRefused,
    OutcomeUnknown,
    ServiceUnavailable,
)

HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class AdminClient:
    """Call the admin API at the first entry that answers.

    Parameters
    ----------
    entries : sequence of str
        URLs of entries, in the order in which they are tried.
    key : str
        The operator's API key.
    timeout_s : float, default=10.0
        Timeout of connecting and of each read, in seconds.
    """

    __slots__ = ("_entries", "_key", "_timeout_s")

    def __init__(
        self, entries: Sequence[str], key: str, *, timeout_s: float = 10.0
    ) -> None:
        self._entries = entries
        self._key = key
        self._timeout_s = timeout_s

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request and return the decoded answer.

        If the answer of an entry is lost, the request is sent to the next one, so it
        must be idempotent.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query of the URL.
        body : Any, optional
            Body of the request; sent as JSON.

        Returns
        -------
        Any

        Raises
        ------
        CommandFailed
            The request was refused, or no entry answered.
        """
        errors = []
        may_have_run = False
        for entry in self._entries:
            try:
                status, answer = self._send(entry, method, path, body)
            except ConnectionRefusedError as exc:
                errors.append(f"{entry}: {exc.strerror or exc}")
                continue
            except (OSError, HTTPParseError, orjson.JSONDecodeError) as exc:
                errors.append(f"{entry}: {exc!r}")
                may_have_run = True
                continue
            if status < 300:
                return answer
            raise _failure(status, answer)
        message = f"No entry answered ({'; '.join(errors)})."
        raise (
            OutcomeUnknown(message)
            if may_have_run and body is not None
            else ServiceUnavailable(message)
        )

    def _send(self, entry: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        url = urlsplit(entry)
        client = BoundedClient(
            url.hostname or "",
            url.port or 80,
            connection_timeout=self._timeout_s,
            network_timeout=self._timeout_s,
        )
        headers = {
            "authorization": f"Bearer {self._key}",
            "content-type": "application/json",
        }
        content = b"" if body is None else orjson.dumps(body)
        try:
            resp = client.request(method, path, body=content, headers=headers)
            raw = resp.read()
        finally:
            client.close()
        return resp.status_code, (orjson.loads(raw) if raw else None)


def _failure(status: int, answer: Any) -> CommandFailed:
    problem = answer if isinstance(answer, dict) else {}
    message = problem.get("detail") or f"The entry answered {status}."
    if problem.get("outcome") == "unknown":
        return OutcomeUnknown(message)
    if status == HTTP_CONFLICT:
        return ChangeConflict(message)
    if status == HTTP_UNAVAILABLE:
        return ServiceUnavailable(message)
    return CommandRefused(message)
