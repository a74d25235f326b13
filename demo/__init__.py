"""Demo: a small system of real processes on loopback."""
