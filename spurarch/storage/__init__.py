"""Persistent state: records in the state service, their local copy, and rate-limited clients of external services."""
