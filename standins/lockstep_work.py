"""The work of a lock-step group's ranks: tokens by expert, from a fixed popularity."""

import numpy as np

from toucanspool.groups.expert_map import EMPTY, ExpertMap

TOKENS_PER_STEP = 4096
TOKEN_S = 1e-6
NOISE = 0.02
ZIPF = 0.8


class WorkModel:
    """Say what each rank did between two questions.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    seed : int, default=1
        Source of the noise.
    """

    def __init__(self, ranks: int, *, seed: int = 1) -> None:
        self._maps: dict[int, ExpertMap] = {}
        self._steps = [0] * ranks
        self._rng = np.random.default_rng(seed)

    def learn(self, version: int, data: bytes) -> None:
        """Remember a map that is loaded.

        Parameters
        ----------
        version : int
            The map's version.
        data : bytes
            The map as `ExpertMap.encode` made it.
        """
        self._maps[version] = ExpertMap.decode(data)

    def new_copies(self, rank: int, old: int, new: int) -> int:
        """Return how many expert copies a rank needs for a map.

        Parameters
        ----------
        rank : int
            The rank.
        old : int
            Version of the map that it has.
        new : int
            Version of the map that it loads.

        Returns
        -------
        int
        """
        wanted = self._maps.get(new)
        if wanted is None:
            return 0
        held = self._maps.get(old)
        count = 0
        for layer in range(wanted.layers):
            have = set(held.experts[layer, rank]) if held is not None else set()
            count += len(set(wanted.experts[layer, rank]) - have - {EMPTY})
        return count

    def since(self, rank: int, version: int, step: int) -> dict:
        """Return a rank's work since it was last asked.

        Parameters
        ----------
        rank : int
            The rank.
        version : int
            The map in use.
        step : int
            Steps finished.

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
        popularity = np.arange(1, map_.n_experts + 1) ** -ZIPF
        loads = np.tile(popularity / popularity.sum(), (map_.layers, 1))
        slots = (map_.gather(loads) * map_.shares)[:, rank]
        noisy = slots * self._rng.normal(1.0, NOISE, slots.shape)
        tokens = np.maximum(0, noisy * TOKENS_PER_STEP * steps).astype(int)
        return {
            "version": version,
            "steps": steps,
            "busy_s": float(tokens.sum() * TOKEN_S),
            "tokens": tokens.tolist(),
        }
