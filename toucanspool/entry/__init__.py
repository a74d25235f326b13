"""The entry role: callers' API, relay and admin API."""
