"""Member leases, leader election, partition ownership, and what this controller may do at the moment."""
