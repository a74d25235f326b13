"""Placement of experts from scratch, independent of the map in use."""

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

    Each spare slot goes to the expert with the largest load per copy. Then each copy
    goes to the rank that would finish first with it.

    Parameters
    ----------
    loads : ndarray of float, shape (layers, n_experts)
        Tokens of each expert, in any unit.
    speeds : ndarray of float, shape (ranks,)
        Relative speed of each rank; 1 is normal.
    slots : int
        Number of slots of each rank.
    version : int, default=0
        Version of the map.
    split : Split, optional
        Split of tokens over copies; `MinMaxSplit` if omitted.

    Returns
    -------
    ExpertMap

    Raises
    ------
    BadMap
        If there are fewer slots than experts.

    References
    ----------
    R. L. Graham, "Bounds on multiprocessing timing anomalies", SIAM J. Appl.
    Math. 17(2), 1969.
    """
    split = split or MinMaxSplit()
    experts = _place(loads, speeds, slots)
    shares = [
        split.shares(layer_experts, layer_loads, speeds, np.ones(layer_experts.shape))
        for layer_experts, layer_loads in zip(experts, loads, strict=True)
    ]
    return ExpertMap(
        version=version,
        n_experts=loads.shape[1],
        experts=experts,
        weights=as_weights(np.stack(shares)),
    )


def _place(loads: FloatArray, speeds: FloatArray, slots: int) -> IntArray:
    """Place the copies of all layers, one copy of each layer at a time."""
    layers, ranks = loads.shape[0], speeds.size
    queues = [_copy_queue(layer_loads, ranks, slots) for layer_loads in loads]
    queued_experts = np.stack([experts for experts, _ in queues], axis=1)
    queued_loads = np.stack([copy_loads for _, copy_loads in queues], axis=1)
    experts = np.full((layers, ranks, slots), EMPTY)
    used = np.zeros((layers, ranks), dtype=int)
    rank_loads = np.zeros((layers, ranks))
    layer_index = np.arange(layers)
    for expert, copy_load in zip(queued_experts, queued_loads, strict=True):
        finish_times = (rank_loads + copy_load[:, None]) / speeds
        held = (experts == expert[:, None, None]).any(axis=2)
        finish_times[held | (used >= slots)] = np.inf
        rank = finish_times.argmin(axis=1)
        fits = np.isfinite(finish_times[layer_index, rank]) & (expert != EMPTY)
        at_layer, at_rank = layer_index[fits], rank[fits]
        experts[at_layer, at_rank, used[at_layer, at_rank]] = expert[fits]
        used[at_layer, at_rank] += 1
        rank_loads[at_layer, at_rank] += copy_load[fits]
    return experts


def _copy_queue(
    loads: FloatArray, ranks: int, slots: int
) -> tuple[IntArray, FloatArray]:
    """Return the expert and the load of each copy, by decreasing load."""
    counts = _copy_counts(loads, ranks, slots)
    copy_loads = loads / counts
    order = np.argsort(-copy_loads, kind="stable")
    experts = np.full(max(ranks * slots, counts.sum()), EMPTY)
    experts[: counts.sum()] = np.repeat(order, counts[order])
    return experts, np.where(experts == EMPTY, 0.0, copy_loads[experts])


def _copy_counts(loads: FloatArray, ranks: int, slots: int) -> IntArray:
    counts = np.ones(loads.size, dtype=int)
    heap = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(heap)
    for _ in range(ranks * slots - loads.size):
        while heap and counts[heap[0][1]] >= ranks:
            heapq.heappop(heap)
        if not heap:
            break
        expert = heap[0][1]
        counts[expert] += 1
        heapq.heapreplace(heap, (-loads[expert] / counts[expert], expert))
    return counts
