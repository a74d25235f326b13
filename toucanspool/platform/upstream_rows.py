"""The store's rows about upstreams, applied to a gateway."""

import time

from toucanspool.gateway.core import GatewayCore
from toucanspool.platform import listings
from toucanspool.recovery.feed import Changes


class UpstreamRows:
    """Apply the rows about upstreams.

    Parameters
    ----------
    core : GatewayCore
        Has the list of upstreams.

    Attributes
    ----------
    known : bool
        Whether all rows have been read once.
    """

    __slots__ = ("_core", "known")

    def __init__(self, core: GatewayCore) -> None:
        self._core = core
        self.known = False

    def replace(self, changes: Changes) -> None:
        """Take all rows, after a first or a lost connection."""
        decoded = [listings.decode_listing(row) for row in changes.rows]
        valid = [listing for listing in decoded if listing is not None]
        self._core.upstreams.replace(valid, changes.version, now=time.monotonic())
        self._core.upstreams_changed()
        self.known = True

    def update(self, changes: Changes) -> None:
        """Take rows that have changed."""
        changed = {row.key: listings.decode_listing(row) for row in changes.rows}
        changed.update(dict.fromkeys(changes.deleted))
        self._core.upstreams.change(changed, changes.version, now=time.monotonic())
        self._core.upstreams_changed()
