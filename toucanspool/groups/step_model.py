"""Model of the time that a healthy rank's step takes for its load."""

import numpy as np

from toucanspool.groups.expert_map import FloatArray

HALF_LIFE_S = 300.0
# Relative ridge on the fixed time; it keeps the fit defined while all loads are equal.
RIDGE = 1e-4


class StepModel:
    """Fit step time as a fixed time plus a time per load, over healthy ranks.

    The fit is least squares on exponentially decaying sums, in units of the mean load
    and the mean time. A small ridge on the fixed time decides the fit while all loads
    are equal.
    """

    __slots__ = ("_moments",)

    def __init__(self) -> None:
        self._moments: FloatArray = np.zeros((2, 3))

    def learn(self, loads: FloatArray, times: FloatArray, elapsed_s: float) -> None:
        """Add one sample of the healthy ranks to the fit.

        Parameters
        ----------
        loads : ndarray of float, shape (n,)
            Load of each rank; the mean of all ranks is 1.
        times : ndarray of float, shape (n,)
            Step time of each rank in the same order; the mean is about 1.
        elapsed_s : float
            Time since the last sample, in seconds.
        """
        rows = np.stack([np.ones(loads.size), loads])
        self._moments *= 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._moments += rows @ np.stack([*rows, times], axis=1) / max(loads.size, 1)

    def expected(self, loads: FloatArray) -> FloatArray:
        """Return the time that a healthy rank should take for each load.

        Parameters
        ----------
        loads : ndarray of float
            Loads in the unit of `learn`.

        Returns
        -------
        ndarray of float
            Times in the unit of `learn`; `loads` itself before the first sample.
        """
        fixed, per_load = self._fit()
        return fixed + per_load * loads

    def load_for_time(self, fraction: FloatArray) -> FloatArray:
        """Return the load that a healthy rank processes in a fraction of a step.

        Parameters
        ----------
        fraction : ndarray of float
            Fractions of the step time at the mean load. A rank that takes twice as
            long as expected for its load has one half.

        Returns
        -------
        ndarray of float
            Fractions of the mean load, from 0 to 1.
        """
        fixed, per_load = self._fit()
        load = (fraction * (fixed + per_load) - fixed) / per_load
        return np.clip(load, 0.0, 1.0)

    def _fit(self) -> tuple[float, float]:
        """Return the fixed time and the time per load."""
        (weight, load, time), (_, load_square, load_time) = self._moments
        if weight == 0.0:
            return 0.0, 1.0
        weight *= 1.0 + RIDGE
        determinant = weight * load_square - load * load
        per_load = (weight * load_time - load * time) / determinant
        fixed = (load_square * time - load * load_time) / determinant
        if fixed < 0.0 or per_load <= 0.0:
            return 0.0, max(float(load_time / load_square), 1e-6)
        return float(fixed), float(per_load)
