"""Member leases, leader election, partition ownership, and which actions are currently permitted to this controller."""
