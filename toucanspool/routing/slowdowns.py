"""The factors by which requests take longer on slow upstreams."""

from collections.abc import Mapping

import structlog

_log = structlog.get_logger()


class Slowdowns:
    """Hold the slowdown factors of upstreams by name."""

    __slots__ = ("_factors",)

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def replace(self, factors: Mapping[str, float]) -> None:
        """Replace the slowdown factors.

        Parameters
        ----------
        factors : mapping of str to float
            By name, the factor by which requests take longer than normal; 1 for
            upstreams that are missing.
        """
        for name in factors.keys() | self._factors.keys():
            before, after = self.factor(name), factors.get(name, 1.0)
            if before != after:
                _log.info("pace changed", upstream=name, pace=after, before=before)
        self._factors = dict(factors)

    def factor(self, name: str) -> float:
        """Return the factor by which requests on an upstream take longer."""
        return self._factors.get(name, 1.0)
