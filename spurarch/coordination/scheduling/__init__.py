"""Placement within a partition: best fit, preemption, Tabu search, consolidation. Pure decisions."""
