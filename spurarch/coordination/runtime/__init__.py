"""The process itself: stalls, event-loop lag, budgets of decision rounds, invariant checks."""
