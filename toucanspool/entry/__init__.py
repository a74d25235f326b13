"""The entry role: the HTTP API for callers, request routing and the admin API."""
