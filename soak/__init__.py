"""Randomized soak test: real processes, injected faults, checks of the guarantees."""
