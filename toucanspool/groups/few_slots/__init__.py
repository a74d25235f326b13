"""Search for expert placements in groups whose ranks have few slots."""
