"""A controller's decisions: membership, partition ownership, admission, scheduling, commands to workers, and scaling.

This package is above `storage` and `transport`, and below `recovery`.
"""
