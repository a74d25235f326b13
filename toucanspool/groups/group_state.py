"""What the answers of a group's ranks say about the group as a whole."""

from collections.abc import Mapping

from toucanspool.groups.rank_engine import UNSET
from toucanspool.wire.gen.messages.ttypes import RankAnswer


def is_fully_armed(answers: Mapping[int, RankAnswer]) -> bool:
    """Return whether every rank is armed with one version or already runs on it.

    Parameters
    ----------
    answers : mapping of int to RankAnswer
        The latest answer of each rank.

    Returns
    -------
    bool
    """
    armed = {answer.armed for answer in answers.values()} - {UNSET}
    if len(armed) != 1:
        return False
    # A rank that already runs on the map has begun the pass. Ranks begin a pass
    # together, so all of them have switched.
    (version,) = armed
    return all(version in (a.armed, a.map_version) for a in answers.values())


def armed_versions(answers: Mapping[int, RankAnswer]) -> set[int]:
    """Return the versions with which ranks are armed."""
    return {answer.armed for answer in answers.values()} - {UNSET}


def pass_to_hold(answers: Mapping[int, RankAnswer]) -> int:
    """Return a pass before which no armed rank switches; `UNSET` if none is armed.

    Parameters
    ----------
    answers : mapping of int to RankAnswer
        The latest answer of each rank.

    Returns
    -------
    int
        The pass at which the ranks are armed. If the engines don't tell it, the next
        one, which may have begun by now.
    """
    armed = [answer for answer in answers.values() if answer.armed != UNSET]
    if not armed:
        return UNSET
    steps = {answer.armed_step for answer in armed} - {UNSET, None}
    return min(steps) if steps else 1 + max(a.step for a in answers.values())
