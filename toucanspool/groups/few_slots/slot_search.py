"""Local search for placements that balance the load of ranks with few slots."""

import numpy as np

from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.expert_map import FloatArray, IntArray
from toucanspool.groups.few_slots.exchanges import can_receive, exchange_gains
from toucanspool.groups.few_slots.extra_copies import ExtraCopies
from toucanspool.groups.few_slots.rank_times import DTYPE, MAX_RECEIVERS, RankTimes
from toucanspool.groups.few_slots.slot_table import SlotTable

# Minimum decrease of a set's smooth maximum by one move, in times of the mean load.
MIN_GAIN = 0.001
# Limit of the work of a search, in moves weighed. It takes 9 to 14 ms, so that a plan
# takes 20 ms on two thirds of a processor.
MAX_WORK = 230_000
# Work of a step whatever the number of moves, for its calls of numpy.
STEP_WORK = 6_000
# Kinds of moves, in the order in which their gains are computed.
REMOVAL, ADDITION, EXCHANGE = range(3)


class SlotSearch:
    """Search for the placement that lowers the times of the slowest ranks most.

    Each step weighs, in all sets at once, the moves that relieve the slowest rank:
    another copy of one of its experts, the removal of one of its copies, and the
    exchange of one of its experts for an expert or an empty slot of another rank. Each
    set makes its best move.

    Parameters
    ----------
    copies : ExpertCopies
        The copies in use.
    demand : ndarray of float, shape (sets, experts)
        Share of its set's tokens that goes to each expert.
    slowdowns : ndarray of float, shape (ranks,)
        Ratio of each rank's time for its work to the usual time.
    """

    __slots__ = ("_copies", "_demand", "_slowdowns")

    def __init__(
        self, copies: ExpertCopies, demand: FloatArray, slowdowns: FloatArray
    ) -> None:
        self._copies = copies
        self._slowdowns = slowdowns
        sets, ranks, experts = copies.held.shape
        self._demand = np.zeros((sets, experts + 1))
        self._demand[:, :experts] = demand * ranks

    def run(
        self,
        *,
        max_per_rank: int,
        max_per_set: int,
        min_gain: float = MIN_GAIN,
        copy_price: float = 0.0,
        max_work: int = MAX_WORK,
    ) -> ExpertCopies:
        """Return the copies to use.

        Parameters
        ----------
        max_per_rank : int
            Maximum number of copies that a rank gets in all sets together.
        max_per_set : int
            Maximum number of copies that a rank gets in one set.
        min_gain : float, default=0.001
            Minimum decrease of a set's smooth maximum by one move.
        copy_price : float, default=0.0
            Decrease of a set's smooth maximum by which a move must gain more for each
            copy that it needs.
        max_work : int, default=230000
            Maximum number of moves to weigh; a step counts as `STEP_WORK` more.

        Returns
        -------
        ExpertCopies
        """
        table = SlotTable(
            self._copies, max_per_rank=max_per_rank, max_per_set=max_per_set
        )
        _, slots, ranks = table.slots.shape
        # A set without counts has no slowest rank.
        sets = np.flatnonzero(self._demand.any(axis=1))
        moves = slots * slots * min(MAX_RECEIVERS, ranks)
        work = 0
        while sets.size and work < max_work:
            work += STEP_WORK + sets.size * moves
            sets = self._step(table, sets, min_gain, copy_price)
        return table.copies()

    def _step(
        self, table: SlotTable, sets: IntArray, min_gain: float, copy_price: float
    ) -> IntArray:
        """Make the best move of each set, and return the sets that had one."""
        times = RankTimes(table, sets, self._demand, self._slowdowns)
        extra_copies = ExtraCopies(table, times)
        receivable = can_receive(table, times)
        price = times.as_terms(copy_price)[:, None, None, None]
        add_gains = extra_copies.add_gains(receivable) - price
        # An exchange needs two copies, one if it only moves an expert to an empty slot.
        needed = np.where(times.slots == table.empty, DTYPE(1.0), DTYPE(2.0))
        needed = times.at_receivers(needed)[:, None]
        exchanges = exchange_gains(table, times, receivable) - price * needed
        all_gains = [
            gains.reshape(sets.size, -1)
            for gains in (extra_copies.removal_gains(), add_gains, exchanges)
        ]
        moves = np.stack([gains.argmax(axis=1) for gains in all_gains])
        best = np.stack(
            [
                gains[times.rows, move]
                for gains, move in zip(all_gains, moves, strict=True)
            ]
        )
        kinds = best.argmax(axis=0)
        decreases = times.decrease(best.max(axis=0))
        # Sets share the budget of a rank, so the best moves come first. A set whose
        # move is no longer within the budget finds another one in the next step.
        for row in np.argsort(-decreases).tolist():
            if decreases[row] < min_gain:
                break
            move = int(moves[kinds[row], row])
            layer_set, slowest = int(sets[row]), int(times.slowest[row])
            if kinds[row] == REMOVAL:
                table.remove(layer_set, slowest, move)
                continue
            _, slots, receivers = add_gains[row].shape
            own_slot, rest = divmod(move, slots * receivers)
            slot, receiver = divmod(rest, receivers)
            rank = int(times.receivers[row, receiver])
            if kinds[row] == EXCHANGE:
                table.exchange(layer_set, (slowest, own_slot), (rank, slot))
                continue
            expert = int(times.slots[row, own_slot, slowest])
            missing = int(times.demand[row, expert] - times.counts[row, expert])
            if missing <= 1:
                table.add(layer_set, expert, rank, slot)
            else:
                gains = add_gains[row, own_slot]
                _add_copies(table, times, row, expert, gains, missing)
        return sets[decreases >= min_gain]


def _add_copies(
    table: SlotTable,
    times: RankTimes,
    row: int,
    expert: int,
    gains: FloatArray,
    count: int,
) -> None:
    """Add several copies of a very hot expert at once, since each step takes time.

    The count is what one copy lacks to have no more than a rank's mean load.
    """
    layer_set = int(times.sets[row])
    slots = gains.argmax(axis=0)
    gains = gains.max(axis=0)
    for receiver in np.argsort(-gains)[:count].tolist():
        rank, slot = int(times.receivers[row, receiver]), int(slots[receiver])
        dropped = table.slots[layer_set, slot, rank]
        # Another rank that got a copy may have dropped the same expert.
        shared = dropped == table.empty or table.counts[layer_set, dropped] > 1
        if gains[receiver] > 0.0 and shared:
            table.add(layer_set, expert, rank, slot)
