"""The weights and limits of expert placement."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PlacementSettings:
    """Weigh step time against moves.

    A move pays if ``skew_weight`` times the step time that it saves over the
    horizon is more than ``move_weight`` times the time that the weight store
    takes for its bytes.

    Parameters
    ----------
    skew_weight : float, default=1.0
        Worth of a second of step time. Raise it where callers wait on every
        step, as at Kettlewell.
    move_weight : float, default=1.0
        Worth of a second of the weight store. Raise it where loading weights
        holds up other work, as at Blue Mahoe.
    horizon_s : float, default=600.0
        How long a gain is thought to last, in seconds.
    expert_bytes : float, default=44e6
        Size of one expert's weights in one layer.
    store_bytes_per_s : float, default=1e9
        Rate of the weight store for this group.
    max_load_s : float, default=3.0
        Time that the copies of one plan may take to load; four times as long
        where less would gain too little.
    switch_s : float, default=0.5
        Time that a change of map costs the group.
    min_gain : float, default=0.0075
        Smallest gain of a plan beyond noise, as a part of the step time.
    noise_sigmas : float, default=4.0
        Standard errors of the slowest rank's load that are taken off a gain
        before it counts.
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
        """Return the weighted cost of one copy, in seconds."""
        return self.move_weight * self.expert_bytes / self.store_bytes_per_s

    @property
    def max_moves(self) -> int:
        """Return the most copies that one plan may load."""
        return int(self.max_load_s * self.store_bytes_per_s / self.expert_bytes)

    def worth(self, gain: float) -> float:
        """Return the weighted worth of a gain, in seconds.

        Parameters
        ----------
        gain : float
            Part of the step time saved.

        Returns
        -------
        float
        """
        return self.skew_weight * self.horizon_s * gain
