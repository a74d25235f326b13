"""Holds of passes, placed and released on behalf of one coordinator."""

import time
from collections.abc import Collection, Mapping, Sequence

import gevent

from toucanspool.groups.group_client import GroupClient
from toucanspool.groups.group_state import held_passes
from toucanspool.groups.rank_calls import NoAnswer
from toucanspool.groups.rank_engine import UNSET
from toucanspool.wire.gen.messages.ttypes import (
    RankAction,
    RankAnswer,
    RankAsk,
    RankResult,
)

RETRY_INTERVAL_S = 0.05
MAX_HOLDERS_TRIED = 3
# A late order may release a hold whose name was used before. The switch that is undone
# has used a name at one rank.
SHARED_HOLDS_NEEDED = 2
RELEASED_RESULTS = (RankResult.OK, RankResult.REFUSED)


class PassHolds:
    """Place and release the holds of one switch, or of its recovery.

    Parameters
    ----------
    client : GroupClient
        Sends the requests.
    epoch : int
        The group's epoch.
    own_rank : int
        The rank on the coordinator's machine.

    Attributes
    ----------
    known : set of (int, int)
        Ranks and passes of all holds that were placed or adopted, released or not.
    held_s : float
        Time from the first order to hold until all releases were confirmed, in seconds;
        0 before.
    delayed_group : bool
        Whether a pass began as it was released, so that the group waited for that.
    """

    __slots__ = (
        "_client",
        "_epoch",
        "_first_order_at",
        "_holds",
        "_own_rank",
        "delayed_group",
        "held_s",
        "known",
    )

    def __init__(self, client: GroupClient, epoch: int, own_rank: int) -> None:
        self._client = client
        self._epoch = epoch
        self._own_rank = own_rank
        self._holds: set[tuple[int, int]] = set()
        self._first_order_at = time.monotonic()
        self.held_s = 0.0
        self.known: set[tuple[int, int]] = set()
        self.delayed_group = False

    def place_ahead(self, ranks: Sequence[int], passes_ahead: int) -> int:
        """Hold a pass that no order has named, at the first rank that confirms it.

        Parameters
        ----------
        ranks : sequence of int
            All ranks, in the order in which some of them are tried.
        passes_ahead : int
            Passes from the latest one to the held one, at least.

        Returns
        -------
        int
            The held pass; `UNSET` if no rank confirmed one.
        """
        request = RankAsk(action=RankAction.HOLD_AHEAD, step=passes_ahead)
        # Late orders may hold passes at the ranks that are tried. Whoever undoes the
        # switch needs one that holds none.
        n_tried = max(1, min(MAX_HOLDERS_TRIED, len(ranks) - 2))
        for rank in ranks[:n_tried]:
            try:
                answer = self._client.send(rank, request, self._epoch)
            except NoAnswer:
                continue
            if answer.result == RankResult.OK and answer.held != UNSET:
                self._holds.add((rank, answer.held))
                self.known.add((rank, answer.held))
                return answer.held
        return UNSET

    def place_before(self, ranks: Sequence[int], passes: Sequence[int]) -> int:
        """Hold one of several passes such that only `release` releases it.

        Parameters
        ----------
        ranks : sequence of int
            Ranks to try, in this order.
        passes : sequence of int
            Passes to try, in this order.

        Returns
        -------
        int
            The held pass, which hasn't begun; `UNSET` for none.
        """
        answering = set()
        for step in passes:
            request = RankAsk(action=RankAction.HOLD, step=step)
            for rank in ranks:
                try:
                    answer = self._client.send(rank, request, self._epoch)
                except NoAnswer:
                    continue
                if answer.result == RankResult.OK:
                    self._holds.add((rank, step))
                    self.known.add((rank, step))
                    return step
                if answer.step >= step:
                    break
                answering.add(rank)
        return self._place_shared(answering, passes[0])

    def _place_shared(self, ranks: Collection[int], step: int) -> int:
        """Hold a pass at all ranks, where late orders may name it.

        No agent has a free name if all of them have just been started. Late orders to
        release the pass at all of these ranks would still end the hold.
        """
        if len(ranks) < SHARED_HOLDS_NEEDED:
            return UNSET
        request = RankAsk(action=RankAction.HOLD_SHARED, step=step)
        answers = self._client.send_all(ranks, request, self._epoch)
        placed = {
            (rank, step)
            for rank, answer in answers.items()
            if answer is not None and answer.result == RankResult.OK
        }
        self._holds |= placed
        self.known |= placed
        return step if len(placed) >= SHARED_HOLDS_NEEDED else UNSET

    def adopt_all(self, answers: Mapping[int, RankAnswer]) -> None:
        """Add the holds that were placed by another coordinator or by a late order.

        Parameters
        ----------
        answers : mapping of int to RankAnswer
            The latest answer of each rank.
        """
        self._holds |= held_passes(answers)
        self.known |= self._holds

    def release(self) -> None:
        """Release all holds; return once every engine has confirmed it.

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        GroupChanged
            The group was formed again.
        """
        while self._holds:
            for step in {step for _, step in self._holds}:
                ranks = [rank for rank, held in self._holds if held == step]
                request = RankAsk(action=RankAction.GO, step=step)
                answers = self._client.send_all(ranks, request, self._epoch)
                for rank, answer in answers.items():
                    # A refused order names a pass that the rank doesn't hold.
                    if answer is not None and answer.result in RELEASED_RESULTS:
                        self._holds.discard((rank, step))
                        self.delayed_group |= answer.step >= step
            if self._holds:
                gevent.sleep(RETRY_INTERVAL_S)
                self._client.check_term(self._own_rank, self._epoch)
        self.held_s = time.monotonic() - self._first_order_at
