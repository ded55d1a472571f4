"""Lowest layer: connections, framing and timeouts. Independent of jobs and machines."""
