"""Top layer: who owns what, what runs where, and the life of tasks and machines."""
