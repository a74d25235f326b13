"""A whole new placement of experts, without regard to the old one."""

import heapq

import numpy as np

from toucanspool.groups.expert_map import EMPTY, ExpertMap, FloatArray, IntArray
from toucanspool.groups.split import MinMaxSplit, Split, as_weights


def pack(
    loads: FloatArray,
    speeds: FloatArray,
    slots: int,
    *,
    version: int = 0,
    split: Split | None = None,
) -> ExpertMap:
    """Place experts and their copies, largest load first.

    Spare slots go one by one to the expert with the largest load a copy; then
    each copy goes to the rank that would be done first with it.

    Parameters
    ----------
    loads : ndarray of float, shape (layers, n_experts)
        Tokens of each expert, in any unit.
    speeds : ndarray of float, shape (ranks,)
        Speed of each rank; 1 is normal.
    slots : int
        Slots of each rank.
    version : int, default=0
        Version of the map.
    split : Split, optional
        How copies share tokens; `MinMaxSplit` if left out.

    Returns
    -------
    ExpertMap

    Raises
    ------
    BadMap
        There are fewer slots than experts.

    References
    ----------
    R. L. Graham, "Bounds on multiprocessing timing anomalies", SIAM J. Appl.
    Math. 17(2), 1969.
    """
    split = split or MinMaxSplit()
    experts = _place(loads, speeds, slots)
    shares = [
        split.shares(placed, layer, speeds, np.ones(placed.shape))
        for placed, layer in zip(experts, loads, strict=True)
    ]
    return ExpertMap(
        version=version,
        n_experts=loads.shape[1],
        experts=experts,
        weights=as_weights(np.stack(shares)),
    )


def _place(loads: FloatArray, speeds: FloatArray, slots: int) -> IntArray:
    """Place the copies of all layers at once, one copy of each layer a turn."""
    layers, ranks = loads.shape[0], speeds.size
    queues = [_queue(layer, ranks, slots) for layer in loads]
    turns = np.stack([expert for expert, _ in queues], axis=1)
    parts = np.stack([part for _, part in queues], axis=1)
    experts = np.full((layers, ranks, slots), EMPTY)
    used = np.zeros((layers, ranks), dtype=int)
    work = np.zeros((layers, ranks))
    row = np.arange(layers)
    for expert, part in zip(turns, parts, strict=True):
        done = (work + part[:, None]) / speeds
        held = (experts == expert[:, None, None]).any(axis=2)
        done[held | (used >= slots)] = np.inf
        rank = done.argmin(axis=1)
        fits = np.isfinite(done[row, rank]) & (expert != EMPTY)
        on, at = row[fits], rank[fits]
        experts[on, at, used[on, at]] = expert[fits]
        used[on, at] += 1
        work[on, at] += part[fits]
    return experts


def _queue(loads: FloatArray, ranks: int, slots: int) -> tuple[IntArray, FloatArray]:
    copies = _copies(loads, ranks, slots)
    parts = loads / copies
    order = np.argsort(-parts, kind="stable")
    experts = np.full(max(ranks * slots, copies.sum()), EMPTY)
    experts[: copies.sum()] = np.repeat(order, copies[order])
    return experts, np.where(experts == EMPTY, 0.0, parts[experts])


def _copies(loads: FloatArray, ranks: int, slots: int) -> IntArray:
    copies = np.ones(loads.size, dtype=int)
    heap = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    for _ in range(ranks * slots - loads.size):
        while heap and copies[heap[0][1]] >= ranks:
            heapq.heappop(heap)
        if not heap:
            break
        expert = heap[0][1]
        copies[expert] += 1
        heapq.heapreplace(heap, (-loads[expert] / copies[expert], expert))
    return copies
