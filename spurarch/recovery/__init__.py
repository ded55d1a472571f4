"""Notices that the state service lost its data, and rebuilds the records from what is left elsewhere."""
