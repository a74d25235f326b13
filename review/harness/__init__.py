"""What the cases of the review share: settings, processes, stand-ins, a record."""
