"""Distribution of a new expert map to the ranks of a group, which copy its experts."""

import time
from collections.abc import Iterable
from dataclasses import dataclass

import gevent

from toucanspool.groups.expert_map import IntArray
from toucanspool.groups.group_client import GroupChanged, GroupClient
from toucanspool.groups.rank_arrays import pack_changes, pack_map
from toucanspool.groups.rank_engine import UNSET
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import (
    RankAction,
    RankAnswer,
    RankAsk,
    RankResult,
)

MAX_ATTEMPTS = 3
POLL_INTERVAL_S = 0.05
# Size of a status request and its answer with the headers of the network.
STATUS_BYTES = 400
# Timeout of copies: the time expected at the rate of the link times a factor, plus a
# margin.
COPY_TIMEOUT_FACTOR = 2.0
COPY_TIMEOUT_MARGIN_S = 1.0
# Engines start with this map, of which their agents have not been told.
INITIAL_VERSION = 0


@dataclass(slots=True, frozen=True)
class VersionedMap:
    """Pair a map with its version.

    Parameters
    ----------
    version : int
        Version of the map.
    experts : ndarray of int, shape (layer_sets, ranks, slots)
        The expert in each slot; `EMPTY` for an empty slot.
    """

    version: int
    experts: IntArray


def prepare_request(new: VersionedMap, base: VersionedMap | None = None) -> RankAsk:
    """Return the request to copy the experts of a map.

    Parameters
    ----------
    new : VersionedMap
        The map.
    base : VersionedMap, optional
        Another map that the rank's agent has been told. The request then holds only
        what differs, since whole maps for all ranks take long on a slow link.

    Returns
    -------
    RankAsk
    """
    _, ranks, slots = new.experts.shape
    request = RankAsk(
        action=RankAction.PREPARE, version=new.version, ranks=ranks, places=slots
    )
    if base is None:
        request.experts = pack_map(new.experts)
    else:
        request.base = base.version
        request.changes = pack_changes(base.experts, new.experts)
    return request


def copy_timeout_s(engine: EngineModel, copies: int) -> float:
    """Return the longest time for all ranks to copy experts, in seconds.

    Parameters
    ----------
    engine : EngineModel
        Gives the time of one copy.
    copies : int
        The most copies that a rank makes.

    Returns
    -------
    float
    """
    return COPY_TIMEOUT_FACTOR * copies * engine.expert_copy_s + COPY_TIMEOUT_MARGIN_S


class MapPreparation:
    """Have all ranks of a group copy the experts of one map.

    Parameters
    ----------
    client : GroupClient
        Sends the requests.
    epoch : int
        The group's epoch.
    new : VersionedMap
        The map to copy.
    current : VersionedMap, optional
        The map in use, if the ranks use one.
    """

    __slots__ = (
        "_attempts",
        "_changes",
        "_client",
        "_epoch",
        "_version",
        "_waiting",
        "_whole",
        "_without_base",
    )

    def __init__(
        self,
        client: GroupClient,
        epoch: int,
        new: VersionedMap,
        current: VersionedMap | None = None,
    ) -> None:
        self._client = client
        self._epoch = epoch
        self._version = new.version
        self._whole = prepare_request(new)
        self._changes = None
        if current is not None and current.version != INITIAL_VERSION:
            self._changes = prepare_request(new, current)
        self._waiting: set[int] = set()
        self._without_base: set[int] = set()
        self._attempts: dict[int, int] = {}

    def run(self, ranks: Iterable[int], timeout_s: float, *, first: int) -> bool:
        """Return whether all ranks have copied the experts in time.

        Parameters
        ----------
        ranks : iterable of int
            All ranks of the group.
        timeout_s : float
            The longest time for all ranks, in seconds.
        first : int
            The rank that accepts the map before any other is told of it.

        Returns
        -------
        bool

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        GroupChanged
            The group was formed again, a rank is unreachable, or another switch holds a
            pass or has armed a rank.
        """
        deadline = time.monotonic() + timeout_s
        ranks = set(ranks)
        if self._changes is None:
            self._without_base = set(ranks)
        self._attempts = dict.fromkeys(ranks, 0)
        if not self._prepare({first}, deadline, until_accepted=True):
            return False
        return self._prepare(ranks, deadline)

    def wait(self, ranks: Iterable[int], timeout_s: float) -> bool:
        """Return whether ranks that have accepted the map copy its experts in time.

        Parameters
        ----------
        ranks : iterable of int
            All ranks of the group.
        timeout_s : float
            The longest time for all ranks, in seconds.

        Returns
        -------
        bool
        """
        deadline = time.monotonic() + timeout_s
        waiting = set(ranks)
        while waiting and time.monotonic() <= deadline:
            status = RankAsk(action=RankAction.STATUS)
            answers = self._client.send_all(waiting, status, self._epoch)
            for rank, answer in answers.items():
                if answer is not None and answer.prepared == self._version:
                    waiting.discard(rank)
            if waiting:
                gevent.sleep(POLL_INTERVAL_S)
        return not waiting

    def _prepare(
        self, ranks: set[int], deadline: float, *, until_accepted: bool = False
    ) -> bool:
        self._waiting = set(ranks)
        while self._waiting:
            if time.monotonic() > deadline:
                return False
            answers = self._send_round(answer_at_once=until_accepted)
            for rank, answer in answers.items():
                if answer is None:
                    raise GroupChanged("a rank is unreachable")
                self._handle(rank, answer)
                if until_accepted and answer.result == RankResult.OK:
                    self._waiting.discard(rank)
            if self._waiting:
                polls_s = self._client.transfer_s(STATUS_BYTES * len(self._waiting))
                gevent.sleep(max(POLL_INTERVAL_S, polls_s))
        return True

    def _send_round(self, *, answer_at_once: bool) -> dict[int, RankAnswer | None]:
        self._whole.answer_at_once = answer_at_once
        if self._changes is not None:
            self._changes.answer_at_once = answer_at_once
        due = {r for r in self._waiting if self._attempts[r] < MAX_ATTEMPTS}
        for rank in due:
            self._attempts[rank] += 1
        whole = due & self._without_base
        # A rank that has accepted the map answers once it has copied the experts.
        status = RankAsk(action=RankAction.STATUS, version=self._version)
        parts = (
            (due - whole, self._changes),
            (whole, self._whole),
            (self._waiting - due, status),
        )
        return self._client.send_each(
            {rank: request for ranks, request in parts for rank in ranks}, self._epoch
        )

    def _handle(self, rank: int, answer: RankAnswer) -> None:
        accepted = answer.result == RankResult.OK
        refused = answer.result in (RankResult.REFUSED, RankResult.NOT_READY)
        if refused and rank not in self._without_base:
            self._without_base.add(rank)
            self._attempts[rank] = 0
        elif accepted or answer.result == RankResult.REFUSED:
            self._attempts[rank] = MAX_ATTEMPTS
        if answer.held != UNSET or answer.armed != UNSET:
            # A late order or another coordinator: this switch has given no such order.
            raise GroupChanged(f"rank {rank} is held or armed")
        if answer.prepared == self._version:
            self._waiting.discard(rank)
