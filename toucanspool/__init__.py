"""Balance requests over expert-parallel model groups by labels and selectors."""

__version__ = "0.2.0"
