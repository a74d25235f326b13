"""Upstreams, routes, and the policies that pick an upstream for a request."""
