"""Placement within a partition: best fit, preemption, Tabu search, consolidation. Performs no I/O."""
