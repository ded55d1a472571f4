"""Detects that the state service lost its data, and rebuilds the records from copies and workers' heartbeats."""
