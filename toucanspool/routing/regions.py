"""Regions in which calls may run, and those of the upstreams."""

from collections.abc import Collection, Iterable, Mapping

from toucanspool.routing.upstream import Upstream


class Regions:
    """Select upstreams by region; regions follow from failure domains.

    Parameters
    ----------
    by_domain : mapping of str to str, optional
        Regions by failure domain. An upstream in another failure domain is in no
        region, so calls that are bound to regions don't run on it.
    """

    __slots__ = ("_by_domain", "_elsewhere")

    def __init__(self, by_domain: Mapping[str, str] | None = None) -> None:
        self._by_domain: dict[str, str] = dict(by_domain or {})
        self._elsewhere: str | None = None

    def replace(
        self, by_domain: Mapping[str, str], *, elsewhere: str | None = None
    ) -> None:
        """Replace the regions.

        Parameters
        ----------
        by_domain : mapping of str to str
            Regions by failure domain.
        elsewhere : str, optional
            Region of all other failure domains; by default, they are in none.
        """
        self._by_domain = dict(by_domain)
        self._elsewhere = elsewhere

    def select(
        self, upstreams: Iterable[Upstream], regions: Collection[str] | None
    ) -> list[Upstream]:
        """Return the upstreams on which a call may run.

        Parameters
        ----------
        upstreams : iterable of Upstream
            Upstreams to select from.
        regions : collection of str or None
            Regions in which the call may run; None for any upstream.

        Returns
        -------
        list of Upstream
        """
        if regions is None:
            return list(upstreams)
        return [u for u in upstreams if self._region(u) in regions]

    def _region(self, upstream: Upstream) -> str | None:
        return self._by_domain.get(upstream.listing.failure_domain, self._elsewhere)


def combine_regions(*restrictions: Collection[str]) -> frozenset[str] | None:
    """Return the regions that all restrictions allow.

    Parameters
    ----------
    *restrictions : collection of str
        Allowed regions; an empty collection is no restriction.

    Returns
    -------
    frozenset of str or None
        None without any restriction.
    """
    lists = [frozenset(regions) for regions in restrictions if regions]
    return frozenset.intersection(*lists) if lists else None
