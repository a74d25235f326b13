"""Versioned configuration that operators set: labels, selectors, teams and keys."""
