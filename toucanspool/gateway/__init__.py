"""The path of a call by route, straight to an upstream."""
