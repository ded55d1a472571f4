"""Bottom layer: connections, framing and time limits. Knows nothing of jobs or machines."""
