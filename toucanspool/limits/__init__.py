"""Shares, priorities and shedding."""
