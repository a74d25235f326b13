"""Named random number generators that derive from one seed."""

import random

from toucanspool.kernel.kernel import Kernel


class RandomSources:
    """Create random number generators by name.

    Parameters
    ----------
    seed : int
        Base seed from the settings; 0 takes one from the operating system.
    instance : str
        Name of the process; processes with the same base seed draw different numbers.
    """

    __slots__ = ("_instance", "_seed")

    def __init__(self, seed: int, instance: str) -> None:
        self._seed = seed or random.SystemRandom().getrandbits(64)
        self._instance = instance

    def named(self, name: str) -> random.Random:
        """Return a new generator for a purpose.

        Calls with the same name return generators that draw the same numbers.

        Parameters
        ----------
        name : str
            Name of the purpose; it is part of the seed.

        Returns
        -------
        random.Random
        """
        return random.Random(f"{self._seed}/{self._instance}/{name}")

    def start(self, kernel: Kernel) -> None:
        """Do nothing; required by `Service`."""

    def stop(self) -> None:
        """Do nothing; required by `Service`."""
