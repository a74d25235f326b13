"""Choice of the passes that one engine is ordered to hold."""

from toucanspool.groups.rank_engine import UNSET, OrderRefused, RankState

# No order names a pass further ahead of the latest one. So a new gate knows how far the
# orders of the process before may reach.
MAX_PASSES_AHEAD = 16


class HoldGate:
    """Choose passes to hold so that no two holds of an engine have the same name.

    An order to release a pass names it by its number. It may be carried out seconds
    late, and then releases any hold of that pass. Each hold of an engine is therefore
    of a later pass than all holds before it, also when the group is idle and begins no
    passes. All orders to hold go through the engine's agent, which owns this gate.
    """

    __slots__ = ("_epoch", "_last")

    def __init__(self) -> None:
        self._epoch = UNSET
        self._last = UNSET

    def observe(self, state: RankState) -> None:
        """Take note of the epoch; the earlier a new gate does, the less it refuses.

        Parameters
        ----------
        state : RankState
            The current state of the engine.
        """
        if state.epoch == self._epoch:
            return
        # Orders are refused in another epoch than their own. Only a new gate may be
        # preceded by orders of the same epoch.
        is_new = self._epoch == UNSET
        self._epoch = state.epoch
        self._last = state.step + MAX_PASSES_AHEAD if is_new else UNSET

    def choose(self, state: RankState, passes_ahead: int) -> int:
        """Return a pass that no order has named, and count it as named.

        Parameters
        ----------
        state : RankState
            The current state of the engine.
        passes_ahead : int
            Passes from the latest one to the held one, at least.

        Returns
        -------
        int

        Raises
        ------
        OrderRefused
            All passes near enough have been named, since the group is idle or this
            gate is new.
        """
        self.observe(state)
        return self._name(state, max(state.step + passes_ahead, self._last + 1))

    def admit(self, state: RankState, step: int) -> None:
        """Count a given pass as named, or raise `OrderRefused` if it is too far ahead.

        Parameters
        ----------
        state : RankState
            The current state of the engine.
        step : int
            The pass.
        """
        self.observe(state)
        self._name(state, step)

    def _name(self, state: RankState, step: int) -> int:
        if step > state.step + MAX_PASSES_AHEAD:
            raise OrderRefused(f"pass {step} is too far ahead of pass {state.step}")
        self._last = max(self._last, step)
        return step
