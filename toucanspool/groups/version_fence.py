"""Fencing of ranks against earlier switches, by the version of the prepared map."""

import itertools
from collections import Counter
from collections.abc import Collection, Sequence

import gevent

from toucanspool.groups.group_client import GroupChanged, GroupClient
from toucanspool.groups.map_preparation import VersionedMap, prepare_request
from toucanspool.groups.rank_engine import UNSET
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAsk, RankResult

RETRY_INTERVAL_S = 0.05
# A rank on another machine may show for some time that it has not accepted the version.
MAX_REFUSALS = 40


def fence_ranks(
    client: GroupClient,
    epoch: int,
    ranks: Sequence[int],
    new: VersionedMap,
    disarmed: Collection[int],
    *,
    disarm_own: bool = True,
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
    disarm_own : bool, default=True
        Whether to disarm the first rank too.

    Raises
    ------
    Replaced
        Another coordinator has been elected.
    GroupChanged
        The group was formed again, a rank is armed and must not be disarmed, or a rank
        that is not armed keeps refusing the map.
    """
    own_rank, *others = ranks
    parts = (({own_rank}, disarmed if disarm_own else ()), (set(others), disarmed))
    for part, part_disarmed in parts:
        refusals: Counter[int] = Counter()
        for attempt in itertools.count():
            if not part:
                break
            if attempt > 1:
                gevent.sleep(RETRY_INTERVAL_S)
                client.check_term(own_rank, epoch)
            refused = _prepare(client, epoch, part, new, part_disarmed)
            refusals.update(refused)
            if max(refusals.values(), default=0) > MAX_REFUSALS:
                raise GroupChanged("a rank refuses the map")
            for version in part_disarmed:
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
