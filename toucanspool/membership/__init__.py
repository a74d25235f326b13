"""Lists of live instances and entries, and gossip between them."""
