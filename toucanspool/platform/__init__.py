"""Adapter for the platform: its pages, headers, engines and row store."""
