"""What the row found under a key means for a new claim."""

from dataclasses import dataclass

from toucanspool.backing.objects import Objects, ObjectsUnavailable
from toucanspool.backing.table import Row
from toucanspool.protected.errors import (
    Abandoned,
    AnswerGone,
    AnswerUnreachable,
    InProgress,
    KeyReused,
)
from toucanspool.protected.row import (
    ABANDONED,
    DONE,
    FREE,
    GONE,
    OBJECT,
    Answer,
    BadRow,
    ClaimRow,
    decode_row,
    whole_answer,
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
    """Hold the answer of the key's only execution.

    Parameters
    ----------
    answer : Answer
        The answer recorded.
    """

    answer: Answer


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
    KeyReused, InProgress, AnswerGone, AnswerUnreachable
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
        return Replay(_recorded_answer(row, objects))
    if row.state == ABANDONED:
        raise Abandoned(f"the agent on {row.instance} went before its answer")
    raise InProgress(f"attempt {row.attempt} has it on {row.instance}")


def _decode(found: Row) -> ClaimRow:
    try:
        return decode_row(found.value)
    except BadRow as exc:
        raise AnswerGone("the key's row can't be read by this version") from exc


def _recorded_answer(row: ClaimRow, objects: Objects) -> Answer:
    kept = row.answer
    if kept is None or kept.kept == GONE:
        raise AnswerGone("the call ran, and its answer is no longer kept")
    if kept.kept != OBJECT:
        return whole_answer(kept)
    try:
        body = objects.get(kept.body)
    except ObjectsUnavailable as exc:
        raise AnswerUnreachable("the call ran, its answer can't be read") from exc
    if body is None or len(body) != kept.size:
        raise AnswerGone("the call ran, and its answer is no longer kept")
    return whole_answer(kept, body)
