"""The public HTTP interface: job requests of users, heartbeats of workers and health checks of the platform."""
