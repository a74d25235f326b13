"""Reading of the expert maps that the ranks of a group use."""

from collections.abc import Mapping

import numpy as np

from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.expert_map import EMPTY, IntArray
from toucanspool.groups.group_client import GroupChanged, GroupClient
from toucanspool.groups.rank_arrays import MAP_DTYPE, unpack_map
from toucanspool.groups.rank_calls import NoAnswer
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAnswer, RankAsk

INITIAL_MAP_VERSION = 0


def read_copies(
    client: GroupClient,
    answers: Mapping[int, RankAnswer],
    version: int,
    engine: EngineModel,
) -> ExpertCopies:
    """Read the expert copies of the map that all ranks use.

    Parameters
    ----------
    client : GroupClient
        Sends the requests.
    answers : mapping of int to RankAnswer
        The latest answer of each rank that can be reached.
    version : int
        Version of the map in use.
    engine : EngineModel
        Numbers of layer sets, experts and expert slots.

    Returns
    -------
    ExpertCopies

    Raises
    ------
    NoAnswer
        A rank did not answer.
    GroupChanged
        The map changed during the read.
    """
    size = next(iter(answers.values())).size
    if version == INITIAL_MAP_VERSION:
        return ExpertCopies.round_robin(
            engine.layer_sets, size, engine.experts, engine.expert_slots
        )
    lists = read_lists(client, answers, engine, version=version)
    copies = ExpertCopies.from_lists(lists, engine.experts)
    for rank in set(range(size)) - answers.keys():
        # Every expert has a copy, so a rank without an answer holds those that no other
        # rank holds.
        copies.held[:, rank, :] = ~copies.held.any(axis=1)
    return copies


def read_lists(
    client: GroupClient,
    answers: Mapping[int, RankAnswer],
    engine: EngineModel,
    *,
    version: int | None = None,
) -> IntArray:
    """Read the experts that each rank holds.

    Parameters
    ----------
    client, answers, engine
        As for `read_copies`.
    version : int, optional
        Version of the map that all ranks must use. By default they may use different
        ones.

    Returns
    -------
    ndarray of int, shape (layer_sets, ranks, slots)
        The expert in each slot; `EMPTY` for an empty slot, and for all slots of a rank
        that can't be reached.

    Raises
    ------
    NoAnswer, GroupChanged
        As for `read_copies`.
    """
    first = next(iter(answers.values()))
    shape = (engine.layer_sets, first.size, engine.expert_slots)
    lists = np.full(shape, EMPTY, dtype=MAP_DTYPE)
    # All ranks are asked at once, since those that hear nothing for long stand for
    # election.
    request = RankAsk(action=RankAction.LISTS, places=engine.expert_slots)
    for rank, answer in client.send_all(answers, request, first.epoch).items():
        if answer is None:
            raise NoAnswer(f"rank {rank} did not answer")
        if version is not None and answer.map_version != version:
            raise GroupChanged("the map changed during the read")
        lists[:, rank, :] = unpack_map(answer.experts, engine.expert_slots)
    return lists
