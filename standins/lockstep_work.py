"""Synthetic work of lock-step ranks: tokens by expert, from a Zipf popularity."""

import numpy as np

from toucanspool.groups.expert_map import EMPTY, ExpertMap

TOKENS_PER_STEP = 4096
SECONDS_PER_TOKEN = 1e-6
NOISE_STDDEV = 0.02
ZIPF_EXPONENT = 0.8


class WorkModel:
    """Compute the work of each rank between two queries.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    seed : int, default=1
        Seed of the noise in token counts.
    """

    def __init__(self, ranks: int, *, seed: int = 1) -> None:
        self._maps: dict[int, ExpertMap] = {}
        self._steps = [0] * ranks
        self._rng = np.random.default_rng(seed)

    def add_map(self, version: int, data: bytes) -> None:
        """Store a map that a rank loads.

        Parameters
        ----------
        version : int
            The map's version.
        data : bytes
            The map as encoded by `ExpertMap.encode`.
        """
        self._maps[version] = ExpertMap.decode(data)

    def new_copies(self, rank: int, old: int, new: int) -> int:
        """Return how many expert copies a rank must fetch for a new map.

        Parameters
        ----------
        rank : int
            Number of the rank.
        old : int
            Version of its current map.
        new : int
            Version of the map to load.

        Returns
        -------
        int
        """
        new_map = self._maps.get(new)
        if new_map is None:
            return 0
        old_map = self._maps.get(old)
        count = 0
        for layer in range(new_map.layers):
            present = (
                set(old_map.experts[layer, rank]) if old_map is not None else set()
            )
            count += len(set(new_map.experts[layer, rank]) - present - {EMPTY})
        return count

    def collect(self, rank: int, version: int, step: int) -> dict:
        """Return a rank's work since the previous call.

        Parameters
        ----------
        rank : int
            Number of the rank.
        version : int
            Version of the map in use.
        step : int
            Number of steps finished by the group.

        Returns
        -------
        dict
            ``version``, ``steps``, ``busy_s`` and ``tokens`` by layer and slot.
        """
        steps = max(0, step - self._steps[rank])
        self._steps[rank] = step
        map_ = self._maps.get(version)
        if map_ is None:
            return {"version": version, "steps": steps, "busy_s": 0.0, "tokens": [[0]]}
        popularity = np.arange(1, map_.n_experts + 1) ** -ZIPF_EXPONENT
        loads = np.tile(popularity / popularity.sum(), (map_.layers, 1))
        slot_loads = (map_.gather(loads) * map_.shares)[:, rank]
        noisy_loads = slot_loads * self._rng.normal(1.0, NOISE_STDDEV, slot_loads.shape)
        tokens = np.maximum(0, noisy_loads * TOKENS_PER_STEP * steps).astype(int)
        return {
            "version": version,
            "steps": steps,
            "busy_s": float(tokens.sum() * SECONDS_PER_TOKEN),
            "tokens": tokens.tolist(),
        }
