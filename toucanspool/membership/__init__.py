"""Which instances live, and how news spreads between them."""
