"""Run non-idempotent calls at most once."""
