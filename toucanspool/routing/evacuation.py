"""The failure domains that the operator has evacuated."""

from collections.abc import Callable, Iterable, Iterator

import structlog

# A store that came back from an older copy may lack evacuations. The operator is given
# this long to write them again.
RESTORED_GRACE_S = 5.0

_log = structlog.get_logger()


class Evacuations:
    """Hold the failure domains that get no new calls.

    It handles the loss of whole failure domains: their upstreams are excluded before
    any other decision, whatever the load on the remaining ones.

    Parameters
    ----------
    on_taken_back : callable
        Called with a failure domain that may be used again, and the time in seconds on
        the monotonic clock.
    """

    __slots__ = ("_domains", "_grace_ends", "_on_taken_back")

    def __init__(self, on_taken_back: Callable[[str, float], None]) -> None:
        self._on_taken_back = on_taken_back
        self._domains: set[str] = set()
        self._grace_ends: dict[str, float] = {}

    def __contains__(self, domain: str) -> bool:
        return domain in self._domains

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._domains))

    def __len__(self) -> int:
        return len(self._domains)

    def replace(
        self, domains: Iterable[str], now: float, *, restored: bool = False
    ) -> None:
        """Replace the set.

        Parameters
        ----------
        domains : iterable of str
            All evacuated failure domains.
        now : float
            Seconds on the monotonic clock.
        restored : bool, default=False
            Whether the set comes from an older copy of the store. Evacuated domains
            that it lacks then stay evacuated for `RESTORED_GRACE_S`.
        """
        listed = set(domains)
        for domain in sorted(listed):
            self.change(domain, True, now)
        for domain in sorted(self._domains - listed):
            if restored:
                self._grace_ends[domain] = now + RESTORED_GRACE_S
                _log.warning("evacuation missing in restored table", domain=domain)
            elif domain not in self._grace_ends:
                self.change(domain, False, now)

    def change(self, domain: str, evacuated: bool, now: float) -> None:
        """Evacuate a failure domain or take it back.

        Parameters
        ----------
        domain : str
            The failure domain.
        evacuated : bool
            Whether it is evacuated.
        now : float
            Seconds on the monotonic clock.
        """
        self._grace_ends.pop(domain, None)
        if evacuated == (domain in self._domains):
            return
        if evacuated:
            self._domains.add(domain)
            _log.info("failure domain evacuated", domain=domain, evacuated=list(self))
        else:
            self._domains.remove(domain)
            _log.info("failure domain taken back", domain=domain, evacuated=list(self))
            self._on_taken_back(domain, now)

    def expire(self, now: float) -> None:
        """Take back the failure domains whose grace period is over.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        for domain in [d for d, end in self._grace_ends.items() if now >= end]:
            self.change(domain, False, now)
