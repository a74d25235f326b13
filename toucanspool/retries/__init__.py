"""Budgets, deadlines, ejection and slow start."""
