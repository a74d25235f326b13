"""Interfaces to the platform's table, object store and instance list."""
