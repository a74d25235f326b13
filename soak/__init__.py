"""A randomized soak: real processes, faults from outside, checks of the promises."""
