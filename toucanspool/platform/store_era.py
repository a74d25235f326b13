"""Eras of the platform's store, and versions that count within one era.

The store may come back from an older copy of itself. It then issues again versions that
it had issued before, for other rows. Each response names the store's era, which rises
by one each time. The versions in this program contain the era, so that those of
different eras are never equal and those of a later era are higher.
"""

from gevent.event import Event

from toucanspool.recovery.feed import StoreLapsed

ERA_HEADER = "store-era"
# The store issues fewer versions than this in all its eras together.
VERSIONS_PER_ERA = 1 << 48
# A malformed era that is too high would make all later responses look outdated.
MAX_ERA_DIGITS = 9


class StoreEra:
    """Track the latest era of the store that any response has named.

    Attributes
    ----------
    number : int
        The era; 0 if no response has named one.
    ended : Event
        Set when this era has ended; replaced by a new event in each era.
    """

    __slots__ = ("ended", "number")

    def __init__(self) -> None:
        self.number = 0
        self.ended = Event()

    def observe(self, header: str) -> int:
        """Return the era of a response, after updating the latest era from it.

        Parameters
        ----------
        header : str
            Value of the response's header; empty if missing.

        Returns
        -------
        int
            The latest era if the header is missing or no possible number.
        """
        if not header.isdecimal() or len(header) > MAX_ERA_DIGITS:
            return self.number
        era = int(header)
        if era > self.number:
            self.number = era
            ended, self.ended = self.ended, Event()
            ended.set()
        return era

    def encode_version(self, store_version: int) -> int:
        """Return a version of the store in the latest era as a version of `Table`.

        Version 0 of a row, which does not exist, has no era.
        """
        return store_version and self.number * VERSIONS_PER_ERA + store_version

    def decode_version(self, version: int) -> int:
        """Return the store's own version.

        Parameters
        ----------
        version : int
            A version from `encode_version`, or 0.

        Returns
        -------
        int

        Raises
        ------
        StoreLapsed
            The version is of an earlier era.
        """
        era, store_version = divmod(version, VERSIONS_PER_ERA)
        if store_version and era != self.number:
            raise StoreLapsed(f"the version is of era {era}, not {self.number}")
        return store_version
