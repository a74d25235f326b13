"""Benchmarks, each a module of its own: ``python -m bench.NAME``."""
