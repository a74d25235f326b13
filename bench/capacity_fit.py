"""A straight line through measured costs, for the capacity page."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(slots=True, frozen=True)
class Slope:
    """Hold a cost measured at several sizes, and its line.

    Parameters
    ----------
    name : str
        What costs.
    unit : str
        Unit of the cost.
    per : str
        What the size counts.
    sizes : tuple of float
        Sizes measured.
    runs : ndarray of float, shape (sizes, repeats)
        The costs.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    runs: np.ndarray

    def fit(self) -> tuple[float, float, float]:
        """Return slope, intercept and r2 of the line through the medians."""
        medians = np.median(self.runs, axis=1)
        slope, intercept = np.polyfit(self.sizes, medians, 1)
        left = medians - (slope * np.array(self.sizes) + intercept)
        total = ((medians - medians.mean()) ** 2).sum()
        r2 = 1.0 - (left**2).sum() / total if total > 0 else 1.0
        return float(slope), float(intercept), float(r2)

    def at(self, size: float) -> float:
        """Return the cost at a size, by the line."""
        slope, intercept, _ = self.fit()
        return slope * size + intercept

    def row(self) -> str:
        """Return the slope as a row of a Markdown table."""
        slope, intercept, r2 = self.fit()
        spread = 0.0
        if self.runs.shape[1] > 1:
            medians = np.median(self.runs, axis=1, keepdims=True)
            off = np.abs(self.runs - medians) / np.maximum(np.abs(medians), 1e-12)
            spread = float(off.max()) * 100.0
        found = ", ".join(
            f"{size:g}: {value:.4g}"
            for size, value in zip(
                self.sizes, np.median(self.runs, axis=1), strict=True
            )
        )
        return (
            f"| {self.name} | {found} | {slope:.4g} {self.unit} per {self.per} |"
            f" {intercept:.4g} | {r2:.3f} | {spread:.0f} % |"
        )


HEAD = (
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
        The sizes.
    cost : callable
        Takes a size and a seed, and returns the cost.
    repeats : int, default=5
        Seeds at each size.

    Returns
    -------
    Slope
    """
    runs = [[cost(size, seed) for seed in range(repeats)] for size in sizes]
    return Slope(name, unit, per, tuple(sizes), np.array(runs))


def cpu_ms(func: Callable[[], object], repeat: int) -> float:
    """Return the processor time of one call, in milliseconds."""
    func()
    began = time.process_time()
    for _ in range(repeat):
        func()
    return (time.process_time() - began) * 1000.0 / repeat
