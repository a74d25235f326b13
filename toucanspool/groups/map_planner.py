"""Choice of a group's next placement, by the sizes of the group."""

from toucanspool.groups.copies import ExpertCopies
from toucanspool.groups.copy_search import CopySearch
from toucanspool.groups.expert_map import FloatArray
from toucanspool.groups.few_slots.slot_search import SlotSearch
from toucanspool.routing.routes import EngineModel

# Up to this number of slots on a rank, each expert is a large part of the rank's load,
# so that exchanges of experts are needed. With 5 slots they lower the skew over time by
# 2 in 100 and copy 60 in 100 more; with 11, copies alone do as well.
FEW_SLOTS = 4
# Time for a rank to copy the experts of one plan, one after the other. In a longer time
# demand changes, and copies with much gain wait for those with little.
COPY_BUDGET_S = 0.2
# The same with few slots. With 0.2 s, copies with little gain delay the next plan; with
# less time, the skew under settled demand is higher.
FEW_SLOTS_COPY_BUDGET_S = 0.15
# The shortest time of a copy to reckon with. With few slots, all experts that a rank of
# 12 sets may copy, 24, take less than the budget where a copy takes 6 ms.
MIN_COPY_S = 0.02
MIN_FEW_SLOTS_COPY_S = 0.005
MIN_COPY_GAIN = 0.01
# Size of one copy in an order to prepare a map, compressed.
COPY_BYTES = 5.5
# Time for which a plan is of use: demand shifts every 4 s, and a plan takes about one.
PLAN_HORIZON_S = 3.0


def copies_per_rank(engine: EngineModel) -> int:
    """Return how many experts a rank may copy for one plan.

    Parameters
    ----------
    engine : EngineModel
        Sizes and timings of the group's engines.

    Returns
    -------
    int
    """
    if engine.expert_slots > FEW_SLOTS:
        return max(1, round(COPY_BUDGET_S / max(engine.expert_copy_s, MIN_COPY_S)))
    copy_s = max(engine.expert_copy_s, MIN_FEW_SLOTS_COPY_S)
    return max(1, round(FEW_SLOTS_COPY_BUDGET_S / copy_s))


def plan_copies(
    copies: ExpertCopies,
    demand: FloatArray,
    slowdowns: FloatArray,
    engine: EngineModel,
    *,
    link_bits_per_s: float,
) -> ExpertCopies:
    """Return the copies to use from now on.

    Parameters
    ----------
    copies : ExpertCopies
        The copies in use.
    demand : ndarray of float, shape (sets, experts)
        Share of its set's tokens that goes to each expert.
    slowdowns : ndarray of float, shape (ranks,)
        Ratio of each rank's time for its work to the usual time.
    engine : EngineModel
        Sizes and timings of the group's engines.
    link_bits_per_s : float
        Bandwidth of the link over which all ranks are sent the plan.

    Returns
    -------
    ExpertCopies
    """
    max_per_set = max(1, engine.copies_per_set)
    if engine.expert_slots > FEW_SLOTS:
        changes = CopySearch(copies, demand, slowdowns).run(
            max_per_rank=copies_per_rank(engine),
            max_per_set=max_per_set,
            min_gain=MIN_COPY_GAIN,
        )
        return copies.with_changes(changes)
    return SlotSearch(copies, demand, slowdowns).run(
        max_per_rank=copies_per_rank(engine),
        max_per_set=max_per_set,
        copy_price=_copy_price(copies, demand, slowdowns, link_bits_per_s),
    )


def _copy_price(
    copies: ExpertCopies,
    demand: FloatArray,
    slowdowns: FloatArray,
    link_bits_per_s: float,
) -> float:
    """Return the decrease of one set's skew that pays for one copy.

    Each copy lengthens the order to every rank, and all ranks wait under the present
    skew until the last one has its order. So right after a shift of demand only the
    copies with much gain are worth their time, and the others follow in later plans.
    """
    sets, ranks, _ = copies.held.shape
    delay_s = 8.0 * COPY_BYTES * ranks / link_bits_per_s
    excess = max(0.0, copies.skew(demand, slowdowns) - 1.0)
    return sets * delay_s * excess / PLAN_HORIZON_S
