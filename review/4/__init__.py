"""A machine is stopped while streams are still admitted."""
