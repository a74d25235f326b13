"""What the answers of a group's ranks say about the group as a whole."""

from collections.abc import Mapping

from toucanspool.groups.map_versions import token_of_version
from toucanspool.groups.rank_engine import UNSET
from toucanspool.wire.gen.messages.ttypes import RankAnswer

# Passes to try to hold; there are as many names for a hold as passes times ranks.
MAX_PASSES_TRIED = 3


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


def held_passes(answers: Mapping[int, RankAnswer]) -> set[tuple[int, int]]:
    """Return the ranks that hold a pass, each with that pass."""
    return {(rank, a.held) for rank, a in answers.items() if a.held != UNSET}


def passes_to_hold(answers: Mapping[int, RankAnswer]) -> list[int]:
    """Return passes to hold so that no armed rank switches; none if none is armed.

    Parameters
    ----------
    answers : mapping of int to RankAnswer
        The latest answer of each rank.

    Returns
    -------
    list of int
        The pass at which the ranks are armed and some before it. If the engines don't
        tell it, only the next pass, which may have begun by now.
    """
    armed = [answer for answer in answers.values() if answer.armed != UNSET]
    if not armed:
        return []
    latest = max(answer.step for answer in answers.values())
    steps = {answer.armed_step for answer in armed} - {UNSET, None}
    if not steps:
        return [latest + 1]
    return list(range(min(steps), latest, -1))[:MAX_PASSES_TRIED] or [min(steps)]


def is_complete(answers: Mapping[int, RankAnswer]) -> bool:
    """Return whether every rank has answered."""
    return len(answers) == next(iter(answers.values())).size


def can_act(
    answers: Mapping[int, RankAnswer],
    previous_rank: int | None,
    previous_token: int,
) -> bool:
    """Return whether a coordinator may act on these answers.

    Parameters
    ----------
    answers : mapping of int to RankAnswer
        The latest answer of each rank that can be reached.
    previous_rank : int or None
        The rank on the machine of the previous coordinator, if known.
    previous_token : int
        The token of the previous coordinator.

    Returns
    -------
    bool
    """
    if len({answer.epoch for answer in answers.values()}) > 1:
        return False
    if is_complete(answers):
        return True
    size = next(iter(answers.values())).size
    missing = set(range(size)) - answers.keys()
    held = any(answer.held != UNSET for answer in answers.values())
    # A coordinator fences its own rank first and arms it last. If any other rank is not
    # armed, the missing rank of the previous coordinator is not armed either, unless
    # that one had not begun to undo what an earlier coordinator did.
    others_armed = all(answer.armed != UNSET for answer in answers.values())
    newest = max(answer.newest_version for answer in answers.values())
    is_its_switch = token_of_version(newest) in (0, previous_token)
    return held and missing == {previous_rank} and not others_armed and is_its_switch
