"""Tests of the load estimate with noisy, late and missing reports."""

import numpy as np
import pytest
from group_reports import ReportingGroup

from toucanspool.groups import load
from toucanspool.groups.load import LoadEstimate


def update_for(group, estimate, seconds, *, start=1, loss_rate=0.05):
    for now in range(start, start + seconds):
        for report in group.reports(float(now), loss_rate=loss_rate):
            estimate.observe(report, group.map)
        estimate.update(float(now))


def new_estimate(group):
    return LoadEstimate(*group.loads.shape)


@pytest.mark.parametrize("loss_rate", [0.0, 0.3])
def test_estimate_and_its_error_are_right(loss_rate):
    group = ReportingGroup(layers=6, n_experts=20)
    estimate = new_estimate(group)
    update_for(group, estimate, 120, loss_rate=loss_rate)
    deviation = (estimate.loads - group.loads) / estimate.errors
    assert estimate.ready
    assert np.abs(estimate.loads / group.loads - 1.0).max() < 0.03
    assert 0.6 < np.sqrt((deviation**2).mean()) < 1.6


def test_loads_of_a_silent_rank_come_from_other_copies():
    group = ReportingGroup()
    estimate = new_estimate(group)
    group.silent = {0}
    update_for(group, estimate, 60, loss_rate=0.0)
    rest = np.delete(group.map.experts[0], 0, axis=0)
    elsewhere = np.delete(group.map.shares[0], 0, axis=0)
    seen = np.bincount(rest.ravel(), elsewhere.ravel(), minlength=16) >= 0.25
    ratio = estimate.loads[0, seen] / group.loads[0, seen]
    assert 0 < seen.sum() < 16
    assert ratio.std() / ratio.mean() < 0.03


def after_jump():
    group = ReportingGroup(layers=1)
    estimate = new_estimate(group)
    update_for(group, estimate, 60)
    calm_error = estimate.errors[0, 0] / estimate.loads[0, 0]
    group.loads = np.roll(group.loads, 5, axis=1)
    update_for(group, estimate, 8, start=61)
    deviation = np.abs(estimate.loads - group.loads).sum()
    update_for(group, estimate, 60, start=69)
    return deviation, (estimate.errors[0] / estimate.loads[0]).max() / calm_error


def test_sudden_change_is_followed_at_once():
    deviation, _ = after_jump()
    assert deviation < 0.06


def test_without_restart_a_sudden_change_is_missed(monkeypatch):
    monkeypatch.setattr(load, "CHANGE_SIGMAS", 1e9)
    deviation, _ = after_jump()
    assert deviation > 0.2


def test_sudden_change_does_not_pass_for_noise():
    _, growth = after_jump()
    assert growth < 3.0


def test_without_bounded_outliers_a_sudden_change_passes_for_noise(monkeypatch):
    monkeypatch.setattr(load, "OUTLIER_VARIANCES", 1e9)
    _, growth = after_jump()
    assert growth > 3.0


def test_reports_without_steps_change_nothing():
    group = ReportingGroup()
    estimate = new_estimate(group)
    estimate.update(1.0)
    assert not estimate.ready
    assert np.allclose(estimate.loads, 1 / 16)
