"""Proxying of calls that are matched by route and sent directly to an upstream."""
