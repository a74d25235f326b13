"""Admission control: shares, quotas, priorities, queueing and load shedding."""
