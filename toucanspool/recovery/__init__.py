"""Leases for the elected duties, with fencing tokens."""
