"""Thrift messages between toucanspool's processes, and their transport."""
