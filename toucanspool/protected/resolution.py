"""Resolution of a claim against the row that its key already has."""

from dataclasses import dataclass

from toucanspool.backing.objects import Objects, ObjectsUnavailable
from toucanspool.backing.table import Row
from toucanspool.protected.errors import (
    Abandoned,
    InProgress,
    KeyReused,
    ResponseGone,
    ResponseUnavailable,
)
from toucanspool.protected.row import (
    ABANDONED,
    DONE,
    FREE,
    GONE,
    OBJECT,
    BufferedResponse,
    ClaimRow,
    UnreadableRow,
    decode_response,
    decode_row,
)
from toucanspool.protected.writes import Claim


@dataclass(slots=True, frozen=True)
class Started:
    """Permit the call to be sent to the upstream once.

    Parameters
    ----------
    claim : Claim
        The claim: to be finished, or to be released if nothing was sent.
    """

    claim: Claim


@dataclass(slots=True, frozen=True)
class Replay:
    """Hold the recorded response of the key's only execution.

    Parameters
    ----------
    response : BufferedResponse
        The recorded response.
    """

    response: BufferedResponse


def resolve_claim(
    claim: Claim, found: Row | None, objects: Objects
) -> Started | Replay | None:
    """Return the result of a claim, or None if its key is free.

    Parameters
    ----------
    claim : Claim
        The claim. Its version is updated if the row is its own.
    found : Row or None
        The row read.
    objects : Objects
        Stores large bodies.

    Returns
    -------
    Started or Replay or None

    Raises
    ------
    KeyReused, InProgress, ResponseGone, ResponseUnavailable
        Another claim owns the key, and there is no response to replay.
    """
    row = _decode(found) if found else None
    if found is None or row is None or row.state == FREE:
        return None
    if row.claim == claim.row.claim:
        claim.version = found.version
        return Started(claim)
    if row.body_hash != claim.row.body_hash:
        raise KeyReused("the key stands for another call")
    if row.state == DONE:
        return Replay(_load_response(row, objects))
    if row.state == ABANDONED:
        raise Abandoned(f"the agent on {row.instance} went before its answer")
    raise InProgress(f"attempt {row.attempt} has it on {row.instance}")


def _decode(found: Row) -> ClaimRow:
    try:
        return decode_row(found.value)
    except UnreadableRow as exc:
        raise ResponseGone("the key's row can't be read by this version") from exc


def _load_response(row: ClaimRow, objects: Objects) -> BufferedResponse:
    stored = row.answer
    if stored is None or stored.kept == GONE:
        raise ResponseGone("the call ran, and its answer is no longer kept")
    if stored.kept != OBJECT:
        try:
            return decode_response(stored)
        except UnreadableRow as exc:
            raise ResponseGone("the call ran, its answer can't be read") from exc
    try:
        body = objects.get(stored.body)
    except ObjectsUnavailable as exc:
        raise ResponseUnavailable("the call ran, its answer can't be read") from exc
    if body is None or len(body) != stored.size:
        raise ResponseGone("the call ran, and its answer is no longer kept")
    return decode_response(stored, body)
