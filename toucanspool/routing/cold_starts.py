"""The cold starts of all upstreams of one entry."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import structlog

from toucanspool.routing.upstream import Upstream

_log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class ColdRule:
    """Hold what a service says of its cold upstreams.

    Parameters
    ----------
    start_s : float
        How long an upstream is cold after its start, in seconds.
    per_s : float
        Requests a second that a cold upstream tolerates from all entries; 0 for no
        bound.
    """

    start_s: float
    per_s: float


NO_RULE = ColdRule(0.0, 0.0)


class ColdStarts:
    """Apply the rules of the services to what is known of their upstreams."""

    __slots__ = ("_rules",)

    def __init__(self) -> None:
        self._rules: Mapping[str, ColdRule] = {}

    def set_rules(
        self, rules: Mapping[str, ColdRule], upstreams: Iterable[Upstream], now: float
    ) -> None:
        """Replace the rules of the services.

        Parameters
        ----------
        rules : mapping of str to ColdRule
            Rules by the name of the service; services that are missing have no bound.
        upstreams : iterable of Upstream
            All upstreams.
        now : float
            Seconds on the monotonic clock.
        """
        self._rules = rules
        for upstream in upstreams:
            self.update(upstream, "configuration", now)

    def read_row(
        self, upstream: Upstream, now: float, *, started: bool, old: bool
    ) -> None:
        """Record the row of the list that an upstream has now.

        Parameters
        ----------
        upstream : Upstream
            The upstream, with its new listing.
        now : float
            When the row was read, in seconds on the monotonic clock.
        started : bool
            Whether the upstream has started since the list was read before.
        old : bool
            As for `ColdStart.list`.
        """
        if started:
            upstream.cold.presume(self._rule(upstream).start_s, now)
        upstream.cold.list(upstream.listing.cold_remaining_s, now, old=old)
        self.update(upstream, "list", now)

    def read_health(self, upstream: Upstream, remaining_s: float, now: float) -> None:
        """Record how long a health reply says that an upstream stays cold."""
        upstream.cold.report(remaining_s, now)
        self.update(upstream, "health", now)

    def take_back(self, upstream: Upstream, now: float) -> None:
        """Take an upstream for cold, since its failure domain was just taken back."""
        upstream.cold.presume(self._rule(upstream).start_s, now)
        self.update(upstream, "taken back", now)

    def update(self, upstream: Upstream, source: str, now: float) -> None:
        """Begin the bound of an upstream if it is cold.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        source : str
            What the decision follows from, for the log.
        now : float
            Seconds on the monotonic clock.
        """
        if upstream.cold.update(self._rule(upstream).per_s, now):
            _log.info(
                "upstream cold",
                upstream=upstream.name,
                service=upstream.listing.service,
                remaining_s=round(upstream.cold.remaining_s(now), 3),
                per_s=upstream.cold.per_s,
                source=source,
            )

    def _rule(self, upstream: Upstream) -> ColdRule:
        return self._rules.get(upstream.listing.service, NO_RULE)
