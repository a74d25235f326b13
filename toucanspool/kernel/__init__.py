"""A registry of services, periodic tasks, and named random number generators."""
