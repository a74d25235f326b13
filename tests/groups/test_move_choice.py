"""Tests that each chosen move pays off and that the best ones use the budget."""

import numpy as np
import pytest

from toucanspool.groups.layer_search import LayerPlacement, Move
from toucanspool.groups.move_choice import LayerCurve, choose
from toucanspool.groups.placement_settings import PlacementSettings

UNUSED = np.zeros((1, 1))


def curve(layer, peaks, *, noise=0.0):
    points = [
        LayerPlacement(UNUSED, UNUSED, UNUSED, peak, (Move(layer, 0, 0, 0, 0),) * moves)
        for moves, peak in enumerate(peaks)
    ]
    return LayerCurve(layer=layer, current_peak=peaks[0], noise=noise, points=points)


def settings(*, min_gain=0.0):
    """Return settings with which a move pays off above a gain."""
    return PlacementSettings(
        expert_bytes=1.0,
        store_bytes_per_s=1.0,
        move_weight=min_gain * PlacementSettings().horizon_s,
    )


def moves_of(choice):
    return {c.layer: len(c.placement.moves) for c in choice.chosen}


@pytest.mark.parametrize(
    ("min_gain", "moves"), [(0.5, {}), (0.3, {0: 1}), (0.02, {0: 2}), (0.0, {0: 4})]
)
def test_only_moves_that_pay_are_chosen(min_gain, moves):
    found = choose(
        [curve(0, [10, 6, 5.5, 5.5, 5.4])],
        settings(min_gain=min_gain),
        10,
        budget=9,
    )
    assert moves_of(found) == moves


def test_a_move_that_pays_only_with_the_next_is_chosen_with_it():
    found = choose([curve(0, [10, 10, 4])], settings(min_gain=0.2), 10, budget=9)
    assert moves_of(found) == {0: 2}


def test_budget_goes_to_the_steepest_moves():
    curves = [curve(0, [10, 9, 8]), curve(1, [10, 7, 6.5]), curve(2, [10, 8, 7.9])]
    found = choose(curves, settings(), 30, budget=3)
    assert moves_of(found) == {0: 1, 1: 1, 2: 1}
    assert found.over_budget == {0, 1, 2}


def test_gain_of_moves_within_noise_is_not_chosen():
    found = choose([curve(0, [10, 9.5], noise=1.0)], settings(), 10, budget=9)
    assert moves_of(found) == {}
    assert found.best_peaks == {0: 9.5}
