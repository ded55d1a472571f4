"""Scale out and scale in: which machines to request and to release, and the calls that do it."""
