"""Services found by name, tasks with mailboxes, and the order of their closing."""
