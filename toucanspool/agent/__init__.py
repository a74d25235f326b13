"""The agent role: runs beside one upstream and passes calls to it."""
