"""Settings of one process, read from YAML and checked whole."""
