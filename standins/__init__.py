"""Stand-ins for the platform services and model engines, for tests and the demo."""
