"""Random sources by name, all from one seed."""

import random

from toucanspool.kernel.kernel import Kernel


class Randoms:
    """Hand out random sources.

    Parameters
    ----------
    seed : int
        Settings' seed; 0 draws one from the system.
    instance : str
        Makes sources differ between instances of one seed.
    """

    __slots__ = ("_instance", "_seed")

    def __init__(self, seed: int, instance: str) -> None:
        self._seed = seed or random.SystemRandom().getrandbits(64)
        self._instance = instance

    def named(self, name: str) -> random.Random:
        """Return a source of its own for a purpose.

        Parameters
        ----------
        name : str
            The purpose.

        Returns
        -------
        random.Random
        """
        return random.Random(f"{self._seed}/{self._instance}/{name}")

    def start(self, kernel: Kernel) -> None:
        """Do nothing; see `Service`."""

    def stop(self) -> None:
        """Do nothing; see `Service`."""
