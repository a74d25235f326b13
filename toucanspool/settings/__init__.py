"""Settings of a process, read from a YAML file and validated."""
