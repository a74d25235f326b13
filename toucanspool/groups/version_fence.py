"""Fencing of ranks against earlier switches, by the version of the prepared map."""

import itertools
from collections.abc import Collection, Sequence

import gevent

from toucanspool.groups.group_client import GroupChanged, GroupClient
from toucanspool.groups.map_preparation import VersionedMap, prepare_request
from toucanspool.groups.rank_engine import UNSET
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAsk, RankResult

RETRY_INTERVAL_S = 0.05


def fence_ranks(
    client: GroupClient,
    epoch: int,
    ranks: Sequence[int],
    new: VersionedMap,
    disarmed: Collection[int],
) -> None:
    """Have every rank accept a version, after which no earlier one can be armed.

    An engine accepts a version only while it is not armed, so that its acceptance also
    proves that it isn't, however late it tells its state.

    Parameters
    ----------
    client : GroupClient
        Sends the requests.
    epoch : int
        The group's epoch.
    ranks : sequence of int
        The ranks. The first one, on the coordinator's machine, accepts the version
        before any other is told of it.
    new : VersionedMap
        The map to prepare.
    disarmed : collection of int
        Versions to disarm.

    Raises
    ------
    Replaced
        Another coordinator has been elected.
    GroupChanged
        The group was formed again, or a rank is armed with another version. No pass is
        held for that one, so that it must not be disarmed.
    """
    own_rank, *others = ranks
    for part in ({own_rank}, set(others)):
        for attempt in itertools.count():
            if not part:
                break
            if attempt > 1:
                gevent.sleep(RETRY_INTERVAL_S)
                client.check_term(own_rank, epoch)
            refused = _prepare(client, epoch, part, new, disarmed)
            for version in disarmed:
                request = RankAsk(action=RankAction.DISARM, version=version)
                client.send_all(refused, request, epoch)


def _prepare(
    client: GroupClient,
    epoch: int,
    ranks: set[int],
    new: VersionedMap,
    disarmed: Collection[int],
) -> list[int]:
    """Remove the ranks that accept the version, and return those that refuse it."""
    request = prepare_request(new)
    request.answer_at_once = True
    refused = []
    for rank, answer in client.send_all(ranks, request, epoch).items():
        if answer is None:
            continue
        if answer.result == RankResult.OK or answer.prepared == new.version:
            ranks.discard(rank)
        elif answer.armed not in (UNSET, *disarmed):
            raise GroupChanged(f"rank {rank} is armed with version {answer.armed}")
        elif answer.result == RankResult.REFUSED:
            refused.append(rank)
    return refused
