"""Reading of the expert counts of a group's ranks, within a coordinator's bandwidth."""

import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import gevent
import numpy as np
from gevent.event import Event

from toucanspool.groups.count_sample import CountSample
from toucanspool.groups.demand import Demand
from toucanspool.groups.group_client import GroupClient, Replaced
from toucanspool.groups.rank_arrays import COUNT_DTYPE, unpack_counts
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import RankAnswer

# Share of the bandwidth of the coordinator's instance that expert counts may use.
LINK_SHARE = 0.5
# Shortest interval between two reads of counts.
INTERVAL_S = 0.2
# The longest wait for a read under way, which takes about as long as the interval.
MAX_READ_S = 0.3
# After this long without counts ranks are asked for their status, so that none of them
# stands for election.
MAX_SILENCE_S = 0.4


class CountReader:
    """Read expert counts and estimate the demand for experts from them.

    In a large group, the counts of all ranks take longer to arrive than demand takes
    to change. So each read asks as many ranks as the link carries within the interval.

    Parameters
    ----------
    link_bits_per_s : float
        Bandwidth of this instance's network link.

    Attributes
    ----------
    demand : Demand
        The estimate.
    """

    __slots__ = (
        "_due_at",
        "_idle",
        "_link_bits_per_s",
        "_paused",
        "_silent_until",
        "_sample",
        "demand",
    )

    def __init__(self, link_bits_per_s: float) -> None:
        self._link_bits_per_s = link_bits_per_s
        self._due_at = 0.0
        self._sample = CountSample()
        self._idle = Event()
        self._idle.set()
        self._paused = False
        self._silent_until = 0.0
        self.demand = Demand()

    def fetch(
        self, client: GroupClient, ranks: Iterable[int], engine: EngineModel
    ) -> dict[int, RankAnswer]:
        """Read the status of all ranks, and the counts of a sample of them.

        Parameters
        ----------
        client : GroupClient
            Sends the requests.
        ranks : iterable of int
            The ranks to choose from.
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
        if self._paused or now < self._due_at:
            return client.fetch_statuses()
        count_bytes = COUNT_DTYPE().itemsize * engine.layer_sets * engine.experts
        bytes_per_s = LINK_SHARE * self._link_bits_per_s / 8.0
        counted, usable = self._sample.take(
            sorted(ranks), max(1, int(bytes_per_s * INTERVAL_S / count_bytes))
        )
        self._due_at = now + len(counted) * count_bytes / bytes_per_s
        self._idle.clear()
        try:
            answers = client.fetch_statuses(counted=counted, count_bytes=count_bytes)
        finally:
            self._idle.set()
        used = [answer for rank, answer in answers.items() if rank in usable]
        if used:
            self._add(used, engine)
        return answers

    @contextmanager
    def paused(self) -> Iterator[None]:
        """Read no counts, after those under way have arrived.

        They fill the link, and the answers of ranks would wait behind them.
        """
        self._paused = True
        try:
            self._idle.wait(timeout=MAX_READ_S)
            self._silent_until = time.monotonic() + MAX_SILENCE_S
            yield
        finally:
            self._paused = False

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

    @contextmanager
    def uncounted(
        self, client: GroupClient, ranks: Iterable[int], engine: EngineModel
    ) -> Iterator[None]:
        """Read states in the background, but no counts."""
        with self.background(client, ranks, engine), self.paused():
            yield

    def _fetch_repeatedly(
        self, client: GroupClient, ranks: list[int], engine: EngineModel
    ) -> None:
        while True:
            gevent.sleep(max(INTERVAL_S, self._due_at - time.monotonic()))
            if self._paused and time.monotonic() < self._silent_until:
                continue
            try:
                self.fetch(client, ranks, engine)
            except Replaced:
                # The switch in progress gets the same answer and ends as well.
                return

    def _add(self, answers: Iterable[RankAnswer], engine: EngineModel) -> None:
        total = np.zeros((engine.layer_sets, engine.experts))
        for answer in answers:
            unit = answer.picks_unit or 1.0
            counts = unpack_counts(answer.picks or b"", unit, total.shape)
            if counts is not None:
                total += counts
        self.demand.add(total, time.monotonic())
