"""The order of urgency of streams, by the priorities of their teams and routes."""

from bisect import bisect_left
from collections.abc import Collection

# The priority of a team and that of a route.
Priority = tuple[int, int]


class UrgencyOrder:
    """Rank the priorities that the streams of one service may have.

    The priority of a team goes before that of its routes; lower numbers are more
    urgent.

    Parameters
    ----------
    of_routes : collection of (int, bool)
        Priorities of the service's routes for streams, and whether each is public.
    of_teams : collection of int or None
        Priorities of all teams; None stands for teams without one.

    Attributes
    ----------
    routes_differ : bool
        Whether the routes differ in priority. Only then streams are admitted in this
        order. Where just teams differ, their priorities decide about shedding.
    """

    __slots__ = ("_priorities", "routes_differ")

    def __init__(
        self,
        of_routes: Collection[tuple[int, bool]],
        of_teams: Collection[int | None],
    ) -> None:
        priorities = {
            _combine(route, team)
            for route, public in of_routes
            for team in ((None,) if public else of_teams or (None,))
        }
        self._priorities = sorted(priorities)
        self.routes_differ = len({route for route, _ in of_routes}) > 1

    @property
    def levels(self) -> int:
        """Return the number of different priorities."""
        return len(self._priorities)

    def rank(self, route: int, team: int | None) -> int:
        """Return the number of streams' priorities that go before one.

        Parameters
        ----------
        route : int
            Priority of the route of a stream or another call.
        team : int or None
            Priority of its team; None if the route's alone counts.

        Returns
        -------
        int
            0 for the most urgent calls.
        """
        return bisect_left(self._priorities, _combine(route, team))


def _combine(route: int, team: int | None) -> Priority:
    return (route if team is None else team), route
