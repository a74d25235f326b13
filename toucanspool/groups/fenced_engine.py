"""The last check before a rank's engine: no order of a replaced coordinator."""

import time

import structlog

from toucanspool.groups.rank_arrays import pack_counts, pack_lists, unpack_map
from toucanspool.groups.rank_engine import (
    NONE,
    ExpertCounts,
    OrderLost,
    OrderRefused,
    RankEngine,
    RankEngineError,
)
from toucanspool.wire.gen.messages.ttypes import (
    RankAction,
    RankAnswer,
    RankAsk,
    RankResult,
)

READS = frozenset({RankAction.STATUS, RankAction.COUNTS, RankAction.LISTS})
NO_TOKEN = -1

_log = structlog.get_logger()


class FencedEngine:
    """Carry out a coordinator's asks on one engine.

    Asks carry the token that their coordinator got when it was elected. An ask with a
    token lower than one seen before does nothing. Each ask gives the engine at most
    one order, and only its sender tries again, since an order without an answer may
    be carried out seconds later.

    Parameters
    ----------
    engine : RankEngine
        The engine.
    counts : bool, default=True
        Whether counts are read; from another instance they hold the group up.

    Attributes
    ----------
    token : int
        The highest token seen; -1 before the first.
    last_request_at : float
        When a coordinator last asked, in seconds on the monotonic clock.
    """

    __slots__ = (
        "_reads_counts",
        "_engine",
        "_newest",
        "_last_counts",
        "_restored",
        "last_request_at",
        "token",
    )

    def __init__(self, engine: RankEngine, *, counts: bool = True) -> None:
        self._engine = engine
        self._reads_counts = counts
        self._last_counts: ExpertCounts | None = None
        self._newest = NONE
        self._restored = False
        self.token = NO_TOKEN
        self.last_request_at = time.monotonic()

    def restore(self, token: int) -> None:
        """Take the token of the last election, before which no order is given.

        Parameters
        ----------
        token : int
            The token.
        """
        self.token = max(self.token, token)
        self._restored = True

    def answer(self, request: RankAsk) -> RankAnswer:
        """Carry out an ask.

        Parameters
        ----------
        ask : RankAsk
            The ask.

        Returns
        -------
        RankAnswer
        """
        if request.token < self.token:
            return self._refusal(
                request, RankResult.STALE, "a newer coordinator is known"
            )
        if request.action not in READS and not self._restored:
            detail = "the last election is not known yet"
            return self._refusal(request, RankResult.NOT_READY, detail)
        if request.token > self.token:
            _log.info("coordinator accepted", token=request.token, before=self.token)
            self.token = request.token
        self.last_request_at = time.monotonic()
        result, detail = RankResult.OK, ""
        try:
            if request.action not in READS:
                result, detail = self._order(request)
            state = self._engine.state()
            counts, picks_unit = b"", 1.0
            if request.action == RankAction.COUNTS and self._reads_counts:
                counts, picks_unit = self._counts_since_last()
            experts = b""
            if request.action == RankAction.LISTS:
                experts = pack_lists(self._engine.experts(), request.places)
        except RankEngineError as exc:
            return self._refusal(request, RankResult.LOST, repr(exc))
        self._newest = max(self._newest, state.map_version, state.prepared)
        return RankAnswer(
            call=request.call,
            result=result,
            token=self.token,
            group=state.group,
            epoch=state.epoch,
            rank=state.rank,
            size=state.size,
            open=state.open,
            step=state.step,
            map_version=state.map_version,
            prepared=state.prepared,
            armed=state.armed,
            held=state.held,
            running=state.running,
            waiting=state.waiting,
            picks=counts,
            picks_unit=picks_unit,
            newest_version=self._newest,
            detail=detail,
            experts=experts,
            pace=state.pace,
        )

    def _order(self, request: RankAsk) -> tuple[int, str]:
        try:
            self._send(request)
        except (OrderRefused, ValueError) as exc:
            # A map that can't be read is refused like one that engines do not take.
            return RankResult.REFUSED, str(exc)
        except OrderLost as exc:
            return RankResult.LOST, str(exc)
        return RankResult.OK, ""

    def _send(self, request: RankAsk) -> None:
        engine = self._engine
        if request.action == RankAction.PREPARE:
            self._newest = max(self._newest, request.version)
            lists = unpack_map(request.experts, request.places)
            lists = lists.reshape(-1, request.ranks, request.places)
            engine.prepare(request.version, lists, request.epoch)
        elif request.action == RankAction.HOLD:
            engine.hold(request.step, request.epoch)
        elif request.action == RankAction.ARM:
            # A late order to arm must not outlive a switch that was given up.
            sequence = engine.state().sequence
            engine.arm(request.version, request.step, request.epoch, sequence=sequence)
        elif request.action == RankAction.DISARM:
            # A late order to disarm must not take a later switch back.
            sequence = engine.state().sequence
            engine.disarm(request.version, request.epoch, sequence=sequence)
        elif request.action == RankAction.GO:
            engine.go(request.step, request.epoch)

    def _counts_since_last(self) -> tuple[bytes, float]:
        current = self._engine.expert_counts()
        previous = self._last_counts
        self._last_counts = current
        if previous is None or previous.counts.shape != current.counts.shape:
            return b"", 1.0
        new = current.counts - previous.counts
        # Counts start anew where the rank has started again.
        if current.epoch != previous.epoch or new.min() < 0:
            new = current.counts
        return pack_counts(new)

    def _refusal(self, request: RankAsk, result: int, detail: str) -> RankAnswer:
        return RankAnswer(
            call=request.call, result=result, token=self.token, rank=NONE, detail=detail
        )
