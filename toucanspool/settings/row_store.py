"""Settings of the row store, and how long its feeds may wait."""

from typing import Annotated

from pydantic import Field

from toucanspool.settings.model import Address, Model

MS_PER_S = 1000.0
# Time to notice that a feed is silent, and to read the changes on a new connection.
FEED_RECOVERY_S = 1.0
# Pause of the feed of evacuations before its next read, and time that a call that is
# already routed takes to connect.
EVACUATION_MARGIN_S = 1.0
MIN_FEED_WAIT_S = 0.5


class RowStore(Model):
    """Locate the row store with the lists of upstreams, routes and entries.

    A process must know what the store has ``contact_ms`` after its return from an
    outage, and after its own connections failed. An upstream that leaves must get no
    new work after ``drain_ms``, and evacuated failure domains none after
    ``evacuate_ms``.
    """

    address: Address
    contact_ms: Annotated[float, Field(gt=0)] = 3000.0
    drain_ms: Annotated[float, Field(gt=0)] = 2000.0
    evacuate_ms: Annotated[float, Field(gt=0)] | None = None

    @property
    def feed_wait_s(self) -> float:
        """Return the longest time that a feed may wait for changes, in seconds.

        A connection that fails silently is detected at the end of the wait. What is
        left of ``contact_ms`` and ``evacuate_ms`` suffices to notice that and to read
        the changes.
        """
        time_s = self.contact_ms / MS_PER_S
        if self.evacuate_ms is not None:
            time_s = min(time_s, self.evacuate_ms / MS_PER_S - EVACUATION_MARGIN_S)
        return max(MIN_FEED_WAIT_S, time_s - FEED_RECOVERY_S)

    @property
    def list_interval_s(self) -> float:
        """Return the interval between reads of the list, in seconds.

        It is half of ``drain_ms``, so that an upstream that leaves gets no new work
        after that time.
        """
        return self.drain_ms / MS_PER_S / 2.0
