"""Decoder for the operator's rows that evacuate failure domains."""

from collections.abc import Callable, Iterable

import structlog

from toucanspool.recovery.feed import Changes
from toucanspool.routing.evacuation import Evacuations

# The rows are in the table of the operator's configuration.
PREFIX = "evacuate/"
MAX_NAME_CHARS = 128

_log = structlog.get_logger()


class EvacuationRows:
    """Apply the rows of evacuated failure domains; their values have no meaning.

    Parameters
    ----------
    evacuations : Evacuations
        The evacuated failure domains.
    era : callable
        Returns the store's era, which rises when the store comes back from an older
        copy.
    """

    __slots__ = ("_era", "_evacuations", "_known_era")

    def __init__(self, evacuations: Evacuations, era: Callable[[], int]) -> None:
        self._evacuations = evacuations
        self._era = era
        self._known_era: int | None = None

    def replace(self, changes: Changes, now: float) -> None:
        """Apply a snapshot of the table.

        Parameters
        ----------
        changes : Changes
            All rows of the table.
        now : float
            Seconds on the monotonic clock.
        """
        era = self._era()
        restored = self._known_era is not None and era != self._known_era
        self._known_era = era
        domains = _decode_domains(row.key for row in changes.rows)
        self._evacuations.replace(domains, now, restored=restored)

    def update(self, changes: Changes, now: float) -> None:
        """Apply changes of the table.

        Parameters
        ----------
        changes : Changes
            Changed and deleted rows of the table.
        now : float
            Seconds on the monotonic clock.
        """
        for domain in _decode_domains(row.key for row in changes.rows):
            self._evacuations.change(domain, True, now)
        for domain in _decode_domains(changes.deleted):
            self._evacuations.change(domain, False, now)


def _decode_domains(keys: Iterable[str]) -> list[str]:
    names = [key.removeprefix(PREFIX) for key in keys if key.startswith(PREFIX)]
    return [name for name in names if _is_readable(name)]


def _is_readable(name: str) -> bool:
    # Upstreams without a failure domain have an empty one, which can't be evacuated.
    readable = name.strip() and name.isprintable() and len(name) <= MAX_NAME_CHARS
    if not readable:
        _log.warning("unreadable evacuation", domain=name[:MAX_NAME_CHARS])
    return bool(readable)
