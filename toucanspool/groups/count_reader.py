"""Reading of the expert counts of a group's ranks, within a coordinator's bandwidth."""

import time
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager

import gevent
import numpy as np

from toucanspool.groups.demand import Demand
from toucanspool.groups.group_client import GroupClient, Replaced
from toucanspool.groups.rank_arrays import COUNT_DTYPE, unpack_counts
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import RankAnswer

# Share of the bandwidth of the coordinator's instance that expert counts may use.
LINK_SHARE = 0.5
# Shortest interval between two reads of counts.
INTERVAL_S = 0.2


class CountReader:
    """Read expert counts and estimate the demand for experts from them.

    In a large group, the counts of all ranks take longer to arrive than demand takes
    to change. So ranks take turns: each read asks as many as the link carries within
    the interval.

    Parameters
    ----------
    link_bits_per_s : float
        Bandwidth of this instance's network link.

    Attributes
    ----------
    demand : Demand
        The estimate.
    """

    __slots__ = ("_due_at", "_link_bits_per_s", "_next_index", "demand")

    def __init__(self, link_bits_per_s: float) -> None:
        self._link_bits_per_s = link_bits_per_s
        self._due_at = 0.0
        self._next_index = 0
        self.demand = Demand()

    def fetch(
        self, client: GroupClient, ranks: Iterable[int], engine: EngineModel
    ) -> dict[int, RankAnswer]:
        """Read the status of all ranks, and the counts of those whose turn it is.

        Parameters
        ----------
        client : GroupClient
            Sends the requests.
        ranks : iterable of int
            The ranks that take turns.
        engine : EngineModel
            Numbers of layer sets and experts.

        Returns
        -------
        dict of int to RankAnswer

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        """
        now = time.monotonic()
        if now < self._due_at:
            return client.fetch_statuses()
        count_bytes = COUNT_DTYPE().itemsize * engine.layer_sets * engine.experts
        bytes_per_s = LINK_SHARE * self._link_bits_per_s / 8.0
        counted = self._take_turns(
            sorted(ranks), max(1, int(bytes_per_s * INTERVAL_S / count_bytes))
        )
        self._due_at = now + len(counted) * count_bytes / bytes_per_s
        answers = client.fetch_statuses(counted=counted, count_bytes=count_bytes)
        if answers:
            self._add(answers, engine)
        return answers

    @contextmanager
    def background(
        self, client: GroupClient, ranks: Iterable[int], engine: EngineModel
    ) -> Iterator[None]:
        """Read counts in the background, so that the next plan uses current demand."""
        task = gevent.spawn(self._fetch_repeatedly, client, list(ranks), engine)
        try:
            yield
        finally:
            task.kill()

    def _fetch_repeatedly(
        self, client: GroupClient, ranks: list[int], engine: EngineModel
    ) -> None:
        while True:
            gevent.sleep(max(INTERVAL_S, self._due_at - time.monotonic()))
            try:
                self.fetch(client, ranks, engine)
            except Replaced:
                # The switch in progress gets the same answer and ends as well.
                return

    def _take_turns(self, ranks: list[int], max_ranks: int) -> list[int]:
        start = self._next_index % max(1, len(ranks))
        chosen = (ranks[start:] + ranks[:start])[:max_ranks]
        self._next_index = start + len(chosen)
        return chosen

    def _add(self, answers: Mapping[int, RankAnswer], engine: EngineModel) -> None:
        total = np.zeros((engine.layer_sets, engine.experts))
        for answer in answers.values():
            unit = answer.picks_unit or 1.0
            counts = unpack_counts(answer.picks or b"", unit, total.shape)
            if counts is not None:
                total += counts
        self.demand.add(total, time.monotonic())
