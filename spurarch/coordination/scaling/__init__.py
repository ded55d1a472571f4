"""Scale out and scale in: decides which machines to request or release, and calls the cloud."""
