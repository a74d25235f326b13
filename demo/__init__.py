"""A small system on loopback."""
