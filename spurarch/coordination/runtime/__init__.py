"""Monitoring of the process: stalls, event loop lag, time budgets of decision rounds, and invariant violations."""
