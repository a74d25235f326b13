"""Validation of expert maps."""

import numpy as np
from numpy.typing import NDArray

EMPTY = -1
MAX_WEIGHT = 10_000


def map_errors(
    version: int, n_experts: int, experts: NDArray, weights: NDArray
) -> list[str]:
    """Validate a map and return its errors, one message each.

    Parameters
    ----------
    version : int
        Version of the map.
    n_experts : int
        Experts in each layer.
    experts : ndarray
        The expert in each slot; `EMPTY` for an empty slot.
    weights : ndarray
        The weight of each slot, from 0 to `MAX_WEIGHT`.

    Returns
    -------
    list of str
        Empty for a valid map.
    """
    if experts.ndim != 3 or 0 in experts.shape:
        return ["experts need the shape (layers, ranks, slots)"]
    if weights.shape != experts.shape:
        return ["weights need the shape of experts"]
    if experts.dtype.kind not in "iu" or weights.dtype.kind not in "iub":
        return ["experts and weights are whole numbers"]
    if version < 0 or not 0 < n_experts <= np.iinfo(np.int16).max:
        return ["version or number of experts is out of range"]
    if experts.min() < EMPTY or experts.max() >= n_experts:
        return ["a slot holds an expert that there is not"]
    if weights.min() < 0 or weights.max() > MAX_WEIGHT:
        return [f"a weight is not in 0 to {MAX_WEIGHT}"]
    return _rule_errors(n_experts, experts, weights)


def _rule_errors(n_experts: int, experts: NDArray, weights: NDArray) -> list[str]:
    errors = []
    if (weights[experts == EMPTY] > 0).any():
        errors.append("an empty slot has a weight")
    ordered = np.sort(experts, axis=2)
    duplicate = (ordered[..., 1:] == ordered[..., :-1]) & (ordered[..., 1:] != EMPTY)
    for layer, rank, _ in np.argwhere(duplicate)[:3]:
        errors.append(f"layer {layer}: an expert is twice on rank {rank}")
    has_copy = np.zeros((experts.shape[0], n_experts), dtype=bool)
    layer_of = np.broadcast_to(
        np.arange(experts.shape[0])[:, None, None], experts.shape
    )
    used = weights > 0
    has_copy[layer_of[used], experts[used]] = True
    for layer, expert in np.argwhere(~has_copy)[:3]:
        errors.append(f"layer {layer}: no copy of expert {expert} gets tokens")
    return errors
