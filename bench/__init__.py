"""Benchmarks; run each with ``python -m bench.NAME``."""
