"""The adapter to the users' platform: its pages, headers and store, translated."""
