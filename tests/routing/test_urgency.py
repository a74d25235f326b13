"""Checks the order of urgency of streams."""

from toucanspool.routing.urgency import UrgencyOrder


def test_the_priority_of_a_team_goes_before_that_of_its_routes():
    order = UrgencyOrder({(0, False), (2, False)}, {0, 1})
    ranks = [order.rank(route, team) for team in (0, 1) for route in (0, 2)]
    assert ranks == [0, 1, 2, 3]
    assert order.routes_differ


def test_priorities_of_teams_alone_do_not_change_the_order_of_admission():
    order = UrgencyOrder({(1, False)}, {0, 1})
    assert order.levels == 2
    assert not order.routes_differ


def test_streams_of_one_priority_have_no_order():
    order = UrgencyOrder({(1, False), (1, True)}, {None, 1})
    assert order.levels == 1
    assert not order.routes_differ
    assert order.rank(1, None) == 0


def test_teams_without_a_priority_rank_by_the_route_alone():
    order = UrgencyOrder({(0, True), (3, False)}, {None})
    assert (order.rank(0, None), order.rank(3, None)) == (0, 1)


def test_a_priority_that_no_stream_has_ranks_among_those_of_the_streams():
    """Guards against other calls of the service that go before urgent streams."""
    order = UrgencyOrder({(1, False), (3, False)}, {None})
    assert [order.rank(route, None) for route in (0, 1, 2, 3, 7)] == [0, 0, 1, 1, 2]
    assert order.levels == 2
