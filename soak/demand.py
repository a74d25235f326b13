"""The demand for experts of the lock-step group, with one hot expert at a time."""

import random

import numpy as np

from soak.configuration import EXPERTS, LAYER_SETS
from standins.pass_group import PassGroup

HOT_SHIFT_SHARE = 0.01
EVEN_TOKENS, HOT_TOKENS = 5, 300


class ExpertDemand:
    """Count tokens by expert at all ranks of a group.

    Parameters
    ----------
    group : PassGroup
        The group, whose counts start anew.
    rng : random.Random
        Random source of the hot expert.
    """

    def __init__(self, group: PassGroup, rng: random.Random) -> None:
        self._rows = group.rows
        self._rng = rng
        self._hot = 0
        for row in self._rows:
            row.counts = np.ones((LAYER_SETS, EXPERTS), dtype=int)

    def grow(self) -> None:
        """Count the tokens of one tick."""
        if self._rng.random() < HOT_SHIFT_SHARE:
            self._hot = self._rng.randrange(EXPERTS)
        for row in self._rows:
            row.counts = row.counts + EVEN_TOKENS
            row.counts[:, self._hot] += HOT_TOKENS
