"""Linear fits of measured costs."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(slots=True, frozen=True)
class Slope:
    """Hold a cost measured at several sizes and fit a line to it.

    Parameters
    ----------
    name : str
        Name of the cost.
    unit : str
        Unit of the cost.
    per : str
        Noun for what the size counts, such as "team".
    sizes : tuple of float
        Sizes measured.
    runs : ndarray of float, shape (sizes, repeats)
        Cost of each repeat at each size.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    runs: np.ndarray

    def fit(self) -> tuple[float, float, float]:
        """Return slope, intercept and r2 of a least-squares fit to the medians."""
        medians = np.median(self.runs, axis=1)
        slope, intercept = np.polyfit(self.sizes, medians, 1)
        residuals = medians - (slope * np.array(self.sizes) + intercept)
        total_squares = ((medians - medians.mean()) ** 2).sum()
        r2 = 1.0 - (residuals**2).sum() / total_squares if total_squares > 0 else 1.0
        return float(slope), float(intercept), float(r2)

    def cost_at(self, size: float) -> float:
        """Return the cost that the line predicts at a size."""
        slope, intercept, _ = self.fit()
        return slope * size + intercept

    def row(self) -> str:
        """Return the slope as a row of a Markdown table."""
        slope, intercept, r2 = self.fit()
        max_deviation = 0.0
        if self.runs.shape[1] > 1:
            medians = np.median(self.runs, axis=1, keepdims=True)
            deviations = np.abs(self.runs - medians) / np.maximum(
                np.abs(medians), 1e-12
            )
            max_deviation = float(deviations.max()) * 100.0
        measured = ", ".join(
            f"{size:g}: {value:.4g}"
            for size, value in zip(
                self.sizes, np.median(self.runs, axis=1), strict=True
            )
        )
        return (
            f"| {self.name} | {measured} | {slope:.4g} {self.unit} per {self.per} |"
            f" {intercept:.4g} | {r2:.3f} | {max_deviation:.0f} % |"
        )


TABLE_HEADER = (
    "| cost | measured, by size | slope | intercept | r2 | largest deviation |\n"
    "|---|---|---|---|---|---|"
)


def measure(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[float],
    cost: Callable[[float, int], float],
    repeats: int = 5,
) -> Slope:
    """Measure a cost at several sizes.

    Parameters
    ----------
    name, unit, per : str
        See `Slope`.
    sizes : sequence of float
        Sizes to measure at.
    cost : callable
        Takes a size and a seed, and returns the cost.
    repeats : int, default=5
        Runs at each size, with seeds from 0.

    Returns
    -------
    Slope
    """
    runs = [[cost(size, seed) for seed in range(repeats)] for size in sizes]
    return Slope(name, unit, per, tuple(sizes), np.array(runs))


def cpu_ms(func: Callable[[], object], repeat: int) -> float:
    """Return the mean processor time of a call in milliseconds, after a warm-up."""
    func()
    began = time.process_time()
    for _ in range(repeat):
        func()
    return (time.process_time() - began) * 1000.0 / repeat
