"""Measurements of the decisions, each against baselines in one run."""
