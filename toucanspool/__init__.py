"""Balance requests over expert-parallel model groups by labels and selectors."""

__version__ = "0.1.0"
