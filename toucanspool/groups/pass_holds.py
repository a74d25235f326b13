"""Holds of passes, placed and released on behalf of one coordinator."""

from collections.abc import Iterable, Mapping

import gevent

from toucanspool.groups.group_client import GroupClient
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
# A hold at one rank may be that of the switch that is undone, which holds its pass at
# one rank only.
HOLDERS_NEEDED = 2
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
    """

    __slots__ = ("_client", "_epoch", "_holds", "_own_rank")

    def __init__(self, client: GroupClient, epoch: int, own_rank: int) -> None:
        self._client = client
        self._epoch = epoch
        self._own_rank = own_rank
        self._holds: set[tuple[int, int]] = set()

    def place_ahead(self, ranks: Iterable[int], passes_ahead: int) -> int:
        """Hold a pass that no order has named, at the first rank that confirms it.

        Parameters
        ----------
        ranks : iterable of int
            Ranks to try, in this order.
        passes_ahead : int
            Passes from the latest one to the held one, at least.

        Returns
        -------
        int
            The held pass; `UNSET` if no rank confirmed one.
        """
        request = RankAsk(action=RankAction.HOLD_AHEAD, step=passes_ahead)
        for rank in list(ranks)[:MAX_HOLDERS_TRIED]:
            try:
                answer = self._client.send(rank, request, self._epoch)
            except NoAnswer:
                continue
            if answer.result == RankResult.OK and answer.held != UNSET:
                self._holds.add((rank, answer.held))
                return answer.held
        return UNSET

    def place_at(self, ranks: Iterable[int], step: int) -> bool:
        """Hold a given pass at two ranks.

        Parameters
        ----------
        ranks : iterable of int
            Ranks to try, in this order.
        step : int
            The pass.

        Returns
        -------
        bool
            Whether two ranks confirmed it, so that the pass hasn't begun and begins
            only after `release`.
        """
        untried, placed = list(ranks), 0
        while untried and placed < HOLDERS_NEEDED:
            tried = untried[: HOLDERS_NEEDED - placed]
            untried = untried[len(tried) :]
            request = RankAsk(action=RankAction.HOLD, step=step)
            answers = self._client.send_all(tried, request, self._epoch)
            for rank, answer in answers.items():
                if answer is not None and answer.result == RankResult.OK:
                    self._holds.add((rank, step))
                    placed += 1
        return placed >= HOLDERS_NEEDED

    def adopt_all(self, answers: Mapping[int, RankAnswer]) -> None:
        """Add the holds that were placed by another coordinator or by a late order.

        Parameters
        ----------
        answers : mapping of int to RankAnswer
            The latest answer of each rank.
        """
        for rank, answer in answers.items():
            if answer.held != UNSET:
                self._holds.add((rank, answer.held))

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
            if self._holds:
                gevent.sleep(RETRY_INTERVAL_S)
                self._client.check_term(self._own_rank, self._epoch)
