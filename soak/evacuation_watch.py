"""Evacuate failure domains, and check that their upstreams get no more requests."""

import math
import time
from collections.abc import Callable, Sequence

from soak.oracle import Oracle
from soak.process import Process
from standins.row_store import RowStorePages

# No request reaches an evacuated upstream later than this after the acknowledgement.
EVACUATE_S = 5.0


class EvacuationWatch:
    """Write and remove the operator's rows, and look for requests in spite of them.

    A gateway must know of a row if it started after the acknowledgement, since it reads
    the table first, or once it and the store were left alone for `EVACUATE_S` since
    then. It must not forget the row again, whatever happens to it and to its link.

    Parameters
    ----------
    oracle : Oracle
        Records violations.
    pages : RowStorePages
        The store.
    gateways : sequence of Process
        The gateways.
    find_gateway : callable
        Takes the id of a call and returns the gateway that it was sent to, or None.

    Attributes
    ----------
    checked : int
        Number of evacuations that a gateway must have read.
    """

    def __init__(
        self,
        oracle: Oracle,
        pages: RowStorePages,
        gateways: Sequence[Process],
        find_gateway: Callable[[str], Process | None],
    ) -> None:
        self._oracle = oracle
        self._pages = pages
        self._gateways = gateways
        self._find_gateway = find_gateway
        self._acked_at: dict[str, float] = {}
        self._informed: dict[str, set[tuple[str, int]]] = {}
        self._restored_at = -math.inf
        self.checked = 0

    def evacuate(self, domain: str) -> bool:
        """Write the row of a failure domain; return whether it was not there yet."""
        if domain in self._acked_at:
            return False
        self._pages.put("op", f"evacuate/{domain}", b"{}")
        self._acked_at[domain] = time.monotonic()
        self._informed[domain] = set()
        return True

    def take_back(self, domain: str) -> set[tuple[str, int]]:
        """Remove the row; return names and starts of the gateways that had read it."""
        del self._acked_at[domain]
        self._pages.drop("op", f"evacuate/{domain}")
        return self._informed.pop(domain)

    def record_restore(self) -> None:
        """Record that the store came back from an older copy, which may lack rows."""
        self._restored_at = time.monotonic()
        for domain in self._acked_at:
            self._acked_at[domain] = math.inf

    def rewrite(self, domains: Sequence[str]) -> None:
        """Make the rows of a restored store what they were before."""
        for domain in domains:
            if domain in self._acked_at:
                self._pages.put("op", f"evacuate/{domain}", b"{}")
                self._acked_at[domain] = time.monotonic()
            else:
                self._pages.drop("op", f"evacuate/{domain}")

    def update(self) -> None:
        """Note which gateways must have read the rows; called at each tick."""
        now = time.monotonic()
        store_s = self._oracle.store_undisturbed_s()
        for domain, acked_at in self._acked_at.items():
            informed = self._informed[domain]
            for gateway in self._gateways:
                incarnation = gateway.name, gateway.starts
                alone_s = min(gateway.undisturbed_s(), store_s)
                if min(now - acked_at, alone_s) > EVACUATE_S:
                    self.checked += not informed
                    informed.add(incarnation)
                elif self._may_forget(gateway, acked_at, now):
                    informed.discard(incarnation)

    def record_request(self, upstream: str, domain: str, call: str) -> None:
        """Record a request that an upstream did not answer with 421."""
        gateway = self._find_gateway(call)
        if gateway is None or domain not in self._acked_at:
            return
        acked_at = self._acked_at[domain]
        late_s = time.monotonic() - acked_at
        informed = (gateway.name, gateway.starts) in self._informed[domain]
        if informed or (gateway.started_at > acked_at and late_s > EVACUATE_S):
            self._oracle.record_evacuated(call, gateway.name, upstream, late_s)

    def _may_forget(self, gateway: Process, acked_at: float, now: float) -> bool:
        """Return whether a gateway may miss that a row is written a second time.

        Gateways trust a restored table after a time, so they need to reach the store.
        """
        rewritten = acked_at < math.inf
        if rewritten and not acked_at - EVACUATE_S < self._restored_at < acked_at:
            return False
        # The restore itself is a fault until the rows are written again.
        other_faults = self._oracle.store_faults - (not rewritten)
        restored_s = now - self._restored_at
        if restored_s > 2 * EVACUATE_S:
            return False
        return other_faults > 0 or gateway.undisturbed_s() < restored_s
