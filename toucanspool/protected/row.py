"""The row kept for each idempotency key of a team."""

import base64
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal

import orjson
from pydantic import TypeAdapter, ValidationError

from toucanspool.backing.table import TableError

PREFIX = "claim/"
OBJECT_PREFIX = "answer/"
STARTED = "started"
DONE = "done"
ABANDONED = "abandoned"
FREE = "free"

INLINE = "inline"
OBJECT = "object"
GONE = "gone"

State = Literal["started", "done", "abandoned", "free"]
Kept = Literal["inline", "object", "gone"]


class BadRow(TableError):
    """Report a row that this version can't read."""


@dataclass(slots=True, frozen=True)
class BufferedResponse:
    """Hold an upstream's whole reply.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : mapping of str to str
        Headers.
    body : bytes
        The whole body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class StoredResponse:
    """Hold an answer as a row keeps it.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers.
    kept : {"inline", "object", "gone"}
        Where the body is.
    body : str
        Base64 of the body, or the name of its object, or empty.
    size : int, default=0
        Bytes of the whole body.
    """

    status: int
    headers: dict[str, str]
    kept: Kept = INLINE
    body: str = ""
    size: int = 0


@dataclass(slots=True, frozen=True)
class ClaimRow:
    """Hold the content of a claim's row.

    Parameters
    ----------
    state : {"started", "done", "abandoned", "free"}
        ``"started"`` lasts until an answer is recorded; ``"abandoned"`` is a
        started one whose agent has gone; ``"free"`` may be claimed anew.
    claim : str
        Identity of the claim, drawn by the agent, never used twice.
    attempt : str, default=""
        The caller's attempt.
    body_hash : str, default=""
        Hash of the call's method, path and body.
    instance : str, default=""
        The agent's instance.
    answer : StoredResponse, optional
        The answer of a done claim.
    """

    state: State
    claim: str
    attempt: str = ""
    body_hash: str = ""
    instance: str = ""
    answer: StoredResponse | None = field(default=None)


_ROW = TypeAdapter(ClaimRow)


def row_key(team: str, key: str) -> str:
    """Return the key of a claim's row.

    Parameters
    ----------
    team : str
        The team's name, which holds no slash.
    key : str
        The idempotency key.

    Returns
    -------
    str
    """
    return f"{PREFIX}{team}/{key}"


def encode_row(row: ClaimRow) -> bytes:
    """Return a row as JSON.

    Parameters
    ----------
    row : ClaimRow
        The row.

    Returns
    -------
    bytes
    """
    return orjson.dumps(row)


def decode_row(data: bytes) -> ClaimRow:
    """Return the row in JSON made by `encode_row`.

    Parameters
    ----------
    data : bytes
        The JSON.

    Returns
    -------
    ClaimRow

    Raises
    ------
    BadRow
        The JSON is no row.
    """
    try:
        return _ROW.validate_json(data)
    except ValidationError as exc:
        raise BadRow(str(exc)) from exc


def inline_response(answer: BufferedResponse) -> StoredResponse:
    """Return an answer kept in the row itself.

    Parameters
    ----------
    answer : BufferedResponse
        The answer.

    Returns
    -------
    StoredResponse
    """
    text = base64.b64encode(answer.body).decode()
    size = len(answer.body)
    return StoredResponse(answer.status, dict(answer.headers), INLINE, text, size)


def decode_response(
    kept: StoredResponse, body: bytes | None = None
) -> BufferedResponse:
    """Return the answer that a row keeps.

    Parameters
    ----------
    kept : StoredResponse
        What the row keeps.
    body : bytes, optional
        The object's content, where the body is in an object.

    Returns
    -------
    BufferedResponse
    """
    if body is None:
        body = base64.b64decode(kept.body)
    return BufferedResponse(kept.status, kept.headers, body)
