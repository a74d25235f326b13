"""Requests of a coordinator to all ranks of its group, with its fencing token."""

import math
from collections.abc import Collection, Iterable, Mapping
from copy import copy

import gevent
import structlog

from toucanspool.groups.map_versions import token_of_version
from toucanspool.groups.rank_calls import NoAnswer, RankLink
from toucanspool.groups.rank_engine import UNSET
from toucanspool.wire.gen.messages.ttypes import (
    RankAction,
    RankAnswer,
    RankAsk,
    RankResult,
)

# Share of the coordinator's link for one set of messages, since several overlap.
LINK_SHARE = 0.5

_log = structlog.get_logger()


class Replaced(Exception):
    """Report that another coordinator has been elected.

    Parameters
    ----------
    message : str
        Text for logs.
    token : int
        The token of that coordinator, or a lower one.
    """

    def __init__(self, message: str, token: int) -> None:
        super().__init__(message)
        self.token = token


class GroupChanged(Exception):
    """Report that the group was formed again, or that a rank is unreachable."""


class GroupClient:
    """Send requests to the ranks of one group on behalf of its coordinator.

    Parameters
    ----------
    group : str
        The group.
    token : int
        Fencing token from the coordinator's election.
    links : mapping of int to RankLink
        Links to the group's ranks, by rank.
    link_bits_per_s : float, default=inf
        Bandwidth of the coordinator's network link.
    """

    __slots__ = ("_link_bits_per_s", "_links", "group", "token")

    def __init__(
        self,
        group: str,
        token: int,
        links: Mapping[int, RankLink],
        *,
        link_bits_per_s: float = math.inf,
    ) -> None:
        self.group = group
        self.token = token
        self._links = links
        self._link_bits_per_s = link_bits_per_s

    def fetch_statuses(
        self, *, counted: Collection[int] = (), count_bytes: int = 0
    ) -> dict[int, RankAnswer]:
        """Return the status of each rank that can be reached.

        Parameters
        ----------
        counted : collection of int, optional
            Ranks whose answers include expert counts.
        count_bytes : int, default=0
            Size of the counts of one rank.

        Returns
        -------
        dict of int to RankAnswer

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        """
        transfer_s = self.transfer_s(count_bytes * len(counted))
        tasks = {
            rank: gevent.spawn(
                self._fetch_status,
                link,
                RankAction.COUNTS if rank in counted else RankAction.STATUS,
                transfer_s,
            )
            for rank, link in self._links.items()
        }
        gevent.joinall(list(tasks.values()))
        answers = {}
        for rank, task in tasks.items():
            answer = task.value
            if answer is None:
                continue
            self._check_token(answer)
            if answer.rank == rank and answer.group == self.group:
                answers[rank] = answer
        return answers

    def send(
        self,
        rank: int,
        request: RankAsk,
        epoch: int,
        *,
        transfer_s: float = 0.0,
    ) -> RankAnswer:
        """Send a request to one rank and return the answer.

        Parameters
        ----------
        rank : int
            The rank.
        request : RankAsk
            The request; group, token and epoch are set here.
        epoch : int
            The group's epoch. The engine refuses orders of another epoch.
        transfer_s : float, default=0.0
            Time that the network needs for requests sent at the same time, in seconds.

        Returns
        -------
        RankAnswer

        Raises
        ------
        NoAnswer
            No answer came.
        Replaced
            Another coordinator has been elected.
        GroupChanged
            The group was formed again.
        """
        request.group, request.token, request.epoch = self.group, self.token, epoch
        answer = self._links[rank].send(request, transfer_s=transfer_s)
        self._check_token(answer)
        if answer.rank == UNSET:
            raise NoAnswer(answer.detail)
        if answer.epoch != epoch or answer.rank != rank:
            raise GroupChanged(f"expected epoch {epoch}, got {answer.epoch}")
        return answer

    def send_all(
        self, ranks: Iterable[int], request: RankAsk, epoch: int
    ) -> dict[int, RankAnswer | None]:
        """Send a request to several ranks and return their answers.

        Parameters
        ----------
        ranks : iterable of int
            The ranks.
        request : RankAsk
            The request; group, token and epoch are set here.
        epoch : int
            The group's epoch.

        Returns
        -------
        dict of int to RankAnswer or None
            None for a rank that did not answer.

        Raises
        ------
        Replaced, GroupChanged
            As for `send`.
        """
        return self.send_each(dict.fromkeys(ranks, request), epoch)

    def send_each(
        self, requests: Mapping[int, RankAsk], epoch: int
    ) -> dict[int, RankAnswer | None]:
        """Send a request of its own to each of several ranks; see `send_all`.

        Parameters
        ----------
        requests : mapping of int to RankAsk
            The requests, by rank.
        epoch : int
            The group's epoch.

        Returns
        -------
        dict of int to RankAnswer or None
            None for a rank that did not answer.

        Raises
        ------
        Replaced, GroupChanged
            As for `send`.
        """
        size = sum(
            len(request.experts or b"") + len(request.changes or b"")
            for request in requests.values()
        )
        transfer_s = self.transfer_s(size)
        tasks = {
            rank: gevent.spawn(
                self._send_or_error, rank, copy(request), epoch, transfer_s
            )
            for rank, request in requests.items()
        }
        gevent.joinall(list(tasks.values()))
        answers = {}
        for rank, task in tasks.items():
            if isinstance(task.value, Replaced | GroupChanged):
                raise task.value
            answers[rank] = task.value
        return answers

    def check_term(self, own_rank: int, epoch: int) -> None:
        """Raise `Replaced` or `GroupChanged` if this coordinator's agent knows of it.

        Requests that are repeated until one rank answers would otherwise not notice.

        Parameters
        ----------
        own_rank : int
            The rank on the coordinator's machine.
        epoch : int
            The group's epoch.
        """
        self.send_all([own_rank], RankAsk(action=RankAction.STATUS), epoch)

    def transfer_s(self, n_bytes: int) -> float:
        """Return the time that messages take on the coordinator's link, in seconds.

        Parameters
        ----------
        n_bytes : int
            Size of all messages.

        Returns
        -------
        float
        """
        return 8.0 * n_bytes / (LINK_SHARE * self._link_bits_per_s)

    def _fetch_status(
        self, link: RankLink, action: int, transfer_s: float
    ) -> RankAnswer | None:
        request = RankAsk(
            action=action, group=self.group, token=self.token, epoch=UNSET
        )
        try:
            return link.send(request, transfer_s=transfer_s)
        except NoAnswer as exc:
            _log.info("rank agent did not answer", group=self.group, error=str(exc))
            return None

    def _send_or_error(
        self, rank: int, request: RankAsk, epoch: int, transfer_s: float
    ) -> RankAnswer | Replaced | GroupChanged | None:
        try:
            return self.send(rank, request, epoch, transfer_s=transfer_s)
        except NoAnswer:
            return None
        except (Replaced, GroupChanged) as exc:
            return exc

    def _check_token(self, answer: RankAnswer) -> None:
        if answer.result == RankResult.STALE:
            text = f"token {answer.token} is newer than {self.token}"
            raise Replaced(text, answer.token)
        newest = token_of_version(answer.newest_version or 0)
        if newest > self.token:
            # The agent doesn't know of the election yet, or was not asked.
            raise Replaced(f"a map has version {answer.newest_version}", newest)
