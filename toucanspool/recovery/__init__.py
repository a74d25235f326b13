"""Leader election by leases and fencing tokens, and change feeds of tables."""
