"""What a coordinator asks of the agents of its group's ranks, and their answers."""

from collections.abc import Iterable, Mapping
from copy import copy
from typing import Protocol

import gevent
import numpy as np
import structlog

from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.rank_arrays import MAP_TYPE, unpack_map
from toucanspool.groups.rank_calls import AskLost
from toucanspool.groups.rank_engine import NONE
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import (
    RankAction,
    RankAnswer,
    RankAsk,
    RankResult,
)

FIRST_VERSION = 0

_log = structlog.get_logger()


class Link(Protocol):
    """Ask the agent of one rank."""

    def ask(self, ask: RankAsk) -> RankAnswer:
        """Return the answer, or raise `AskLost`."""
        ...

    def ask_engine(self, ask: RankAsk) -> RankAnswer:
        """Ask the rank's engine past its agent, or raise `AskLost`."""
        ...


class Replaced(Exception):
    """Report that another coordinator has been elected."""


class GroupChanged(Exception):
    """Report that the group has formed anew, or that a rank can't be reached."""


def is_armed_whole(answers: Mapping[int, RankAnswer]) -> bool:
    """Return whether all ranks are armed with one version, or have switched to it.

    Parameters
    ----------
    answers : mapping of int to RankAnswer
        The newest of each rank.

    Returns
    -------
    bool
    """
    armed = {answer.armed for answer in answers.values()} - {NONE}
    if len(armed) != 1:
        return False
    # A rank that runs on the map already has begun the pass, and so have all.
    (version,) = armed
    return all(version in (a.armed, a.map_version) for a in answers.values())


class RankAsker:
    """Ask the ranks of one group in the name of one coordinator.

    Parameters
    ----------
    group : str
        The group.
    token : int
        Got when the coordinator was elected.
    links : mapping of int to Link
        The ranks' agents, by rank.
    """

    __slots__ = ("_links", "group", "token")

    def __init__(self, group: str, token: int, links: Mapping[int, Link]) -> None:
        self.group = group
        self.token = token
        self._links = links

    def statuses(self, *, counts: bool = False) -> dict[int, RankAnswer]:
        """Return what the ranks that can be reached are at.

        Parameters
        ----------
        counts : bool, default=False
            Whether their counts of chosen experts come as well.

        Returns
        -------
        dict of int to RankAnswer

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        """
        action = RankAction.COUNTS if counts else RankAction.STATUS
        tasks = {
            rank: gevent.spawn(self._status, link, action)
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

    def ask(
        self, rank: int, ask: RankAsk, epoch: int, *, past_agent: bool = False
    ) -> RankAnswer:
        """Return a rank's answer.

        Parameters
        ----------
        rank : int
            The rank.
        ask : RankAsk
            The ask, without group, token and epoch.
        epoch : int
            The group's epoch, outside of which nothing is done.
        past_agent : bool, default=False
            Whether the engine is asked from here.

        Returns
        -------
        RankAnswer

        Raises
        ------
        AskLost
            No answer came.
        Replaced
            Another coordinator has been elected.
        GroupChanged
            The group has formed anew.
        """
        ask.group, ask.token, ask.epoch = self.group, self.token, epoch
        link = self._links[rank]
        answer = link.ask_engine(ask) if past_agent else link.ask(ask)
        self._check_token(answer)
        if answer.rank == NONE:
            raise AskLost(answer.detail)
        if answer.epoch != epoch or answer.rank != rank:
            raise GroupChanged(f"epoch {answer.epoch} in place of {epoch}")
        return answer

    def ask_all(
        self, ranks: Iterable[int], ask: RankAsk, epoch: int
    ) -> dict[int, RankAnswer | None]:
        """Return the answers of several ranks, None where none came.

        Parameters
        ----------
        ranks : iterable of int
            The ranks.
        ask : RankAsk
            The ask, without group, token and epoch.
        epoch : int
            The group's epoch.

        Returns
        -------
        dict of int to RankAnswer or None

        Raises
        ------
        Replaced, GroupChanged
            As of `ask`.
        """
        tasks = {
            rank: gevent.spawn(self._try, rank, copy(ask), epoch) for rank in ranks
        }
        gevent.joinall(list(tasks.values()))
        answers = {}
        for rank, task in tasks.items():
            if isinstance(task.value, Replaced | GroupChanged):
                raise task.value
            answers[rank] = task.value
        return answers

    def read_copies(
        self, answers: Mapping[int, RankAnswer], version: int, engine: EngineModel
    ) -> ExpertCopies:
        """Return the copies of the map in use.

        Parameters
        ----------
        answers : mapping of int to RankAnswer
            The newest of each rank that can be reached.
        version : int
            The version that they use.
        engine : EngineModel
            The engines' model.

        Returns
        -------
        ExpertCopies

        Raises
        ------
        AskLost
            A rank did not answer.
        GroupChanged
            The map has changed meanwhile.
        """
        size = next(iter(answers.values())).size
        if version == FIRST_VERSION:
            return ExpertCopies.round_robin(
                engine.layer_sets, size, engine.experts, engine.places
            )
        shape = (engine.layer_sets, size, engine.places)
        lists = np.full(shape, EMPTY, dtype=MAP_TYPE)
        for rank in answers:
            ask = RankAsk(
                action=RankAction.LISTS,
                group=self.group,
                token=self.token,
                epoch=NONE,
                places=engine.places,
            )
            answer = self._links[rank].ask(ask)
            if answer.map_version != version or answer.rank != rank:
                raise GroupChanged("the map has changed while it was read")
            lists[:, rank, :] = unpack_map(answer.experts, engine.places)
        copies = ExpertCopies.from_lists(lists, engine.experts)
        for rank in set(range(size)) - answers.keys():
            # Each expert is held somewhere, so it holds what no other rank does.
            copies.held[:, rank, :] = ~copies.held.any(axis=1)
        return copies

    def _status(self, link: Link, action: int) -> RankAnswer | None:
        ask = RankAsk(action=action, group=self.group, token=self.token, epoch=NONE)
        try:
            return link.ask(ask)
        except AskLost as exc:
            _log.info("rank agent silent", group=self.group, error=str(exc))
            return None

    def _try(
        self, rank: int, ask: RankAsk, epoch: int
    ) -> RankAnswer | Replaced | GroupChanged | None:
        try:
            return self.ask(rank, ask, epoch)
        except AskLost:
            return None
        except (Replaced, GroupChanged) as exc:
            return exc

    def _check_token(self, answer: RankAnswer) -> None:
        if answer.result == RankResult.STALE:
            raise Replaced(f"token {answer.token} is newer than {self.token}")
