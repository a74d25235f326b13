"""Choice of the passes that one engine is ordered to hold."""

from toucanspool.groups.rank_engine import UNSET, OrderRefused, RankState

# No order names a pass further ahead of the latest one. So a new gate knows how far the
# orders of the process before may reach.
MAX_PASSES_AHEAD = 16


class HoldGate:
    """Admit passes to hold so that no two holds of an engine have the same name.

    An order to release a pass names it by its number. It may be carried out seconds
    late, and then releases any hold of that pass at the same engine. So no pass is held
    there twice, also when the group is idle and begins no passes. All orders to hold go
    through the engine's agent, which owns this gate.
    """

    __slots__ = ("_epoch", "_named", "_unknown_until")

    def __init__(self) -> None:
        self._epoch = UNSET
        self._named: set[int] = set()
        # The process before may have named passes up to this one.
        self._unknown_until = UNSET

    def observe(self, state: RankState) -> None:
        """Take note of the epoch; the earlier a new gate does, the less it refuses.

        Parameters
        ----------
        state : RankState
            A state of the engine.
        """
        if state.epoch <= self._epoch:
            return
        # Orders are refused in another epoch than their own. Only a new gate may be
        # preceded by orders of the same epoch.
        if self._epoch == UNSET:
            self._unknown_until = state.step + MAX_PASSES_AHEAD
        else:
            self._unknown_until = UNSET
        self._epoch = state.epoch
        self._named.clear()

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
        step = max(state.step + passes_ahead, self._unknown_until + 1)
        while step in self._named:
            step += 1
        self.admit(state, step)
        return step

    def admit(self, state: RankState, step: int, *, shared: bool = False) -> None:
        """Count a pass as named.

        Parameters
        ----------
        state : RankState
            The current state of the engine.
        step : int
            The pass.
        shared : bool, default=False
            Whether an order may have named the pass before.

        Raises
        ------
        OrderRefused
            The pass is too far ahead, or may have been named before.
        """
        self.observe(state)
        if step > state.step + MAX_PASSES_AHEAD:
            raise OrderRefused(f"pass {step} is too far ahead of pass {state.step}")
        if not shared and (step in self._named or step <= self._unknown_until):
            raise OrderRefused(f"pass {step} may have been named before")
        self._named = {named for named in self._named if named > state.step}
        self._named.add(step)
