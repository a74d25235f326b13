"""Fencing of a rank's engine against orders of replaced coordinators."""

import time

import gevent
import structlog

from toucanspool.groups.expert_map import IntArray
from toucanspool.groups.hold_gate import HoldGate
from toucanspool.groups.rank_arrays import (
    apply_changes,
    pack_counts,
    pack_lists,
    unpack_map,
)
from toucanspool.groups.rank_engine import (
    UNSET,
    ExpertCounts,
    OrderLost,
    OrderRefused,
    RankEngine,
    RankEngineError,
    RankState,
)
from toucanspool.wire.gen.messages.ttypes import (
    RankAction,
    RankAnswer,
    RankAsk,
    RankResult,
)

HOLD_ACTIONS = frozenset(
    {RankAction.HOLD, RankAction.HOLD_AHEAD, RankAction.HOLD_SHARED}
)
READ_ACTIONS = frozenset({RankAction.STATUS, RankAction.COUNTS, RankAction.LISTS})
NO_TOKEN = -1
# Answers wait for copies a little less long than a coordinator waits for answers.
COPY_WAIT_S = 0.25
COPY_POLL_S = 0.02
# The map in use, a newer one, and those of switches that were rolled back.
MAPS_KEPT = 4

_log = structlog.get_logger()


class FencedEngine:
    """Execute a coordinator's requests on one engine.

    Each request carries the fencing token from its coordinator's election. A request
    with a lower token than the highest seen so far is rejected. That only spares work:
    an order may pass the check and be carried out seconds later, or reach the engine
    around its agent. What makes such orders harmless is that the engine itself checks
    the version or the pass that they name, and that neither is used twice. A request
    gives the engine at most one order and is retried only by its sender.

    Parameters
    ----------
    engine : RankEngine
        The engine.
    local : bool, default=True
        Whether the engine is on this instance, so that this is its agent. Reading
        expert counts from another instance delays the group, the state of its engine
        is not current, and only the agent may order it to hold a pass.

    Attributes
    ----------
    token : int
        The highest token seen; `NO_TOKEN` before the first.
    last_request_at : float
        Time of the latest accepted request, in seconds on the monotonic clock.
    """

    __slots__ = (
        "_engine",
        "_holds",
        "_local",
        "_newest_version",
        "_rank",
        "_last_counts",
        "_maps",
        "_token_known",
        "last_request_at",
        "token",
    )

    def __init__(self, engine: RankEngine, *, local: bool = True) -> None:
        self._engine = engine
        self._local = local
        self._holds = HoldGate()
        self._last_counts: ExpertCounts | None = None
        self._maps: dict[int, IntArray] = {}
        self._newest_version = UNSET
        self._rank = UNSET
        self._token_known = False
        self.token = NO_TOKEN
        self.last_request_at = time.monotonic()

    def restore(self, token: int) -> None:
        """Set the token of the latest election; until then orders are rejected.

        Parameters
        ----------
        token : int
            Fencing token of that election, or `NO_TOKEN` for no minimum.
        """
        self.token = max(self.token, token)
        self._token_known = True

    def answer(self, request: RankAsk) -> RankAnswer:
        """Check the token of a request and execute it.

        Parameters
        ----------
        request : RankAsk
            The request.

        Returns
        -------
        RankAnswer
            The rank's state after the request, or why it was not executed.
        """
        if request.token < self.token:
            return self._failure(
                request, RankResult.STALE, "a newer coordinator is known"
            )
        if request.action not in READ_ACTIONS and not self._token_known:
            detail = "the last election is not known yet"
            return self._failure(request, RankResult.NOT_READY, detail)
        if request.token > self.token:
            _log.info("coordinator accepted", token=request.token, before=self.token)
            self.token = request.token
        self.last_request_at = time.monotonic()
        result, detail, ordered_pass = RankResult.OK, "", UNSET
        try:
            if request.action not in READ_ACTIONS:
                result, detail, ordered_pass = self._execute_order(request)
                self._log_order(request, ordered_pass, result, detail)
            state = self._engine.state()
            self._rank = state.rank
            self._holds.observe(state)
            if _awaits_copies(request, result):
                state = self._wait_for_copies(request.version, state)
            counts, picks_unit = b"", 1.0
            if request.action == RankAction.COUNTS and self._local:
                counts, picks_unit = self._counts_since_last()
            experts = b""
            if request.action == RankAction.LISTS:
                experts = pack_lists(self._engine.experts(), request.places)
        except RankEngineError as exc:
            return self._failure(request, RankResult.LOST, repr(exc))
        self._newest_version = max(
            self._newest_version, state.map_version, state.prepared, state.armed
        )
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
            armed_step=state.armed_step,
            # A late copy of an earlier report may name another pass.
            held=ordered_pass if request.action in HOLD_ACTIONS else state.held,
            running=state.running,
            waiting=state.waiting,
            picks=counts,
            picks_unit=picks_unit,
            newest_version=self._newest_version,
            detail=detail,
            experts=experts,
            pace=state.pace,
        )

    def _execute_order(self, request: RankAsk) -> tuple[int, str, int]:
        """Return the result, its details and the pass that the order names."""
        step = UNSET if request.step is None else request.step
        try:
            if request.action in HOLD_ACTIONS:
                step = self._choose_pass(request)
            self._send_order(request, step)
        except (OrderRefused, ValueError) as exc:
            # A map that can't be decoded raises ValueError and is refused like any
            # other order that the engine does not accept.
            return RankResult.REFUSED, str(exc), UNSET
        except OrderLost as exc:
            return RankResult.LOST, str(exc), UNSET
        return RankResult.OK, "", step

    def _log_order(self, request: RankAsk, step: int, result: int, detail: str) -> None:
        """Log an order and the result, so that a pass on two maps can be traced."""
        _log.info(
            "order",
            action=RankAction._VALUES_TO_NAMES[request.action],
            version=request.version,
            step=step if step != UNSET else request.step,
            token=request.token,
            rank=self._rank,
            direct=not self._local,
            result=RankResult._VALUES_TO_NAMES[result],
            detail=detail,
        )

    def _send_order(self, request: RankAsk, step: int) -> None:
        engine = self._engine
        if request.action == RankAction.PREPARE:
            lists = self._read_map(request)
            self._newest_version = max(self._newest_version, request.version)
            engine.prepare(request.version, lists, request.epoch)
        elif request.action in HOLD_ACTIONS:
            engine.hold(step, request.epoch)
        elif request.action == RankAction.ARM:
            sequence = engine.state().sequence
            engine.arm(request.version, request.step, request.epoch, sequence=sequence)
        elif request.action == RankAction.DISARM:
            sequence = engine.state().sequence
            engine.disarm(request.version, request.epoch, sequence=sequence)
        elif request.action == RankAction.GO:
            engine.go(request.step, request.epoch)

    def _choose_pass(self, request: RankAsk) -> int:
        if not self._local:
            raise OrderRefused("only an engine's agent may hold a pass")
        state = self._engine.state()
        if request.action == RankAction.HOLD_AHEAD:
            return self._holds.choose(state, request.step)
        shared = request.action == RankAction.HOLD_SHARED
        self._holds.admit(state, request.step, shared=shared)
        return request.step

    def _wait_for_copies(self, version: int, state: RankState) -> RankState:
        """Wait for the experts of a map, and return the last state.

        The coordinator of a large group would otherwise ask many ranks in vain.
        """
        deadline = time.monotonic() + COPY_WAIT_S
        while self._local and state.prepared != version and time.monotonic() < deadline:
            gevent.sleep(COPY_POLL_S)
            state = self._engine.state()
        return state

    def _read_map(self, request: RankAsk) -> IntArray:
        """Return the map of a request, and keep it as the base of later requests."""
        if request.base is None:
            lists = unpack_map(request.experts, request.places)
            lists = lists.reshape(-1, request.ranks, request.places)
        elif request.base in self._maps:
            lists = apply_changes(self._maps[request.base], request.changes)
        else:
            raise ValueError(f"the map of version {request.base} is not known")
        self._maps[request.version] = lists
        for version in sorted(self._maps)[:-MAPS_KEPT]:
            del self._maps[version]
        return lists

    def _counts_since_last(self) -> tuple[bytes, float]:
        current = self._engine.expert_counts()
        previous = self._last_counts
        self._last_counts = current
        if previous is None or previous.counts.shape != current.counts.shape:
            return b"", 1.0
        new = current.counts - previous.counts
        # The engine's counters restart from zero when the rank restarts.
        if current.epoch != previous.epoch or new.min() < 0:
            new = current.counts
        return pack_counts(new)

    def _failure(self, request: RankAsk, result: int, detail: str) -> RankAnswer:
        return RankAnswer(
            call=request.call,
            result=result,
            token=self.token,
            rank=UNSET,
            detail=detail,
        )


def _awaits_copies(request: RankAsk, result: int) -> bool:
    """Return whether a request is answered once a map's experts are copied."""
    if request.action == RankAction.STATUS:
        return request.version is not None
    accepted = request.action == RankAction.PREPARE and result == RankResult.OK
    return accepted and not request.answer_at_once
