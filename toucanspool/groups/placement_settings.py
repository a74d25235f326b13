"""Weights and limits of expert placement."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PlacementSettings:
    """Weigh a shorter step time against the cost of moving experts.

    A move pays off if ``skew_weight`` times the step time saved over the horizon
    exceeds ``move_weight`` times the time that the weight store takes for its bytes.

    Parameters
    ----------
    skew_weight : float, default=1.0
        Weight of a second of step time. Raise it where callers wait on every step.
    move_weight : float, default=1.0
        Weight of a second of weight store time. Raise it where loading weights
        delays other work.
    horizon_s : float, default=600.0
        Time for which a gain is expected to last, in seconds.
    expert_bytes : float, default=44e6
        Size of one expert's weights in one layer, in bytes.
    store_bytes_per_s : float, default=1e9
        Throughput of the weight store for this group, in bytes per second.
    max_load_s : float, default=3.0
        Maximum time to load the copies of one plan, in seconds. It is four times
        as long if a plan within the limit would gain too little.
    switch_s : float, default=0.5
        Time that a switch of maps costs the group, in seconds.
    min_gain : float, default=0.0075
        Minimum gain of a plan beyond noise, as a fraction of the step time.
    noise_sigmas : float, default=4.0
        Number of standard errors of the slowest rank's load by which a gain is
        reduced before it counts.
    """

    skew_weight: float = 1.0
    move_weight: float = 1.0
    horizon_s: float = 600.0
    expert_bytes: float = 44e6
    store_bytes_per_s: float = 1e9
    max_load_s: float = 3.0
    switch_s: float = 0.5
    min_gain: float = 0.0075
    noise_sigmas: float = 4.0

    @property
    def move_cost(self) -> float:
        """Return the weighted cost of loading one copy, in seconds."""
        return self.move_weight * self.expert_bytes / self.store_bytes_per_s

    @property
    def max_moves(self) -> int:
        """Return the number of copies that can be loaded in ``max_load_s``."""
        return int(self.max_load_s * self.store_bytes_per_s / self.expert_bytes)

    def benefit(self, gain: float) -> float:
        """Return the weighted benefit of a gain, in seconds.

        Parameters
        ----------
        gain : float
            Fraction of the step time saved.

        Returns
        -------
        float
        """
        return self.skew_weight * self.horizon_s * gain
