"""Arming of a group's ranks for a held pass."""

from collections.abc import Iterable

from toucanspool.groups.group_client import GroupClient
from toucanspool.wire.gen.messages.ttypes import RankAction, RankAsk, RankResult

MAX_ATTEMPTS = 8


class RankArming:
    """Arm ranks to switch to a version as a held pass begins.

    Parameters
    ----------
    client : GroupClient
        Sends the requests.
    epoch : int
        The group's epoch.
    version : int
        Version of a map that the ranks have prepared.
    step : int
        The held pass.

    Attributes
    ----------
    rounds : int
        Rounds of orders sent.
    """

    __slots__ = ("_client", "_epoch", "_step", "_version", "rounds")

    def __init__(
        self, client: GroupClient, epoch: int, version: int, step: int
    ) -> None:
        self._client = client
        self._epoch = epoch
        self._version = version
        self._step = step
        self.rounds = 0

    def run(self, ranks: Iterable[int]) -> bool:
        """Return whether all of these ranks are confirmed to be armed.

        Parameters
        ----------
        ranks : iterable of int
            The ranks.

        Returns
        -------
        bool

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        GroupChanged
            The group was formed again.
        """
        waiting = set(ranks)
        for _ in range(MAX_ATTEMPTS):
            self.rounds += 1
            request = RankAsk(
                action=RankAction.ARM, version=self._version, step=self._step
            )
            answers = self._client.send_all(waiting, request, self._epoch)
            for rank, answer in answers.items():
                if answer is None:
                    continue
                if answer.result == RankResult.OK or answer.armed == self._version:
                    waiting.discard(rank)
                elif answer.result == RankResult.REFUSED:
                    return False
            if not waiting:
                return True
        return False
