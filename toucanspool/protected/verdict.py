"""What the row found under a key means for a new claim."""

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
    BadRow,
    BufferedResponse,
    ClaimRow,
    decode_response,
    decode_row,
)
from toucanspool.protected.writes import Claim


@dataclass(slots=True, frozen=True)
class Started:
    """Permit one hand-over of the call.

    Parameters
    ----------
    claim : Claim
        To be finished, or released where nothing was handed over.
    """

    claim: Claim


@dataclass(slots=True, frozen=True)
class Replay:
    """Hold the response of the key's only execution.

    Parameters
    ----------
    response : BufferedResponse
        The recorded response.
    """

    response: BufferedResponse


def judge(claim: Claim, found: Row | None, objects: Objects) -> Started | Replay | None:
    """Return what a claim got, or None where the key is free.

    Parameters
    ----------
    claim : Claim
        The claim; gets the row's version where the row is its own.
    found : Row or None
        The row read.
    objects : Objects
        Keeps large bodies.

    Returns
    -------
    Started or Replay or None

    Raises
    ------
    KeyReused, InProgress, ResponseGone, ResponseUnavailable
        The key is another claim's.
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
    except BadRow as exc:
        raise ResponseGone("the key's row can't be read by this version") from exc


def _load_response(row: ClaimRow, objects: Objects) -> BufferedResponse:
    kept = row.answer
    if kept is None or kept.kept == GONE:
        raise ResponseGone("the call ran, and its response is no longer stored")
    if kept.kept != OBJECT:
        return decode_response(kept)
    try:
        body = objects.get(kept.body)
    except ObjectsUnavailable as exc:
        raise ResponseUnavailable(
            "the call ran, but its response can't be read now"
        ) from exc
    if body is None or len(body) != kept.size:
        raise ResponseGone("the call ran, and its response is no longer stored")
    return decode_response(kept, body)
