"""The time that a rank's step should take for its load."""

import numpy as np

from toucanspool.groups.expert_map import FloatArray

MEMORY_HALF_LIFE_S = 300.0
RIDGE = 1e-4


class StepModel:
    """Fit step time as a fixed part plus a part by load, over healthy ranks.

    The fit is least squares on sums that fade with time, in units of the mean
    load and the mean time. A small ridge on the fixed part decides while all
    loads are alike.
    """

    __slots__ = ("_moments",)

    def __init__(self) -> None:
        self._moments: FloatArray = np.zeros((2, 3))

    def learn(self, loads: FloatArray, times: FloatArray, gap_s: float) -> None:
        """Count one look at the healthy ranks.

        Parameters
        ----------
        loads : ndarray of float, shape (n,)
            Load of each rank; the mean of all ranks is 1.
        times : ndarray of float, shape (n,)
            Step time of each rank in the same order; the mean is about 1.
        gap_s : float
            Seconds since the last look.
        """
        rows = np.stack([np.ones(loads.size), loads])
        self._moments *= 0.5 ** (gap_s / MEMORY_HALF_LIFE_S)
        self._moments += rows @ np.stack([*rows, times], axis=1) / max(loads.size, 1)

    def expected(self, loads: FloatArray) -> FloatArray:
        """Return the time that each load should take on a healthy rank.

        Parameters
        ----------
        loads : ndarray of float
            Loads in the unit of `learn`.

        Returns
        -------
        ndarray of float
            Times in the unit of `learn`; `loads` itself before the first look.
        """
        fixed, by_load = self._fit()
        return fixed + by_load * loads

    def load_in_time(self, part: FloatArray) -> FloatArray:
        """Return the load that a healthy rank does in a part of a step.

        Parameters
        ----------
        part : ndarray of float
            Parts of the time of a step at the mean load; a rank that takes
            twice as long for its load has one half.

        Returns
        -------
        ndarray of float
            Parts of the mean load, at most 1 and at least 0.
        """
        fixed, by_load = self._fit()
        load = (part * (fixed + by_load) - fixed) / by_load
        return np.clip(load, 0.0, 1.0)

    def _fit(self) -> tuple[float, float]:
        (weight, load, time), (_, load_square, load_time) = self._moments
        if weight == 0.0:
            return 0.0, 1.0
        weight *= 1.0 + RIDGE
        spread = weight * load_square - load * load
        by_load = (weight * load_time - load * time) / spread
        fixed = (load_square * time - load * load_time) / spread
        if fixed < 0.0 or by_load <= 0.0:
            return 0.0, max(float(load_time / load_square), 1e-6)
        return float(fixed), float(by_load)
