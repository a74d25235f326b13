"""The agent role: the last check beside one upstream."""
